package worker

import (
	"context"
	"sync"
	"time"
)

// Client has the connections to all workers. Its methods may be called by any goroutine.
type Client struct {
	started time.Time
	dial    func(ctx context.Context, address string) (*connection, error)

	mu     sync.Mutex
	pools  map[string]*pool
	sweep  *time.Timer
	wakeAt time.Duration // when sweep fires; 0: it does not
	closed bool
}

// pool has the connections to one worker.
type pool struct {
	limit int // connections that may be open; 0: no bound
	open  int // connections, and those that are being made
	idle  []*connection
	gone  bool // no longer named: what is open is closed after use
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{started: time.Now(), dial: dialWithin(connectTimeout), pools: make(map[string]*pool)}
}

func (c *Client) now() time.Duration { return time.Since(c.started) }

// Limit says how many connections may be open to each worker, by name. Idle connections to workers that it does not name are
// closed, and those in use after their delivery.
func (c *Client) Limit(limits map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.pools {
		if _, named := limits[name]; named {
			continue
		}
		p.gone = true
		p.closeIdle()
		if p.open == 0 {
			delete(c.pools, name)
		}
	}
	for name, limit := range limits {
		p := c.pool(name)
		p.limit, p.gone = limit, false
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
	if !a.keep || outcome.MayHaveRun() || outcome == WrongWorker {
		idle = 0
	}
	c.give(d.Worker, conn, idle)
	return Result{Outcome: outcome, Signature: a.signature}
}

// take returns a connection to a worker: an idle one if it is still open, or a new one.
func (c *Client) take(ctx context.Context, d *Delivery) (*connection, Outcome) {
	for {
		conn, room := c.reserve(d.Worker)
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
	return conn, Done
}

// reserve takes an idle connection, or else room for a new one.
func (c *Client) reserve(name string) (conn *connection, room bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(name)
	now := c.now()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		conn, p.idle = p.idle[last], p.idle[:last]
		if conn.until > now {
			return conn, true
		}
		_ = conn.socket.Close()
		p.open--
	}
	if p.limit > 0 && p.open >= p.limit {
		return nil, false
	}
	p.open++
	return nil, true
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
	if idle <= 0 || p.gone || c.closed || p.limit > 0 && p.open > p.limit {
		_ = conn.socket.Close()
		c.drop(name)
		return
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
		kept := p.idle[:0]
		for _, conn := range p.idle {
			if conn.until <= now {
				_ = conn.socket.Close()
				p.open--
				continue
			}
			kept = append(kept, conn)
			if next == 0 || conn.until < next {
				next = conn.until
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
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
