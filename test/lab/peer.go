package lab

import (
	"errors"
	"net"
	"time"

	"ravendale/balancer/http1"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// dialTimeout limits how long the lab's own connections may take to open.
const dialTimeout = 2 * time.Second

// server serves HTTP/1.1 on accepted connections, one request at a time on each.
type server struct {
	loop *scheduler.Loop
	// serve handles a request and calls reply once, at once or later. first is when the request's first byte arrived.
	serve func(c *serverConn, req *http1.Request, first time.Duration)
	conns map[*serverConn]struct{}
}

// serverConn is one accepted connection.
type serverConn struct {
	s           *server
	net         transport.Conn
	in          http1.Requests
	firstByteAt time.Duration // when the first byte of the current request arrived
	busy        bool
	closed      bool
	buf         []byte
	onClose     func() // called when the peer closes the connection before reply
}

func newServer(loop *scheduler.Loop, serve func(*serverConn, *http1.Request, time.Duration)) *server {
	return &server{loop: loop, serve: serve, conns: make(map[*serverConn]struct{})}
}

func (s *server) opened(n transport.Conn) transport.Handler {
	c := &serverConn{s: s, net: n}
	s.conns[c] = struct{}{}
	return c
}

// reset closes all connections, as the end of a process does.
func (s *server) reset() {
	for c := range s.conns {
		c.drop()
	}
}

func (c *serverConn) Connected() {}

func (c *serverConn) Data(b []byte) {
	if !c.in.Partial() {
		c.firstByteAt = c.s.loop.Now()
	}
	c.in.Feed(b)
	c.pump()
}

func (c *serverConn) pump() {
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
		c.s.serve(c, req, c.firstByteAt)
	}
}

// reply answers the current request.
func (c *serverConn) reply(status int, h http1.Header, content []byte) {
	if c.closed {
		return
	}
	c.buf = http1.AppendResponse(c.buf[:0], status, h, content)
	c.net.Write(c.buf)
	c.busy, c.onClose = false, nil
	if c.in.Partial() {
		c.pump()
	}
}

func (c *serverConn) drop() {
	if !c.closed {
		c.closed = true
		delete(c.s.conns, c)
		c.net.Close()
	}
}

func (c *serverConn) Closed(error) {
	c.closed = true
	delete(c.s.conns, c)
	if c.onClose != nil {
		c.onClose()
	}
}

var errClosed = errors.New("connection closed: data without a request")

// pool keeps connections to one address. Each carries one request at a time.
type pool struct {
	loop *scheduler.Loop
	net  transport.Network
	addr string
	idle []*clientConn
	open int
}

// clientConn is one dialled connection.
type clientConn struct {
	p               *pool
	net             transport.Conn
	in              http1.Responses
	uses            int
	request         []byte
	done            func(*http1.Response, error)
	responseStarted bool   // part of the answer has arrived
	onRetry         func() // called instead of done if a reused connection closes before an answer begins
	onExtraData     func() // called when data arrives outside the answer to a request
}

func newPool(loop *scheduler.Loop, n transport.Network, addr string) *pool {
	return &pool{loop: loop, net: n, addr: addr}
}

// do sends a request on an idle connection or a new one, and calls done with the answer or an error. It returns the
// connection; closing it abandons the request.
func (p *pool) do(request []byte, done func(*http1.Response, error)) *clientConn {
	n := len(p.idle)
	if n == 0 {
		return p.doOnNewConn(request, done)
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	c.request, c.done = request, done
	c.send()
	return c
}

// doOnNewConn is do on a new connection.
func (p *pool) doOnNewConn(request []byte, done func(*http1.Response, error)) *clientConn {
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
		if c.onExtraData != nil {
			c.onExtraData()
		}
		c.end(errClosed)
		return
	}
	c.in.Feed(b)
	c.responseStarted = true
	resp, err := c.in.Next()
	if err != nil {
		c.end(err)
		return
	}
	if resp == nil {
		return
	}
	done := c.done
	c.done, c.request, c.onRetry, c.responseStarted = nil, nil, nil, false
	if c.in.Buffered() > 0 && c.onExtraData != nil {
		c.onExtraData()
	}
	if resp.Close {
		c.close()
	} else {
		c.p.idle = append(c.p.idle, c)
	}
	done(resp, nil)
}

// close closes the connection and abandons its request, whose done is not called.
func (c *clientConn) close() {
	if c.p == nil {
		return
	}
	p := c.p
	c.p, c.done = nil, nil
	p.open--
	p.removeIdle(c)
	c.net.Close()
}

func (p *pool) removeIdle(c *clientConn) {
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// end closes the connection, and retries its request or fails it with err.
func (c *clientConn) end(err error) {
	done, retry := c.done, c.onRetry
	if c.uses < 2 || c.responseStarted {
		retry = nil
	}
	c.close()
	switch {
	case done != nil && retry != nil:
		retry()
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
