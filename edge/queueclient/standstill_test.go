package queueclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// A standstill is noticed before the membership lease of the edge, two heartbeats, or its connections end: what the settings say counts.
func TestStandstillLimitFollowsTheHeartbeat(t *testing.T) {
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

// With a short heartbeat a grant may be another edge's after a short standstill.
func TestGrantsFromBeforeAShortStandstillDoNotCountWithAShortHeartbeat(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClientOf(t, func(config *Config) { config.Heartbeat = 200 * time.Millisecond })
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		before := c.view.Load().stores[0].conn()
		c.standstill.mu.Lock()
		c.standstill.aliveAt -= 250 * time.Millisecond
		c.standstill.mu.Unlock()
		c.handleGrant(before, &wire.Grant{Epoch: 1, ID: "0.x", HasMessage: true})
		h.with(func() { assert.Empty(t, h.granted) })
	})
}
