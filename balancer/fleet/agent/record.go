package agent

import (
	"maps"

	"ravendale/balancer/audit"
)

// witnessHeartbeats is the interval, in heartbeats, between two witness entries, which note the heads of the peers'
// records.
const witnessHeartbeats = 10

// add appends an entry to the audit record.
func (a *Agent) add(e audit.Entry) {
	e.At = a.clock.Now(a.options.Wall())
	a.log.Add(e)
}

// span adds an entry with what was done under the current epoch and standing since the previous span.
func (a *Agent) span() {
	now := a.options.Loop.Now()
	since := (a.spanAt - a.startedAt).Milliseconds()
	a.spanAt = now
	sent, classes := a.options.Done()
	done := make(map[string]audit.Count)
	for name, c := range classes {
		previous := a.classes[name]
		if d := (audit.Count{Taken: c.Taken - previous.Taken, Served: c.Served - previous.Served, Refused: c.Refused - previous.Refused, Failed: c.Failed - previous.Failed}); d != (audit.Count{}) {
			done[name] = d
		}
	}
	n := sent - a.sent
	a.sent, a.classes = sent, maps.Clone(classes)
	if n == 0 && len(done) == 0 {
		return
	}
	e := audit.Entry{Kind: audit.Span, Since: since, Sent: n, Classes: done, Marked: a.core.LastStanding().Marked, List: a.listSeq}
	if id := a.core.Acting(); id.Number > 0 {
		e.Epoch = &id
	}
	a.add(e)
}

// witness adds an entry with the heads of the peers' records and the offsets of their clocks.
func (a *Agent) witness() {
	a.witnessAt = a.options.Loop.Now()
	seen := make(map[string]audit.Seen)
	for _, p := range a.core.Peers() {
		if n := a.links[p.Name]; p.Head.Hash != "" && n.measured {
			seen[p.Name] = audit.Seen{Head: p.Head, OffMs: n.offset, ErrMs: n.offsetError}
		}
	}
	if len(seen) > 0 {
		a.witnessed = true
		a.add(audit.Entry{Kind: audit.Witness, Seen: seen})
	}
}

// Command records an operator's call.
func (a *Agent) Command(command string) { a.add(audit.Entry{Kind: audit.Command, Command: command}) }

// SetListSeq sets the sequence number of the list of servers in use, which each span entry contains.
func (a *Agent) SetListSeq(seq int64) { a.listSeq = seq }

// RecordSettings records that the platform's settings were read again.
func (a *Agent) RecordSettings(digest string) {
	a.add(audit.Entry{Kind: audit.Command, Command: "settings", Settings: digest})
}
