package ravendale

import (
	"testing"
	"time"
)

// Live weights tell of the jobs of all. A few dispatchers choose by them among equals; many draw, or all would choose the
// same worker until the next list.
func TestLiveWeightsDecideTiesWhereFewDispatch(t *testing.T) {
	for dispatchers, always := range map[int]bool{8: true, 300: false} {
		s := testSettings()
		s.LiveWeights, s.Dispatchers = true, dispatchers
		b := newBench(t, s, ready("busy", 0, 0), ready("idle", 0, 0))
		b.d.workers[0].Weight = 0.8
		to := map[string]int{}
		for id := range JobID(200) {
			b.arrive(id, 0, 6*time.Second)
			to[b.one(Send).Worker]++
			b.end(id, 0, OK)
		}
		if (to["busy"] == 0) != always || to["idle"] < to["busy"] {
			t.Errorf("of %d dispatchers one sends %v", dispatchers, to)
		}
	}
}

// Where all others were known to be full, a dead worker that had not shown it yet drew 124 jobs at once.
func TestNoWorkerDrawsFarMoreThanItsWeight(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0), ready("c", 0, 0), ready("silent", 0, 0))
	for _, w := range b.d.workers[:3] {
		w.rejectedAt = b.now
	}
	for id := range JobID(50) {
		b.arrive(id, 2, 25*time.Second)
	}
	if got := b.d.byName["silent"].slots; got < 1 || got > 5 {
		t.Errorf("the only worker that is not known to be full holds %v of 50 jobs, want a few", got)
	}
}
