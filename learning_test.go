package ravendale

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// What others saw of a class serves until enough was seen here, and then has no part in it.
func TestALearntRunFadesAsOwnOnesCome(t *testing.T) {
	run := func(learnt time.Duration, own ...time.Duration) time.Duration {
		b := newBench(t, testSettings(), Entry{Worker: "w", State: Ready, Weight: 1})
		b.do(Event{Kind: Learnt, Snapshot: &Snapshot{Classes: map[string]ClassSnapshot{"s": {Run: learnt, Dev: learnt / 4, Weight: 20}}}})
		for i, took := range own {
			b.arrive(JobID(i+1), 0, 6*time.Second)
			b.now += took
			b.end(JobID(i+1), 0, OK)
		}
		return b.d.Snapshot().Classes["s"].Run
	}
	if got := run(200 * ms); got != 200*ms {
		t.Errorf("at first %v", got)
	}
	if got := run(200*ms, 100*ms); got <= 100*ms || got >= 200*ms {
		t.Errorf("after one of 100 ms: %v", got)
	}
	hundred := make([]time.Duration, ownEnough)
	for i := range hundred {
		hundred[i] = 100 * ms
	}
	if got := run(2*time.Second, hundred...); got != 100*ms {
		t.Errorf("after %d of 100 ms: %v", ownEnough, got)
	}
	if got := run(7 * time.Second); got != 0 {
		t.Errorf("longer than clients wait, and believed: %v", got)
	}
}

// Nothing is learnt of a class that was seen here, of another start of a worker, of arrivals or starts; a sick worker is
// avoided for as long as one is that was seen to be sick, and a cold one's budget is never raised.
func TestWhatIsNotLearnt(t *testing.T) {
	born := 59 * time.Minute
	workers := []Entry{{Worker: "w", State: Ready, Weight: 1}, {Worker: "new", State: Ready, Weight: 1, StartedAt: born},
		{Worker: "cold", State: Ready, Weight: 1, StartedAt: time.Hour - time.Second}}
	b := newBench(t, testSettings(), workers...)
	b.d.stats[0].run = 70 * ms
	before := b.d.Snapshot()
	b.do(Event{Kind: Learnt, Snapshot: &Snapshot{Arrivals: 1e6, Peak: 999, Detached: map[string]time.Duration{"w": 1},
		Classes: map[string]ClassSnapshot{"s": {Run: time.Second, Dev: 1, Weight: 30}, "k": {Run: time.Second, Weight: 0}},
		Workers: map[string]WorkerSnapshot{
			"w":    {UnhealthyUntil: b.now + time.Hour, Tokens: 9, StartedAt: 5, Faults: 1},
			"new":  {ListedStart: born - 1, UnhealthyUntil: b.now + time.Hour},
			"cold": {ListedStart: time.Hour - time.Second, StartedAt: 0, Tokens: 9}}}})
	got := b.d.Snapshot()
	want := before
	w := want.Workers["w"]
	w.UnhealthyUntil = b.now + unhealthyFor
	want.Workers["w"] = w
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	b.do(Event{Kind: Learnt, Snapshot: &Snapshot{Workers: map[string]WorkerSnapshot{"cold": {ListedStart: time.Hour - time.Second, Tokens: -3}}}})
	if got := b.d.Snapshot().Workers["cold"].Tokens; got != 0 {
		t.Errorf("a budget that is spent elsewhere is %v here", got)
	}
}

// Whatever is learnt, and whenever: no cold worker has more sends left than without it, every job still gets its answer in
// time, and a draining worker gets nothing.
func TestNoLearntMemoryBreaksARule(t *testing.T) {
	span := rapid.Int64Range(math.MinInt64/4, math.MaxInt64/4)
	rapid.Check(t, func(rt *rapid.T) {
		workers := []Entry{{Worker: "a", State: Ready, Weight: 1}, {Worker: "b", State: Ready, Weight: 2, StartedAt: time.Hour - 2*time.Second},
			{Worker: "c", State: Draining, Weight: 1}}
		b, blind := newBench(t, testSettings(), workers...), newBench(t, testSettings(), workers...)
		m := &Snapshot{Classes: make(map[string]ClassSnapshot), Workers: make(map[string]WorkerSnapshot), Arrivals: rapid.Float64().Draw(rt, "arrivals"),
			Peak: rapid.Int().Draw(rt, "peak")}
		for _, c := range []string{"s", "k", "u"} {
			m.Classes[c] = ClassSnapshot{Run: time.Duration(span.Draw(rt, "run")), Dev: time.Duration(span.Draw(rt, "dev")), Weight: rapid.Float64().Draw(rt, "weight")}
		}
		for _, w := range workers {
			told := w.StartedAt
			if rapid.Bool().Draw(rt, "another start") {
				told++
			}
			m.Workers[w.Worker] = WorkerSnapshot{ListedStart: told, StartedAt: time.Duration(span.Draw(rt, "start")), Tokens: rapid.Float64Range(-1e9, 1e9).Draw(rt, "tokens"),
				UnhealthyUntil: time.Duration(span.Draw(rt, "sick"))}
		}
		for range 3 {
			m.Zones = append(m.Zones, ZoneSnapshot{StartLatency: time.Duration(span.Draw(rt, "prompt")), Busy: rapid.Float64().Draw(rt, "busy")})
		}
		b.do(Event{Kind: Learnt, Snapshot: m})
		if got, may := b.d.byName["b"].tokens, blind.d.byName["b"].tokens; got > may {
			rt.Fatalf("%v sends left for a cold worker, %v without what was learnt", got, may)
		}
		if got, was := b.d.byName["b"].StartedAt, blind.d.byName["b"].StartedAt; got != was {
			rt.Fatalf("its start is %v, listed %v", got, was)
		}
		b.arrive(1, rapid.IntRange(0, 2).Draw(rt, "class"), 5*time.Second)
		acts, answered := b.acts, 0
		for step := 0; ; step++ {
			for _, a := range acts {
				switch {
				case a.Kind == Send && a.Worker == "c":
					rt.Fatal("a send to a draining worker")
				case a.Kind == Refuse || a.Kind == Fail:
					answered++
				}
			}
			if answered > 0 || step > 2000 {
				break
			}
			acts = b.fire(5 * ms)
		}
		if answered != 1 || b.now > time.Hour+5*time.Second+20*ms {
			rt.Fatalf("%d answers by %v", answered, b.now-time.Hour)
		}
	})
}
