package ravendale

import (
	"strconv"
	"testing"
	"time"
)

func TestFirstSendGoesToFewestOwnSlots(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0), ready("c", 0, 0))
	used := map[string]bool{}
	for id := range JobID(3) {
		b.arrive(id, 2, 25*time.Second)
		used[b.one(Send).Worker] = true
	}
	if len(used) != 3 {
		t.Fatalf("three jobs went to %d workers, want 3", len(used))
	}
}

func TestNoWorkForADrainingWorker(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0))
	b.do(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{{Worker: "a", State: Draining}}})
	for id := range JobID(20) {
		b.arrive(id, 0, 6*time.Second)
		for _, a := range b.of(Send) {
			if a.Worker == "a" {
				t.Fatal("a draining worker was sent a job")
			}
		}
	}
}

// Walking all of 594 workers cost more CPU than a job may; the walk still finds the only one that will do.
func TestTheScanFindsTheOnlyWorkerOfItsKind(t *testing.T) {
	s := testSettings()
	s.Classes[0].Kind = 1
	var fleet []Entry
	for i := range 3 * maxScanned {
		fleet = append(fleet, ready("w"+strconv.Itoa(i), 0, 0))
	}
	fleet[7].Kind = 1
	b := newBench(t, s, fleet...)
	for id := range JobID(20) {
		b.arrive(id, 0, 6*time.Second)
		if got := b.of(Send); len(got) == 1 && got[0].Worker != "w7" || len(got) > 1 {
			t.Fatalf("job %d: %+v, want w7 or a hold", id, got)
		}
		b.end(id, 0, OK)
	}
}
