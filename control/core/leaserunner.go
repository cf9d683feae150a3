package core

import (
	"context"
	"sync/atomic"
	"time"
)

// Lease is the leader lease while this process holds it.
type Lease struct {
	started time.Time
	until   atomic.Int64 // steady time since started
}

// Valid says whether the holder may act now.
func (l *Lease) Valid() bool { return int64(time.Since(l.started)) < l.until.Load() }

// Until is when the lease ends unless it is renewed, as a time left from now; not positive when it has ended.
func (l *Lease) Until() time.Duration {
	return time.Duration(l.until.Load()) - time.Since(l.started)
}

// leaseRunner is what runs while this process holds the lease.
type leaseRunner struct {
	lease    *Lease
	cancel   context.CancelFunc
	previous chan struct{} // closed when the newest call of Lead has returned
}

// follow starts and ends Config.Lead as the node gets and loses the lease.
func (l *leaseRunner) follow(c *Core, now time.Duration) {
	until := c.node.LeaseUntil()
	if l.lease != nil {
		l.lease.until.Store(int64(until))
	}
	switch holds := now < until; {
	case holds && l.lease == nil:
		l.begin(c, until)
	case !holds && l.lease != nil:
		c.config.Log.Info("leader lease lost", "epoch", c.node.view.Epoch, "cause", c.node.lease.takeDropCause())
		l.end()
	}
}

func (l *leaseRunner) begin(c *Core, until time.Duration) {
	c.config.Log.Info("leader lease held", "epoch", c.node.view.Epoch)
	ctx, cancel := context.WithCancel(context.Background())
	lease := &Lease{started: c.started}
	lease.until.Store(int64(until))
	previous, done := l.previous, make(chan struct{})
	l.lease, l.cancel, l.previous = lease, cancel, done
	go func() {
		defer close(done)
		defer cancel()
		if previous != nil {
			<-previous
		}
		if ctx.Err() == nil {
			c.config.Lead(ctx, lease)
		}
	}()
}

func (l *leaseRunner) end() {
	if l.lease == nil {
		return
	}
	l.lease.until.Store(0)
	l.cancel()
	l.lease, l.cancel = nil, nil
}
