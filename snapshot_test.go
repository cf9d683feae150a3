package ravendale

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"
)

// A Snapshot is the same after encoding to JSON and decoding. The replacement doesn't adopt the observations of a worker that has
// restarted since.
func TestSnapshotRoundTrip(t *testing.T) {
	warming := readyEntry("b", 0, 0)
	warming.StartedAt = time.Hour - time.Second
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), warming, readyEntry("c", 0, 0))
	for id := range JobID(4) {
		b.arrive(id, 2, 25*time.Second)
		b.endAttempt(id, 0, []Outcome{OK, Reset, Overloaded, OK}[id])
		b.now += 100 * ms
	}
	b.handle(Event{Kind: WorkerDetached, Worker: "a"})
	b.d.capacity.warmThroughput, b.d.capacity.warmingOnTime = 3, 0.5
	b.d.byName["a"].rejections = 2
	text, err := json.Marshal(b.d.Snapshot())
	var snapshot Snapshot
	if err := errors.Join(err, json.Unmarshal(text, &snapshot)); err != nil {
		t.Fatal(err)
	}
	if snapshot.Arrivals == 0 || snapshot.Detached["a"] == 0 || snapshot.Classes["u"].Longest == 0 {
		t.Fatalf("the snapshot is incomplete: %s", text)
	}
	restarted := readyEntry("c", 0, 0)
	restarted.StartedAt = b.now
	next := newTestBench(t, testSettings(), readyEntry("a", 0, 0), warming, restarted)
	own := next.d.Snapshot().Workers["c"]
	next.now = b.now
	next.handle(Event{Kind: Inherited, Snapshot: &snapshot})
	snapshot.Workers["c"] = own
	if got := next.d.Snapshot(); !reflect.DeepEqual(got, &snapshot) {
		t.Fatalf("got %+v, want %+v", got, snapshot)
	}
	if next.d.stats[2].minRun == 0 {
		t.Error("minRun is 0 after Inherited: a full worker would be tried again at once")
	}
	w := next.d.byName["b"]
	w.tokens = 1
	next.handle(Event{Kind: SentElsewhere, Worker: "b", Slots: 1})
	if w.tokens != 0 || w.ownSlots != 1 {
		t.Fatalf("%v sends are left, and %v slots in flight", w.tokens, w.ownSlots)
	}
	next.handle(Event{Kind: SentElsewhere, Worker: "b", Slots: -1})
	if w.tokens != 0 || w.ownSlots != 0 {
		t.Fatalf("%v sends are left, and %v slots in flight", w.tokens, w.ownSlots)
	}
}
