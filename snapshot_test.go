package ravendale

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"
)

// What a dispatcher hands over comes through JSON and back whole; a worker that has started anew since does not get it.
func TestSnapshotPassesToTheNextProcess(t *testing.T) {
	warming := ready("b", 0, 0)
	warming.StartedAt = time.Hour - time.Second
	b := newBench(t, testSettings(), ready("a", 0, 0), warming, ready("c", 0, 0))
	for id := range JobID(4) {
		b.arrive(id, 2, 25*time.Second)
		b.end(id, 0, []Outcome{OK, Reset, Overloaded, OK}[id])
		b.now += 100 * ms
	}
	b.do(Event{Kind: WorkerDetached, Worker: "a"})
	b.d.capacity.warmThroughput, b.d.capacity.warmingOnTime = 3, 0.5
	b.d.byName["a"].rejections = 2
	text, err := json.Marshal(b.d.Snapshot())
	var snapshot Snapshot
	if err := errors.Join(err, json.Unmarshal(text, &snapshot)); err != nil {
		t.Fatal(err)
	}
	if snapshot.Arrivals == 0 || snapshot.Detached["a"] == 0 || snapshot.Classes["u"].Longest == 0 {
		t.Fatalf("little is handed over: %s", text)
	}
	anew := ready("c", 0, 0)
	anew.StartedAt = b.now
	next := newBench(t, testSettings(), ready("a", 0, 0), warming, anew)
	own := next.d.Snapshot().Workers["c"]
	next.now = b.now
	next.do(Event{Kind: Inherited, Snapshot: &snapshot})
	snapshot.Workers["c"] = own
	if got := next.d.Snapshot(); !reflect.DeepEqual(got, &snapshot) {
		t.Fatalf("got %+v, want %+v", got, snapshot)
	}
	if next.d.stats[2].least == 0 {
		t.Error("a full worker would be tried again at once")
	}
	w := next.d.byName["b"]
	w.tokens = 1
	next.do(Event{Kind: SentElsewhere, Worker: "b", Slots: 1})
	if w.tokens != 0 || w.slots != 1 {
		t.Fatalf("%v sends are left, and %v slots in flight", w.tokens, w.slots)
	}
	next.do(Event{Kind: SentElsewhere, Worker: "b", Slots: -1})
	if w.tokens != 0 || w.slots != 0 {
		t.Fatalf("%v sends are left, and %v slots in flight", w.tokens, w.slots)
	}
}
