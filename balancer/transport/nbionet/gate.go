package nbionet

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"ravendale/balancer/transport"
)

// Serve accepts connections from a listener, up to limit at once; further ones wait in the system's accept queue. It takes
// ownership of the listener. The listening socket may be shared with other processes: it is closed, but never shut down.
func (e *Engine) Serve(ln net.Listener, limit int, accept func(transport.Conn) transport.Handler) *Gate {
	return e.ServeTargets(ln, limit, []Target{{e, accept}}, func() int { return 0 })
}

// Target is an engine that accepted connections may be passed to.
type Target struct {
	Engine *Engine
	Accept func(transport.Conn) transport.Handler
}

// ServeTargets is like Serve, but distributes the connections over several engines: choose returns the index of the
// target. It is called on a goroutine of its own.
func (e *Engine) ServeTargets(ln net.Listener, limit int, targets []Target, choose func() int) *Gate {
	g := &Gate{ln: ln, targets: targets, choose: choose, limit: max(limit, 1)}
	g.cond.L = &g.mu
	e.gates = append(e.gates, g)
	go g.run()
	return g
}

// Gate is a listener with a limit on its open connections, so that the process does not run out of descriptors.
type Gate struct {
	ln      net.Listener
	targets []Target
	choose  func() int

	mu             sync.Mutex
	cond           sync.Cond
	open, limit    int
	paused, closed bool
}

// Addr returns the listener's address.
func (g *Gate) Addr() net.Addr { return g.ln.Addr() }

// Close closes the listener; its accepted connections stay open.
func (g *Gate) Close() { g.close() }

// Pause stops accepting until Resume. Connections in the system's accept queue are left to other processes that listen
// on the same socket.
func (g *Gate) Pause() { g.set(func() { g.paused = true }, time.Unix(1, 0)) }

// Resume undoes Pause.
func (g *Gate) Resume() { g.set(func() { g.paused = false }, time.Time{}) }

// SetLimit sets the maximum number of open connections.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	g.limit = max(limit, 1)
	g.mu.Unlock()
	g.cond.Signal()
}

func (g *Gate) set(change func(), until time.Time) {
	g.mu.Lock()
	change()
	if ln, ok := g.ln.(interface{ SetDeadline(time.Time) error }); ok {
		_ = ln.SetDeadline(until) // a deadline in the past interrupts a blocked Accept
	}
	g.mu.Unlock()
	g.cond.Signal()
}

func (g *Gate) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	_ = g.ln.Close()
	g.cond.Signal()
}

func (g *Gate) run() {
	for g.acquire() {
		c, err := g.ln.Accept()
		if err == nil {
			t := g.targets[g.choose()]
			t.Engine.accepted(c, g, t.Accept)
			continue
		}
		g.release()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(time.Millisecond) // a temporary error, such as no free descriptors, must not become a busy loop
	}
}

// acquire waits until another connection may be accepted and counts it. It returns false once the gate is closed.
func (g *Gate) acquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.closed && (g.paused || g.open >= g.limit) {
		g.cond.Wait()
	}
	g.open++
	return !g.closed
}

// add counts a connection that was not accepted here, regardless of the limit.
func (g *Gate) add() {
	g.mu.Lock()
	g.open++
	g.mu.Unlock()
}

func (g *Gate) release() {
	g.mu.Lock()
	g.open--
	g.mu.Unlock()
	g.cond.Signal()
}

func (e *Engine) accepted(std net.Conn, g *Gate, accept func(transport.Conn) transport.Handler) {
	if _, unix := std.(*net.UnixConn); unix {
		l := newUnixConn(e.loop, g)
		e.serveUnix(l, std, func() transport.Handler { return accept(l) })
		return
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close()
		g.release()
		return
	}
	n := &conn{engine: e, nb: c, gate: g}
	attachSession(c, n)
	// Both in one turn: nbio fails on a write to a connection that was not added yet, and data that it reads waits for
	// the turn.
	e.loop.Post(func() {
		n.open = true
		if err := e.add(c); err != nil {
			n.closed = true // add has closed it
			n.release()
			return
		}
		if n.handler = accept(n); n.closed {
			n.handler.Closed(net.ErrClosed)
		}
	})
}
