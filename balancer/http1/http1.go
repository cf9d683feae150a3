package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Limits of a message, in bytes. A whole body is kept in memory, so its size is limited.
const (
	MaxHead = 16 << 10
	MaxBody = 64 << 10
	maxLine = 256 // length of a chunk's size line
)

// Error reports an invalid message. Status is the status code to answer it with.
type Error struct {
	Status int
	Reason string
}

// Error returns the reason and the status.
func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

func badRequest(reason string) *Error { return &Error{Status: 400, Reason: reason} }

// Request is a complete request.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Close          bool // the connection closes after the response
}

// Response is the head of a response, and its body if Responses.Next read it.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

// parser is the part shared by Requests and Responses: unparsed bytes, and the state of the current body.
type parser struct {
	backing  []byte // backing array of buf, reused
	buf      []byte
	searched int // number of bytes of buf already searched for the end of the head
	body     body
}

// maxIdleBuffer is the maximum capacity, in bytes, of a buffer that a parser keeps while it has no data.
const maxIdleBuffer = 4 << 10

// Feed adds a copy of b to the data to parse. Unparsed bytes are moved to the front of the buffer here, once, and not
// in each take: with very small pieces that would cost quadratic time.
func (p *parser) Feed(b []byte) {
	p.backing = append(append(p.backing[:0], p.buf...), b...)
	p.buf = p.backing
}

// Buffered returns the number of unparsed bytes.
func (p *parser) Buffered() int { return len(p.buf) }

// take removes n bytes from the front of the buffer.
func (p *parser) take(n int) {
	if p.buf = p.buf[n:]; len(p.buf) == 0 && cap(p.backing) > maxIdleBuffer {
		p.backing, p.buf = nil, nil
	}
}

// head removes and returns the next head, or returns "" while it is incomplete.
func (p *parser) head() (string, error) {
	for len(p.buf) > 0 && p.searched == 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') {
		p.take(1) // empty lines before a message are ignored
	}
	end := bytes.Index(p.buf[max(p.searched-3, 0):], []byte("\r\n\r\n"))
	if end < 0 {
		if p.searched = len(p.buf); p.searched > MaxHead {
			return "", &Error{Status: 431, Reason: "the head is too long"}
		}
		return "", nil
	}
	end += max(p.searched-3, 0)
	if p.searched = 0; end > MaxHead {
		return "", &Error{Status: 431, Reason: "the head is too long"}
	}
	head := string(p.buf[:end])
	p.take(end + 4)
	return head, nil
}

// Requests parses the requests of one connection. It must not be used after an error.
type Requests struct {
	parser
	req *Request // head parsed, body incomplete
}

// Next returns the next complete request, or nil if more bytes are needed.
func (p *Requests) Next() (*Request, error) {
	if p.req == nil {
		head, err := p.head()
		if head == "" || err != nil {
			return nil, err
		}
		first, rest, _ := strings.Cut(head, "\r\n")
		method, first, _ := strings.Cut(first, " ")
		target, version, _ := strings.Cut(first, " ")
		if !isToken(method) || !isTarget(target) || version == "" || strings.IndexByte(version, ' ') >= 0 {
			return nil, badRequest("the request line is malformed")
		}
		if version != "HTTP/1.1" && version != "HTTP/1.0" {
			return nil, &Error{Status: 505, Reason: "the version is not known"}
		}
		h, err := fields(rest)
		if err != nil {
			return nil, err
		}
		if err := p.body.start(h, MaxBody); err != nil {
			return nil, err
		}
		if version == "HTTP/1.0" && h.Count("Transfer-Encoding") > 0 {
			return nil, badRequest("that version has no transfer coding")
		}
		p.req = &Request{Method: method, Target: target, Header: h, Close: wantsClose(version, h)}
	}
	var complete bool
	var err error
	if p.req.Body, complete, err = p.body.read(&p.parser, p.req.Body); err != nil || !complete {
		return nil, err
	}
	req := p.req
	p.req = nil
	return req, nil
}

// Partial reports whether part of a request has been received.
func (p *Requests) Partial() bool { return p.req != nil || len(p.buf) > 0 }

// AwaitsContinue reports whether the sender waits for a 100 (Continue) response before it sends the body. It returns
// true only once per request.
func (p *Requests) AwaitsContinue() bool {
	if p.req == nil || !p.req.Header.has("Expect", "100-continue") || len(p.req.Body) > 0 {
		return false
	}
	p.req.Header = append(p.req.Header[:0:0], p.req.Header...)
	for i := range p.req.Header {
		if strings.EqualFold(p.req.Header[i].Name, "Expect") {
			p.req.Header[i].Value = ""
		}
	}
	return true
}

// Responses parses the responses of one connection. It assumes that no request was a HEAD.
type Responses struct {
	parser
	resp *Response
}

// Head returns the next head, or nil if more bytes are needed. The caller must then call Read until the body is complete.
func (p *Responses) Head() (*Response, error) {
	head, err := p.head()
	if head == "" || err != nil {
		return nil, err
	}
	first, rest, _ := strings.Cut(head, "\r\n")
	version, status, _ := strings.Cut(first, " ")
	code, _, _ := strings.Cut(status, " ")
	n, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || n < 100 || !strings.HasPrefix(version, "HTTP/1.") {
		return nil, badRequest("the status line is malformed")
	}
	h, err := fields(rest)
	if err != nil {
		return nil, err
	}
	if n < 200 {
		return p.Head() // interim responses are skipped
	}
	if err := p.body.start(h, 0); err != nil {
		return nil, err
	}
	resp := &Response{Status: n, Header: h, Close: wantsClose(version, h)}
	switch {
	case n == 204 || n == 304:
		p.body.state = noBody
	case p.body.state == noBody && h.Get("Content-Length") == "":
		p.body.state, resp.Close = untilClose, true
	}
	return resp, nil
}

// Read returns the part of the body received since the last call, and whether the body is complete.
func (p *Responses) Read() (chunk []byte, complete bool, err error) {
	return p.body.read(&p.parser, nil)
}

// Next returns the next complete response, or nil if more bytes are needed.
func (p *Responses) Next() (*Response, error) {
	if p.resp == nil {
		resp, err := p.Head()
		if resp == nil || err != nil {
			return nil, err
		}
		p.resp = resp
		if p.body.limit = MaxBody; p.body.remaining > MaxBody {
			return nil, &Error{Status: 413, Reason: "the body is too long"}
		}
	}
	chunk, complete, err := p.Read()
	if err != nil {
		return nil, err
	}
	if p.resp.Body = append(p.resp.Body, chunk...); !complete {
		return nil, nil
	}
	resp := p.resp
	p.resp = nil
	return resp, nil
}
