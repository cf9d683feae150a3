package backend

import (
	"sync/atomic"
	"time"
)

// Conns counts and bounds the connections to all servers, on all loops together.
type Conns struct{ open, limit atomic.Int64 }

// Limit sets the maximum number of connections from now on.
func (c *Conns) Limit(most int) { c.limit.Store(int64(most)) }

// Open returns the number of connections.
func (c *Conns) Open() int { return int(c.open.Load()) }

// Trim closes idle connections while their number is above the limit.
func (b *Backend) Trim() {
	for b.o.Conns.open.Load() > b.o.Conns.limit.Load() && b.closeIdle() {
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

// dial starts a connection, or returns nil if the limit is reached and no idle connection can be closed.
func (b *Backend) dial(addr string) *link {
	if c := b.o.Conns; c.open.Add(1) > c.limit.Load() && !b.closeIdle() {
		c.open.Add(-1)
		b.o.Log.Warn("connection limit to backend servers reached, and none is idle; dispatch not sent", "open", c.Open())
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

// CloseIdle closes one idle connection, if there is one, so that another loop can open one.
func (b *Backend) CloseIdle() { b.closeIdle() }

// closeIdle closes one idle connection, and returns false if there is none.
func (b *Backend) closeIdle() bool {
	for _, stack := range b.idle {
		if len(stack) > 0 {
			stack[0].close()
			return true
		}
	}
	return false
}

// connStats holds observations on the connections to one server.
type connStats struct {
	latency time.Duration // shortest time to a 202 on a reused connection, 0 if unknown
	brokeAt time.Duration // when a reused connection last broke during a request, 0 if never
}

// statsFor returns the observations on an address, which it creates if needed. As servers come and go, all observations are
// discarded when maxStats is reached.
func (b *Backend) statsFor(addr string) *connStats {
	h := b.stats[addr]
	if h == nil {
		if len(b.stats) >= maxStats {
			clear(b.stats)
		}
		h = &connStats{}
		b.stats[addr] = h
	}
	return h
}
