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

// queue holds connections in the order in which they were added.
type queue []*conn

func (q *queue) join(c *conn) { *q = append(*q, c) }

func (q *queue) leave(c *conn) {
	if i := slices.Index(*q, c); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}

// conn is one accepted connection.
type conn struct {
	f               *Frontend
	net             transport.Conn
	in              http1.Requests
	since           time.Duration
	current         *scheduler.Exchange // the request that waits for its answer, if any
	hasValidRequest bool                // it has received a valid request
	closes          bool                // the answer to current closes the connection
	closing         bool                // no more requests are processed
	ending          bool                // end was called, and the connection counts in ConnLimits.ending
	flooded         bool                // more than maxAhead bytes arrived before the answer to current
	hasCallbacks    bool                // a backend server uses it for call-backs
	isIdle          bool
	timer           *deadline.Deadline
	response        []byte
}

func (c *conn) Connected() {}

func (c *conn) Data(b []byte) {
	if c.closing || c.flooded {
		return
	}
	c.in.Feed(b)
	if c.current != nil {
		// A request that arrives before the previous one is answered waits. To bound memory, a client that never stops
		// sending still gets the answer to its current request, but nothing more is read from it.
		if c.flooded = c.in.Buffered() > maxAhead; c.flooded {
			c.f.o.Log.Debug("client sent too much ahead of its answer; no longer reading", "client", c.net.Peer(), "id", c.current.ID)
			c.net.Ignore()
		}
		return
	}
	c.pump()
}

// pump processes received requests until one has to wait for its answer.
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

// await starts the timer for the rest of a partly received request, from its first byte on.
func (c *conn) await() {
	if c.in.Partial() && c.timer == nil {
		c.setIdle(false)
		c.timer = c.f.o.Loop.After(requestTimeout, c.overdue)
	}
}

// overdue ends a connection whose request has not arrived in time: with 408 if a part of it has.
func (c *conn) overdue() {
	if c.in.Partial() {
		c.reject(408, "the request did not come whole in time")
	} else {
		c.end()
	}
}

// markValid records that the connection has received a valid request, and stops the timer for it.
func (c *conn) markValid() {
	c.f.o.Loop.Deadlines.Drop(c.timer)
	c.timer = nil
	if !c.hasValidRequest {
		c.hasValidRequest = true
		c.f.unproven.leave(c)
	}
}

// answer writes the response for the final answer to a request.
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

// reject answers an invalid request with an error status and closes the connection, as the bytes that follow can't be trusted.
// The client receives the reason. It is logged at debug level only, or many bad requests would fill the log.
func (c *conn) reject(status int, reason string) {
	c.f.o.Log.Debug("request rejected", "client", c.net.Peer(), "status", status, "why", reason)
	c.respond(status, nil, []byte(reason+"\n"), true)
}

// respond writes a response, and ends the connection if closes is set or the frontend wants connections closed.
func (c *conn) respond(status int, h http1.Header, content []byte, closes bool) {
	closes = closes || (c.f.draining || c.f.away || c.f.retired) && !c.hasCallbacks
	if c.f.shedCount > 0 {
		c.f.shedCount--
		closes = true
	}
	if closes {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	c.response = http1.AppendResponse(c.response[:0], status, h, content)
	c.net.Write(c.response)
	if c.net.Unwritten() > maxUnread {
		c.drop() // bounds the memory for a client that sends requests without reading the responses
		return
	}
	if !closes {
		c.setIdle(!c.hasCallbacks)
		return
	}
	c.end()
}

// end shuts down the sending side of a connection. The peer receives all responses, then the end of the stream, and has LingerFor
// to close. Data that still arrives was sent before the peer saw the end, for instance a request that the client will send
// again, as the protocol allows. It is read and discarded: if it stayed unread, the operating system would reset the
// connection, and responses in transit would be lost (RFC 9112, section 9.6).
func (c *conn) end() {
	c.setIdle(false)
	c.f.unproven.leave(c)
	c.closing, c.ending = true, true
	c.f.o.Limits.ending.Add(1)
	c.net.Finish()
	c.f.o.Loop.Deadlines.Drop(c.timer)
	c.linger(c.net.Unwritten())
}

// linger checks after each LingerFor whether the peer is still reading the rest of the last response; if it isn't, linger closes
// the connection. left is the number of bytes that were unwritten at the previous check.
func (c *conn) linger(left int) {
	c.timer = c.f.o.Loop.After(LingerFor, func() {
		if now := c.net.Unwritten(); now < left {
			c.linger(now)
		} else {
			c.drop()
		}
	})
}

// setIdle adds the connection to the list of idle ones, or removes it.
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

// drop closes a connection at once: after lingering, or because its descriptor is needed.
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
		ex.ClientLeft()
	}
}

// hold sets the request of the connection that waits for its answer, nil for none.
func (c *conn) hold(ex *scheduler.Exchange) {
	if c.current != nil {
		c.f.o.Limits.active.Add(-1)
	}
	if c.current = ex; ex != nil {
		c.f.o.Limits.active.Add(1)
	}
}
