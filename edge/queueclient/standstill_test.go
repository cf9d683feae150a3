package queueclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// standStill has the client notice at its next event that the process was paused.
func (c *Client) standStill(span time.Duration) {
	c.standstill.mu.Lock()
	defer c.standstill.mu.Unlock()
	c.standstill.lastRunAt -= span
}

// A lease that a store may have revoked during a pause counts once the store has confirmed it on a new connection.
func TestLeasesAreConfirmedAfterStandstill(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.claim = func(*wire.Claim) *wire.ClaimReply {
			return &wire.ClaimReply{Code: wire.PutAccepted, Unknown: []string{"0.taken"}}
		}
		type confirmation struct {
			ids []string
			at  time.Duration
		}
		confirmations := make(chan confirmation, 8)
		c, h := newClientWith(t, func(config *Config) {
			config.Confirmed = func(ids []string, at time.Duration) { confirmations <- confirmation{ids, at} }
		})
		h.withLock(func() { h.leased = []string{"0.kept", "0.taken"} })
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		assert.Equal(t, noPause, c.LeasesValidFrom())
		for len(confirmations) > 0 {
			<-confirmations
		}
		c.standStill(maxStandstillLimit)
		validFrom := c.LeasesValidFrom()
		assert.Equal(t, c.host.Now(), validFrom)
		confirmed := <-confirmations
		assert.Equal(t, []string{"0.kept"}, confirmed.ids)
		assert.GreaterOrEqual(t, confirmed.at, validFrom)
		assert.Equal(t, validFrom, c.LeasesValidFrom())
	})
}

// The answer to a put may have waited in the socket during a pause, in which the store has revoked the lease.
func TestMessageAcceptedBeforeStandstillIsReleased(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		one.put = func(*wire.Put, int) *wire.PutReply {
			c.standStill(maxStandstillLimit)
			return &wire.PutReply{Code: wire.PutAccepted}
		}
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		m := unordered()
		require.Equal(t, Accepted, c.putFor(m, true, time.Second))
		awaitConnected(t, c)
		require.Eventually(t, func() bool { return one.countReports() > 0 }, testTimeout, time.Millisecond)
		one.withLock(func() {
			assert.Equal(t, m.ID, one.reports[0].ID)
			assert.Equal(t, wire.ReportReleased, one.reports[0].Kind)
		})
		h.withLock(func() { assert.Empty(t, h.accepted) })
	})
}
