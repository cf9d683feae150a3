package nbionet

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"ravendale/balancer/transport"
)

// Serve accepts from a listener, which it owns from now on, up to room connections at once; more wait in the system's
// queue. The listener may be shared with other processes: it is closed, but never shut down.
func (e *Engine) Serve(ln net.Listener, limit int, accept func(transport.Conn) transport.Handler) *Gate {
	return e.Deal(ln, limit, []Target{{e, accept}}, func() int { return 0 })
}

// Target is where a connection may go that was accepted.
type Target struct {
	Engine *Engine
	Accept func(transport.Conn) transport.Handler
}

// Deal is Serve for connections that go to several engines: choose says to which, in a goroutine of its own.
func (e *Engine) Deal(ln net.Listener, limit int, targets []Target, choose func() int) *Gate {
	g := &Gate{ln: ln, targets: targets, choose: choose, limit: max(limit, 1)}
	g.cond.L = &g.mu
	e.gates = append(e.gates, g)
	go g.run()
	return g
}

// Gate is a listener and the connections that came by it. It guards against running out of descriptors.
type Gate struct {
	ln      net.Listener
	targets []Target
	choose  func() int

	mu             sync.Mutex
	cond           sync.Cond
	open, limit    int
	paused, closed bool
}

// Addr is where it listens.
func (g *Gate) Addr() net.Addr { return g.ln.Addr() }

// Close ends the listener; connections that came by it stay.
func (g *Gate) Close() { g.close() }

// Pause has nothing more accepted until Resume. What waits in the system's queue is left to others who listen on the
// same socket.
func (g *Gate) Pause() { g.set(func() { g.paused = true }, time.Unix(1, 0)) }

// Resume undoes Pause.
func (g *Gate) Resume() { g.set(func() { g.paused = false }, time.Time{}) }

// SetLimit sets how many connections there may be.
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
		_ = ln.SetDeadline(until) // wakes an Accept that waits
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
	for g.enter() {
		c, err := g.ln.Accept()
		if err == nil {
			t := g.targets[g.choose()]
			t.Engine.accepted(c, g, t.Accept)
			continue
		}
		g.left()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(time.Millisecond) // a moment's want of descriptors must not become a busy loop
	}
}

// enter waits for room, and returns false once the gate is closed.
func (g *Gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.closed && (g.paused || g.open >= g.limit) {
		g.cond.Wait()
	}
	g.open++
	return !g.closed
}

// admit counts a connection that came by another way, whatever room there is.
func (g *Gate) admit() {
	g.mu.Lock()
	g.open++
	g.mu.Unlock()
}

func (g *Gate) left() {
	g.mu.Lock()
	g.open--
	g.mu.Unlock()
	g.cond.Signal()
}

func (e *Engine) accepted(std net.Conn, g *Gate, accept func(transport.Conn) transport.Handler) {
	if _, unix := std.(*net.UnixConn); unix {
		l := newLocal(e.loop, g)
		e.serveLocal(l, std, func() transport.Handler { return accept(l) })
		return
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close()
		g.left()
		return
	}
	n := &conn{e: e, nb: c, gate: g}
	hold(c, n)
	// In one turn: nbio fails upon a write to a connection that it was not given yet, and what is read waits for the turn.
	e.loop.Post(func() {
		n.open = true
		if err := e.add(c); err != nil {
			n.closed = true // it is closed
			n.release()
			return
		}
		if n.handler = accept(n); n.closed {
			n.handler.Closed(net.ErrClosed)
		}
	})
}
