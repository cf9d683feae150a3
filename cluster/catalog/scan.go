package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// member is a field of a JSON object: its decoded name, and the JSON text of its value.
type member struct {
	key   string
	value string
}

// checkJSON checks that a document is exactly one JSON value in UTF-8, and returns it without surrounding space. The
// rest of this file relies on that.
func checkJSON(document []byte) (string, Findings) {
	if !utf8.Valid(document) {
		at := 0
		for at < len(document) {
			char, size := utf8.DecodeRune(document[at:])
			if char == utf8.RuneError && size <= 1 {
				break
			}
			at += size
		}
		return "", Findings{{Place: fmt.Sprintf("byte %d", at), Reason: "not UTF-8"}}
	}
	if !json.Valid(document) {
		return "", Findings{syntaxFinding(document)}
	}
	return strings.TrimSpace(string(document)), nil
}

func syntaxFinding(document []byte) Finding {
	var syntax *json.SyntaxError
	var value json.RawMessage
	if err := json.Unmarshal(document, &value); errors.As(err, &syntax) {
		return Finding{Place: fmt.Sprintf("byte %d", syntax.Offset), Reason: syntax.Error()}
	}
	return Finding{Place: "document", Reason: "not JSON"}
}

// cursor reads valid JSON from an offset. It does not check syntax.
type cursor struct {
	text   string
	offset int
}

// next skips white space and returns the next byte without consuming it.
func (c *cursor) next() byte {
	for {
		switch char := c.text[c.offset]; char {
		case ' ', '\t', '\n', '\r':
			c.offset++
		default:
			return char
		}
	}
}

// value consumes the next value and returns its JSON text.
func (c *cursor) value() string {
	char := c.next()
	from := c.offset
	switch char {
	case '"':
		c.skipString()
	case '{', '[':
		c.skipNested()
	default:
		c.skipScalar()
	}
	return c.text[from:c.offset]
}

func (c *cursor) skipString() {
	text := c.text
	at := c.offset + 1
	for text[at] != '"' {
		if text[at] == '\\' {
			at++
		}
		at++
	}
	c.offset = at + 1
}

func (c *cursor) skipNested() {
	for depth := 0; ; {
		switch c.text[c.offset] {
		case '"':
			c.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		c.offset++
		if depth == 0 {
			return
		}
	}
}

func (c *cursor) skipScalar() {
	text := c.text
	at := c.offset
	for at < len(text) && text[at] != ',' && text[at] != '}' && text[at] != ']' && text[at] > ' ' {
		at++
	}
	c.offset = at
}

// members calls visit for each field of the next object, in order. The visitor must consume the field's value.
func (c *cursor) members(visit func(key string)) {
	c.next()
	c.offset++ // the bracket
	for c.next() != '}' {
		key := unquote(c.value())
		c.next()
		c.offset++ // the colon
		visit(key)
		if c.next() == ',' {
			c.offset++
		}
	}
	c.offset++
}

// elements calls visit for each value of the next array, in order. The visitor must consume the value.
func (c *cursor) elements(visit func(index int)) {
	c.next()
	c.offset++ // the bracket
	for index := 0; c.next() != ']'; index++ {
		visit(index)
		if c.next() == ',' {
			c.offset++
		}
	}
	c.offset++
}

// unquote decodes a JSON string. A string without escapes is returned as a substring of the document.
func unquote(quoted string) string {
	if strings.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var decoded string
	if json.Unmarshal([]byte(quoted), &decoded) != nil {
		return quoted // unreachable: the string is valid JSON
	}
	return decoded
}

// quote encodes a JSON string.
func quote(text string) string {
	quoted, err := json.Marshal(text)
	if err != nil {
		return `""` // unreachable: any string can be encoded
	}
	return string(quoted)
}
