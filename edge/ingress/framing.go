package ingress

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// isUnambiguous reports whether all who read the request agree on where it ends and what it names. Requests that two readers may
// take for different ones are how others are smuggled in.
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

// isVisible reports whether bytes are visible ASCII, without spaces, or beyond ASCII.
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
			return false // folded lines begin with a space, which is in no token
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

// single returns a field's value, and false if it is there more than once.
func single(h *fasthttp.RequestHeader, name string) (string, bool) {
	values := h.PeekAll(name)
	if len(values) == 0 {
		return "", true
	}
	return string(values[0]), len(values) == 1
}
