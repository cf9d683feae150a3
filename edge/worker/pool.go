package worker

import (
	"context"
	"slices"
	"time"
)

// pool holds the connections to one worker.
type pool struct {
	share   Share
	open    int // open connections, including those being established
	idle    []*connection
	retired bool // the last SetLimits did not name the worker: its connections are closed after use
}

// Share is a sender's share of a worker's connections.
type Share struct {
	Max    int  // maximum number of open connections; 0: no limit
	Scarce bool // the worker accepts fewer connections than there are senders: an idle one blocks another sender
}

func (c *Client) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{}
		c.pools[name] = p
	}
	return p
}

// acquire returns a connection to the delivery's worker: an idle one that is still open, or else a new one. If there is
// none, it returns nil and the outcome of the delivery.
func (c *Client) acquire(ctx context.Context, d *Delivery) (*connection, Outcome) {
	for {
		conn, reserved := c.reserve(d.Worker, d.RequestID)
		if !reserved {
			return nil, NoConnection
		}
		if conn == nil {
			break
		}
		if conn.isIdle() {
			return conn, Done
		}
		c.release(d.Worker, conn, 0)
	}
	conn, err := c.dial(ctx, d.Address)
	if err != nil {
		c.unreserve(d.Worker)
		return nil, Unreachable
	}
	conn.mutations = c.mutations
	return conn, Done
}

// reserve takes an idle connection on which the message may be sent. If there is none, it reserves a place for a new
// connection in the share, if necessary by closing an idle one, and returns a nil conn.
func (c *Client) reserve(name, requestID string) (conn *connection, reserved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(name)
	p.closeExpired(c.now())
	if conn = p.pick(requestID); conn != nil {
		return conn, true
	}
	if p.share.Max > 0 && p.open >= p.share.Max {
		if len(p.idle) == 0 {
			return nil, false
		}
		p.closeOldest()
	}
	p.open++
	return nil, true
}

func (c *Client) unreserve(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeConnection(name)
}

func (c *Client) removeConnection(name string) {
	p := c.pool(name)
	p.open--
	if p.open == 0 && p.retired {
		delete(c.pools, name)
	}
}

// release returns a connection to the pool, which keeps it for the given idle time. It closes the connection if that is
// 0.
func (c *Client) release(name string, conn *connection, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(name)
	if idle <= 0 || p.retired || c.isClosed || p.share.Max > 0 && p.open > p.share.Max {
		_ = conn.socket.Close()
		c.removeConnection(name)
		return
	}
	if p.share.Scarce {
		idle = min(idle, scarceIdleTimeout)
	}
	conn.expiresAt = c.now() + idle
	p.idle = append(p.idle, conn)
	c.sweepAt(conn.expiresAt)
}

func (c *Client) sweepAt(at time.Duration) {
	if c.wakeAt != 0 && c.wakeAt <= at {
		return
	}
	c.wakeAt = at
	if wait := at - c.now(); c.sweep == nil {
		c.sweep = time.AfterFunc(wait, c.closeExpired)
	} else {
		c.sweep.Reset(wait)
	}
}

// closeExpired closes idle connections that have expired, in all pools, and schedules the next sweep.
func (c *Client) closeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeAt = 0
	now, next := c.now(), time.Duration(0)
	for _, p := range c.pools {
		p.closeExpired(now)
		for _, conn := range p.idle {
			if next == 0 || conn.expiresAt < next {
				next = conn.expiresAt
			}
		}
	}
	if next > 0 {
		c.sweepAt(next)
	}
}

// pick takes the most recently used idle connection on which the message may be sent, or returns nil if there is none.
func (p *pool) pick(requestID string) *connection {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if conn := p.idle[i]; conn.maySend(requestID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn
		}
	}
	return nil
}

func (p *pool) closeIdle() {
	for _, conn := range p.idle {
		_ = conn.socket.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

func (p *pool) closeOldest() {
	_ = p.idle[0].socket.Close()
	p.idle = slices.Delete(p.idle, 0, 1)
	p.open--
}

// closeExpired closes idle connections that have expired.
func (p *pool) closeExpired(now time.Duration) {
	p.idle = slices.DeleteFunc(p.idle, func(conn *connection) bool {
		if conn.expiresAt > now {
			return false
		}
		_ = conn.socket.Close()
		p.open--
		return true
	})
}
