package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

func TestDeliveryCarriesTheMessage(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/p/x%2F?a=b", "1")
	m.Key, m.ContentType = "k", "text/x"
	w.apply(w.core.Accept(w.now, m, false))
	d := w.sent().Delivery
	assert.Equal(t, d.Worker, d.Instance)
	d.Worker, d.Instance, d.Address = "", "", ""
	assert.Equal(t, worker.Delivery{
		Method: "POST", Host: "a.example", Target: "/p/x%2F?a=b", RequestID: "1", OrderKey: "k", ContentType: "text/x",
		Body: []byte("body"), Limit: 600 * ms,
	}, d)
}

func TestDoneIsReportedAndKeptUntilAcknowledged(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	assert.NotZero(t, w.core.MessageBytes())
	w.end(w.sent(), worker.Done)
	assert.Equal(t, wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "sig"}, w.reported())
	assert.Zero(t, w.core.MessageBytes(), "the body is let go")
	assert.Equal(t, []string{"0.1"}, w.core.MessageIDs())
	w.pass(100 * time.Second)
	assert.Empty(t, w.reports)
	w.apply(w.core.Acknowledged(w.now, "0.1"))
	assert.True(t, w.core.Idle())
	assert.Empty(t, w.core.jobs.byID)
}

func TestARateLimitedServiceWithoutABoundOnConnectionsIsSentTo(t *testing.T) {
	w := newWorld(t)
	w.config.Services[2].MaxConns = 0
	w.configure()
	w.accept("/l/x", "m1")
	w.pass(time.Second)
	require.Equal(t, "m1", w.sent().Delivery.RequestID)
}

func TestFailedAttemptsAreCountedToTheEnd(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	w.end(w.sent(), worker.Failed)
	assert.Equal(t, wire.Report{ID: "0.1", Kind: wire.ReportFailed, Failed: 1}, w.reported())
	w.end(w.sent(), worker.Failed) // the second attempt went out at once
	assert.EqualValues(t, 2, w.reported().Failed)
	w.sentNothing()
	w.pass(minFailureBackoff)
	w.end(w.sent(), worker.Failed)
	assert.Equal(t, wire.Report{ID: "0.1", Kind: wire.ReportDead, Failed: 3}, w.reported())
	w.pass(10 * time.Second)
	w.sentNothing()
}

func TestEarlierFailuresCount(t *testing.T) {
	w := newWorld(t)
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: "0.1", HasMessage: true, Failed: 2, Message: *messageTo("/p/", "1")}))
	w.end(w.sent(), worker.Failed)
	assert.Equal(t, wire.Report{ID: "0.1", Kind: wire.ReportDead, Failed: 3}, w.reported())
}

func TestRejectedIsDead(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	w.end(w.sent(), worker.Rejected)
	assert.Equal(t, wire.ReportDead, w.reported().Kind)
}

func TestUnknownOutcomesAreNoAttempts(t *testing.T) {
	for _, path := range []string{"/p/", "/s/"} {
		for _, outcome := range []worker.Outcome{worker.Broken, worker.TimedOut} {
			w := newWorld(t)
			w.accept(path, "1")
			w.end(w.sent(), outcome)
			d := w.sent() // the next one at once
			for range 6 {
				w.end(d, outcome)
				w.pass(5 * time.Second)
				require.NotEmpty(t, w.deliveries)
				d, w.deliveries = w.deliveries[0], nil
			}
			assert.Empty(t, w.reports)
			w.end(d, worker.Done)
			assert.Equal(t, wire.ReportDone, w.reported().Kind)
		}
	}
}

func TestWhatDidNotRunIsTriedElsewhere(t *testing.T) {
	for _, outcome := range []worker.Outcome{worker.AtCapacity, worker.Unreachable, worker.WrongWorker, worker.NoConnection, worker.NotRun} {
		w := newWorld(t)
		w.accept("/p/", "1")
		w.end(w.sent(), outcome)
		w.pass(150 * ms)
		w.end(w.sent(), worker.Done)
		assert.Equal(t, wire.ReportDone, w.reported().Kind)
	}
}

func TestWorkersAtCapacityAreRetriedForEver(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	for range 20 {
		require.NotEmpty(t, w.deliveries)
		d := w.deliveries[0]
		w.deliveries = nil
		w.end(d, worker.AtCapacity)
		w.pass(4 * time.Second)
	}
	assert.Empty(t, w.reports)
}

func TestDuplicateIsRetriedALittleLater(t *testing.T) {
	w := newWorld(t)
	w.accept("/s/", "1")
	w.end(w.sent(), worker.Duplicate)
	w.sentNothing()
	w.pass(duplicateDelay)
	w.end(w.sent(), worker.Done)
	assert.Equal(t, wire.ReportDone, w.reported().Kind)
}

func TestRetentionEndsAMessage(t *testing.T) {
	w := newWorld(t)
	w.workers.Entries = nil
	w.listWorkers()
	w.accept("/p/", "1")
	w.pass(90*time.Second + expiryMargin - ms)
	assert.Empty(t, w.reports)
	w.pass(2 * time.Second)
	assert.Equal(t, wire.ReportExpired, w.reported().Kind)
}

func TestRetentionEndsAMessageThatWaitsInItsKeyOrder(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/p/", "1")
	m.Ordered, m.Key = true, "k"
	w.apply(w.core.Accept(w.now, m, false))
	w.pass(92 * time.Second)
	assert.Equal(t, wire.ReportExpired, w.reported().Kind)
}

func TestUnknownMessageIsForgotten(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	d := w.sent()
	w.apply(w.core.Unknown(w.now, "0.1"))
	assert.Equal(t, []Cancel{{Job: d.Job, Attempt: d.Attempt}}, w.cancels)
	w.end(d, worker.Cancelled)
	w.pass(5 * time.Second)
	w.sentNothing()
	assert.Empty(t, w.reports)
	assert.True(t, w.core.Idle())
	assert.Zero(t, w.core.MessageBytes())
}

func TestUnknownMessageThatIsCompletedKeepsItsReport(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	w.end(w.sent(), worker.Done)
	w.apply(w.core.Unknown(w.now, "0.1"))
	assert.False(t, w.core.Idle())
	w.apply(w.core.Acknowledged(w.now, "0.1"))
	assert.True(t, w.core.Idle())
}

func TestStopReleasesWhatIsNotInFlight(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	running := w.sent()
	failing := messageTo("/p/", "2")
	w.apply(w.core.Accept(w.now, failing, false))
	second := w.sent()
	delayed := messageTo("/p/", "3")
	delayed.DelayMs = 5000
	w.apply(w.core.Accept(w.now, delayed, false))
	w.apply(w.core.Stop(w.now))
	assert.Equal(t, wire.Report{ID: "0.3", Kind: wire.ReportReleased}, w.reported())
	w.end(running, worker.Done)
	assert.Equal(t, wire.ReportDone, w.reported().Kind)
	w.end(second, worker.Failed)
	assert.Equal(t, []wire.Report{
		{ID: "0.2", Kind: wire.ReportFailed, Failed: 1}, {ID: "0.2", Kind: wire.ReportReleased, Failed: 1},
	}, w.reports)
	w.reports = nil
	w.accept("/p/", "4") // a put that was under way
	assert.Equal(t, wire.Report{ID: "0.4", Kind: wire.ReportReleased}, w.reported())
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: "0.5", HasMessage: true, Message: *messageTo("/p/", "5")}))
	assert.Equal(t, wire.Report{ID: "0.5", Kind: wire.ReportReleased}, w.reported())
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		w.apply(w.core.Acknowledged(w.now, "0."+id))
	}
	assert.True(t, w.core.Idle())
	assert.Zero(t, w.core.InFlight())
}

func TestStopAfterNotRunReleases(t *testing.T) {
	for _, outcome := range []worker.Outcome{worker.AtCapacity, worker.Unreachable, worker.Duplicate, worker.Broken} {
		w := newWorld(t)
		w.accept("/p/", "1")
		d := w.sent()
		w.apply(w.core.Stop(w.now))
		w.end(d, outcome)
		w.sentNothing()
		assert.Equal(t, wire.ReportReleased, w.reported().Kind)
	}
}

func TestEndpointGetsNoExpectedInstance(t *testing.T) {
	w := newWorld(t)
	w.accept("/l/", "1")
	w.pass(2 * time.Second)
	d := w.sent().Delivery
	assert.Equal(t, "10.0.0.9:80", d.Address)
	assert.Empty(t, d.Instance)
}
