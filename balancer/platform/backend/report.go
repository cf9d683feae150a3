package backend

import (
	"encoding/json"
	"strconv"
)

// Report is what a server says of a job.
type Report struct {
	ID     string          `json:"id"`
	From   string          `json:"from"` // the server
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
}

// Read reads a call, and returns nil for what can't be read.
func Read(body []byte) *Report {
	s := &Report{}
	if !s.plain(body) {
		if *s = (Report{}); json.Unmarshal(body, s) != nil {
			return nil
		}
	}
	if s.ID == "" || s.From == "" {
		return nil
	}
	return s
}

// plain reads a call in the form that servers write: one flat object with the names above, plain strings and a simple
// number. It returns false for everything else, good or bad, which encoding/json then reads: that took a seventh of all
// instructions of a job, which is called back twice or more.
func (s *Report) plain(b []byte) bool {
	p := plainText{b}
	if !p.skip('{') {
		return false
	}
	for first := true; ; first = false {
		if p.skip('}') {
			return !first && len(p.b) == 0
		}
		if !first && !p.skip(',') {
			return false
		}
		name, ok := p.text(true)
		if !ok || !p.skip(':') {
			return false
		}
		switch string(name) {
		case "id":
			ok = p.into(&s.ID)
		case "from":
			ok = p.into(&s.From)
		case "state":
			ok = p.into(&s.State)
		case "share":
			s.Share, ok = p.number()
		case "result":
			p.space()
			whole := p.b
			var text []byte
			text, ok = p.text(false)
			s.Result = whole[:min(len(text)+2, len(whole))]
		default:
			ok = false // encoding/json takes names of any case, and passes over others
		}
		if !ok {
			return false
		}
	}
}

// plainText is what is left of a text.
type plainText struct{ b []byte }

func (p *plainText) space() {
	for len(p.b) > 0 && (p.b[0] == ' ' || p.b[0] == '\n' || p.b[0] == '\r' || p.b[0] == '\t') {
		p.b = p.b[1:]
	}
}

// skip takes one byte, with the space around it, if it comes next.
func (p *plainText) skip(c byte) bool {
	p.space()
	if len(p.b) == 0 || p.b[0] != c {
		return false
	}
	p.b = p.b[1:]
	p.space()
	return true
}

// text takes a string without escapes, of ASCII alone if that is asked for: encoding/json replaces what is no UTF-8, but
// not in a result, which is kept as it came.
func (p *plainText) text(ascii bool) ([]byte, bool) {
	p.space()
	if len(p.b) == 0 || p.b[0] != '"' {
		return nil, false
	}
	p.b = p.b[1:]
	for i, c := range p.b {
		switch {
		case c == '"':
			text := p.b[:i]
			p.b = p.b[i+1:]
			return text, true
		case c < ' ' || c == '\\' || ascii && c >= 0x7f:
			return nil, false
		}
	}
	return nil, false
}

func (p *plainText) into(to *string) bool {
	text, ok := p.text(true)
	*to = string(text)
	return ok
}

// number takes digits, with a point and digits behind it or without.
func (p *plainText) number() (float64, bool) {
	p.space()
	i, points := 0, 0
	for i < len(p.b) && (p.b[i] >= '0' && p.b[i] <= '9' || p.b[i] == '.') {
		if p.b[i] == '.' {
			points++
		}
		i++
	}
	text := p.b[:i]
	if i == 0 || i > 20 || points > 1 || text[0] == '.' || text[i-1] == '.' || i > 1 && text[0] == '0' && text[1] != '.' {
		return 0, false
	}
	p.b = p.b[i:]
	f, err := strconv.ParseFloat(string(text), 64)
	return f, err == nil
}
