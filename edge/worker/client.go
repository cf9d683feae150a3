package worker

import (
	"context"
	"sync"
	"time"
)

// Client holds the connections to all workers. It is safe for concurrent use.
type Client struct {
	started   time.Time
	dial      func(ctx context.Context, address string) (*connection, error)
	mutations mutations

	mu       sync.Mutex
	pools    map[string]*pool
	sweep    *time.Timer
	wakeAt   time.Duration // when sweep fires; 0: it is not running
	isClosed bool
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{started: time.Now(), dial: dialWithTimeout(connectTimeout), pools: make(map[string]*pool)}
}

func (c *Client) now() time.Duration { return time.Since(c.started) }

// SetLimits sets the client's shares of the workers' connections, by worker name. For workers without a share it closes
// idle connections at once and connections in use after their delivery.
func (c *Client) SetLimits(shares map[string]Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.pools {
		if _, named := shares[name]; named {
			continue
		}
		p.retired = true
		p.closeIdle()
		if p.open == 0 {
			delete(c.pools, name)
		}
	}
	for name, share := range shares {
		p := c.pool(name)
		p.share, p.retired = share, false
	}
}

// Start starts a delivery. It calls done once, on a goroutine of its own. The body must not be changed before that.
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
	conn, outcome := c.acquire(ctx, d)
	if conn == nil {
		return Result{Outcome: outcome}
	}
	if d.Revoked != nil && d.Revoked() {
		c.release(d.Worker, conn, 0)
		return Result{Outcome: NotRun}
	}
	if !call.bind(conn) {
		c.release(d.Worker, conn, 0)
		return Result{Outcome: Cancelled}
	}
	outcome, a := conn.exchange(d)
	if call.unbind() {
		c.release(d.Worker, conn, 0)
		if outcome == Done || outcome == Failed || outcome == Rejected { // the response was complete before the cancel
			return Result{Outcome: outcome, Signature: a.signature}
		}
		return Result{Outcome: Cancelled}
	}
	idle := a.idleTimeout
	if !a.reusable || outcome.MayHaveRun() || outcome == WrongWorker || len(conn.unresolved) > maxUnresolved {
		idle = 0
	}
	c.release(d.Worker, conn, idle)
	return Result{Outcome: outcome, Signature: a.signature}
}

// Close closes idle connections at once and connections in use after their delivery.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	if c.sweep != nil {
		c.sweep.Stop()
	}
	for _, p := range c.pools {
		p.closeIdle()
	}
}
