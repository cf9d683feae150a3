package queueclient

import (
	"sync"
	"time"

	"ravendale/cluster/host"
)

// Times by which the client notices that its process stood still.
const (
	aliveInterval   = 250 * time.Millisecond // between two looks at the clock
	standstillLimit = 600 * time.Millisecond // half of an edge's shortest lease: before that ends no store takes back what the edge has
)

// standstill notices by the steady clock that the process did not run for a while, as when it was frozen. What lies in its sockets then is from
// before: grants that their stores may have taken back and given to others.
type standstill struct {
	mu      sync.Mutex
	aliveAt time.Duration // by the host's clock, when the process was seen to run last
	timer   host.Timer
	stopped bool
}

// watchStandstill looks at the clock from now on.
func (c *Client) watchStandstill() {
	s := &c.standstill
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aliveAt = c.host.Now()
	s.timer = c.host.AfterFunc(aliveInterval, c.lookAtClock)
}

func (c *Client) lookAtClock() {
	c.noteAlive()
	s := &c.standstill
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timer.Reset(aliveInterval)
	}
}

// noteAlive records that the process runs. If it stood still before, the connections to all stores are closed, and nothing that still comes over
// them counts: each store is asked anew what the edge has, by the claim on the next connection.
func (c *Client) noteAlive() {
	s := &c.standstill
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.host.Now()
	stood := now - s.aliveAt
	s.aliveAt = now
	if stood < standstillLimit {
		return
	}
	c.mu.Lock()
	stores := c.all()
	c.mu.Unlock()
	for _, store := range stores {
		if conn := store.conn(); conn != nil {
			store.outdated.Store(conn)
			conn.Close()
		}
	}
	c.config.Log.Warn("the process stood still: connections to stores are made anew", "for", stood)
}

func (c *Client) stopWatch() {
	s := &c.standstill
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
