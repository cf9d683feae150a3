package dispatch

import (
	"slices"
	"strings"
	"time"
)

// Backlog reports the state of one service's messages that are due and not completed. Each is counted once.
type Backlog struct {
	Service string
	Oldest  time.Duration // since the oldest of them became due

	KeyOrder    int // behind another message of their key order
	BackingOff  int // between two attempts
	RateLimited int // waiting for a token of the service's rate limit
	Queued      int // until the decision module has a worker for them
	InFlight    int // an attempt is under way

	Workers    int // that may be sent to
	Unhealthy  int // of these: unresponsive, or failed too often
	AtCapacity int // of these: rejected a message within fullWindow
}

// Backlogs returns, sorted by name, the services of which a message has been due for at least a time.
func (c *Core) Backlogs(now time.Duration, due time.Duration) []Backlog {
	c.now = max(now, c.now)
	found := make(map[*service]*Backlog)
	for _, m := range c.messages.byID {
		if m.phase == phaseReported || m.notBefore > c.now {
			continue
		}
		_, s, _ := c.route(m)
		if s == nil {
			continue
		}
		if found[s] == nil {
			found[s] = &Backlog{Service: s.name}
		}
		found[s].count(m, c.now)
	}
	var overdue []Backlog
	for s, b := range found {
		if b.Oldest >= due {
			s.describe(b, c.now)
			overdue = append(overdue, *b)
		}
	}
	slices.SortFunc(overdue, func(a, b Backlog) int { return strings.Compare(a.Service, b.Service) })
	return overdue
}

func (b *Backlog) count(m *message, now time.Duration) {
	b.Oldest = max(b.Oldest, now-m.notBefore)
	switch {
	case m.phase == phaseKeyOrder:
		b.KeyOrder++
	case m.phase == phaseRateLimited:
		b.RateLimited++
	case m.phase == phaseSubmitted && m.job.isInFlight():
		b.InFlight++
	case m.phase == phaseSubmitted || m.phase == phaseQueued:
		b.Queued++
	default:
		b.BackingOff++
	}
}

// describe adds what the service's module knows of its workers.
func (s *service) describe(b *Backlog, now time.Duration) {
	b.Workers = s.readyWorkers
	for _, w := range s.module.Snapshot().Workers {
		if w.UnhealthyUntil > now {
			b.Unhealthy++
		}
		if w.Rejections > 0 && now-w.RejectedAt < fullWindow {
			b.AtCapacity++
		}
	}
}

// fullWindow is how long a worker counts as at capacity in a Backlog after it rejected a message.
const fullWindow = 10 * time.Second
