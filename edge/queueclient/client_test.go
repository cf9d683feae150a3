package queueclient

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// A grant is received before the answer to the put, as when the connection breaks before the first answer and the
// repeated put is answered after the grant. The client must pass the grant to Config.Accepted.
func TestGrantBeforeAnswer(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		one.put = func(p *wire.Put, _ int) *wire.PutReply {
			_ = one.conns[len(one.conns)-1].Notify(wire.MethodGrant, &wire.Grant{ID: p.Message.ID})
			return &wire.PutReply{Code: wire.PutAccepted}
		}
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		m := ordered()
		require.Equal(t, Accepted, c.putFor(m, true, time.Second))
		h.withLock(func() {
			assert.Equal(t, map[string]bool{m.ID: true}, h.accepted)
			assert.Empty(t, h.granted)
		})
	})
}

func TestGrantIsDelivered(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		require.Eventually(t, func() bool {
			one.mu.Lock()
			defer one.mu.Unlock()
			return len(one.conns) == 1
		}, testTimeout, time.Millisecond)
		one.withLock(func() { _ = one.conns[0].Notify(wire.MethodGrant, &wire.Grant{ID: "0.x", HasMessage: true}) })
		require.Eventually(t, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.granted) == 1
		}, testTimeout, time.Millisecond)
	})
}

func TestClaimListsLeasesOfPrimary(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		c, h := newClient(t)
		h.leased = []string{"0.a", "1.b", "1.c"}
		two.claim = func(m *wire.Claim) *wire.ClaimReply {
			if len(m.IDs) == 0 {
				return &wire.ClaimReply{}
			}
			return &wire.ClaimReply{Unknown: []string{"1.c", "1.stranger"}}
		}
		stores := []*fakeStore{one, two}
		c.SetView(placement(1, stores, []uint16{0, 1}, []uint16{1, 0}))
		awaitConnected(t, c)
		one.withLock(func() { assert.Equal(t, []wire.Claim{{Epoch: 1, IDs: []string{"0.a"}}}, distinct(one.claims)) })
		two.withLock(func() { assert.Equal(t, []wire.Claim{{Epoch: 1, IDs: []string{"1.b", "1.c"}}}, distinct(two.claims)) })
		h.withLock(func() { assert.Equal(t, []string{"1.c"}, slices.Compact(h.unknown)) })
		claims := one.countClaims()
		c.SetView(placement(2, stores, []uint16{0, 1}, []uint16{0, 1}))
		require.Eventually(t, func() bool { return one.countClaims() > claims }, testTimeout, time.Millisecond)
		one.withLock(func() {
			last := one.claims[len(one.claims)-1]
			assert.EqualValues(t, 2, last.Epoch)
			assert.ElementsMatch(t, []string{"0.a", "1.b", "1.c"}, last.IDs)
		})
	})
}

func TestClaimIsRetriedWhileStoreIsStale(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		calls := 0
		one.claim = func(*wire.Claim) *wire.ClaimReply {
			if calls++; calls < 3 {
				return &wire.ClaimReply{Code: wire.PutStale}
			}
			return &wire.ClaimReply{}
		}
		c, _ := newClient(t)
		c.SetView(placement(4, []*fakeStore{one}, []uint16{0}))
		require.Eventually(t, func() bool { return one.countClaims() >= 3 }, testTimeout, time.Millisecond)
	})
}

func TestOlderViewIsIgnored(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, _ := newClient(t)
		c.SetView(placement(4, []*fakeStore{one}, []uint16{0}))
		c.SetView(placement(3, []*fakeStore{one}, []uint16{0}, []uint16{0}))
		assert.EqualValues(t, 4, c.view.Load().Epoch)
	})
}

func TestChangedDiskReplacesStore(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		previous := c.view.Load().stores[0]
		next := placement(2, []*fakeStore{one}, []uint16{0})
		next.Stores[0].Disk = "other"
		c.SetView(next)
		awaitConnected(t, c)
		assert.NotSame(t, previous, c.view.Load().stores[0])
		assert.Equal(t, Accepted, c.putFor(unordered(), true, time.Second))
	})
}

func TestDrainNotifiesStores(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		c.Drain()
		require.Eventually(t, func() bool {
			one.mu.Lock()
			defer one.mu.Unlock()
			return len(one.attaches) > 0 && one.attaches[len(one.attaches)-1].Draining
		}, testTimeout, time.Millisecond)
	})
}
