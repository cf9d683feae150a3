package ingress

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// isUnambiguous reports whether every HTTP implementation parses the same target, host and end of the request. Requests
// that can be parsed in different ways allow request smuggling.
func isUnambiguous(h *fasthttp.RequestHeader) bool {
	target := h.RequestURI()
	if len(target) == 0 || target[0] != '/' || !isVisible(target) {
		return false
	}
	if len(h.Host()) == 0 || !isVisible(h.Host()) || !h.IsHTTP11() {
		return false
	}
	return validFields(h.RawHeaders())
}

// isVisible reports whether the text consists of visible ASCII characters and bytes beyond ASCII only, without spaces.
func isVisible(text []byte) bool {
	for _, b := range text {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return true
}

func validFields(raw []byte) bool {
	var lengths, codings, hosts int
	for len(raw) > 0 {
		line, rest, found := bytes.Cut(raw, []byte("\n"))
		if !found || len(line) == 0 || line[len(line)-1] != '\r' {
			return false // a bare line feed
		}
		line = line[:len(line)-1]
		if raw = rest; len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) || bytes.IndexByte(value, '\r') >= 0 {
			return false // includes folded lines: they begin with a space, which is not a token character
		}
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if !isDecimal(value) {
				return false
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return false
			}
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		}
	}
	return lengths+codings <= 1 && hosts == 1
}

func isDecimal(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(text) > 0
}

func isToken(name []byte) bool {
	for _, b := range name {
		if b <= ' ' || b >= 0x7f || bytes.IndexByte([]byte("\"(),/:;<=>?@[\\]{}"), b) >= 0 {
			return false
		}
	}
	return len(name) > 0
}

// singleValue returns the value of a field, empty if it is absent. It returns false if the field occurs more than once.
func singleValue(h *fasthttp.RequestHeader, name string) (string, bool) {
	values := h.PeekAll(name)
	if len(values) == 0 {
		return "", true
	}
	return string(values[0]), len(values) == 1
}
