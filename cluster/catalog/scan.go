package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// member is a field of a JSON object: its name, and its value as written.
type member struct {
	key   string
	value string
}

// readable makes sure that a document is one JSON value and nothing else, in UTF-8. What follows in this file relies on it.
func readable(document []byte) (string, Findings) {
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

// cursor walks through valid JSON.
type cursor struct {
	text string
	at   int
}

// next skips space and returns the byte that follows.
func (c *cursor) next() byte {
	for {
		switch char := c.text[c.at]; char {
		case ' ', '\t', '\n', '\r':
			c.at++
		default:
			return char
		}
	}
}

// value takes the next value, as written.
func (c *cursor) value() string {
	first := c.next()
	from := c.at
	switch first {
	case '"':
		c.skipString()
	case '{', '[':
		c.skipNested()
	default:
		c.skipScalar()
	}
	return c.text[from:c.at]
}

func (c *cursor) skipString() {
	text := c.text
	at := c.at + 1
	for text[at] != '"' {
		if text[at] == '\\' {
			at++
		}
		at++
	}
	c.at = at + 1
}

func (c *cursor) skipNested() {
	for depth := 0; ; {
		switch c.text[c.at] {
		case '"':
			c.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		c.at++
		if depth == 0 {
			return
		}
	}
}

func (c *cursor) skipScalar() {
	text := c.text
	at := c.at
	for at < len(text) && text[at] != ',' && text[at] != '}' && text[at] != ']' && text[at] > ' ' {
		at++
	}
	c.at = at
}

// members visits the fields of the object that comes next, in their order. The visitor has to take the value.
func (c *cursor) members(visit func(key string)) {
	c.next()
	c.at++ // the bracket
	for c.next() != '}' {
		key := unquote(c.value())
		c.next()
		c.at++ // the colon
		visit(key)
		if c.next() == ',' {
			c.at++
		}
	}
	c.at++
}

// elements visits the values of the array that comes next, in their order. The visitor has to take the value.
func (c *cursor) elements(visit func(index int)) {
	c.next()
	c.at++ // the bracket
	for index := 0; c.next() != ']'; index++ {
		visit(index)
		if c.next() == ',' {
			c.at++
		}
	}
	c.at++
}

// unquote decodes a JSON string. Without escapes it stays a part of the document.
func unquote(quoted string) string {
	if strings.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var decoded string
	if json.Unmarshal([]byte(quoted), &decoded) != nil {
		return quoted // can't be: it is valid
	}
	return decoded
}

// quote encodes a JSON string.
func quote(text string) string {
	quoted, err := json.Marshal(text)
	if err != nil {
		return `""` // can't be: a string always can be encoded
	}
	return string(quoted)
}
