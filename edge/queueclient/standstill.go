package queueclient

import (
	"sync"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/rpc"
)

// Bounds by which the client notices that its process stood still. A store takes back what an edge has once the edge's connection has been
// silent for rpc.DefaultFailureTimeout, or its membership lease of two heartbeats has ended. Half of the shorter one leaves the time to notice.
const (
	maxStandstillLimit = rpc.DefaultFailureTimeout / 2
	heartbeatsPerLimit = 1                      // half of an edge's membership lease
	maxAliveInterval   = 250 * time.Millisecond // between two looks at the clock
	looksPerLimit      = 2                      // at least, within the time of a standstill
)

// standstillLimit returns how long the process may stand still before what its stores granted it is out of date.
func standstillLimit(heartbeat time.Duration) time.Duration {
	if heartbeat <= 0 {
		return maxStandstillLimit
	}
	return min(maxStandstillLimit, heartbeatsPerLimit*heartbeat)
}

// standstill notices by the steady clock that the process did not run for a while, as when it was frozen. What lies in its sockets then is from
// before: grants that their stores may have taken back and given to others.
type standstill struct {
	limit   time.Duration // see standstillLimit
	mu      sync.Mutex
	aliveAt time.Duration // by the host's clock, when the process was seen to run last
	timer   host.Timer
	stopped bool
}

// watchStandstill looks at the clock from now on.
func (c *Client) watchStandstill() {
	s := &c.standstill
	s.limit = standstillLimit(c.config.Heartbeat)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aliveAt = c.host.Now()
	s.timer = c.host.AfterFunc(s.interval(), c.lookAtClock)
}

// interval is the time between two looks at the clock.
func (s *standstill) interval() time.Duration { return min(maxAliveInterval, s.limit/looksPerLimit) }

func (c *Client) lookAtClock() {
	c.noteAlive()
	s := &c.standstill
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timer.Reset(s.interval())
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
	if stood < s.limit {
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
