package ravendale

import (
	"testing"
	"time"
)

func TestTheListIsRequestedAndRequestedAgainWithDelay(t *testing.T) {
	s := testSettings()
	s.MustAsk = true
	b := newBench(t, s, ready("a", 0, 0))
	first := b.one(SetTimer).Wait
	if most := time.Duration(s.Dispatchers) * askSpread; first > most+s.Tick {
		t.Errorf("first asked after %v, at most %v is wanted", first, most)
	}
	b.fire(first)
	b.one(WatchList)
	var delays []time.Duration
	for range 4 {
		b.do(Event{Kind: WorkersListed, List: Failed})
		b.none(WatchList)
		asked := b.now
		for len(b.of(WatchList)) == 0 {
			b.fire(5 * ms)
		}
		delays = append(delays, b.now-asked)
	}
	if delays[3] < delays[0] || delays[3] > s.AskWithin/2 {
		t.Errorf("the list was asked again after %v, want growing delays under %v", delays, s.AskWithin/2)
	}
	b.arrive(1, 0, 6*time.Second)
	b.one(Send) // the old list stays in use
}

// Out by hand holds whatever is listed, and is undone by a single call. Back, a worker counts as cold until the list
// tells when it started, is used at once, and nothing seen of the process before it counts.
func TestDetachedByAnOperatorIsBesideTheList(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0))
	detached, back := Event{Kind: WorkerDetached, Worker: "a"}, Event{Kind: WorkerAttached, Worker: "a"}
	only := func(want string, id JobID) {
		t.Helper()
		for range 4 {
			b.arrive(id, 2, 25*time.Second)
			if w := b.one(Send).Worker; w != want {
				t.Fatalf("job %d went to %s, want %s", id, w, want)
			}
			b.end(id, 0, OK)
			id++
		}
	}
	for id := JobID(100); b.d.byName["a"].unhealthyUntil == 0; id++ {
		b.arrive(id, 2, 25*time.Second)
		b.end(id, 0, map[string]Outcome{"a": Reset, "b": OK}[b.one(Send).Worker])
	}
	b.do(detached)
	b.do(detached)
	only("b", 1)
	b.do(Event{Kind: WorkersListed, List: Full, Entries: []Entry{ready("a", 0, 0), ready("b", 0, 0)}})
	only("b", 10)
	b.do(Event{Kind: WorkersListed, List: Full, Entries: []Entry{ready("b", 0, 0)}})
	if !b.d.Knows("a") || b.d.Knows("c") {
		t.Fatal("one out by hand is to be known though not listed, and no other")
	}
	b.do(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{ready("a", 0, 0)}})
	only("b", 20)
	if listed, avoided := b.d.Workers(); listed != 2 || avoided != 1 {
		t.Fatalf("%d listed, %d avoided", listed, avoided)
	}
	b.now += time.Second
	b.do(back)
	a := b.d.byName["a"]
	if got := b.d.warmUp(a); got != b.d.settings.SlowStartFrom || a.unhealthyUntil != 0 || a.faults != 0 {
		t.Fatalf("warmth %v, sick till %v, faults %v", got, a.unhealthyUntil, a.faults)
	}
	b.arrive(30, 2, 25*time.Second)
	b.arrive(31, 2, 25*time.Second)
	if a.slots != 1 {
		t.Fatalf("%v jobs of two went to the worker that is back", a.slots)
	}
	tokens := a.tokens
	b.now += time.Second
	e := ready("a", 0, 0)
	e.StartedAt = b.now - 3*time.Second // told late, before the call back
	b.do(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{e}})
	if a.StartedAt != e.StartedAt || a.tokens != tokens {
		t.Fatalf("started %v, %v tokens, want %v and %v", a.StartedAt, a.tokens, e.StartedAt, tokens)
	}
	b.now += time.Second
	e.State = Draining
	b.do(detached)
	b.do(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{e}})
	b.do(back)
	only("b", 40)
}
