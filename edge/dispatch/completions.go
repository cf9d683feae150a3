package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// Limits of the completions that are kept. completionTTL is far longer than the time in which a store may still grant a
// message that was completed here.
const (
	maxCompletions = 4096
	completionTTL  = time.Minute
)

// completions holds the terminal reports of messages that were completed here, so that a message is not run again if
// its store grants it again before it has received the report.
type completions struct {
	reports map[string]wire.Report
	order   []completion // oldest first
}

type completion struct {
	id        string
	expiresAt time.Duration
}

// add adds a message's terminal report. If there already is one, it is kept instead.
func (c *completions) add(now time.Duration, report wire.Report) {
	if _, known := c.reports[report.ID]; known {
		return
	}
	if c.reports == nil {
		c.reports = make(map[string]wire.Report)
	}
	c.reports[report.ID] = report
	c.order = append(c.order, completion{report.ID, now + completionTTL})
	c.expire(now)
}

func (c *completions) expire(now time.Duration) {
	for len(c.order) > maxCompletions || len(c.order) > 0 && c.order[0].expiresAt <= now {
		delete(c.reports, c.order[0].id)
		c.order[0] = completion{}
		c.order = c.order[1:]
	}
}

// find returns a message's terminal report, and whether there is one.
func (c *completions) find(now time.Duration, id string) (wire.Report, bool) {
	c.expire(now)
	report, known := c.reports[id]
	return report, known
}
