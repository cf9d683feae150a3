package ravendale

import (
	"testing"
	"time"
)

// Guards against sending all jobs to an unresponsive worker: it holds no slots and never rejects a job, so it ranked first.
func TestUnresponsiveWorkerIsAvoidedWhileMostAreHealthy(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0), readyEntry("c", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	failing := b.requireOne(Send).Worker
	b.endAttempt(1, 0, ConnectFailed)
	for id := JobID(2); id < 20; id++ {
		b.arrive(id, 2, 25*time.Second)
		if a := b.requireOne(Send); a.Worker == failing {
			t.Fatalf("job %d is sent to the unresponsive worker", id)
		}
	}
	b.now += unhealthyFor
	used := false
	for id := JobID(20); id < 40; id++ {
		b.arrive(id, 2, 25*time.Second)
		used = used || b.requireOne(Send).Worker == failing
	}
	if !used {
		t.Error("the worker is not tried again after unhealthyFor")
	}
}

// Guards against two failures. Connections break occasionally: when a single break made a worker unhealthy, healthy workers were
// avoided. A worker that fails most jobs at once always holds the fewest slots: when faults did not count, it was sent all jobs.
func TestFaultThreshold(t *testing.T) {
	for name, tc := range map[string]struct {
		outcomes  []Outcome
		unhealthy bool
	}{
		"one reset":                     {[]Outcome{Reset}, false},
		"two resets":                    {[]Outcome{Reset, Reset}, true},
		"reset, answer, reset":          {[]Outcome{Reset, OK, Reset}, false},
		"failed connection":             {[]Outcome{ConnectFailed}, true},
		"single errors between answers": {[]Outcome{OK, Error, OK, OK, Error}, false},
		"two errors":                    {[]Outcome{OK, Error, Error}, true},
		"invalid requests of clients":   {[]Outcome{Rejected, Rejected, Rejected}, false},
		"mostly errors":                 {[]Outcome{Error, Error, Error, OK}, true},
		"answers after errors":          {[]Outcome{Error, Error, Error, OK, OK}, false},
	} {
		b := newTestBench(t, testSettings(), readyEntry("a", 0, 0))
		for i, o := range tc.outcomes {
			b.arrive(JobID(i), 2, 25*time.Second)
			b.endAttempt(JobID(i), 0, o)
		}
		if unhealthy := b.d.byName["a"].unhealthyUntil > b.now; unhealthy != tc.unhealthy {
			t.Errorf("%s: got unhealthy %v", name, unhealthy)
		}
	}
}

// A worker that fails jobs is sent one job at a time until most succeed, preferably jobs that can be retried.
func TestFaultyWorkerIsProbedWithOneRetryableJob(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	next := JobID(0)
	arrive := func(class int) string {
		next++
		b.arrive(next, class, 25*time.Second)
		return b.requireOne(Send).Worker
	}
	for b.d.byName["a"].unhealthyUntil <= b.now {
		outcome := map[string]Outcome{"a": Error, "b": OK}[arrive(2)]
		b.endAttempt(next, 0, outcome)
	}
	b.now += unhealthyFor
	if arrive(2) == "a" {
		t.Error("an unsafe job is sent to the faulty worker")
	}
	probes := 0
	for range 4 {
		if arrive(1) == "a" {
			probes++
		}
	}
	if probes != 1 {
		t.Errorf("%d jobs are sent to the faulty worker at once, want 1", probes)
	}
}

// Guards against a burst of jobs to an unresponsive worker each time that unhealthyFor has passed.
func TestUnresponsiveWorkerIsProbedWithOneJob(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0), readyEntry("c", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	failing := b.requireOne(Send).Worker
	b.endAttempt(1, 0, ConnectFailed)
	b.now += unhealthyFor
	probes := 0
	for id := JobID(2); id < 30; id++ {
		b.arrive(id, 2, 25*time.Second)
		if b.actions[0].Kind == Send && b.actions[0].Worker == failing {
			probes++
		}
	}
	if probes != 1 {
		t.Errorf("the worker got %d jobs before it answered one, want 1", probes)
	}
}

func TestUnhealthyWorkersAreUsedIfAllAreUnhealthy(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	b.endAttempt(1, 0, ConnectFailed)
	b.requireOne(Send)
	b.endAttempt(1, 1, ConnectFailed)
	b.requireOne(Send) // all workers are unhealthy: use them anyway
}
