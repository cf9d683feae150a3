package http1

import "strings"

// Request is a complete request.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Close          bool // the connection closes after the response
}

// Requests parses the requests of one connection. It must not be used after an error.
type Requests struct {
	parser
	req *Request // head parsed, body incomplete
}

// Next returns the next complete request, or nil if more bytes are needed.
func (p *Requests) Next() (*Request, error) {
	if p.req == nil {
		head, err := p.head(true)
		if head == "" || err != nil {
			return nil, err
		}
		if p.req, err = p.parseHead(head); err != nil {
			return nil, err
		}
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

func (p *Requests) parseHead(head string) (*Request, error) {
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
	isVersion10 := version == "HTTP/1.0"
	f, err := parseFraming(h, isVersion10)
	if err != nil {
		return nil, err
	}
	if err := p.body.start(f, MaxBody); err != nil {
		return nil, err
	}
	return &Request{Method: method, Target: target, Header: h, Close: wantsClose(isVersion10, h)}, nil
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
