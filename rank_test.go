package ravendale

import (
	"testing"
	"time"
)

// Live weights reflect the jobs of all dispatchers. Few dispatchers use them to decide ties. Many choose at random, since all
// would otherwise choose the same worker until the next list.
func TestLiveWeightsDecideTiesWithFewDispatchers(t *testing.T) {
	for dispatchers, idleOnly := range map[int]bool{8: true, 300: false} {
		s := testSettings()
		s.LiveWeights, s.Dispatchers = true, dispatchers
		b := newTestBench(t, s, readyEntry("busy", 0, 0), readyEntry("idle", 0, 0))
		b.d.workers[0].Weight = 0.8
		sentTo := map[string]int{}
		for id := range JobID(200) {
			b.arrive(id, 0, 6*time.Second)
			sentTo[b.requireOne(Send).Worker]++
			b.endAttempt(id, 0, OK)
		}
		if (sentTo["busy"] == 0) != idleOnly || sentTo["idle"] < sentTo["busy"] {
			t.Errorf("with %d dispatchers one sends %v", dispatchers, sentTo)
		}
	}
}

// Guards against flooding one worker: when all others were known to be full, an unresponsive worker that had not failed yet was
// sent 124 jobs at once.
func TestOnlyAvailableWorkerIsNotFlooded(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0), readyEntry("c", 0, 0), readyEntry("silent", 0, 0))
	for _, w := range b.d.workers[:3] {
		w.rejectedAt = b.now
	}
	for id := range JobID(50) {
		b.arrive(id, 2, 25*time.Second)
	}
	if got := b.d.byName["silent"].ownSlots; got < 1 || got > 5 {
		t.Errorf("the only worker that is not known to be full holds %v of 50 jobs, want a few", got)
	}
}
