package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

const ms = time.Millisecond

// world drives a Core by a clock of its own.
type world struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	config  catalog.Config
	workers wire.Workers

	deliveries []Deliver
	cancels    []Cancel
	reports    []wire.Report
}

// edgesOf lists edges of zone z1.
func edgesOf(ids ...string) (edges []wire.Edge) {
	for _, id := range ids {
		edges = append(edges, wire.Edge{ID: id, Zone: "z1"})
	}
	return edges
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, now: time.Second}
	w.core = NewCore(Config{
		Topology: Topology{Edge: "e1", Zone: "z1", Zones: []string{"z1", "z2"}, Edges: edgesOf("e1")},
		Window:   5 * time.Second, Overshoot: 1.1, Converge: 3 * time.Second, Seed: 1,
	})
	w.config = catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			{Name: "plain", Host: "a.example", PathPrefix: "/p/", Type: DeferredType, Service: "s", TimeoutMs: 600, Retries: 3, RetentionS: 90},
			{Name: "safe", Host: "a.example", PathPrefix: "/s/", Type: DeferredType, Service: "safe", TimeoutMs: 600, Retries: 3, RetentionS: 90},
			{Name: "limited", Host: "a.example", PathPrefix: "/l/", Type: DeferredType, Service: "limited", TimeoutMs: 600, Retries: 3, RetentionS: 90},
		},
		Services: []catalog.Service{
			{Name: "s", MaxConns: 100}, {Name: "safe", MaxConns: 100, Idempotent: true},
			{Name: "limited", MaxConns: 10, RatePerS: 4, Endpoint: "10.0.0.9:80"},
		},
	}
	for _, service := range []string{"s", "safe"} {
		for i := range 3 {
			w.workers.Entries = append(w.workers.Entries, wire.Worker{
				ID: fmt.Sprintf("%s-%d", service, i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z1", Capacity: 4,
			})
		}
	}
	w.configure()
	w.listWorkers()
	return w
}

func (w *world) configure() {
	config := w.config
	config.Routes = append([]catalog.Route(nil), config.Routes...)
	config.Services = append([]catalog.Service(nil), config.Services...)
	w.apply(w.core.ApplyConfig(w.now, catalog.NewIndex(&config)))
}

func (w *world) listWorkers() {
	workers := wire.Workers{Entries: append([]wire.Worker(nil), w.workers.Entries...)}
	w.apply(w.core.SetWorkers(w.now, &workers))
}

func (w *world) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Deliver:
			w.deliveries = append(w.deliveries, a)
		case Cancel:
			w.cancels = append(w.cancels, a)
		case Report:
			w.reports = append(w.reports, a.Report)
		}
	}
}

// pass lets time go by, ticking when the core wants to be.
func (w *world) pass(span time.Duration) {
	until := w.now + span
	for w.core.Next() <= until {
		w.now = max(w.now, w.core.Next())
		w.apply(w.core.Tick(w.now))
	}
	w.now = until
}

func messageTo(path, id string) *wire.Message {
	return &wire.Message{
		ID: "0." + id, RequestID: id, Method: "POST", Host: "a.example", Target: path, Body: []byte("body"),
		RetentionMs: 90000, Retries: 3,
	}
}

func (w *world) accept(path, id string) { w.apply(w.core.Accept(w.now, messageTo(path, id), false)) }

// sent returns the only delivery since the last look.
func (w *world) sent() Deliver {
	w.t.Helper()
	require.Len(w.t, w.deliveries, 1)
	d := w.deliveries[0]
	w.deliveries = nil
	return d
}

func (w *world) sentNothing() {
	w.t.Helper()
	require.Empty(w.t, w.deliveries)
}

func (w *world) end(d Deliver, outcome worker.Outcome) {
	result := worker.Result{Outcome: outcome, Took: 10 * ms}
	if outcome == worker.Done {
		result.Signature = "sig"
	}
	w.apply(w.core.FinishAttempt(w.now, d.Job, d.Attempt, result))
}

func (w *world) reported() wire.Report {
	w.t.Helper()
	require.Len(w.t, w.reports, 1)
	r := w.reports[0]
	w.reports = nil
	return r
}

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

func TestDoneIsReportedAndOwnedUntilAcknowledged(t *testing.T) {
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
	assert.Empty(t, w.core.jobs)
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

func TestFailuresOfBeforeCount(t *testing.T) {
	w := newWorld(t)
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: "0.1", HasMessage: true, Failed: 2, Message: *messageTo("/p/", "1")}))
	w.end(w.sent(), worker.Failed)
	assert.Equal(t, wire.Report{ID: "0.1", Kind: wire.ReportDead, Failed: 3}, w.reported())
}

func TestRefusedForGoodIsDead(t *testing.T) {
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

func TestFullWorkersAreTriedForEver(t *testing.T) {
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

func TestDelayIsKept(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/p/", "1")
	m.DelayMs = 1500
	w.apply(w.core.Accept(w.now, m, false))
	w.pass(1499 * ms)
	w.sentNothing()
	w.pass(1 * ms)
	w.sent()
}

// The store has kept the delay, and it keeps the end: the time of day, which may be off by any amount, moves neither.
func TestGrantWithItsMessageIsDue(t *testing.T) {
	for _, sent := range []int64{0, time.Now().UnixMilli(), time.Now().Add(time.Hour).UnixMilli()} {
		w := newWorld(t)
		m := messageTo("/p/", "1")
		m.DelayMs, m.SentUnixMs = 1500, sent
		w.apply(w.core.Grant(w.now, &wire.Grant{ID: m.ID, HasMessage: true, Message: *m}))
		w.end(w.sent(), worker.Done)
		assert.Equal(t, wire.ReportDone, w.reported().Kind)
	}
}

func TestOrderedMessageWaitsForItsGrant(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/p/", "1")
	m.Ordered, m.Key = true, "k"
	w.apply(w.core.Accept(w.now, m, false))
	w.pass(10 * time.Second)
	w.sentNothing()
	grant := &wire.Grant{ID: m.ID}
	w.apply(w.core.Grant(w.now, grant))
	d := w.sent()
	w.apply(w.core.Grant(w.now, grant)) // repeated
	w.sentNothing()
	w.end(d, worker.Done)
	w.reported()
	w.apply(w.core.Grant(w.now, grant)) // and after its end
	w.sentNothing()
	assert.Empty(t, w.reports)
}

func TestGrantBeforeTheDelayIsOver(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/p/", "1")
	m.Ordered, m.Key, m.DelayMs = true, "k", 1000
	w.apply(w.core.Accept(w.now, m, true))
	w.pass(999 * ms)
	w.sentNothing()
	w.pass(1 * ms)
	w.sent()
}

func TestGrantOfAnOwnedMessageChangesNothing(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	d := w.sent()
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: "0.1", HasMessage: true, Message: *messageTo("/p/", "1")}))
	w.sentNothing()
	w.end(d, worker.Done)
	assert.Equal(t, wire.ReportDone, w.reported().Kind)
}

func TestGrantOfAnUnknownMessageIsGivenBack(t *testing.T) {
	w := newWorld(t)
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: "0.7"}))
	assert.Equal(t, wire.Report{ID: "0.7", Kind: wire.ReportReleased}, w.reported())
}

func TestGivenBackMessageMayBeGrantedAgain(t *testing.T) {
	w := newWorld(t)
	w.config.Services[2].RatePerS = 4
	w.apply(w.core.SetEdges(w.now, edgesOf("other"))) // this edge has no share of any ceiling
	w.accept("/l/", "1")
	assert.Empty(t, w.reports, "it may come again at once: not too fast")
	w.pass(releaseDelay)
	assert.Equal(t, wire.ReportReleased, w.reported().Kind)
	w.apply(w.core.SetEdges(w.now, edgesOf("e1")))
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: "0.1", HasMessage: true, Message: *messageTo("/l/", "1")}))
	w.apply(w.core.Acknowledged(w.now, "0.1")) // of the release: too late to matter
	w.pass(2 * time.Second)
	w.sent()
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

func TestRetentionEndsAMessageThatWaitsForItsTurn(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/p/", "1")
	m.Ordered, m.Key = true, "k"
	w.apply(w.core.Accept(w.now, m, false))
	w.pass(92 * time.Second)
	assert.Equal(t, wire.ReportExpired, w.reported().Kind)
}

func TestRemovedRouteDropsItsMessages(t *testing.T) {
	w := newWorld(t)
	delayed := messageTo("/p/", "1")
	delayed.DelayMs = 5000
	w.apply(w.core.Accept(w.now, delayed, false))
	w.accept("/p/", "2")
	running := w.sent()
	w.config.Routes = w.config.Routes[1:]
	w.configure()
	assert.Equal(t, wire.Report{ID: "0.1", Kind: wire.ReportDropped}, w.reported())
	w.end(running, worker.Broken)
	assert.Equal(t, wire.Report{ID: "0.2", Kind: wire.ReportDropped}, w.reported())
	w.pass(10 * time.Second)
	w.sentNothing()
}

func TestRunThatSucceedsAfterItsRouteWasRemovedIsDone(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "2")
	running := w.sent()
	w.config.Routes = w.config.Routes[1:]
	w.configure()
	w.end(running, worker.Done)
	assert.Equal(t, wire.ReportDone, w.reported().Kind)
}

func TestGrantedMessageWaitsForARouteThatMayBeNew(t *testing.T) {
	w := newWorld(t)
	grant := func(id string) {
		w.apply(w.core.Grant(w.now, &wire.Grant{ID: "0." + id, HasMessage: true, Message: *messageTo("/new/", id)}))
	}
	grant("1")
	w.pass(2 * time.Second)
	assert.Empty(t, w.reports)
	w.config.Routes = append(w.config.Routes, catalog.Route{
		Name: "new", Host: "a.example", PathPrefix: "/new/", Type: DeferredType, Service: "s", TimeoutMs: 600, Retries: 3, RetentionS: 90,
	})
	w.configure()
	w.pass(time.Second)
	w.end(w.sent(), worker.Done)
	w.reported()
	w.config.Routes = w.config.Routes[:3]
	w.configure()
	grant("2")
	w.pass(5 * time.Second)
	assert.Equal(t, wire.ReportDropped, w.reported().Kind)
}

func TestNewestServiceAndTimeoutAreUsed(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	first := w.sent()
	w.config.Routes[0].Service, w.config.Routes[0].TimeoutMs = "safe", 900
	w.configure()
	w.end(first, worker.Broken)
	second := w.sent().Delivery
	assert.Contains(t, second.Worker, "safe-")
	assert.Equal(t, 900*ms, second.Limit)
}

// The module must not send a waiting job to the service of before.
func TestJobThatWaitsForCapacityFollowsItsRoute(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	for range 3 { // full everywhere: the module holds it, or it comes back
		if len(w.deliveries) == 0 {
			w.pass(10 * ms)
			continue
		}
		d := w.deliveries[0]
		w.deliveries = nil
		w.end(d, worker.AtCapacity)
	}
	w.deliveries = nil
	w.config.Routes[0].Service = "safe"
	w.configure()
	w.pass(3 * time.Second)
	for _, d := range w.deliveries {
		assert.Contains(t, d.Delivery.Worker, "safe-")
	}
	assert.NotEmpty(t, w.deliveries)
}

func TestDrainingAndRemovedWorkersGetNothing(t *testing.T) {
	w := newWorld(t)
	w.workers.Entries[0].Draining = true
	w.workers.Entries = append(w.workers.Entries[:1], w.workers.Entries[2:]...) // s-0 drains, s-1 is gone
	w.listWorkers()
	for i := range 30 {
		w.accept("/p/", fmt.Sprint(i))
		w.pass(20 * ms)
	}
	for _, d := range w.deliveries {
		assert.Equal(t, "s-2", d.Delivery.Worker)
	}
	assert.NotEmpty(t, w.deliveries)
}

func TestWorkersThatReturnAreUsedAtOnce(t *testing.T) {
	w := newWorld(t)
	all := w.workers.Entries
	w.workers.Entries = nil
	w.listWorkers()
	w.accept("/p/", "1")
	w.pass(20 * time.Second)
	w.sentNothing()
	w.workers.Entries = all
	w.listWorkers()
	w.apply(w.core.Tick(w.now))
	w.sent()
}

func TestUnknownMessageIsLetGo(t *testing.T) {
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

func TestStopGivesBackWhatIsNotUnderWay(t *testing.T) {
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

func TestStopAfterNotRunGivesBack(t *testing.T) {
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

func TestOwnedBodiesAreBounded(t *testing.T) {
	w := newWorld(t)
	w.core.config.MaxBodies = 2000
	m := messageTo("/p/", "1")
	m.Body = make([]byte, 1500)
	w.apply(w.core.Accept(w.now, m, false))
	w.sent()
	other := messageTo("/p/", "2")
	other.Body = make([]byte, 1500)
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: other.ID, HasMessage: true, Message: *other}))
	w.pass(releaseDelay)
	assert.Equal(t, wire.ReportReleased, w.reported().Kind)
	w.sentNothing()
}

func TestConnectionsAreShared(t *testing.T) {
	w := newWorld(t)
	for i := range w.workers.Entries {
		w.workers.Entries[i].Capacity = 100
	}
	w.listWorkers()
	assert.Equal(t, 80, w.core.Connections()["s-0"].Max)
	assert.Equal(t, 8, w.core.Connections()["10.0.0.9:80"].Max)
	w.apply(w.core.SetEdges(w.now, edgesOf("e1", "e2", "e3", "e4")))
	assert.Equal(t, 20, w.core.Connections()["s-0"].Max)
	many := make([]wire.Edge, 300)
	for i := range many {
		many[i] = wire.Edge{ID: fmt.Sprintf("e%d", i), Zone: "z1"}
	}
	w.apply(w.core.SetEdges(w.now, many))
	assert.Equal(t, 1, w.core.Connections()["s-0"].Max)
	assert.True(t, w.core.Connections()["s-0"].Scarce, "not all edges can have one")
}

// A list of edges that is short for a moment, as after a change of the leader, frees no connections: the others still have theirs.
func TestConnectionsAreSharedWithEdgesOfAMomentAgo(t *testing.T) {
	w := newWorld(t)
	w.workers.Entries[0].Capacity = 100
	w.listWorkers()
	w.apply(w.core.SetEdges(w.now, edgesOf("e1", "e2", "e3", "e4")))
	w.pass(time.Second)
	w.apply(w.core.SetEdges(w.now, edgesOf("e1")))
	assert.Equal(t, 20, w.core.Connections()["s-0"].Max)
	w.pass(time.Second)
	w.apply(w.core.SetEdges(w.now, edgesOf("e1", "e2")))
	w.pass(edgePeakWindow - 2*time.Second)
	w.listWorkers()
	assert.Equal(t, 20, w.core.Connections()["s-0"].Max)
	w.pass(2 * time.Second)
	w.listWorkers()
	assert.Equal(t, 40, w.core.Connections()["s-0"].Max)
}

func TestConnectionsAreBoundByCapacity(t *testing.T) {
	w := newWorld(t)
	assert.Equal(t, 4+connectionSlack, w.core.Connections()["s-0"].Max)
}

func TestEndpointGetsNoExpectedInstance(t *testing.T) {
	w := newWorld(t)
	w.accept("/l/", "1")
	w.pass(2 * time.Second)
	d := w.sent().Delivery
	assert.Equal(t, "10.0.0.9:80", d.Address)
	assert.Empty(t, d.Instance)
}
