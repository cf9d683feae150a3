package worker

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Client has the connections to all workers. Its methods may be called by any goroutine.
type Client struct {
	started time.Time
	dial    func(ctx context.Context, address string) (*connection, error)
	mutant  mutant

	mu     sync.Mutex
	pools  map[string]*pool
	sweep  *time.Timer
	wakeAt time.Duration // when sweep fires; 0: it does not
	closed bool
}

// pool has the connections to one worker.
type pool struct {
	share Share
	open  int // connections, and those that are being made
	idle  []*connection
	gone  bool // no longer named: what is open is closed after use
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{started: time.Now(), dial: dialWithin(connectTimeout), pools: make(map[string]*pool)}
}

func (c *Client) now() time.Duration { return time.Since(c.started) }

// Share is what a sender may have of a worker's connections.
type Share struct {
	Most   int  // connections that may be open; 0: no bound
	Scarce bool // the worker takes fewer than there are senders: an idle one keeps another sender out
}

// Limit sets the shares of workers, by name. Idle connections to workers that it does not name are
// closed, and those in use after their delivery.
func (c *Client) Limit(shares map[string]Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.pools {
		if _, named := shares[name]; named {
			continue
		}
		p.gone = true
		p.closeIdle()
		if p.open == 0 {
			delete(c.pools, name)
		}
	}
	for name, share := range shares {
		p := c.pool(name)
		p.share, p.gone = share, false
	}
}

func (c *Client) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{}
		c.pools[name] = p
	}
	return p
}

func (p *pool) closeIdle() {
	for _, conn := range p.idle {
		_ = conn.socket.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// Call is a delivery under way.
type Call struct {
	delivery *Delivery
	done     func(Result)
	cancel   context.CancelFunc

	mu        sync.Mutex
	conn      *connection
	cancelled bool
}

// Cancel ends a delivery by closing its connection. Its outcome is Cancelled, unless it had another.
func (call *Call) Cancel() {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.cancelled = true
	call.cancel()
	if call.conn != nil {
		_ = call.conn.socket.Close()
	}
}

// use makes a connection the call's own to close, unless the call was cancelled.
func (call *Call) use(conn *connection) bool {
	call.mu.Lock()
	defer call.mu.Unlock()
	if call.cancelled {
		return false
	}
	call.conn = conn
	return true
}

// release ends the call's hold on its connection and says whether it was cancelled.
func (call *Call) release() bool {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.conn = nil
	return call.cancelled
}

// Start begins a delivery. Done is called once, on a goroutine of its own. The body must not change until then.
func (c *Client) Start(d *Delivery, done func(Result)) *Call {
	ctx, cancel := context.WithCancel(context.Background())
	call := &Call{delivery: d, done: done, cancel: cancel}
	go c.run(ctx, call)
	return call
}

func (c *Client) run(ctx context.Context, call *Call) {
	defer call.cancel()
	began := time.Now()
	result := c.deliver(ctx, call)
	result.Took = time.Since(began)
	call.done(result)
}

func (c *Client) deliver(ctx context.Context, call *Call) Result {
	d := call.delivery
	conn, outcome := c.take(ctx, d)
	if conn == nil {
		return Result{Outcome: outcome}
	}
	if !call.use(conn) {
		c.give(d.Worker, conn, 0)
		return Result{Outcome: Cancelled}
	}
	outcome, a := conn.exchange(d)
	if call.release() {
		c.give(d.Worker, conn, 0)
		if outcome == Done || outcome == Failed || outcome == Refused { // the answer had come whole
			return Result{Outcome: outcome, Signature: a.signature}
		}
		return Result{Outcome: Cancelled}
	}
	idle := a.idle
	if !a.keep || outcome.MayHaveRun() || outcome == WrongWorker || len(conn.carried) > mostCarried {
		idle = 0
	}
	c.give(d.Worker, conn, idle)
	return Result{Outcome: outcome, Signature: a.signature}
}

// take returns a connection to a worker: an idle one if it is still open, or a new one.
func (c *Client) take(ctx context.Context, d *Delivery) (*connection, Outcome) {
	for {
		conn, room := c.reserve(d.Worker, d.RequestID)
		if !room {
			return nil, NoRoom
		}
		if conn == nil {
			break
		}
		if conn.quiet() {
			return conn, Done
		}
		c.give(d.Worker, conn, 0)
	}
	conn, err := c.dial(ctx, d.Address)
	if err != nil {
		c.unreserve(d.Worker)
		return nil, Unreachable
	}
	conn.mutant = c.mutant
	return conn, Done
}

// reserve takes an idle connection that may carry the message, or else room for a new one.
func (c *Client) reserve(name, requestID string) (conn *connection, room bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(name)
	p.closeExpired(c.now())
	if conn = p.pick(requestID); conn != nil {
		return conn, true
	}
	if p.share.Most > 0 && p.open >= p.share.Most {
		if len(p.idle) == 0 {
			return nil, false
		}
		p.closeOldest()
	}
	p.open++
	return nil, true
}

// pick takes the idle connection that was used last of those that may carry a message; nil: there is none.
func (p *pool) pick(requestID string) *connection {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if conn := p.idle[i]; conn.mayCarry(requestID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn
		}
	}
	return nil
}

func (p *pool) closeOldest() {
	_ = p.idle[0].socket.Close()
	p.idle = slices.Delete(p.idle, 0, 1)
	p.open--
}

// closeExpired closes idle connections whose time has passed.
func (p *pool) closeExpired(now time.Duration) {
	p.idle = slices.DeleteFunc(p.idle, func(conn *connection) bool {
		if conn.until > now {
			return false
		}
		_ = conn.socket.Close()
		p.open--
		return true
	})
}

func (c *Client) unreserve(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(name)
}

func (c *Client) drop(name string) {
	p := c.pool(name)
	p.open--
	if p.open == 0 && p.gone {
		delete(c.pools, name)
	}
}

// give takes a connection back, to be kept for a time, or to be closed where that is 0.
func (c *Client) give(name string, conn *connection, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(name)
	if idle <= 0 || p.gone || c.closed || p.share.Most > 0 && p.open > p.share.Most {
		_ = conn.socket.Close()
		c.drop(name)
		return
	}
	if p.share.Scarce {
		idle = min(idle, scarceIdle)
	}
	conn.until = c.now() + idle
	p.idle = append(p.idle, conn)
	c.wake(conn.until)
}

func (c *Client) wake(at time.Duration) {
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

// closeExpired closes idle connections whose time has passed.
func (c *Client) closeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeAt = 0
	now, next := c.now(), time.Duration(0)
	for _, p := range c.pools {
		p.closeExpired(now)
		for _, conn := range p.idle {
			if next == 0 || conn.until < next {
				next = conn.until
			}
		}
	}
	if next > 0 {
		c.wake(next)
	}
}

// Close closes idle connections, and those in use after their delivery.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.sweep != nil {
		c.sweep.Stop()
	}
	for _, p := range c.pools {
		p.closeIdle()
	}
}
