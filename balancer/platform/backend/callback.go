package backend

import (
	"bytes"
	"encoding/json"

	"ravendale"
)

// Callback handles a server's call-back about a job, and returns false if it can't be parsed. Reports on attempts that this
// backend does not have, such as late or repeated ones, change nothing here and go to Options.Stray: while two processes act as
// one scheduler they may be meant for the other, since a server calls the process that accepts connections, or uses a
// connection that it already has.
func (b *Backend) Callback(body []byte) bool {
	s := ParseReport(body)
	if s != nil && !b.HandleReport(s) {
		b.o.Stray(body)
	}
	return s != nil
}

// HandleReport handles a server's report, and returns false if this backend does not have that attempt.
func (b *Backend) HandleReport(s *Report) bool {
	a := b.live[attemptKey{s.ID, s.From}]
	if a != nil {
		b.receive(a, s)
	}
	return a != nil
}

func (b *Backend) receive(a *attempt, s *Report) {
	if a.stage < written {
		return // the request can't have run yet: the report is on another attempt
	}
	a.hasReport = true
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

// result returns the text of a JSON string, or the raw JSON of any other value.
func result(raw json.RawMessage) []byte {
	if n := len(raw); n >= 2 && raw[0] == '"' && bytes.IndexByte(raw, '\\') < 0 {
		return raw[1 : n-1] // fast path for the usual string without escapes
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

// resolve ends an attempt with the outcome in the server's report. Its connection may still wait for the 202.
func (b *Backend) resolve(a *attempt, outcome ravendale.Outcome, result []byte) {
	if a.link != nil {
		a.link.expect(responseWithin)
	}
	b.end(a, outcome, result)
}
