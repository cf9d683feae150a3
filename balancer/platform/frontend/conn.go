package frontend

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"ravendale/balancer/deadline"
	"ravendale/balancer/http1"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// queue holds connections in the order in which they joined.
type queue []*conn

func (q *queue) join(c *conn) { *q = append(*q, c) }

func (q *queue) leave(c *conn) {
	if i := slices.Index(*q, c); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}

// conn is one accepted connection.
type conn struct {
	f        *Frontend
	net      transport.Conn
	in       http1.Requests
	since    time.Duration
	current  *scheduler.Exchange // the request that waits for its answer
	proven   bool                // it has brought a proper request
	closes   bool                // its answer closes the connection
	closing  bool                // nothing more is read
	ending   bool                // it was ended here, and counts among those
	flooded  bool                // more came than is kept
	server   bool                // a backend server calls back here
	isIdle   bool
	timer    *deadline.Deadline
	response []byte
}

func (c *conn) Connected() {}

func (c *conn) Data(b []byte) {
	if c.closing || c.flooded {
		return
	}
	c.in.Feed(b)
	if c.current != nil {
		// A request that came before the last one's answer waits. Guards the memory against a client that
		// never stops sending: the answer owed is given, the rest is not read.
		if c.flooded = c.in.Buffered() > maxAhead; c.flooded {
			c.f.o.Log.Debug("flooded", "client", c.net.Peer(), "id", c.current.ID)
			c.net.Ignore()
		}
		return
	}
	c.pump()
}

// pump takes requests until one has to wait for its answer.
func (c *conn) pump() {
	for c.current == nil && !c.closing {
		req, err := c.in.Next()
		if err != nil {
			status := 400
			var e *http1.Error
			if errors.As(err, &e) {
				status = e.Status
			}
			c.reject(status, err.Error())
			return
		}
		if req == nil {
			if c.in.AwaitsContinue() {
				c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			c.await()
			return
		}
		c.setIdle(false)
		c.serve(req)
	}
}

// await bounds how long half a request may take, from its first byte on.
func (c *conn) await() {
	if c.in.Partial() && c.timer == nil {
		c.setIdle(false)
		c.timer = c.f.o.Loop.After(patience, c.overdue)
	}
}

// overdue ends a connection whose request did not come, or not whole.
func (c *conn) overdue() {
	if c.in.Partial() {
		c.reject(408, "the request did not come whole in time")
	} else {
		c.end()
	}
}

// prove tells that the connection has brought a proper request: only then does the time for that end.
func (c *conn) prove() {
	c.f.o.Loop.Deadlines.Drop(c.timer)
	c.timer = nil
	if !c.proven {
		c.proven = true
		c.f.unproven.leave(c)
	}
}

// answer writes the final answer to a request.
func (c *conn) answer(a scheduler.Answer, closes bool) {
	switch a.Kind {
	case scheduler.Served:
		c.respond(200, nil, a.Result, closes)
	case scheduler.Refused:
		var h http1.Header
		if a.RetryAfter > 0 {
			h = http1.Header{{Name: platform.HeaderRetryWait, Value: strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}}
		}
		c.respond(503, h, nil, closes)
	default:
		c.respond(504, nil, nil, closes)
	}
}

// reject answers what can't be read, and reads no more of it: what follows may be anything. The client is told why; a line of
// the log for each would have many bad ones fill that.
func (c *conn) reject(status int, reason string) {
	c.f.o.Log.Debug("rejected", "client", c.net.Peer(), "status", status, "why", reason)
	c.respond(status, nil, []byte(reason+"\n"), true)
}

// respond writes a response.
func (c *conn) respond(status int, h http1.Header, content []byte, closes bool) {
	closes = closes || (c.f.draining || c.f.away || c.f.retired) && !c.server
	if c.f.shed > 0 {
		c.f.shed--
		closes = true
	}
	if closes {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	c.response = http1.AppendResponse(c.response[:0], status, h, content)
	c.net.Write(c.response)
	if c.net.Unwritten() > maxUnread {
		c.drop() // guards the memory against a client that asks and does not read
		return
	}
	if !closes {
		c.setIdle(!c.server)
		return
	}
	c.end()
}

// end ends a connection to which nothing more is said. The other side sees what was, and then that nothing follows, and has
// LingerFor to close. What still comes crossed the end, as by the protocol a request may that its client then sends anew: it is
// read and goes nowhere. Unread, it had the system reset the connection, and answers on their way went with it (RFC 9112,
// section 9.6).
func (c *conn) end() {
	c.setIdle(false)
	c.f.unproven.leave(c)
	c.closing, c.ending = true, true
	c.f.o.Limits.ending.Add(1)
	c.net.Finish()
	c.f.o.Loop.Deadlines.Drop(c.timer)
	c.linger(c.net.Unwritten())
}

// linger looks again after LingerFor whether the other side still takes what is left of the last answer, and else closes.
func (c *conn) linger(left int) {
	c.timer = c.f.o.Loop.After(LingerFor, func() {
		if now := c.net.Unwritten(); now < left {
			c.linger(now)
		} else {
			c.drop()
		}
	})
}

// setIdle keeps the list of idle connections.
func (c *conn) setIdle(idle bool) {
	if idle == c.isIdle {
		return
	}
	c.isIdle = idle
	if idle {
		c.f.idle.join(c)
	} else {
		c.f.idle.leave(c)
	}
}

// drop closes a connection at once: one that lingered, or whose descriptor is wanted now.
func (c *conn) drop() {
	c.forget()
	c.net.Close()
}

func (c *conn) forget() {
	c.setIdle(false)
	c.f.unproven.leave(c)
	c.closing = true
	c.f.o.Loop.Deadlines.Drop(c.timer)
	if _, open := c.f.conns[c]; open {
		c.f.o.Limits.open.Add(-1)
		c.f.open.Add(-1)
		delete(c.f.conns, c)
		if c.ending {
			c.f.o.Limits.ending.Add(-1)
		}
	}
}

func (c *conn) Closed(error) {
	c.forget()
	if ex := c.current; ex != nil {
		c.hold(nil)
		ex.Left()
	}
}

// hold sets which request of the connection waits for its answer.
func (c *conn) hold(ex *scheduler.Exchange) {
	if c.current != nil {
		c.f.o.Limits.active.Add(-1)
	}
	if c.current = ex; ex != nil {
		c.f.o.Limits.active.Add(1)
	}
}
