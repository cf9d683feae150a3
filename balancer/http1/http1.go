package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Limits of a message. A whole body is kept in memory, so it is bounded.
const (
	MaxHead = 16 << 10
	MaxBody = 64 << 10
	maxLine = 256 // of a chunk's size line
)

// Error is a message that can't be taken; Status is the answer that says why.
type Error struct {
	Status int
	Reason string
}

// Error gives the reason and the status.
func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

func bad(reason string) *Error { return &Error{Status: 400, Reason: reason} }

// Request is a whole request.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Close          bool // the sender wants the connection closed afterwards
}

// Response is the head of an answer, and its body where it was read whole.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

// parser is what requests and responses share: bytes that came, and the body that is being read.
type parser struct {
	store []byte // what buf is a part of
	buf   []byte
	seen  int // of buf, searched in vain for the end of a head
	body  body
}

// keptStore is how much room a parser keeps that has nothing to parse.
const keptStore = 4 << 10

// Feed adds bytes. They are copied. What waits moves up here, once, and not with each take: a client that cuts its
// bytes very small would make that a square.
func (p *parser) Feed(b []byte) {
	p.store = append(append(p.store[:0], p.buf...), b...)
	p.buf = p.store
}

// Buffered is how many bytes wait.
func (p *parser) Buffered() int { return len(p.buf) }

// take drops bytes from the front.
func (p *parser) take(n int) {
	if p.buf = p.buf[n:]; len(p.buf) == 0 && cap(p.store) > keptStore {
		p.store, p.buf = nil, nil
	}
}

// head cuts off the next head, or returns "" while it is not whole.
func (p *parser) head() (string, error) {
	for len(p.buf) > 0 && p.seen == 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') {
		p.take(1) // empty lines before a message are to be ignored
	}
	end := bytes.Index(p.buf[max(p.seen-3, 0):], []byte("\r\n\r\n"))
	if end < 0 {
		if p.seen = len(p.buf); p.seen > MaxHead {
			return "", &Error{Status: 431, Reason: "the head is too long"}
		}
		return "", nil
	}
	end += max(p.seen-3, 0)
	if p.seen = 0; end > MaxHead {
		return "", &Error{Status: 431, Reason: "the head is too long"}
	}
	head := string(p.buf[:end])
	p.take(end + 4)
	return head, nil
}

// Requests parses the requests of one connection. After an error it is of no more use.
type Requests struct {
	parser
	req *Request // its head has come
}

// Next returns the next whole request, or nil while more bytes are wanted.
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
			return nil, bad("the request line is malformed")
		}
		if version != "HTTP/1.1" && version != "HTTP/1.0" {
			return nil, &Error{Status: 505, Reason: "the version is not known"}
		}
		h, err := fields(rest)
		if err != nil {
			return nil, err
		}
		if err := p.body.begin(h, MaxBody); err != nil {
			return nil, err
		}
		if version == "HTTP/1.0" && h.Count("Transfer-Encoding") > 0 {
			return nil, bad("that version has no transfer coding")
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

// Partial says whether part of a request has come.
func (p *Requests) Partial() bool { return p.req != nil || len(p.buf) > 0 }

// AwaitsContinue says, once, that the sender holds the body back until it is told to go on.
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

// Responses parses the responses on one connection. Requests are taken to be other than HEAD.
type Responses struct {
	parser
	resp *Response
}

// Head returns the next head, once; its body is then to be read by Read until that is whole.
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
		return nil, bad("the status line is malformed")
	}
	h, err := fields(rest)
	if err != nil {
		return nil, err
	}
	if n < 200 {
		return p.Head() // an interim answer says nothing
	}
	if err := p.body.begin(h, 0); err != nil {
		return nil, err
	}
	resp := &Response{Status: n, Header: h, Close: wantsClose(version, h)}
	switch {
	case n == 204 || n == 304:
		p.body.state = none
	case p.body.state == none && h.Get("Content-Length") == "":
		p.body.state, resp.Close = untilClose, true
	}
	return resp, nil
}

// Read returns what has come of the body after Head, and whether that was the rest of it.
func (p *Responses) Read() (chunk []byte, complete bool, err error) {
	return p.body.read(&p.parser, nil)
}

// Next returns the next whole response, or nil while more bytes are wanted.
func (p *Responses) Next() (*Response, error) {
	if p.resp == nil {
		resp, err := p.Head()
		if resp == nil || err != nil {
			return nil, err
		}
		p.resp = resp
		if p.body.limit = MaxBody; p.body.left > MaxBody {
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
