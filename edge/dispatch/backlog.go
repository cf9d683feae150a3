package dispatch

import (
	"slices"
	"strings"
	"time"
)

// Backlog tells where the messages of one service stand that are due and have not ended. Each is counted once.
type Backlog struct {
	Service string
	Oldest  time.Duration // how long ago the oldest of them came due

	KeyOrder    int // they wait for the message before them in their order
	BackingOff  int // between two tries
	RateLimited int // for a token of the service's ceiling
	Queued      int // until the decision module has a worker for them
	InFlight    int // an attempt is under way

	Workers    int // that may be sent to
	Unhealthy  int // of these: passed over since they showed no life or failed too often
	AtCapacity int // ... that had no room a short while ago
}

// Backlogs tells of the services of which a message has been due for a time, by name.
func (c *Core) Backlogs(now time.Duration, due time.Duration) []Backlog {
	c.now = max(now, c.now)
	found := make(map[*service]*Backlog)
	for _, m := range c.messages {
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

// describe tells what the service's module knows of its workers.
func (s *service) describe(b *Backlog, now time.Duration) {
	b.Workers = s.readyWorkers
	for _, w := range s.module.Memory().Workers {
		if w.SickTill > now {
			b.Unhealthy++
		}
		if w.Fulls > 0 && now-w.TurnedAway < fullWindow {
			b.AtCapacity++
		}
	}
}

// fullWindow is how long a worker counts as full in a Backlog after it turned a message away.
const fullWindow = 10 * time.Second
