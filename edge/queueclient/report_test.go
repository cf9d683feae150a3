package queueclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func TestReportIsRepeatedUntilAcknowledged(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		codes := []wire.PutCode{wire.PutStale, wire.PutUnknown, wire.PutNotPrimary, wire.PutAccepted}
		one.report = func(_ *wire.Report, number int) wire.PutCode { return codes[number-1] }
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		c.Report(wire.Report{ID: "0.x", Kind: wire.ReportDone, Signature: "s"})
		assert.Equal(t, 1, c.Pending())
		require.Eventually(t, func() bool { return c.Pending() == 0 }, testTimeout, time.Millisecond)
		assert.Equal(t, 4, one.countReports())
		require.Eventually(t, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.acknowledged) == 1
		}, testTimeout, time.Millisecond)
	})
}

func TestReportFollowsPrimary(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.report = func(*wire.Report, int) wire.PutCode { return wire.PutUnknown }
		c, _ := newClient(t)
		stores := []*fakeStore{one, two}
		c.SetView(placement(1, stores, []uint16{0, 1}))
		awaitConnected(t, c)
		c.Report(wire.Report{ID: "0.x", Kind: wire.ReportDone, Signature: "s"})
		require.Eventually(t, func() bool { return one.countReports() > 0 }, testTimeout, time.Millisecond)
		c.SetView(placement(2, stores, []uint16{1, 0}))
		require.Eventually(t, func() bool { return c.Pending() == 0 }, testTimeout, time.Millisecond)
		two.withLock(func() {
			assert.EqualValues(t, 2, two.reports[0].Epoch)
			assert.Equal(t, "s", two.reports[0].Signature)
		})
	})
}

func TestReportsOfMessageAreSentInOrder(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.report = func(_ *wire.Report, number int) wire.PutCode {
			if number == 1 {
				return wire.PutUnknown
			}
			return wire.PutAccepted
		}
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		c.Report(wire.Report{ID: "0.x", Kind: wire.ReportFailed, Failed: 1})
		c.Report(wire.Report{ID: "0.x", Kind: wire.ReportDone, Failed: 1, Signature: "s"})
		require.Eventually(t, func() bool { return c.Pending() == 0 }, testTimeout, time.Millisecond)
		var kinds []wire.ReportKind
		one.withLock(func() {
			for _, r := range one.reports {
				kinds = append(kinds, r.Kind)
			}
		})
		assert.Equal(t, []wire.ReportKind{wire.ReportFailed, wire.ReportFailed, wire.ReportDone}, kinds)
		require.Eventually(t, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.acknowledged) == 1
		}, testTimeout, time.Millisecond)
	})
}

func TestReportIsResentAfterDisconnect(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.report = func(_ *wire.Report, number int) wire.PutCode {
			if number == 1 {
				one.conns[0].Close()
			}
			return wire.PutAccepted
		}
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		require.Eventually(t, func() bool { return one.countClaims() > 0 }, testTimeout, time.Millisecond)
		c.Report(wire.Report{ID: "0.x", Kind: wire.ReportDone})
		require.Eventually(t, func() bool { return c.Pending() == 0 }, testTimeout, time.Millisecond)
		assert.GreaterOrEqual(t, one.countReports(), 2)
	})
}
