package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/edge/worker"
)

func TestBacklogsCountMessagesByState(t *testing.T) {
	h := newHarness(t)
	h.accept("/s/", "running")
	ordered := messageTo("/s/", "ordered")
	ordered.Ordered = true
	h.record(h.core.Accept(h.now, ordered, false))
	broken := messageTo("/p/", "broken")
	h.record(h.core.Accept(h.now, broken, false))
	for range 2 { // the first retry is immediate, the second follows a pause
		d := h.deliveries[len(h.deliveries)-1]
		h.finishAttempt(d, worker.Broken)
	}

	assert.Empty(t, h.core.Backlogs(h.now, time.Millisecond), "no message has been due for that long")
	h.now += 20 * ms
	assert.Equal(t, []Backlog{
		{Service: "s", Oldest: 20 * ms, BackingOff: 1, Workers: 3},
		{Service: "safe", Oldest: 20 * ms, InFlight: 1, KeyOrder: 1, Workers: 3},
	}, h.core.Backlogs(h.now, 20*ms))
}

func TestBacklogsCountWorkersAtCapacity(t *testing.T) {
	h := newHarness(t)
	h.accept("/s/", "m")
	h.finishAttempt(h.takeDelivery(), worker.AtCapacity)
	h.finishAttempt(h.takeDelivery(), worker.Unreachable)
	h.now += ms
	backlogs := h.core.Backlogs(h.now, ms)
	assert.Len(t, backlogs, 1)
	assert.Equal(t, 1, backlogs[0].AtCapacity)
	assert.Equal(t, 1, backlogs[0].Unhealthy)
}

func TestBacklogsExcludeDelayedMessages(t *testing.T) {
	h := newHarness(t)
	m := messageTo("/s/", "m")
	m.DelayMs = 5000
	h.record(h.core.Accept(h.now, m, false))
	assert.Empty(t, h.core.Backlogs(h.now+4*time.Second, 0))
}
