package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// Endings are remembered up to a number, and for a time: long past that in which a store may hand out anew what ended here.
const (
	endingsKept = 4096
	endingsFor  = time.Minute
)

// endings remembers how messages ended here, so that none is run again if a store hands it out anew before it knows.
type endings struct {
	reports map[string]wire.Report
	order   []ending // oldest first
}

type ending struct {
	id    string
	until time.Duration
}

// add remembers the report of a message's end; of several the first counts.
func (e *endings) add(now time.Duration, report wire.Report) {
	if _, known := e.reports[report.ID]; known {
		return
	}
	if e.reports == nil {
		e.reports = make(map[string]wire.Report)
	}
	e.reports[report.ID] = report
	e.order = append(e.order, ending{report.ID, now + endingsFor})
	e.forget(now)
}

func (e *endings) forget(now time.Duration) {
	for len(e.order) > endingsKept || len(e.order) > 0 && e.order[0].until <= now {
		delete(e.reports, e.order[0].id)
		e.order[0] = ending{}
		e.order = e.order[1:]
	}
}

// find returns the report of a message's end.
func (e *endings) find(now time.Duration, id string) (wire.Report, bool) {
	e.forget(now)
	report, known := e.reports[id]
	return report, known
}
