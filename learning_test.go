package ravendale

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// The run time learnt from other dispatchers is used until there are enough own observations, and has no weight then.
func TestLearntRunIsReplacedByOwnObservations(t *testing.T) {
	runAfter := func(learnt time.Duration, ownRuns ...time.Duration) time.Duration {
		b := newTestBench(t, testSettings(), Entry{Worker: "w", State: Ready, Weight: 1})
		b.handle(Event{Kind: Learnt, Snapshot: &Snapshot{Classes: map[string]ClassSnapshot{"s": {Run: learnt, Dev: learnt / 4, Weight: 20}}}})
		for i, took := range ownRuns {
			b.arrive(JobID(i+1), 0, 6*time.Second)
			b.now += took
			b.endAttempt(JobID(i+1), 0, OK)
		}
		return b.d.Snapshot().Classes["s"].Run
	}
	if got := runAfter(200 * ms); got != 200*ms {
		t.Errorf("got mean run %v without own observations, want the learnt 200ms", got)
	}
	if got := runAfter(200*ms, 100*ms); got <= 100*ms || got >= 200*ms {
		t.Errorf("got mean run %v after one run of 100 ms, want one between that and the learnt 200 ms", got)
	}
	runs := make([]time.Duration, ownEnough)
	for i := range runs {
		runs[i] = 100 * ms
	}
	if got := runAfter(2*time.Second, runs...); got != 100*ms {
		t.Errorf("after %d runs of 100 ms got mean run %v", ownEnough, got)
	}
	if got := runAfter(7 * time.Second); got != 0 {
		t.Errorf("got mean run %v learnt from one longer than the deadline, want 0", got)
	}
}

// Nothing is learnt about a class with own observations, about a worker that has been restarted, or about arrivals and start
// times. A worker that is learnt to be unhealthy is avoided for unhealthyFor at most, and the budget of a worker in its slow
// start is never raised.
func TestLearntSnapshotDoesNotOverrideOwnState(t *testing.T) {
	startedAt := 59 * time.Minute
	workers := []Entry{{Worker: "w", State: Ready, Weight: 1}, {Worker: "new", State: Ready, Weight: 1, StartedAt: startedAt},
		{Worker: "cold", State: Ready, Weight: 1, StartedAt: time.Hour - time.Second}}
	b := newTestBench(t, testSettings(), workers...)
	b.d.stats[0].meanRun = 70 * ms
	before := b.d.Snapshot()
	b.handle(Event{Kind: Learnt, Snapshot: &Snapshot{Arrivals: 1e6, Peak: 999, Detached: map[string]time.Duration{"w": 1},
		Classes: map[string]ClassSnapshot{"s": {Run: time.Second, Dev: 1, Weight: 30}, "k": {Run: time.Second, Weight: 0}},
		Workers: map[string]WorkerSnapshot{
			"w":    {UnhealthyUntil: b.now + time.Hour, Tokens: 9, StartedAt: 5, Faults: 1},
			"new":  {ListedStart: startedAt - 1, UnhealthyUntil: b.now + time.Hour},
			"cold": {ListedStart: time.Hour - time.Second, StartedAt: 0, Tokens: 9}}}})
	got := b.d.Snapshot()
	want := before
	w := want.Workers["w"]
	w.UnhealthyUntil = b.now + unhealthyFor
	want.Workers["w"] = w
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	b.handle(Event{Kind: Learnt, Snapshot: &Snapshot{Workers: map[string]WorkerSnapshot{"cold": {ListedStart: time.Hour - time.Second, Tokens: -3}}}})
	if got := b.d.Snapshot().Workers["cold"].Tokens; got != 0 {
		t.Errorf("got %v tokens for a worker whose budget is spent at another dispatcher, want 0", got)
	}
}

// Whatever is learnt, a worker in its slow start has no more tokens than without it, each job is answered in time, and a draining
// worker gets no jobs. The name of this test is also the folder of its saved cases in testdata/rapid.
func TestNoLearntMemoryBreaksARule(t *testing.T) {
	span := rapid.Int64Range(math.MinInt64/4, math.MaxInt64/4)
	rapid.Check(t, func(rt *rapid.T) {
		workers := []Entry{{Worker: "a", State: Ready, Weight: 1}, {Worker: "b", State: Ready, Weight: 2, StartedAt: time.Hour - 2*time.Second},
			{Worker: "c", State: Draining, Weight: 1}}
		b, withoutLearning := newTestBench(t, testSettings(), workers...), newTestBench(t, testSettings(), workers...)
		m := &Snapshot{Classes: make(map[string]ClassSnapshot), Workers: make(map[string]WorkerSnapshot), Arrivals: rapid.Float64().Draw(rt, "arrivals"),
			Peak: rapid.Int().Draw(rt, "peak")}
		for _, c := range []string{"s", "k", "u"} {
			m.Classes[c] = ClassSnapshot{Run: time.Duration(span.Draw(rt, "run")), Dev: time.Duration(span.Draw(rt, "dev")), Weight: rapid.Float64().Draw(rt, "weight")}
		}
		for _, w := range workers {
			listedStart := w.StartedAt
			if rapid.Bool().Draw(rt, "another start") {
				listedStart++
			}
			m.Workers[w.Worker] = WorkerSnapshot{ListedStart: listedStart, StartedAt: time.Duration(span.Draw(rt, "start")), Tokens: rapid.Float64Range(-1e9, 1e9).Draw(rt, "tokens"),
				UnhealthyUntil: time.Duration(span.Draw(rt, "sick"))}
		}
		for range 3 {
			m.Zones = append(m.Zones, ZoneSnapshot{StartLatency: time.Duration(span.Draw(rt, "prompt")), Busy: rapid.Float64().Draw(rt, "busy")})
		}
		b.handle(Event{Kind: Learnt, Snapshot: m})
		if got, limit := b.d.byName["b"].tokens, withoutLearning.d.byName["b"].tokens; got > limit {
			rt.Fatalf("a worker in its slow start has %v tokens, and %v without the learnt snapshot", got, limit)
		}
		if got, want := b.d.byName["b"].StartedAt, withoutLearning.d.byName["b"].StartedAt; got != want {
			rt.Fatalf("the start of the worker is %v, listed %v", got, want)
		}
		b.arrive(1, rapid.IntRange(0, 2).Draw(rt, "class"), 5*time.Second)
		acts, answered := b.actions, 0
		for step := 0; ; step++ {
			for _, a := range acts {
				switch {
				case a.Kind == Send && a.Worker == "c":
					rt.Fatal("a job is sent to a draining worker")
				case a.Kind == Refuse || a.Kind == Fail:
					answered++
				}
			}
			if answered > 0 || step > 2000 {
				break
			}
			acts = b.advance(5 * ms)
		}
		if answered != 1 || b.now > time.Hour+5*time.Second+20*ms {
			rt.Fatalf("got %d final answers within %v, want 1 within 5.02s", answered, b.now-time.Hour)
		}
	})
}
