package lab

import (
	"errors"
	"net"
	"time"

	"ravendale/balancer/http1"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// dialWithin is how long the lab's own connections may take.
const dialWithin = 2 * time.Second

// server serves HTTP/1.1 on accepted connections, one request at a time on each.
type server struct {
	loop *scheduler.Loop
	// serve takes a request. first is when its first byte came. It calls reply once, now or later.
	serve func(c *served, req *http1.Request, first time.Duration)
	conns map[*served]struct{}
}

// served is one accepted connection.
type served struct {
	s      *server
	net    transport.Conn
	in     http1.Requests
	first  time.Duration // of the request that comes in
	busy   bool
	closed bool
	buf    []byte
	left   func() // called when the other side goes while a request is in hand
}

func newServer(loop *scheduler.Loop, serve func(*served, *http1.Request, time.Duration)) *server {
	return &server{loop: loop, serve: serve, conns: make(map[*served]struct{})}
}

func (s *server) opened(n transport.Conn) transport.Handler {
	c := &served{s: s, net: n}
	s.conns[c] = struct{}{}
	return c
}

// reset ends all connections, as the death of a process does.
func (s *server) reset() {
	for c := range s.conns {
		c.drop()
	}
}

func (c *served) Connected() {}

func (c *served) Data(b []byte) {
	if !c.in.Partial() {
		c.first = c.s.loop.Now()
	}
	c.in.Feed(b)
	c.pump()
}

func (c *served) pump() {
	for !c.busy && !c.closed {
		req, err := c.in.Next()
		if err != nil {
			c.drop()
			return
		}
		if req == nil {
			return
		}
		c.busy = true
		c.s.serve(c, req, c.first)
	}
}

// reply answers the request in hand.
func (c *served) reply(status int, h http1.Header, content []byte) {
	if c.closed {
		return
	}
	c.buf = http1.AppendResponse(c.buf[:0], status, h, content)
	c.net.Write(c.buf)
	c.busy, c.left = false, nil
	if c.in.Partial() {
		c.pump()
	}
}

func (c *served) drop() {
	if !c.closed {
		c.closed = true
		delete(c.s.conns, c)
		c.net.Close()
	}
}

func (c *served) Closed(error) {
	c.closed = true
	delete(c.s.conns, c)
	if c.left != nil {
		c.left()
	}
}

var errClosed = errors.New("the connection ended")

// pool keeps connections to one address, and has one request on each at a time.
type pool struct {
	loop *scheduler.Loop
	net  transport.Network
	addr string
	idle []*clientConn
	open int
}

// clientConn is one dialled connection.
type clientConn struct {
	p       *pool
	net     transport.Conn
	in      http1.Responses
	uses    int
	request []byte
	done    func(*http1.Response, error)
	began   bool   // an answer has begun
	again   func() // called, in place of done, when a kept connection ended before an answer began
	extra   func() // called when something comes that was not asked for
}

func newPool(loop *scheduler.Loop, n transport.Network, addr string) *pool {
	return &pool{loop: loop, net: n, addr: addr}
}

// ask sends a request on an idle connection or a new one, and hands its answer, or why there is none, to done. It returns
// the connection, which may be closed to leave.
func (p *pool) ask(request []byte, done func(*http1.Response, error)) *clientConn {
	n := len(p.idle)
	if n == 0 {
		return p.askAnew(request, done)
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	c.request, c.done = request, done
	c.send()
	return c
}

// askAnew is ask on a new connection.
func (p *pool) askAnew(request []byte, done func(*http1.Response, error)) *clientConn {
	c := &clientConn{p: p, request: request, done: done}
	p.open++
	c.net = p.net.Dial(p.addr, c)
	return c
}

func (c *clientConn) send() {
	c.uses++
	c.net.Write(c.request)
}

func (c *clientConn) Connected() {
	if c.done != nil {
		c.send()
	}
}

func (c *clientConn) Data(b []byte) {
	if c.done == nil {
		if c.extra != nil {
			c.extra()
		}
		c.end(errClosed)
		return
	}
	c.in.Feed(b)
	c.began = true
	resp, err := c.in.Next()
	if err != nil {
		c.end(err)
		return
	}
	if resp == nil {
		return
	}
	done := c.done
	c.done, c.request, c.again, c.began = nil, nil, nil, false
	if c.in.Buffered() > 0 && c.extra != nil {
		c.extra()
	}
	if resp.Close {
		c.close()
	} else {
		c.p.idle = append(c.p.idle, c)
	}
	done(resp, nil)
}

// close ends the connection; its request, if it has one, is not heard of.
func (c *clientConn) close() {
	if c.p == nil {
		return
	}
	p := c.p
	c.p, c.done = nil, nil
	p.open--
	p.forget(c)
	c.net.Close()
}

func (p *pool) forget(c *clientConn) {
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

func (c *clientConn) end(err error) {
	done, again := c.done, c.again
	if c.uses < 2 || c.began {
		again = nil
	}
	c.close()
	switch {
	case done != nil && again != nil:
		again()
	case done != nil:
		done(nil, err)
	}
}

func (c *clientConn) Closed(err error) {
	if err == nil {
		err = net.ErrClosed
	}
	if c.p != nil {
		c.end(err)
	}
}
