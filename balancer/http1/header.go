package http1

import "strings"

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
