package http1

import (
	"slices"
	"strconv"
	"strings"
)

// maxChunkLine is the maximum length of a chunk's size line, in bytes, with its extensions.
const maxChunkLine = 1 << 10

// parseChunkLine returns the size of a chunk, in bytes, from the line before its data, and checks the grammar of the
// extensions in that line (RFC 9112, section 7.1).
func parseChunkLine(line string) (int, error) {
	digits := strings.IndexFunc(line, func(c rune) bool { return !isHexDigit(c) })
	if digits < 0 {
		digits = len(line)
	}
	size, err := strconv.ParseUint(line[:digits], 16, 63)
	if err != nil {
		return 0, badRequest("a chunk's size is no number")
	}
	for rest := line[digits:]; rest != ""; {
		var valid bool
		if rest, valid = cutChunkExtension(rest); !valid {
			return 0, badRequest("a chunk's extension is malformed")
		}
	}
	return int(size), nil
}

func isHexDigit(c rune) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// cutChunkExtension removes one extension, ";" name ["=" value] with optional blanks, from the front of text.
func cutChunkExtension(text string) (rest string, valid bool) {
	rest, valid = strings.CutPrefix(trimBlanks(text), ";")
	if !valid {
		return "", false
	}
	if rest, valid = cutToken(trimBlanks(rest)); !valid {
		return "", false
	}
	value, hasValue := strings.CutPrefix(trimBlanks(rest), "=")
	if !hasValue {
		return rest, true
	}
	if value = trimBlanks(value); strings.HasPrefix(value, `"`) {
		return cutQuoted(value)
	}
	return cutToken(value)
}

func trimBlanks(text string) string { return strings.TrimLeft(text, " \t") }

// cutToken removes a token from the front of text.
func cutToken(text string) (rest string, valid bool) {
	end := 0
	for end < len(text) && tokenByte[text[end]] {
		end++
	}
	return text[end:], end > 0
}

// cutQuoted removes a quoted string (RFC 9110, section 5.6.4), whose first quote was seen, from the front of text.
func cutQuoted(text string) (rest string, valid bool) {
	for i := 1; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			return text[i+1:], true
		case c == '\\':
			if i++; i == len(text) || isControl(text[i]) {
				return "", false
			}
		case isControl(c):
			return "", false
		}
	}
	return "", false
}

// headOnly lists fields that a sender must not put into a trailer, since they are needed before the content: for its
// framing, its routing and its format (RFC 9110, section 6.5.1).
var headOnly = []string{
	contentLength, transferEncoding, "Trailer", "TE", "Connection", "Host", "Content-Encoding", "Content-Type", "Content-Range",
}

// checkTrailer checks a line of the trailer. Its field is of no use here.
func checkTrailer(line string) error {
	field, err := parseField(line)
	if err != nil {
		return err
	}
	if slices.ContainsFunc(headOnly, func(name string) bool { return isNamed(field.Name, name) }) {
		return badRequest("a field in the trailer belongs into the head")
	}
	return nil
}
