package queueclient

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// A store assigns an edge no message that was accepted under a newer configuration than the edge has announced, so each
// store must be notified: at once, and again after a reconnection.
func TestConfigVersionIsAnnounced(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		stores := []*fakeStore{one, two}
		c, _ := newClient(t)
		c.SetView(placement(1, stores, []uint16{0, 1}))
		awaitConnected(t, c)
		one.withLock(func() { assert.Empty(t, one.configs, "there is no configuration yet") })
		c.SetConfigVersion(4)
		c.SetConfigVersion(7)
		synctest.Wait()
		for _, s := range stores {
			s.withLock(func() { assert.Equal(t, []uint64{4, 7}, s.configs) })
		}
		earlier := c.view.Load().stores[0].conn()
		earlier.Close()
		require.Eventually(t, func() bool {
			conn := c.view.Load().stores[0].conn()
			return conn != nil && conn != earlier
		}, testTimeout, time.Millisecond)
		synctest.Wait()
		one.withLock(func() { assert.Equal(t, []uint64{4, 7, 7}, one.configs) })
	})
}

// An abandoned put is dropped whatever the configuration says: its report must not be taken for one of a removed route.
func TestAbandonedPutIsExplained(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutUnknown} }
		c, _ := newClient(t)
		c.lastTimeout = time.Millisecond
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		require.Equal(t, Unknown, c.putFor(unordered(), true, 10*time.Millisecond))
		require.Eventually(t, func() bool { return one.countReports() > 0 }, testTimeout, time.Millisecond)
		one.withLock(func() {
			for _, report := range one.reports {
				assert.Equal(t, wire.ReportDropped, report.Kind)
				assert.Equal(t, string(wire.DropAbandonedPut), report.Signature)
				assert.EqualValues(t, testConfigVersion, wire.ConfigVersionOf(report.ID))
			}
		})
	})
}
