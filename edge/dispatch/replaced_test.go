package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/edge/worker"
)

// The worker's machine is back, with another instance at its address; the list still names the one before.
func TestWorkerThatAnotherReplacedGetsNothingMore(t *testing.T) {
	w := newWorld(t)
	w.workers.Entries = w.workers.Entries[:1]
	w.listWorkers()
	w.accept("/p/", "1")
	w.end(w.sent(), worker.WrongWorker)
	w.accept("/p/", "2")
	w.pass(replacedFor / 2)
	w.sentNothing()
	assert.NotContains(t, w.core.Connections(), "s-0")
	w.listWorkers() // as it was
	w.pass(replacedFor/2 - ms)
	w.sentNothing()
	w.workers.Entries[0].ID = "s-9"
	w.listWorkers()
	assert.Empty(t, w.core.replaced.until)
	w.pass(0)
	assert.Len(t, w.deliveries, 2, "both at once")
	for _, d := range w.deliveries {
		assert.Equal(t, "s-9", d.Delivery.Instance)
	}
}

func TestOthersGoOnWhenAWorkerWasReplaced(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	first := w.sent()
	w.end(first, worker.WrongWorker)
	second := w.sent()
	assert.NotEqual(t, first.Delivery.Instance, second.Delivery.Instance)
	for range 20 {
		w.accept("/p/", "2")
		for _, d := range w.deliveries {
			assert.NotEqual(t, first.Delivery.Instance, d.Delivery.Instance)
			w.end(d, worker.Failed)
		}
		w.deliveries = nil
	}
}

// Should it have been the worker after all, it is not lost for good.
func TestWorkerThatSeemedReplacedIsTriedAgain(t *testing.T) {
	w := newWorld(t)
	w.workers.Entries = w.workers.Entries[:1]
	w.listWorkers()
	w.accept("/p/", "1")
	w.end(w.sent(), worker.WrongWorker)
	w.pass(replacedFor)
	w.pass(0)
	w.end(w.sent(), worker.Done)
	w.pass(time.Second)
	assert.Zero(t, w.core.replaced.next)
}
