package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// goneFor is how long a worker that another has replaced gets nothing, though it is listed. It is longer than the list lags behind.
const goneFor = 5 * time.Second

// gone are listed workers whose address another has by now.
type gone struct {
	until map[string]time.Duration // by name
	next  time.Duration            // when the first of them may be tried again; 0: there is none
}

func (g *gone) has(name string) bool {
	_, is := g.until[name]
	return is
}

func (g *gone) add(now time.Duration, name string) {
	g.until[name] = now + goneFor
	g.plan()
}

// keep forgets all that are not listed any more.
func (g *gone) keep(workers *wire.Workers) {
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
	g.plan()
}

// forget forgets those whose time is over, and says whether there were some.
func (g *gone) forget(now time.Duration) bool {
	if g.next == 0 || g.next > now {
		return false
	}
	for name, until := range g.until {
		if until <= now {
			delete(g.until, name)
		}
	}
	g.plan()
	return true
}

func (g *gone) plan() {
	g.next = 0
	for _, until := range g.until {
		if g.next == 0 || until < g.next {
			g.next = until
		}
	}
}
