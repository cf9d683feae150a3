package core

import (
	"context"
	"sync/atomic"
	"time"
)

// Lease is the leader lease of this process, as passed to Config.Lead.
type Lease struct {
	started   time.Time
	expiresAt atomic.Int64 // expiry, in steady time since started
}

// Valid reports whether this process still holds the lease, and so may act as leader.
func (l *Lease) Valid() bool { return int64(time.Since(l.started)) < l.expiresAt.Load() }

// Remaining returns how long the lease is valid unless it is renewed. It is not positive once the lease has expired.
func (l *Lease) Remaining() time.Duration {
	return time.Duration(l.expiresAt.Load()) - time.Since(l.started)
}

// leaseRunner runs Config.Lead while this process holds the lease.
type leaseRunner struct {
	lease        *Lease
	cancel       context.CancelFunc
	lastCallDone chan struct{} // closed when the newest call of Lead has returned
}

// update starts Config.Lead when the node has obtained the lease, and cancels its context when the node has lost it.
func (l *leaseRunner) update(c *Core, now time.Duration) {
	expiresAt := c.node.LeaseExpiresAt()
	if l.lease != nil {
		l.lease.expiresAt.Store(int64(expiresAt))
	}
	switch holds := now < expiresAt; {
	case holds && l.lease == nil:
		l.begin(c, expiresAt)
	case !holds && l.lease != nil:
		c.config.Log.Info("leader lease lost", "epoch", c.node.view.Epoch, "cause", c.node.lease.takeDropCause())
		l.end()
	}
}

func (l *leaseRunner) begin(c *Core, expiresAt time.Duration) {
	c.config.Log.Info("leader lease held", "epoch", c.node.view.Epoch)
	ctx, cancel := context.WithCancel(context.Background())
	lease := &Lease{started: c.started}
	lease.expiresAt.Store(int64(expiresAt))
	previous, done := l.lastCallDone, make(chan struct{})
	l.lease, l.cancel, l.lastCallDone = lease, cancel, done
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
	l.lease.expiresAt.Store(0)
	l.cancel()
	l.lease, l.cancel = nil, nil
}
