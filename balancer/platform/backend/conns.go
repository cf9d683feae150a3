package backend

import (
	"sync/atomic"
	"time"
)

// Conns bounds the connections to all servers together, whichever loops they are on.
type Conns struct{ open, most atomic.Int64 }

// Limit sets how many there may be from now on.
func (c *Conns) Limit(most int) { c.most.Store(int64(most)) }

// Open is how many there are.
func (c *Conns) Open() int { return int(c.open.Load()) }

// Trim closes idle connections while there are more than there may be.
func (b *Backend) Trim() {
	for b.o.Conns.open.Load() > b.o.Conns.most.Load() && b.closeIdle() {
	}
}

// take returns the newest idle connection to an address, or nil.
func (b *Backend) take(addr string) *link {
	stack := b.idle[addr]
	if len(stack) == 0 {
		return nil
	}
	l := stack[len(stack)-1]
	l.unidle()
	return l
}

// dial begins a connection, or returns nil where there is no descriptor left for it.
func (b *Backend) dial(addr string) *link {
	if c := b.o.Conns; c.open.Add(1) > c.most.Load() && !b.closeIdle() {
		c.open.Add(-1)
		b.o.Log.Warn("no connection left for a backend server", "open", c.Open())
		if b.o.Full != nil {
			b.o.Full()
		}
		return nil
	}
	b.o.Log.Debug("dial", "addr", addr)
	l := &link{b: b, addr: addr}
	l.timer = b.o.Loop.After(b.o.ConnectTimeout, func() { l.onClosed() })
	l.net = b.o.Network.Dial(addr, l)
	return l
}

// CloseIdle closes one idle connection, if there is any: another loop wants one.
func (b *Backend) CloseIdle() { b.closeIdle() }

// closeIdle makes room for one connection.
func (b *Backend) closeIdle() bool {
	for _, stack := range b.idle {
		if len(stack) > 0 {
			stack[0].close()
			return true
		}
	}
	return false
}

// habit is what was seen of a server's connections.
type habit struct {
	latency time.Duration // the shortest time in which it has answered on a kept one, 0 until seen
	brokeAt time.Duration // when a kept one last broke under a request, 0 for never
}

// habit returns what is known of an address. Servers come and go: past a bound all is learnt anew.
func (b *Backend) habit(addr string) *habit {
	h := b.habits[addr]
	if h == nil {
		if len(b.habits) >= mostHabits {
			clear(b.habits)
		}
		h = &habit{}
		b.habits[addr] = h
	}
	return h
}
