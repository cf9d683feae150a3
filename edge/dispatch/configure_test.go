package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

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
	for range 3 { // rejected everywhere: the module keeps it, or it comes back
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
	w.workers.Entries = append(w.workers.Entries[:1], w.workers.Entries[2:]...) // s-0 drains, s-1 is removed
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
