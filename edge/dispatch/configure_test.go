package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

func TestRemovedRouteDropsMessages(t *testing.T) {
	h := newHarness(t)
	delayed := messageTo("/p/", "1")
	delayed.DelayMs = 5000
	h.record(h.core.Accept(h.now, delayed, false))
	h.accept("/p/", "2")
	attempt := h.takeDelivery()
	h.config.Routes = h.config.Routes[1:]
	h.configure()
	h.confirm()
	assert.Equal(t, droppedBy("0.1", 1), h.takeReport())
	h.finishAttempt(attempt, worker.Broken)
	assert.Equal(t, droppedBy("0.2", 1), h.takeReport())
	h.advance(10 * time.Second)
	h.requireNoDelivery()
}

func TestSuccessAfterRouteWasRemoved(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "2")
	attempt := h.takeDelivery()
	h.config.Routes = h.config.Routes[1:]
	h.configure()
	h.finishAttempt(attempt, worker.Done)
	assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
}

func TestRetryUsesCurrentServiceAndTimeout(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	first := h.takeDelivery()
	h.config.Routes[0].Service, h.config.Routes[0].TimeoutMs = "safe", 900
	h.configure()
	h.finishAttempt(first, worker.Broken)
	second := h.takeDelivery().Delivery
	assert.Contains(t, second.Worker, "safe-")
	assert.Equal(t, 900*ms, second.Limit)
}

// A job that waits with its module must not be sent to the old service once its route leads to another.
func TestWaitingJobFollowsRoute(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	for range 3 { // rejected by all workers: the job waits with the module, or the message is queued again
		if len(h.deliveries) == 0 {
			h.advance(10 * ms)
			continue
		}
		d := h.deliveries[0]
		h.deliveries = nil
		h.finishAttempt(d, worker.AtCapacity)
	}
	h.deliveries = nil
	h.config.Routes[0].Service = "safe"
	h.configure()
	h.advance(3 * time.Second)
	for _, d := range h.deliveries {
		assert.Contains(t, d.Delivery.Worker, "safe-")
	}
	assert.NotEmpty(t, h.deliveries)
}

func TestNoDeliveryToDrainingOrRemovedWorkers(t *testing.T) {
	h := newHarness(t)
	h.workers.Entries[0].Draining = true
	h.workers.Entries = append(h.workers.Entries[:1], h.workers.Entries[2:]...) // s-0 is draining, s-1 is removed
	h.listWorkers()
	for i := range 30 {
		h.accept("/p/", fmt.Sprint(i))
		h.advance(20 * ms)
	}
	for _, d := range h.deliveries {
		assert.Equal(t, "s-2", d.Delivery.Worker)
	}
	assert.NotEmpty(t, h.deliveries)
}

func TestReturningWorkersAreUsedAtOnce(t *testing.T) {
	h := newHarness(t)
	all := h.workers.Entries
	h.workers.Entries = nil
	h.listWorkers()
	h.accept("/p/", "1")
	h.advance(20 * time.Second)
	h.requireNoDelivery()
	h.workers.Entries = all
	h.listWorkers()
	h.record(h.core.Tick(h.now))
	h.takeDelivery()
}
