package http1

import "strings"

// Field is one header field.
type Field struct{ Name, Value string }

// Header holds fields in the order in which they were received.
type Header []Field

// isNamed reports whether a field's name equals name, ignoring case. A field's name is a token and so ASCII.
func isNamed(field, name string) bool {
	return len(field) == len(name) && strings.EqualFold(field, name)
}

// Get returns the value of the first field with a name, ignoring case, or "".
func (h Header) Get(name string) string {
	for i := range h {
		if isNamed(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count returns the number of fields with a name, ignoring case.
func (h Header) Count(name string) int {
	n := 0
	for i := range h {
		if isNamed(h[i].Name, name) {
			n++
		}
	}
	return n
}

// has reports whether a comma-separated field contains a token.
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

// fields parses the lines of a head after the first.
func fields(lines string) (Header, error) {
	h := make(Header, 0, initialFields)
	for lines != "" {
		var line string
		line, lines, _ = strings.Cut(lines, "\r\n")
		field, err := parseField(line)
		if err != nil {
			return nil, err
		}
		h = append(h, field)
	}
	return h, nil
}

// parseField parses name ":" value (RFC 9112, section 5). A line that continues the one before it has no proper name: such
// folding is obsolete.
func parseField(line string) (Field, error) {
	name, value, _ := strings.Cut(line, ":")
	if len(name) == len(line) || !isToken(name) {
		return Field{}, badRequest("a header field has no proper name")
	}
	value = strings.Trim(value, " \t")
	if hasControl(value) {
		return Field{}, badRequest("a header field holds control characters")
	}
	return Field{Name: name, Value: value}, nil
}

// initialFields is the initial capacity of a Header.
const initialFields = 10

// hasControl reports whether s has control characters, which another parser may take for the end of a field.
func hasControl(s string) bool {
	for i := range len(s) {
		if isControl(s[i]) {
			return true
		}
	}
	return false
}

// isControl reports whether a byte is a control character other than a tab.
func isControl(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }

// isTarget reports whether s is a valid request target: visible ASCII only.
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

// tokenByte is true for each byte that a token may contain (RFC 9110, section 5.6.2).
var tokenByte = func() (may [256]bool) {
	for c := byte('!'); c < 0x7f; c++ {
		may[c] = strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) < 0
	}
	return may
}()
