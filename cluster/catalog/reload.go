package catalog

import (
	"encoding/json"
	"strings"
	"unicode/utf8"
)

// maxSkipped is how many consecutive removed items findUnchanged skips while it searches for the next unchanged one.
const maxSkipped = 64

// Reload loads a document that succeeds c, which may be nil. Items whose bytes are the same as in c are not parsed
// again, only compared. A document whose layout differs from what Apply writes is parsed as a whole.
func (c *Config) Reload(document []byte) (*Config, error) {
	return c.reload(string(document), &reader{fieldsChecked: true})
}

func (c *Config) reload(text string, r *reader) (*Config, error) {
	if c != nil && c.text != "" {
		incremental := &incrementalReader{reader: reader{fieldsChecked: r.fieldsChecked}, previous: c, text: text}
		if next := incremental.config(); next != nil {
			incremental.crossCheck(next)
			if len(incremental.findings) == 0 {
				return next, nil
			}
		}
	}
	read, findings := checkJSON([]byte(text)) // findings give their place in the whole document
	if findings != nil {
		return nil, findings
	}
	return parse(read, r)
}

// incrementalReader reads a document by comparing it with the previous one. Changed items are checked for valid JSON
// before they are parsed. It gives up when the layout is unexpected; the caller then parses the document as a whole.
type incrementalReader struct {
	reader
	previous *Config
	text     string
	offset   int
}

// config reads the whole document. Its members must be the previous document's, in the same order, otherwise it gives
// up and returns nil.
func (in *incrementalReader) config() *Config {
	c := &Config{text: in.text, members: make([]member, 0, len(in.previous.members))}
	for i, m := range in.previous.members {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		if !in.skip(separator) || !in.skip(quote(m.key)) || !in.skip(":") {
			return nil
		}
		from := in.offset
		if !in.member(c, m) {
			return nil
		}
		c.members = append(c.members, member{m.key, in.text[from:in.offset]})
	}
	if !in.skip("}") || in.offset != len(in.text) || len(in.findings) > 0 {
		return nil
	}
	return c
}

// member reads the value of a member, and reports whether that succeeded.
func (in *incrementalReader) member(c *Config, previous member) bool {
	switch previous.key {
	case fieldVersion:
		c.Version = in.version(in.digits())
		return c.Version > 0
	case fieldRoutes:
		c.Routes, c.routeTexts = reloadList(in, in.previous.Routes, in.previous.routeTexts, in.newRoute)
		return c.Routes != nil
	case fieldServices:
		c.Services, c.serviceTexts = reloadList(in, in.previous.Services, in.previous.serviceTexts, in.newService)
		return c.Services != nil
	case fieldLimits:
		c.Limits = in.previous.Limits
	}
	return in.skip(previous.value)
}

// reloadList reads a list, reusing previous items whose text is unchanged and parsing others with readItem. It returns
// nil if it gives up, and for an empty list.
func reloadList[T any](in *incrementalReader, previous []T, texts []string, readItem func(text string, index int) T) ([]T, []string) {
	if !in.skip("[") {
		return nil, nil
	}
	items, itemTexts := make([]T, 0, len(previous)+1), make([]string, 0, len(previous)+1)
	nextIndex := 0 // in previous, of the next expected item
	for {
		from := in.offset
		if match := in.findUnchanged(texts, nextIndex); match >= 0 {
			in.offset += len(texts[match])
			items = append(items, previous[match])
			nextIndex = match + 1
		} else {
			text := in.object()
			if text == "" {
				return nil, nil
			}
			items = append(items, readItem(text, len(items)))
			if nextIndex < len(texts) && !in.followedBy(texts[nextIndex]) {
				nextIndex++ // the new item replaces the previous one at nextIndex
			}
		}
		itemTexts = append(itemTexts, in.text[from:in.offset])
		switch {
		case in.skip(","):
		case in.skip("]"):
			return items, itemTexts
		default:
			return nil, nil
		}
	}
}

// findUnchanged returns the index in texts, starting at from, of the previous item that the document has at the current
// offset; negative if there is none within maxSkipped items.
func (in *incrementalReader) findUnchanged(texts []string, from int) int {
	for i := from; i < min(from+maxSkipped, len(texts)); i++ {
		if strings.HasPrefix(in.text[in.offset:], texts[i]) {
			return i
		}
	}
	return -1
}

// followedBy reports whether the given item follows the separator at the current offset.
func (in *incrementalReader) followedBy(item string) bool {
	return in.offset < len(in.text) && strings.HasPrefix(in.text[in.offset+1:], item)
}

// skip consumes the expected text, and reports whether it was there.
func (in *incrementalReader) skip(expected string) bool {
	if !strings.HasPrefix(in.text[in.offset:], expected) {
		return false
	}
	in.offset += len(expected)
	return true
}

// digits consumes a number without sign, fraction and exponent. It returns null if there is none.
func (in *incrementalReader) digits() string {
	from := in.offset
	for in.offset < len(in.text) && in.text[in.offset] >= '0' && in.text[in.offset] <= '9' {
		in.offset++
	}
	if digits := in.text[from:in.offset]; json.Valid([]byte(digits)) { // rejects a leading zero
		return digits
	}
	return null
}

// object consumes the next object and returns its text. It returns an empty string if that is not valid JSON in UTF-8.
func (in *incrementalReader) object() string {
	end := objectEnd(in.text[in.offset:])
	if end < 0 {
		return ""
	}
	text := in.text[in.offset : in.offset+end]
	if !utf8.ValidString(text) || !json.Valid([]byte(text)) {
		return ""
	}
	in.offset += end
	return text
}

// objectEnd returns the length of the object at the start of a text, or a negative number if there is none or it is
// incomplete.
func objectEnd(text string) int {
	if !strings.HasPrefix(text, "{") {
		return -1
	}
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch char := text[i]; {
		case quoted && char == '\\':
			i++
		case char == '"':
			quoted = !quoted
		case quoted:
		case char == '{' || char == '[':
			depth++
		case char == '}' || char == ']':
			if depth--; depth == 0 {
				return i + 1
			}
		}
	}
	return -1
}

// newRoute reads a route that is not in the previous document. Its strings are copies, because a route may be kept for
// many more versions and must not keep this document in memory.
func (in *incrementalReader) newRoute(text string, index int) Route {
	return in.route(&cursor{text: strings.Clone(text)}, path{fieldRoutes, index})
}

// newService reads a service that is not in the previous document; see newRoute.
func (in *incrementalReader) newService(text string, index int) Service {
	return in.service(&cursor{text: strings.Clone(text)}, path{fieldServices, index})
}
