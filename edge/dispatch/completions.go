package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// Completions are remembered up to a number, and for a time: long past that in which a store may grant again what was completed here.
const (
	maxCompletions = 4096
	completionTTL  = time.Minute
)

// completions remembers the terminal reports of messages, so that none is run again if a store grants it again before it knows.
type completions struct {
	reports map[string]wire.Report
	order   []completion // oldest first
}

type completion struct {
	id        string
	expiresAt time.Duration
}

// add remembers a message's terminal report; of several the first counts.
func (e *completions) add(now time.Duration, report wire.Report) {
	if _, known := e.reports[report.ID]; known {
		return
	}
	if e.reports == nil {
		e.reports = make(map[string]wire.Report)
	}
	e.reports[report.ID] = report
	e.order = append(e.order, completion{report.ID, now + completionTTL})
	e.expire(now)
}

func (e *completions) expire(now time.Duration) {
	for len(e.order) > maxCompletions || len(e.order) > 0 && e.order[0].expiresAt <= now {
		delete(e.reports, e.order[0].id)
		e.order[0] = completion{}
		e.order = e.order[1:]
	}
}

// find returns a message's terminal report, if it is remembered.
func (e *completions) find(now time.Duration, id string) (wire.Report, bool) {
	e.expire(now)
	report, known := e.reports[id]
	return report, known
}
