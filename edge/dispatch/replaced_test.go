package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/edge/worker"
)

// Another worker runs at the address of a worker whose machine restarted. The list still names the old one.
func TestReplacedWorkerIsExcluded(t *testing.T) {
	h := newHarness(t)
	h.workers.Entries = h.workers.Entries[:1]
	h.listWorkers()
	h.accept("/p/", "1")
	h.finishAttempt(h.takeDelivery(), worker.WrongWorker)
	h.accept("/p/", "2")
	h.advance(replacedTTL / 2)
	h.requireNoDelivery()
	assert.NotContains(t, h.core.Connections(), "s-0")
	h.listWorkers() // unchanged
	h.advance(replacedTTL/2 - ms)
	h.requireNoDelivery()
	h.workers.Entries[0].ID = "s-9"
	h.listWorkers()
	assert.Empty(t, h.core.replaced.until)
	h.advance(0)
	assert.Len(t, h.deliveries, 2, "both messages are sent immediately")
	for _, d := range h.deliveries {
		assert.Equal(t, "s-9", d.Delivery.Instance)
	}
}

func TestOtherWorkersAreUsedAfterReplacement(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	first := h.takeDelivery()
	h.finishAttempt(first, worker.WrongWorker)
	second := h.takeDelivery()
	assert.NotEqual(t, first.Delivery.Instance, second.Delivery.Instance)
	for range 20 {
		h.accept("/p/", "2")
		for _, d := range h.deliveries {
			assert.NotEqual(t, first.Delivery.Instance, d.Delivery.Instance)
			h.finishAttempt(d, worker.Failed)
		}
		h.deliveries = nil
	}
}

// A worker that still is at its address after all is used again after replacedTTL.
func TestReplacedWorkerIsRetriedAfterTTL(t *testing.T) {
	h := newHarness(t)
	h.workers.Entries = h.workers.Entries[:1]
	h.listWorkers()
	h.accept("/p/", "1")
	h.finishAttempt(h.takeDelivery(), worker.WrongWorker)
	h.advance(replacedTTL)
	h.advance(0)
	h.finishAttempt(h.takeDelivery(), worker.Done)
	h.advance(time.Second)
	assert.Zero(t, h.core.replaced.nextExpiry)
}
