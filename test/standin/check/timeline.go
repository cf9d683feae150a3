package check

import (
	"fmt"
	"sort"
	"time"

	"ravendale/test/standin/history"
)

// Timeline lists all events of a message, and the faults and orders during that time, in order of time.
func Timeline(h *history.History, requestID string) []string {
	v := newView(h)
	var line timeline
	send, sent := v.sends[requestID]
	if sent {
		line.add(send.Sent, "sent to %s, route %s key %q delay %v body %016x", send.Edge, send.Route, send.Key, send.Delay, send.Body)
		line.add(send.Answered, "answered %d as %s %s", send.Status, send.MessageID, send.Problem)
	}
	for _, arrival := range v.arrivals[requestID] {
		line.add(arrival.Arrived, "arrived at %s of %s", arrival.Worker, arrival.Service)
		if arrival.Started() {
			line.add(arrival.Start, "started at %s", arrival.Worker)
		}
		if arrival.Started() && arrival.Outcome != history.OutcomeRunning {
			line.add(arrival.End, "ended at %s with %d, answer written: %v", arrival.Worker, arrival.Status, arrival.Answered)
		}
	}
	for _, reading := range h.Readings {
		if reading.RequestID == requestID {
			line.add(reading.At, "read as %d %q, body %d %016x", reading.StateStatus, reading.State, reading.BodyStatus, reading.Body)
		}
	}
	from, until := line.span()
	for _, fault := range h.Faults {
		if fault.At <= until && fault.Until >= from {
			line.add(fault.At, "fault %s of %s, until %v", fault.What, fault.Machine, fault.Until)
		}
	}
	for _, order := range h.Orders {
		if order.Sent <= until && order.Answered >= from {
			line.add(order.Answered, "order of version %d on base %d answered %d, sent at %v", order.Config.Version, order.Base, order.Status, order.Sent)
		}
	}
	return line.lines()
}

// timeline is a list of events.
type timeline []event

type event struct {
	at   time.Duration
	text string
}

func (t *timeline) add(at time.Duration, format string, arguments ...any) {
	*t = append(*t, event{at: at, text: fmt.Sprintf(format, arguments...)})
}

// span returns the times of the first and the last event.
func (t timeline) span() (from, until time.Duration) {
	from = never
	for _, e := range t {
		from, until = min(from, e.at), max(until, e.at)
	}
	return from, until
}

func (t timeline) lines() []string {
	sort.SliceStable(t, func(i, j int) bool { return t[i].at < t[j].at })
	lines := make([]string, 0, len(t))
	for _, e := range t {
		lines = append(lines, fmt.Sprintf("%v %s", e.at, e.text))
	}
	return lines
}
