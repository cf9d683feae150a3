package wire

import (
	"fmt"

	"ravendale"
)

var eventKinds = map[string]ravendale.EventKind{
	"accept":      ravendale.JobArrived,
	"started":     ravendale.StreamBegan,
	"progress":    ravendale.JobProgressed,
	"resolved":    ravendale.AttemptEnded,
	"client_left": ravendale.ClientLeft,
	"reminder":    ravendale.TimerFired,
	"health":      ravendale.ProbeAnswered,
	"whisper":     ravendale.PeerMessage,
}

func (r *Reader) parseEvent(word string, f *fields, e *ravendale.Event) error {
	kind, known := eventKinds[word]
	if !known {
		return fmt.Errorf("message %q is unknown", word)
	}
	*e = ravendale.Event{Kind: kind, Class: -1, Tenant: -1}
	named := false
	for f.next() {
		switch string(f.key) {
		case "ticket":
			e.Job = ravendale.JobID(f.uint(32))
			named = true
		case "class":
			e.Class = index(r.current.classes, f.val)
		case "project":
			e.Tenant = index(r.current.tenants, f.val)
		case "subject":
			e.Key = f.hex()
		case "remaining-us":
			e.Left = f.micros()
		case "weight-hint-us":
			e.Work = f.micros()
		case "cores-needed":
			e.Slots = f.float()
		case "mem":
			e.Memory = f.float()
		case "repeat":
			e.Retry = string(f.val) == "1"
		case "trial":
			e.Attempt = f.int()
		case "worker":
			e.Worker = r.word(f.val)
		case "rc":
			e.Outcome = f.outcome()
		case "duration-us":
			e.Took = f.micros()
		case "settled":
			e.Closed = string(f.val) == "1"
		case "what":
			if f.int() == 1 {
				e.Kind = ravendale.JobStarted
			}
		case "level":
			e.Done = f.float()
		case "server-stats":
			e.Load = r.current.load(f)
		case "origin-peer":
			e.From = f.int()
		case "blob":
			e.Data = f.base64()
		}
	}
	if f.err == nil && !named && needsJob(kind) {
		return fmt.Errorf("%s names no ticket", word)
	}
	if f.err == nil && kind == ravendale.ProbeAnswered && e.Worker == "" {
		return fmt.Errorf("%s names no worker", word)
	}
	return f.err
}

func needsJob(kind ravendale.EventKind) bool {
	switch kind {
	case ravendale.TimerFired, ravendale.ProbeAnswered, ravendale.PeerMessage:
		return false
	}
	return true
}

// load reads a report; the values of x0 and x1 mean what the settings say.
func (t *tables) load(f *fields) ravendale.Load {
	load := ravendale.Load{Given: true, InFlight: -1, FreeSlots: -1, Busy: -1}
	rest := f.val
	for len(rest) > 0 {
		var pair []byte
		pair, rest = cut(rest, ',')
		name, value := cut(pair, ':')
		if string(value) == "" {
			continue
		}
		what := string(name)
		switch what {
		case "x0":
			what = t.x0
		case "x1":
			what = t.x1
		}
		switch what {
		case "inflight":
			load.InFlight = f.number(value)
		case "free_slots":
			load.FreeSlots = f.number(value)
		case "util":
			load.Busy = f.number(value)
		}
	}
	return load
}
