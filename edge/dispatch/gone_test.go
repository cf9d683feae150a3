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
	w.list()
	w.accept("/p/", "1")
	w.end(w.sent(), worker.WrongWorker)
	w.accept("/p/", "2")
	w.pass(goneFor / 2)
	w.unsent()
	assert.NotContains(t, w.core.Connections(), "s-0")
	w.list() // as it was
	w.pass(goneFor/2 - ms)
	w.unsent()
	w.workers.Entries[0].ID = "s-9"
	w.list()
	assert.Empty(t, w.core.gone.until)
	w.pass(0)
	assert.Len(t, w.out, 2, "both at once")
	for _, d := range w.out {
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
		for _, d := range w.out {
			assert.NotEqual(t, first.Delivery.Instance, d.Delivery.Instance)
			w.end(d, worker.Failed)
		}
		w.out = nil
	}
}

// Should it have been the worker after all, it is not lost for good.
func TestWorkerThatSeemedReplacedIsTriedAgain(t *testing.T) {
	w := newWorld(t)
	w.workers.Entries = w.workers.Entries[:1]
	w.list()
	w.accept("/p/", "1")
	w.end(w.sent(), worker.WrongWorker)
	w.pass(goneFor)
	w.pass(0)
	w.end(w.sent(), worker.Done)
	w.pass(time.Second)
	assert.Zero(t, w.core.gone.next)
}
