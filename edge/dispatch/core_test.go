package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

func TestDeliveryFields(t *testing.T) {
	h := newHarness(t)
	m := messageTo("/p/x%2F?a=b", "1")
	m.Key, m.ContentType = "k", "text/x"
	h.record(h.core.Accept(h.now, m, false))
	d := h.takeDelivery().Delivery
	assert.Equal(t, d.Worker, d.Instance)
	d.Worker, d.Instance, d.Address = "", "", ""
	assert.Equal(t, worker.Delivery{
		Method: "POST", Host: "a.example", Target: "/p/x%2F?a=b", RequestID: "1", OrderKey: "k", ContentType: "text/x",
		Body: []byte("body"), Limit: 600 * ms,
	}, d)
}

func TestDoneMessageKeptUntilAcknowledged(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	assert.NotZero(t, h.core.MessageBytes())
	h.finishAttempt(h.takeDelivery(), worker.Done)
	assert.Equal(t, wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "sig"}, h.takeReport())
	assert.Zero(t, h.core.MessageBytes(), "the body of a reported message is freed")
	assert.Equal(t, []string{"0.1"}, h.core.MessageIDs())
	h.advance(100 * time.Second)
	assert.Empty(t, h.reports)
	h.record(h.core.Acknowledged(h.now, "0.1"))
	assert.True(t, h.core.Idle())
	assert.Empty(t, h.core.jobs.byID)
}

func TestRateLimitWithoutConnectionLimit(t *testing.T) {
	h := newHarness(t)
	h.config.Services[2].MaxConns = 0
	h.configure()
	h.accept("/l/x", "m1")
	h.advance(time.Second)
	require.Equal(t, "m1", h.takeDelivery().Delivery.RequestID)
}

func TestFailedAttemptsUntilDead(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	h.finishAttempt(h.takeDelivery(), worker.Failed)
	assert.Equal(t, wire.Report{ID: "0.1", Kind: wire.ReportFailed, Failed: 1}, h.takeReport())
	h.finishAttempt(h.takeDelivery(), worker.Failed) // the second attempt was sent immediately
	assert.EqualValues(t, 2, h.takeReport().Failed)
	h.requireNoDelivery()
	h.advance(minFailureBackoff)
	h.finishAttempt(h.takeDelivery(), worker.Failed)
	assert.Equal(t, wire.Report{ID: "0.1", Kind: wire.ReportDead, Failed: 3}, h.takeReport())
	h.advance(10 * time.Second)
	h.requireNoDelivery()
}

func TestGrantedFailuresAreCounted(t *testing.T) {
	h := newHarness(t)
	h.grant(&wire.Grant{ID: "0.1", HasMessage: true, Failed: 2, Message: *messageTo("/p/", "1")})
	h.finishAttempt(h.takeDelivery(), worker.Failed)
	assert.Equal(t, wire.Report{ID: "0.1", Kind: wire.ReportDead, Failed: 3}, h.takeReport())
}

func TestRejectedMessageIsDead(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	h.finishAttempt(h.takeDelivery(), worker.Rejected)
	assert.Equal(t, wire.ReportDead, h.takeReport().Kind)
}

func TestUnknownOutcomesAreNotCountedAsFailures(t *testing.T) {
	for _, path := range []string{"/p/", "/s/"} {
		for _, outcome := range []worker.Outcome{worker.Broken, worker.TimedOut} {
			h := newHarness(t)
			h.accept(path, "1")
			h.finishAttempt(h.takeDelivery(), outcome)
			d := h.takeDelivery() // the next attempt is sent immediately
			for range 6 {
				h.finishAttempt(d, outcome)
				h.advance(5 * time.Second)
				require.NotEmpty(t, h.deliveries)
				d, h.deliveries = h.deliveries[0], nil
			}
			assert.Empty(t, h.reports)
			h.finishAttempt(d, worker.Done)
			assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
		}
	}
}

func TestAttemptThatDidNotRunIsRetried(t *testing.T) {
	for _, outcome := range []worker.Outcome{worker.AtCapacity, worker.Unreachable, worker.WrongWorker, worker.NoConnection, worker.NotRun} {
		h := newHarness(t)
		h.accept("/p/", "1")
		h.finishAttempt(h.takeDelivery(), outcome)
		h.advance(150 * ms)
		h.finishAttempt(h.takeDelivery(), worker.Done)
		assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
	}
}

func TestAtCapacityIsRetriedWithoutLimit(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	for range 20 {
		require.NotEmpty(t, h.deliveries)
		d := h.deliveries[0]
		h.deliveries = nil
		h.finishAttempt(d, worker.AtCapacity)
		h.advance(4 * time.Second)
	}
	assert.Empty(t, h.reports)
}

func TestDuplicateIsRetriedAfterDelay(t *testing.T) {
	h := newHarness(t)
	h.accept("/s/", "1")
	h.finishAttempt(h.takeDelivery(), worker.Duplicate)
	h.requireNoDelivery()
	h.advance(duplicateDelay)
	h.finishAttempt(h.takeDelivery(), worker.Done)
	assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
}

func TestMessageExpires(t *testing.T) {
	h := newHarness(t)
	h.workers.Entries = nil
	h.listWorkers()
	h.accept("/p/", "1")
	h.advance(90*time.Second + expiryMargin - ms)
	assert.Empty(t, h.reports)
	h.advance(2 * time.Second)
	assert.Equal(t, wire.ReportExpired, h.takeReport().Kind)
}

func TestMessageExpiresInKeyOrder(t *testing.T) {
	h := newHarness(t)
	m := messageTo("/p/", "1")
	m.Ordered, m.Key = true, "k"
	h.record(h.core.Accept(h.now, m, false))
	h.advance(92 * time.Second)
	assert.Equal(t, wire.ReportExpired, h.takeReport().Kind)
}

func TestUnknownMessageIsRemoved(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	d := h.takeDelivery()
	h.record(h.core.Unknown(h.now, "0.1"))
	assert.Equal(t, []Cancel{{Job: d.Job, Attempt: d.Attempt}}, h.cancels)
	h.finishAttempt(d, worker.Cancelled)
	h.advance(5 * time.Second)
	h.requireNoDelivery()
	assert.Empty(t, h.reports)
	assert.True(t, h.core.Idle())
	assert.Zero(t, h.core.MessageBytes())
}

func TestUnknownKeepsReportedMessage(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	h.finishAttempt(h.takeDelivery(), worker.Done)
	h.record(h.core.Unknown(h.now, "0.1"))
	assert.False(t, h.core.Idle())
	h.record(h.core.Acknowledged(h.now, "0.1"))
	assert.True(t, h.core.Idle())
}

func TestStopReleasesMessagesNotInFlight(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	firstAttempt := h.takeDelivery()
	failing := messageTo("/p/", "2")
	h.record(h.core.Accept(h.now, failing, false))
	secondAttempt := h.takeDelivery()
	delayed := messageTo("/p/", "3")
	delayed.DelayMs = 5000
	h.record(h.core.Accept(h.now, delayed, false))
	h.record(h.core.Stop(h.now))
	assert.Equal(t, wire.Report{ID: "0.3", Kind: wire.ReportReleased}, h.takeReport())
	h.finishAttempt(firstAttempt, worker.Done)
	assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
	h.finishAttempt(secondAttempt, worker.Failed)
	assert.Equal(t, []wire.Report{
		{ID: "0.2", Kind: wire.ReportFailed, Failed: 1}, {ID: "0.2", Kind: wire.ReportReleased, Failed: 1},
	}, h.reports)
	h.reports = nil
	h.accept("/p/", "4") // its put was in progress at the stop
	assert.Equal(t, wire.Report{ID: "0.4", Kind: wire.ReportReleased}, h.takeReport())
	h.grant(&wire.Grant{ID: "0.5", HasMessage: true, Message: *messageTo("/p/", "5")})
	assert.Equal(t, wire.Report{ID: "0.5", Kind: wire.ReportReleased}, h.takeReport())
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		h.record(h.core.Acknowledged(h.now, "0."+id))
	}
	assert.True(t, h.core.Idle())
	assert.Zero(t, h.core.InFlight())
}

func TestStopReleasesAfterLastAttempt(t *testing.T) {
	for _, outcome := range []worker.Outcome{worker.AtCapacity, worker.Unreachable, worker.Duplicate, worker.Broken} {
		h := newHarness(t)
		h.accept("/p/", "1")
		d := h.takeDelivery()
		h.record(h.core.Stop(h.now))
		h.finishAttempt(d, outcome)
		h.requireNoDelivery()
		assert.Equal(t, wire.ReportReleased, h.takeReport().Kind)
	}
}

func TestEndpointDeliveryHasNoInstance(t *testing.T) {
	h := newHarness(t)
	h.accept("/l/", "1")
	h.advance(2 * time.Second)
	d := h.takeDelivery().Delivery
	assert.Equal(t, "10.0.0.9:80", d.Address)
	assert.Empty(t, d.Instance)
}
