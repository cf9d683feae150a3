package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/edge/worker"
)

func TestBacklogsTellWhereMessagesStand(t *testing.T) {
	w := newWorld(t)
	w.accept("/s/", "running")
	ordered := messageTo("/s/", "ordered")
	ordered.Ordered = true
	w.take(w.core.Accept(w.now, ordered, false))
	broken := messageTo("/p/", "broken")
	w.take(w.core.Accept(w.now, broken, false))
	for range 2 { // once more at once, then a pause
		d := w.out[len(w.out)-1]
		w.end(d, worker.Broken)
	}

	assert.Empty(t, w.core.Backlogs(w.now, time.Millisecond), "nothing is due for so long")
	w.now += 20 * ms
	assert.Equal(t, []Backlog{
		{Service: "s", Oldest: 20 * ms, Paused: 1, Workers: 3},
		{Service: "safe", Oldest: 20 * ms, Running: 1, Turn: 1, Workers: 3},
	}, w.core.Backlogs(w.now, 20*ms))
}

func TestBacklogsTellOfWorkersThatHadNoRoom(t *testing.T) {
	w := newWorld(t)
	w.accept("/s/", "m")
	w.end(w.sent(), worker.Full)
	w.end(w.sent(), worker.Unreachable)
	w.now += ms
	backlogs := w.core.Backlogs(w.now, ms)
	assert.Len(t, backlogs, 1)
	assert.Equal(t, 1, backlogs[0].Full)
	assert.Equal(t, 1, backlogs[0].Sick)
}

func TestDelayedMessagesAreNoBacklog(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/s/", "m")
	m.DelayMs = 5000
	w.take(w.core.Accept(w.now, m, false))
	assert.Empty(t, w.core.Backlogs(w.now+4*time.Second, 0))
}
