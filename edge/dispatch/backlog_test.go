package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/edge/worker"
)

func TestBacklogsShowWhereMessagesStand(t *testing.T) {
	w := newWorld(t)
	w.accept("/s/", "running")
	ordered := messageTo("/s/", "ordered")
	ordered.Ordered = true
	w.apply(w.core.Accept(w.now, ordered, false))
	broken := messageTo("/p/", "broken")
	w.apply(w.core.Accept(w.now, broken, false))
	for range 2 { // once more at once, then a pause
		d := w.deliveries[len(w.deliveries)-1]
		w.end(d, worker.Broken)
	}

	assert.Empty(t, w.core.Backlogs(w.now, time.Millisecond), "nothing is due for so long")
	w.now += 20 * ms
	assert.Equal(t, []Backlog{
		{Service: "s", Oldest: 20 * ms, BackingOff: 1, Workers: 3},
		{Service: "safe", Oldest: 20 * ms, InFlight: 1, KeyOrder: 1, Workers: 3},
	}, w.core.Backlogs(w.now, 20*ms))
}

func TestBacklogsCountWorkersAtCapacity(t *testing.T) {
	w := newWorld(t)
	w.accept("/s/", "m")
	w.end(w.sent(), worker.AtCapacity)
	w.end(w.sent(), worker.Unreachable)
	w.now += ms
	backlogs := w.core.Backlogs(w.now, ms)
	assert.Len(t, backlogs, 1)
	assert.Equal(t, 1, backlogs[0].AtCapacity)
	assert.Equal(t, 1, backlogs[0].Unhealthy)
}

func TestDelayedMessagesAreNoBacklog(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/s/", "m")
	m.DelayMs = 5000
	w.apply(w.core.Accept(w.now, m, false))
	assert.Empty(t, w.core.Backlogs(w.now+4*time.Second, 0))
}
