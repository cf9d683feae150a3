package queueclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// A standstill must be detected before the edge's membership lease (two heartbeats, from the settings) expires or its
// connections time out.
func TestStandstillLimit(t *testing.T) {
	for heartbeat, limit := range map[time.Duration]time.Duration{
		0:                       rpc.DefaultFailureTimeout / 2,
		1200 * time.Millisecond: rpc.DefaultFailureTimeout / 2,
		300 * time.Millisecond:  300 * time.Millisecond,
		50 * time.Millisecond:   50 * time.Millisecond,
	} {
		assert.Equal(t, limit, standstillLimit(heartbeat), heartbeat)
		s := standstill{limit: limit}
		assert.LessOrEqual(t, 2*s.interval(), limit, heartbeat)
	}
}

// With a short heartbeat, a message may be granted to another edge after a short standstill already.
func TestGrantFromBeforeStandstillIsIgnoredWithShortHeartbeat(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClientWith(t, func(config *Config) { config.Heartbeat = 200 * time.Millisecond })
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		before := c.view.Load().stores[0].conn()
		c.standstill.mu.Lock()
		c.standstill.lastRunAt -= 250 * time.Millisecond
		c.standstill.mu.Unlock()
		c.handleGrant(before, &wire.Grant{Epoch: 1, ID: "0.x", HasMessage: true})
		h.withLock(func() { assert.Empty(t, h.granted) })
	})
}
