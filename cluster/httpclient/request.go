package httpclient

import (
	"errors"
	"strings"

	"ravendale/balancer/http1"
)

// Request is a request of a Client.
type Request struct {
	Method string
	Target string // path and query, encoded
	Host   string
	Header http1.Header
	Body   []byte
}

// errInvalidRequest is returned for a request that would be read as another one, or as several.
var errInvalidRequest = errors.New("httpclient: a request line or field holds blanks or control characters")

// check rejects a request whose parts would not arrive as they are.
func (r *Request) check() error {
	valid := isPrintable(r.Method) && isPrintable(r.Target) && isPrintable(r.Host) && r.Method != "" && r.Target != ""
	for _, field := range r.Header {
		valid = valid && isPrintable(field.Name) && isPrintable(strings.ReplaceAll(field.Value, " ", ""))
	}
	if !valid {
		return errInvalidRequest
	}
	return nil
}

// isPrintable reports whether a text has neither blanks nor control characters.
func isPrintable(text string) bool {
	return !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// mayRepeat reports whether the request changes nothing.
func (r *Request) mayRepeat() bool { return r.Method == "GET" }

func (r *Request) encode(closes bool) []byte {
	header := r.Header
	if closes {
		header = append(header[:len(header):len(header)], http1.Field{Name: "Connection", Value: "close"})
	}
	return http1.AppendRequest(nil, r.Method, r.Target, r.Host, header, r.Body)
}
