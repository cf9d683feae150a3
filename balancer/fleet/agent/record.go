package agent

import (
	"maps"

	"ravendale/balancer/audit"
)

// witnessHeartbeats is how often the record says how far the peers' were.
const witnessHeartbeats = 10

// add writes an entry of the record.
func (a *Agent) add(e audit.Entry) {
	e.At = a.clock.Now(a.o.Wall())
	a.log.Add(e)
}

// span closes the span of what was done under the present epoch and standing.
func (a *Agent) span() {
	now := a.o.Loop.Now()
	since := (a.spanAt - a.startedAt).Milliseconds()
	a.spanAt = now
	sent, classes := a.o.Done()
	done := make(map[string]audit.Count)
	for name, c := range classes {
		was := a.classes[name]
		if d := (audit.Count{Taken: c.Taken - was.Taken, Served: c.Served - was.Served, Refused: c.Refused - was.Refused, Failed: c.Failed - was.Failed}); d != (audit.Count{}) {
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

// witness says how far the peers' records were, and how far their clocks were off.
func (a *Agent) witness() {
	a.witnessAt = a.o.Loop.Now()
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

// Command has an operator's call in the record, List the list that is acted on, Settings those of the platform.
func (a *Agent) Command(command string) { a.add(audit.Entry{Kind: audit.Command, Command: command}) }

// List notes the list of servers that is acted on; it goes into each span.
func (a *Agent) List(seq int64) { a.listSeq = seq }

// Settings notes that the platform's settings were read again.
func (a *Agent) Settings(digest string) {
	a.add(audit.Entry{Kind: audit.Command, Command: "settings", Settings: digest})
}
