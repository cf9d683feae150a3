package dispatch

import (
	"slices"
	"strings"
	"time"
)

// Backlog counts one service's messages that are due and not completed, by what they wait for. Each is counted once.
type Backlog struct {
	Service string
	Oldest  time.Duration // time since the oldest of them became due

	KeyOrder    int // waiting for the preceding messages of their key order
	BackingOff  int // waiting for the end of a pause: between attempts, or before a release
	RateLimited int // waiting for a token of the service's rate limit
	Queued      int // waiting until the decision module has a worker for them
	InFlight    int // an attempt is in flight

	Workers    int // workers that may be sent to
	Unhealthy  int // of the workers: unresponsive, or failed too often
	AtCapacity int // of the workers: rejected a message within atCapacityWindow
}

// Backlogs returns the services with a message that has been due for at least minAge, sorted by name.
func (c *Core) Backlogs(now time.Duration, minAge time.Duration) []Backlog {
	c.now = max(now, c.now)
	byService := make(map[*service]*Backlog)
	for _, m := range c.messages.byID {
		if m.phase == phaseReported || m.notBefore > c.now {
			continue
		}
		s := c.route(m).service
		if s == nil {
			continue
		}
		if byService[s] == nil {
			byService[s] = &Backlog{Service: s.name}
		}
		byService[s].addMessage(m, c.now)
	}
	var overdue []Backlog
	for s, b := range byService {
		if b.Oldest >= minAge {
			s.countWorkers(b, c.now)
			overdue = append(overdue, *b)
		}
	}
	slices.SortFunc(overdue, func(a, b Backlog) int { return strings.Compare(a.Service, b.Service) })
	return overdue
}

func (b *Backlog) addMessage(m *message, now time.Duration) {
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

// countWorkers fills in the counts of workers, from the state of the service's module.
func (s *service) countWorkers(b *Backlog, now time.Duration) {
	b.Workers = s.readyWorkers
	for _, w := range s.module.Snapshot().Workers {
		if w.UnhealthyUntil > now {
			b.Unhealthy++
		}
		if w.Rejections > 0 && now-w.RejectedAt < atCapacityWindow {
			b.AtCapacity++
		}
	}
}

// atCapacityWindow is how long a worker counts as at capacity in a Backlog after it rejected a message.
const atCapacityWindow = 10 * time.Second
