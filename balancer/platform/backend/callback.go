package backend

import (
	"bytes"
	"encoding/json"

	"ravendale"
)

// Callback takes what a server says of a job, and returns false for what can't be read. Words on attempts that
// are not out, late or repeated ones say, change nothing here: while two processes are one scheduler, they may be meant
// for the other. A server calls whoever accepts, or on the connection that it has.
func (b *Backend) Callback(body []byte) bool {
	s := Read(body)
	if s != nil && !b.Hear(s) {
		b.o.Stray(body)
	}
	return s != nil
}

// Hear takes what a server says, and returns false where that attempt is not out here.
func (b *Backend) Hear(s *Report) bool {
	a := b.live[attemptKey{s.ID, s.From}]
	if a != nil {
		b.receive(a, s)
	}
	return a != nil
}

func (b *Backend) receive(a *attempt, s *Report) {
	if a.stage < written {
		return // it has not run here: an unknown attempt's report, or another's
	}
	a.heard = true
	switch s.State {
	case "started":
		a.d.Started()
	case "running":
		a.d.Progressed(s.Share)
	case "done":
		b.resolve(a, ravendale.OK, result(s.Result))
	case "failed":
		b.resolve(a, ravendale.Error, nil)
	case "returned":
		b.resolve(a, ravendale.Overloaded, nil)
	case "lost":
		b.resolve(a, ravendale.Reset, nil)
	}
}

// result is the text of a JSON string, or the JSON itself where it is none.
func result(raw json.RawMessage) []byte {
	if n := len(raw); n >= 2 && raw[0] == '"' && bytes.IndexByte(raw, '\\') < 0 {
		return raw[1 : n-1] // no escapes: the usual case, in which the JSON is read only once
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

// resolve ends an attempt by the server's report. Its connection may still wait for the 202.
func (b *Backend) resolve(a *attempt, outcome ravendale.Outcome, result []byte) {
	if a.link != nil {
		a.link.expect(responseWithin)
	}
	b.end(a, outcome, result)
}
