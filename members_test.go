package ravendale

import (
	"testing"
	"time"
)

func TestFailedListRequestIsRetriedWithDelay(t *testing.T) {
	s := testSettings()
	s.MustAsk = true
	b := newTestBench(t, s, readyEntry("a", 0, 0))
	first := b.requireOne(SetTimer).Wait
	if maxWait := time.Duration(s.Dispatchers) * listRequestSpread; first > maxWait+s.Tick {
		t.Errorf("the list is requested after %v, want at most %v", first, maxWait)
	}
	b.advance(first)
	b.requireOne(WatchList)
	var delays []time.Duration
	for range 4 {
		b.handle(Event{Kind: WorkersListed, List: ListFailed})
		b.requireNone(WatchList)
		failedAt := b.now
		for len(b.actionsOf(WatchList)) == 0 {
			b.advance(5 * ms)
		}
		delays = append(delays, b.now-failedAt)
	}
	if delays[3] < delays[0] || delays[3] > s.AskWithin/2 {
		t.Errorf("the list is requested again after %v, want increasing delays under %v", delays, s.AskWithin/2)
	}
	b.arrive(1, 0, 6*time.Second)
	b.requireOne(Send) // the old list stays in use
}

// A worker that an operator detached gets no jobs, whatever is listed, until one WorkerAttached event. After that it is used at
// once, is in its slow start until the list says when it started, and has lost all observations of before.
func TestDetachedWorkerGetsNoJobsWhateverIsListed(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	detached, attached := Event{Kind: WorkerDetached, Worker: "a"}, Event{Kind: WorkerAttached, Worker: "a"}
	expectOnly := func(worker string, id JobID) {
		t.Helper()
		for range 4 {
			b.arrive(id, 2, 25*time.Second)
			if w := b.requireOne(Send).Worker; w != worker {
				t.Fatalf("job %d is sent to %s, want %s", id, w, worker)
			}
			b.endAttempt(id, 0, OK)
			id++
		}
	}
	for id := JobID(100); b.d.byName["a"].unhealthyUntil == 0; id++ {
		b.arrive(id, 2, 25*time.Second)
		b.endAttempt(id, 0, map[string]Outcome{"a": Reset, "b": OK}[b.requireOne(Send).Worker])
	}
	b.handle(detached)
	b.handle(detached)
	expectOnly("b", 1)
	b.handle(Event{Kind: WorkersListed, List: Full, Entries: []Entry{readyEntry("a", 0, 0), readyEntry("b", 0, 0)}})
	expectOnly("b", 10)
	b.handle(Event{Kind: WorkersListed, List: Full, Entries: []Entry{readyEntry("b", 0, 0)}})
	if !b.d.HasWorker("a") || b.d.HasWorker("c") {
		t.Fatal("want a detached worker to be known although it is not listed, and no other worker")
	}
	b.handle(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{readyEntry("a", 0, 0)}})
	expectOnly("b", 20)
	if listed, avoided := b.d.Workers(); listed != 2 || avoided != 1 {
		t.Fatalf("got %d workers listed and %d avoided, want 2 and 1", listed, avoided)
	}
	b.now += time.Second
	b.handle(attached)
	a := b.d.byName["a"]
	if got := b.d.warmUpFraction(a); got != b.d.settings.SlowStartFrom || a.unhealthyUntil != 0 || a.faultRate != 0 {
		t.Fatalf("got warm-up fraction %v, unhealthy until %v, fault rate %v, want those of a new worker", got, a.unhealthyUntil, a.faultRate)
	}
	b.arrive(30, 2, 25*time.Second)
	b.arrive(31, 2, 25*time.Second)
	if a.ownSlots != 1 {
		t.Fatalf("the attached worker got %v of two jobs, want 1", a.ownSlots)
	}
	tokens := a.tokens
	b.now += time.Second
	e := readyEntry("a", 0, 0)
	e.StartedAt = b.now - 3*time.Second // listed late: the worker started before it was attached again
	b.handle(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{e}})
	if a.StartedAt != e.StartedAt || a.tokens != tokens {
		t.Fatalf("got start %v and %v tokens, want %v and %v", a.StartedAt, a.tokens, e.StartedAt, tokens)
	}
	b.now += time.Second
	e.State = Draining
	b.handle(detached)
	b.handle(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{e}})
	b.handle(attached)
	expectOnly("b", 40)
}
