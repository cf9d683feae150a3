package http1

import "strings"

// maxInterim limits the number of interim responses (1xx) before a response.
const maxInterim = 100

// Response is the head of a response, and its body if Responses.Next read it.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool // the connection closes after the response
}

// Responses parses the responses of one connection. What RFC 9110 and RFC 9112 forbid a server to send in a status line,
// in fields, in the framing of the body, in chunks, in trailers and in interim responses is an error, whatever the
// response's status; the connection is then of no use any more, and neither is the Responses.
//
// The responses are taken for those to requests without the field Upgrade, whose method is the one of SetMethod. A CONNECT
// opens no tunnel: its response is parsed like that to another method.
//
// One thing that is forbidden is taken, since servers in service send it and nobody can read it in two ways: a length of 0
// in a 204 (RFC 9110, section 8.6; RFC 9112, section 6.3, ends such a response at the empty line whatever its fields).
type Responses struct {
	parser
	// Limit is the maximum size, in bytes, of a body that Next returns; 0 means MaxBody.
	Limit int

	method  string
	interim int // number of interim responses since the last response
	resp    *Response
}

// SetMethod sets the method of the requests whose responses are parsed from now on. The response to a HEAD has no body.
func (p *Responses) SetMethod(method string) { p.method = method }

// Reset drops all data and state but the buffer's memory, for the use with another connection.
func (p *Responses) Reset() {
	*p = Responses{parser: parser{backing: p.backing[:0]}}
}

// Head returns the next head, or nil if more bytes are needed. It skips interim responses. The caller must then call Read
// or Discard until the body is complete.
func (p *Responses) Head() (*Response, error) {
	for {
		head, err := p.head(false)
		if head == "" || err != nil {
			return nil, err
		}
		resp, err := p.parseHead(head)
		if err != nil {
			return nil, err
		}
		if resp.Status >= 200 {
			p.interim = 0
			return resp, nil
		}
		if p.interim++; p.interim > maxInterim {
			return nil, badRequest("too many interim responses")
		}
	}
}

func (p *Responses) parseHead(head string) (*Response, error) {
	first, rest, _ := strings.Cut(head, "\r\n")
	line, err := parseStatusLine(first)
	if err != nil {
		return nil, err
	}
	h, err := fields(rest)
	if err != nil {
		return nil, err
	}
	if err := checkConnection(h); err != nil {
		return nil, err
	}
	isVersion10 := line.minorVersion == 0
	f, err := parseFraming(h, isVersion10)
	if err != nil {
		return nil, err
	}
	resp := &Response{Status: line.status, Header: h, Close: wantsClose(isVersion10, h)}
	if err := p.startBody(resp, f); err != nil {
		return nil, err
	}
	return resp, nil
}

// startBody begins the body, by the rules that depend on the response's status and on the request's method too (RFC 9112,
// section 6.3).
func (p *Responses) startBody(resp *Response, f framing) error {
	isFramed := f.chunked || f.hasLength
	switch {
	case resp.Status < 200 && isFramed, resp.Status == 204 && f.chunked:
		return badRequest("a response that has no body frames one")
	case (resp.Status == 204 || resp.Status == 205) && f.length > 0:
		return badRequest("a response that has no content announces some")
	case resp.Status < 200 || resp.Status == 204 || resp.Status == 304 || p.method == "HEAD":
		p.body = body{}
		return nil
	}
	if err := p.body.start(f, 0); err != nil {
		return err
	}
	p.body.isEmpty = resp.Status == 205
	if !isFramed {
		p.body.state, resp.Close = untilClose, true
	}
	return nil
}

// Read returns the part of the body received since the last call, and whether the body is complete.
func (p *Responses) Read() (chunk []byte, complete bool, err error) {
	return p.body.read(&p.parser, nil)
}

// Discard drops the part of the body received since the last call, and reports whether the body is complete.
func (p *Responses) Discard() (complete bool, err error) { return p.body.discard(&p.parser) }

// EndsWithConnection reports whether the current response, whose head was returned, ends where the server closes the
// connection: then it is complete at the end of the data, and truncated after any other end of the connection.
func (p *Responses) EndsWithConnection() bool { return p.body.state == untilClose }

// Next returns the next complete response, or nil if more bytes are needed. A response that ends with the connection is
// never complete here.
func (p *Responses) Next() (*Response, error) {
	if p.resp == nil {
		resp, err := p.Head()
		if resp == nil || err != nil {
			return nil, err
		}
		p.resp = resp
		if p.body.limit = p.bodyLimit(); p.body.remaining > p.body.limit {
			return nil, bodyTooLong()
		}
	}
	var complete bool
	var err error
	if p.resp.Body, complete, err = p.body.read(&p.parser, p.resp.Body); err != nil || !complete {
		return nil, err
	}
	return p.takeResponse(), nil
}

func (p *Responses) bodyLimit() int {
	if p.Limit > 0 {
		return p.Limit
	}
	return MaxBody
}

func (p *Responses) takeResponse() *Response {
	resp := p.resp
	p.resp = nil
	return resp
}

// Ended returns the response that ends with the connection, once the server has closed the connection in good order. It
// returns nil if there is none: then a response that was begun is truncated.
func (p *Responses) Ended() *Response {
	if p.resp == nil || !p.EndsWithConnection() {
		return nil
	}
	p.body.state = noBody
	return p.takeResponse()
}
