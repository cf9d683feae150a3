package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// replacedFor is how long a worker whose address another has is excluded, though it is listed. It is longer than the list lags behind.
const replacedFor = 5 * time.Second

// replacedWorkers are listed workers whose address another has by now.
type replacedWorkers struct {
	until map[string]time.Duration // by name
	next  time.Duration            // when the first of them may be tried again; 0: there is none
}

func (g *replacedWorkers) has(name string) bool {
	_, is := g.until[name]
	return is
}

func (g *replacedWorkers) add(now time.Duration, name string) {
	g.until[name] = now + replacedFor
	g.updateNext()
}

// retain forgets all that are not listed any more.
func (g *replacedWorkers) retain(workers *wire.Workers) {
	if len(g.until) == 0 {
		return
	}
	listed := make(map[string]bool)
	for i := range workers.Entries {
		listed[workers.Entries[i].ID] = true
	}
	for name := range g.until {
		if !listed[name] {
			delete(g.until, name)
		}
	}
	g.updateNext()
}

// expire forgets those whose time is over, and reports whether there were any.
func (g *replacedWorkers) expire(now time.Duration) bool {
	if g.next == 0 || g.next > now {
		return false
	}
	for name, until := range g.until {
		if until <= now {
			delete(g.until, name)
		}
	}
	g.updateNext()
	return true
}

func (g *replacedWorkers) updateNext() {
	g.next = 0
	for _, until := range g.until {
		if g.next == 0 || until < g.next {
			g.next = until
		}
	}
}
