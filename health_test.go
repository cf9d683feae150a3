package ravendale

import (
	"testing"
	"time"
)

// A dead worker holds none of our slots and never turns a job away, so it drew everything.
func TestADeadWorkerIsPassedOverWhileMostAreHealthy(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0), ready("c", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	dead := b.one(Send).Worker
	b.end(1, 0, ConnectFailed)
	for id := JobID(2); id < 20; id++ {
		b.arrive(id, 2, 25*time.Second)
		if a := b.one(Send); a.Worker == dead {
			t.Fatalf("job %d goes to the dead worker", id)
		}
	}
	b.now += unhealthyFor
	back := false
	for id := JobID(20); id < 40; id++ {
		b.arrive(id, 2, 25*time.Second)
		back = back || b.one(Send).Worker == dead
	}
	if !back {
		t.Error("the worker never gets work back")
	}
}

// Connections break now and then: each break alone counted against it, and the healthy workers were passed over.
// One that fails most jobs at once always had the fewest of our slots, and drew everything.
func TestOneFaultMakesNoWorkerUnhealthy(t *testing.T) {
	for name, tc := range map[string]struct {
		outcomes  []Outcome
		unhealthy bool
	}{
		"one":                 {[]Outcome{Reset}, false},
		"two in a row":        {[]Outcome{Reset, Reset}, true},
		"an answer between":   {[]Outcome{Reset, OK, Reset}, false},
		"it does not come up": {[]Outcome{ConnectFailed}, true},
		"one error":           {[]Outcome{OK, Error, OK, OK, Error}, false},
		"two errors":          {[]Outcome{OK, Error, Error}, true},
		"rubbish of clients":  {[]Outcome{Rejected, Rejected, Rejected}, false},
		"most are errors":     {[]Outcome{Error, Error, Error, OK}, true},
		"most go well again":  {[]Outcome{Error, Error, Error, OK, OK}, false},
	} {
		b := newBench(t, testSettings(), ready("a", 0, 0))
		for i, o := range tc.outcomes {
			b.arrive(JobID(i), 2, 25*time.Second)
			b.end(JobID(i), 0, o)
		}
		if unhealthy := b.d.byName["a"].unhealthyUntil > b.now; unhealthy != tc.unhealthy {
			t.Errorf("%s: unhealthy is %v", name, unhealthy)
		}
	}
}

// A worker that fails jobs is tried with one at a time until most go well, rather with those that can be sent again.
func TestAFaultyWorkerIsTriedWithOneJob(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0))
	next := JobID(0)
	arrive := func(class int) string {
		next++
		b.arrive(next, class, 25*time.Second)
		return b.one(Send).Worker
	}
	for b.d.byName["a"].unhealthyUntil <= b.now {
		outcome := map[string]Outcome{"a": Error, "b": OK}[arrive(2)]
		b.end(next, 0, outcome)
	}
	b.now += unhealthyFor
	if arrive(2) == "a" {
		t.Error("a job that must not run twice tries the worker")
	}
	trials := 0
	for range 4 {
		if arrive(1) == "a" {
			trials++
		}
	}
	if trials != 1 {
		t.Errorf("%d jobs try the worker at once, want 1", trials)
	}
}

// A worker that showed no life drew a new burst whenever its pause was over.
func TestAnUnhealthyWorkerIsTriedWithOneJob(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0), ready("c", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	dead := b.one(Send).Worker
	b.end(1, 0, ConnectFailed)
	b.now += unhealthyFor
	trials := 0
	for id := JobID(2); id < 30; id++ {
		b.arrive(id, 2, 25*time.Second)
		if b.acts[0].Kind == Send && b.acts[0].Worker == dead {
			trials++
		}
	}
	if trials != 1 {
		t.Errorf("the worker got %d jobs before it answered one, want 1", trials)
	}
}

func TestIfMostLookDeadTheViewIsSuspect(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	b.end(1, 0, ConnectFailed)
	b.one(Send)
	b.end(1, 1, ConnectFailed)
	b.one(Send) // both look dead, so they are used
}
