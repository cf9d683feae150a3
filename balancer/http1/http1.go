// Package http1 parses HTTP/1.1 messages from bytes as they come, in whatever pieces, and writes them.
// It does no I/O.
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

// Field is one header field.
type Field struct{ Name, Value string }

// Header holds fields in the order in which they came.
type Header []Field

// isNamed says whether a field's name, a token and so ASCII, is the one asked for.
func isNamed(field, name string) bool {
	return len(field) == len(name) && strings.EqualFold(field, name)
}

// Get returns the first value of a name, in whatever case.
func (h Header) Get(name string) string {
	for i := range h {
		if isNamed(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count is how many fields of a name there are.
func (h Header) Count(name string) int {
	n := 0
	for i := range h {
		if isNamed(h[i].Name, name) {
			n++
		}
	}
	return n
}

// has says whether a comma-separated field names a token.
func (h Header) has(name, token string) bool {
	for i := range h {
		if !isNamed(h[i].Name, name) {
			continue
		}
		for chunk := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(chunk), token) {
				return true
			}
		}
	}
	return false
}

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

// fields reads the lines after the first of a head.
func fields(lines string) (Header, error) {
	h := make(Header, 0, usualFields)
	for lines != "" {
		line := lines
		if end := strings.Index(lines, "\r\n"); end >= 0 {
			line, lines = lines[:end], lines[end+2:]
		} else {
			lines = ""
		}
		if line == "" {
			continue
		}
		colon := strings.IndexByte(line, ':')
		if colon < 0 || !isToken(line[:colon]) {
			return nil, bad("a header field has no proper name")
		}
		value := strings.Trim(line[colon+1:], " \t")
		if hasControl(value) {
			return nil, bad("a header field holds control characters")
		}
		h = append(h, Field{line[:colon], value})
	}
	return h, nil
}

// usualFields is how many fields a head has room for at once.
const usualFields = 10

// hasControl guards against bytes that another parser may take for an end or a break.
func hasControl(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// isTarget says whether s may stand in a request line: visible ASCII only.
func isTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}

func isToken(s string) bool {
	for i := range len(s) {
		if !tokenByte[s[i]] {
			return false
		}
	}
	return s != ""
}

// tokenByte says which bytes a token may hold (RFC 9110, section 5.6.2).
var tokenByte = func() (may [256]bool) {
	for c := byte('!'); c < 0x7f; c++ {
		may[c] = strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) < 0
	}
	return may
}()

func wantsClose(version string, h Header) bool {
	return h.has("Connection", "close") || version == "HTTP/1.0" && !h.has("Connection", "keep-alive")
}

// body reads the body of one message.
type body struct {
	state bodyState
	left  int // bytes of the body, or of the present chunk
	limit int // 0 for none
	total int
}

type bodyState uint8

const (
	none bodyState = iota
	counted
	chunkSize
	chunkData
	chunkEnd
	trailer
	untilClose
)

// begin chooses the framing by a head. Two framings at once are how requests are smuggled: refused, however empty or
// repeated either is, for another parser may go by any of the fields.
func (b *body) begin(h Header, limit int) error {
	*b = body{limit: limit}
	coding, codings, length, given := h.Get("Transfer-Encoding"), h.Count("Transfer-Encoding"), "", false
	for i := range h {
		if isNamed(h[i].Name, "Content-Length") {
			if given && length != h[i].Value {
				return bad("two lengths differ")
			}
			length, given = h[i].Value, true
		}
	}
	switch {
	case codings > 0 && given:
		return bad("a length and a transfer coding")
	case codings > 1 || codings == 1 && !strings.EqualFold(coding, "chunked"):
		return bad("the transfer coding is not known")
	case codings == 1:
		b.state = chunkSize
	case given:
		n, err := strconv.ParseUint(length, 10, 31)
		if err != nil {
			return bad("the length is no number")
		}
		if limit > 0 && int(n) > limit {
			return &Error{Status: 413, Reason: "the body is too long"}
		}
		if b.left = int(n); n > 0 {
			b.state = counted
		}
	}
	return nil
}

// read appends to out what p has of the body, and says whether the body is whole.
func (b *body) read(p *parser, out []byte) ([]byte, bool, error) {
	for {
		switch b.state {
		case none:
			return out, true, nil
		case untilClose:
			out = append(out, p.buf...)
			p.take(len(p.buf))
			return out, false, nil
		case counted, chunkData:
			n := min(b.left, len(p.buf))
			if b.total += n; b.limit > 0 && b.total > b.limit {
				return out, false, &Error{Status: 413, Reason: "the body is too long"}
			}
			out = append(out, p.buf[:n]...)
			p.take(n)
			if b.left -= n; b.left > 0 {
				return out, false, nil
			}
			if b.state == counted {
				b.state = none
			} else {
				b.state = chunkEnd
			}
		default:
			line, complete, err := p.line()
			if err != nil || !complete {
				return out, false, err
			}
			if err := b.line(line); err != nil {
				return out, false, err
			}
		}
	}
}

// line takes a line between chunks.
func (b *body) line(line string) error {
	switch {
	case b.state == trailer && line == "":
		b.state = none
	case b.state == chunkEnd && line != "":
		return bad("a chunk is longer than it said")
	case b.state == chunkEnd:
		b.state = chunkSize
	case b.state == chunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return bad("a chunk's size is no number")
		}
		if b.left, b.state = int(n), chunkData; n == 0 {
			b.state = trailer
		}
		if b.limit > 0 && b.total+b.left > b.limit {
			return &Error{Status: 413, Reason: "the body is too long"}
		}
	}
	return nil
}

func (p *parser) line() (line string, complete bool, err error) {
	end := bytes.Index(p.buf, []byte("\r\n"))
	if end < 0 && len(p.buf) > maxLine || end > maxLine {
		return "", false, bad("a chunk's size line is too long")
	}
	if end < 0 {
		return "", false, nil
	}
	line = string(p.buf[:end])
	p.take(end + 2)
	return line, true, nil
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

// AppendRequest writes a request with a counted body.
func AppendRequest(b []byte, method, target, host string, h Header, content []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	return appendRest(b, h, content, len(content) > 0 || method == "POST")
}

// AppendResponse writes a response with a counted body.
func AppendResponse(b []byte, status int, h Header, content []byte) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasons[status]...)
	b = append(b, "\r\n"...)
	return appendRest(b, h, content, status != 204)
}

func appendRest(b []byte, h Header, content []byte, counted bool) []byte {
	for i := range h {
		b = append(b, h[i].Name...)
		b = append(b, ": "...)
		b = append(b, h[i].Value...)
		b = append(b, "\r\n"...)
	}
	if counted {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(content)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, content...)
}
