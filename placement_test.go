package ravendale

import (
	"strconv"
	"testing"
	"time"
)

func TestJobGoesToWorkerWithFewestOwnSlots(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0), readyEntry("c", 0, 0))
	sentTo := map[string]bool{}
	for id := range JobID(3) {
		b.arrive(id, 2, 25*time.Second)
		sentTo[b.requireOne(Send).Worker] = true
	}
	if len(sentTo) != 3 {
		t.Fatalf("three jobs were sent to %d workers, want 3", len(sentTo))
	}
}

func TestDrainingWorkerGetsNoJobs(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	b.handle(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{{Worker: "a", State: Draining}}})
	for id := range JobID(20) {
		b.arrive(id, 0, 6*time.Second)
		for _, a := range b.actionsOf(Send) {
			if a.Worker == "a" {
				t.Fatal("a draining worker was sent a job")
			}
		}
	}
}

// A scan of all workers of a fleet of 594 took more CPU than the limit for a job. The limited scan must still find the only
// suitable worker.
func TestScanFindsOnlyWorkerOfKind(t *testing.T) {
	s := testSettings()
	s.Classes[0].Kind = 1
	var entries []Entry
	for i := range 3 * maxScanned {
		entries = append(entries, readyEntry("w"+strconv.Itoa(i), 0, 0))
	}
	entries[7].Kind = 1
	b := newTestBench(t, s, entries...)
	for id := range JobID(20) {
		b.arrive(id, 0, 6*time.Second)
		if got := b.actionsOf(Send); len(got) == 1 && got[0].Worker != "w7" || len(got) > 1 {
			t.Fatalf("job %d: got sends %+v, want w7 or none", id, got)
		}
		b.endAttempt(id, 0, OK)
	}
}
