package queueclient

import (
	"sync"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/rpc"
)

// Bounds for detecting that the process was paused (a standstill). A store revokes the leases of an edge once the
// edge's connection has been silent for rpc.DefaultFailureTimeout, or the edge's membership lease of two heartbeats has
// expired. The limit is half of the shorter one, which leaves time to detect the pause.
const (
	maxStandstillLimit = rpc.DefaultFailureTimeout / 2
	heartbeatsPerLimit = 1                      // one heartbeat is half of an edge's membership lease
	maxCheckInterval   = 250 * time.Millisecond // between two checks of the clock
	checksPerLimit     = 2                      // minimum number of checks within standstillLimit
)

// noPause is earlier than any time of the host's clock, also if a duration is subtracted from it.
const noPause time.Duration = -1 << 62

// standstillLimit returns how long the process may be paused before its grants must be treated as revoked.
func standstillLimit(heartbeat time.Duration) time.Duration {
	if heartbeat <= 0 {
		return maxStandstillLimit
	}
	return min(maxStandstillLimit, heartbeatsPerLimit*heartbeat)
}

// standstill detects by the monotonic clock that the process was paused, for example by a freeze of its container or
// VM. The socket buffers then hold messages from before the pause: grants that the stores may have revoked and given to
// other edges since.
type standstill struct {
	limit     time.Duration // see standstillLimit
	mu        sync.Mutex
	lastRunAt time.Duration // by the host's clock, when the process was last known to be running
	endedAt   time.Duration // by the host's clock, when the end of the last pause was detected, or noPause
	timer     host.Timer
	stopped   bool
}

// watchStandstill starts the periodic check of the clock.
func (c *Client) watchStandstill() {
	s := &c.standstill
	s.limit = standstillLimit(c.config.Heartbeat)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRunAt, s.endedAt = c.host.Now(), noPause
	s.timer = c.host.AfterFunc(s.interval(), c.checkClock)
}

// interval returns the time between two checks of the clock.
func (s *standstill) interval() time.Duration { return min(maxCheckInterval, s.limit/checksPerLimit) }

func (c *Client) checkClock() {
	c.recordRunning()
	s := &c.standstill
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timer.Reset(s.interval())
	}
}

// LeasesValidFrom returns since when, by the host's clock, the process has run without a pause in which the stores may
// have revoked leases. That is before all times if there was no such pause. A lease that was last confirmed before must
// not be used until a store confirms it again (Config.Confirmed).
func (c *Client) LeasesValidFrom() time.Duration { return c.recordRunning() }

// recordRunning records that the process is running, and returns when the end of the last pause was detected. If the
// process was paused before the call, recordRunning closes the connections to all stores and marks them as outdated, so
// that grants still received on them are ignored: the claim on the next connection synchronizes the leases with each
// store.
func (c *Client) recordRunning() (endedAt time.Duration) {
	s := &c.standstill
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.host.Now()
	paused := now - s.lastRunAt
	s.lastRunAt = now
	if paused < s.limit {
		return s.endedAt
	}
	s.endedAt = now
	c.mu.Lock()
	stores := c.allStores()
	c.mu.Unlock()
	for _, store := range stores {
		if conn := store.link.Conn(); conn != nil {
			store.outdated.Store(conn)
			conn.Close()
		}
	}
	c.config.Log.Warn("process was paused; reconnecting to all stores", "for", paused)
	return now
}

func (c *Client) stopWatch() {
	s := &c.standstill
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
