package catalog

import (
	"encoding/json"
	"strings"
	"unicode/utf8"
)

// maxSkipped bounds how many items of a list may have been removed one after the other for the next to be known again.
const maxSkipped = 64

// Reload is Load of a document that follows on c, which may be nil: what is the same to the byte is not read again, and costs a comparison. A
// document that is written otherwise than by Apply is read as a whole.
func (c *Config) Reload(document []byte) (*Config, error) {
	return c.reload(string(document), &reader{checked: true})
}

func (c *Config) reload(text string, r *reader) (*Config, error) {
	if c != nil && c.text != "" {
		in := &reloading{reader: reader{checked: r.checked}, before: c, text: text}
		if next := in.config(); next != nil {
			in.crossCheck(next)
			if len(in.findings) == 0 {
				return next, nil
			}
		}
	}
	read, findings := readable([]byte(text)) // what is wrong is told by their places in the whole
	if findings != nil {
		return nil, findings
	}
	return parse(read, r)
}

// reloading reads a document beside the one before it. All that differs is made sure to be valid before it is read. It gives up at what it does
// not expect: the document is then parsed as a whole.
type reloading struct {
	reader
	before *Config
	text   string
	at     int
}

// config reads the whole document, in which the members are those of before and in their order. It returns nil if it gives up.
func (in *reloading) config() *Config {
	c := &Config{text: in.text, members: make([]member, 0, len(in.before.members))}
	for i, m := range in.before.members {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		if !in.skip(separator) || !in.skip(quote(m.key)) || !in.skip(":") {
			return nil
		}
		from := in.at
		if !in.member(c, m) {
			return nil
		}
		c.members = append(c.members, member{m.key, in.text[from:in.at]})
	}
	if !in.skip("}") || in.at != len(in.text) || len(in.findings) > 0 {
		return nil
	}
	return c
}

// member reads the value of a member, and reports whether it could.
func (in *reloading) member(c *Config, before member) bool {
	switch before.key {
	case fieldVersion:
		c.Version = in.version(in.digits())
		return c.Version > 0
	case fieldRoutes:
		c.Routes, c.routes = reloadList(in, in.before.Routes, in.before.routes, in.freshRoute)
		return c.Routes != nil
	case fieldServices:
		c.Services, c.backs = reloadList(in, in.before.Services, in.before.backs, in.freshService)
		return c.Services != nil
	case fieldLimits:
		c.Limits = in.before.Limits
	}
	return in.skip(before.value)
}

// reloadList reads a list of items that were read before, or are read by fresh. It returns nil if it gives up, and for an empty list.
func reloadList[T any](in *reloading, before []T, texts []string, fresh func(text string, index int) T) ([]T, []string) {
	if !in.skip("[") {
		return nil, nil
	}
	items, itemTexts := make([]T, 0, len(before)+1), make([]string, 0, len(before)+1)
	next := 0 // of those before
	for {
		from := in.at
		if known := in.known(texts, next); known >= 0 {
			in.at += len(texts[known])
			items = append(items, before[known])
			next = known + 1
		} else {
			text := in.object()
			if text == "" {
				return nil, nil
			}
			items = append(items, fresh(text, len(items)))
			if next < len(texts) && !in.followedBy(texts[next]) {
				next++ // it stands in the place of the next one before
			}
		}
		itemTexts = append(itemTexts, in.text[from:in.at])
		switch {
		case in.skip(","):
		case in.skip("]"):
			return items, itemTexts
		default:
			return nil, nil
		}
	}
}

// known returns the index of the item before that stands here, of those from next on; negative: none does.
func (in *reloading) known(texts []string, next int) int {
	for i := next; i < min(next+maxSkipped, len(texts)); i++ {
		if strings.HasPrefix(in.text[in.at:], texts[i]) {
			return i
		}
	}
	return -1
}

// followedBy reports whether an item comes next after the separator.
func (in *reloading) followedBy(item string) bool {
	return in.at < len(in.text) && strings.HasPrefix(in.text[in.at+1:], item)
}

// skip takes a text that is expected, and reports whether it is there.
func (in *reloading) skip(expected string) bool {
	if !strings.HasPrefix(in.text[in.at:], expected) {
		return false
	}
	in.at += len(expected)
	return true
}

// digits takes a number without sign, point and exponent.
func (in *reloading) digits() string {
	from := in.at
	for in.at < len(in.text) && in.text[in.at] >= '0' && in.text[in.at] <= '9' {
		in.at++
	}
	if digits := in.text[from:in.at]; json.Valid([]byte(digits)) { // it has no zero in front
		return digits
	}
	return null
}

// object takes the object that comes next, and returns it if it is valid JSON in UTF-8, and empty text else.
func (in *reloading) object() string {
	end := objectEnd(in.text[in.at:])
	if end < 0 {
		return ""
	}
	text := in.text[in.at : in.at+end]
	if !utf8.ValidString(text) || !json.Valid([]byte(text)) {
		return ""
	}
	in.at += end
	return text
}

// objectEnd returns the length of the object that a text begins with; negative: it does not begin with one, or does not end it.
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

// freshRoute reads a route that was not there before. Its strings are copies: it may outlive the document by many others.
func (in *reloading) freshRoute(text string, index int) Route {
	return in.route(&cursor{text: strings.Clone(text)}, path{fieldRoutes, index})
}

// freshService is freshRoute for services.
func (in *reloading) freshService(text string, index int) Service {
	return in.service(&cursor{text: strings.Clone(text)}, path{fieldServices, index})
}
