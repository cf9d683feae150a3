package http1

import (
	"strconv"
	"strings"
)

// Names of the fields that frame a body.
const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

// framing is how the head of a message delimits its body.
type framing struct {
	chunked   bool
	hasLength bool
	length    int // bytes, if hasLength is set
}

// parseFraming selects the framing of a body by its head. A message with both a length and a transfer coding is rejected,
// even if either is empty or repeated: another parser may rely on the other field, which allows request smuggling. A
// transfer coding in a message of version 1.0 is rejected as well (RFC 9112, section 6.1).
func parseFraming(h Header, isVersion10 bool) (framing, error) {
	codings := h.Count(transferEncoding)
	length, hasLength, err := h.contentLength()
	switch {
	case err != nil:
		return framing{}, err
	case codings == 0:
		return framing{hasLength: hasLength, length: length}, nil
	case hasLength:
		return framing{}, badRequest("a length and a transfer coding")
	case codings > 1 || !strings.EqualFold(h.Get(transferEncoding), "chunked"):
		return framing{}, badRequest("the transfer coding is not known")
	case isVersion10:
		return framing{}, badRequest("that version has no transfer coding")
	}
	return framing{chunked: true}, nil
}

// contentLength returns the value of the field Content-Length, and whether there is one. A value that is repeated, in
// other fields of the name or separated by commas, counts once if all its repetitions are equal (RFC 9112, section 6.3).
func (h Header) contentLength() (length int, given bool, err error) {
	for i := range h {
		if !isNamed(h[i].Name, contentLength) {
			continue
		}
		for element := range strings.SplitSeq(h[i].Value, ",") {
			n, err := strconv.ParseUint(strings.Trim(element, " \t"), 10, 63)
			switch {
			case err != nil:
				return 0, true, badRequest("the length is no number")
			case given && int(n) != length:
				return 0, true, badRequest("two lengths differ")
			}
			length, given = int(n), true
		}
	}
	return length, given, nil
}

// checkConnection rejects a field Connection that is not a list of tokens.
func checkConnection(h Header) error {
	for i := range h {
		if !isNamed(h[i].Name, "Connection") {
			continue
		}
		for option := range strings.SplitSeq(h[i].Value, ",") {
			if option = strings.Trim(option, " \t"); option != "" && !isToken(option) {
				return badRequest("the field Connection holds no list of tokens")
			}
		}
	}
	return nil
}

// wantsClose reports whether the connection closes after a message.
func wantsClose(isVersion10 bool, h Header) bool {
	return h.has("Connection", "close") || isVersion10 && !h.has("Connection", "keep-alive")
}
