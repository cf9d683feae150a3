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

	Turn    int // they wait for the message before them in their order
	Paused  int // between two tries
	Token   int // for a token of the service's ceiling
	Held    int // until the decision module has a worker for them
	Running int // an attempt is under way

	Workers int // that may be sent to
	Sick    int // of these: passed over since they showed no life or failed too often
	Full    int // ... that had no room a short while ago
}

// Backlogs tells of the services of which a message has been due for a time, by name.
func (c *Core) Backlogs(now time.Duration, due time.Duration) []Backlog {
	c.now = max(now, c.now)
	found := make(map[*service]*Backlog)
	for _, m := range c.messages {
		if m.phase == reported || m.start > c.now {
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
	var late []Backlog
	for s, b := range found {
		if b.Oldest >= due {
			s.describe(b, c.now)
			late = append(late, *b)
		}
	}
	slices.SortFunc(late, func(a, b Backlog) int { return strings.Compare(a.Service, b.Service) })
	return late
}

func (b *Backlog) count(m *message, now time.Duration) {
	b.Oldest = max(b.Oldest, now-m.start)
	switch {
	case m.phase == ungranted:
		b.Turn++
	case m.phase == throttled:
		b.Token++
	case m.phase == handed && m.job.live():
		b.Running++
	case m.phase == handed || m.phase == queued:
		b.Held++
	default:
		b.Paused++
	}
}

// describe tells what the service's module knows of its workers.
func (s *service) describe(b *Backlog, now time.Duration) {
	b.Workers = s.ready
	for _, w := range s.module.Memory().Workers {
		if w.SickTill > now {
			b.Sick++
		}
		if w.Fulls > 0 && now-w.TurnedAway < fullFor {
			b.Full++
		}
	}
}

// fullFor is how long a worker counts as full in a Backlog after it turned a message away.
const fullFor = 10 * time.Second
