package ravendale

import (
	"math"
	"testing"
	"time"
)

// The budget of a worker in its slow start is one of work: a job costs the mean run of its class divided by that of all arriving
// jobs, or 1 while no run was observed. A job that costs more than all dispatchers may send in an OverloadSpan is sent only to a
// worker without jobs.
func TestSlowStartBudgetIsWeightedByJobCost(t *testing.T) {
	for _, tc := range []struct {
		class int
		warm  time.Duration
		ours  float64
		cost  float64 // 0: not sent
	}{{0, 0, 0, 0.5}, {1, 0, 0, 1.5}, {2, 0, 0, 1}, {1, 0, 1, 0}, {1, 15 * time.Second, 1, 1.5}} {
		b := newTestBench(t, testSettings(), readyEntry("a", 0, 0))
		b.d.stats[0].meanRun, b.d.stats[1].meanRun, b.d.stats[0].arrivals, b.d.stats[1].arrivals = 200*ms, 600*ms, 1e9, 1e9
		w := b.d.workers[0]
		w.StartedAt = b.now - tc.warm
		b.d.capacity.peakReady, b.d.capacity.warmThroughput, w.tokens, w.refilledAt, w.ownSlots = 10, 0.2, 1, b.now, tc.ours
		b.arrive(1, tc.class, 6*time.Second)
		if cost := 1 - w.tokens; math.Abs(cost-tc.cost) > 0.01 || (len(b.actionsOf(Send)) == 1) != (tc.cost > 0) {
			t.Errorf("%+v: got cost %.2f, actions %v", tc, cost, b.actions)
		}
	}
}

func TestSlowStartLimitsJobs(t *testing.T) {
	s := testSettings()
	warming := readyEntry("cold", 0, 0)
	warming.StartedAt = time.Hour - 1
	b := newTestBench(t, s, readyEntry("a", 0, 0), readyEntry("b", 0, 0), readyEntry("c", 0, 0), warming)
	var early, late int
	for id := range JobID(400) {
		b.now += 50 * ms
		b.arrive(id, 2, 25*time.Second)
		if b.requireOne(Send).Worker == "cold" {
			if id < 40 {
				early++
			} else if id >= 360 {
				late++
			}
		}
		b.endAttempt(id, 0, OK)
	}
	if early > 3 || late <= early {
		t.Errorf("a worker in its slow start got %d of the first 40 jobs and %d of the last 40, want at most 3, then more", early, late)
	}
}

// If all workers are replaced at once, jobs must still be served: halfway through their slow start, the workers together take the
// usual load.
func TestFleetInSlowStartServesUsualLoad(t *testing.T) {
	s := testSettings()
	s.Dispatchers, s.Me, s.OverloadMultiple = 1, 0, 3
	var entries []Entry
	for _, name := range []string{"a", "b", "c", "d"} {
		e := readyEntry(name, 0, 0)
		e.StartedAt = time.Hour - s.SlowStartFor/2
		entries = append(entries, e)
	}
	b := newTestBench(t, s, entries...)
	b.d.arrivals.rate, b.d.arrivals.last = 20, b.now // the rate of the jobs below, as if it had been observed for long
	sent := 0
	for id := JobID(1); id <= 100; id++ {
		b.now += 50 * ms
		b.arrive(id, 2, 25*time.Second)
		for range b.actionsOf(Send) {
			sent++
			b.endAttempt(id, 0, OK)
		}
	}
	if sent < 80 {
		t.Errorf("%d of 100 jobs were sent on arrival, want at least 80", sent)
	}
}

// The budget of a worker in its slow start is a share of the jobs' first requests. Refused clients retry within milliseconds, and
// these retries must not raise what is sent to a worker that can do little yet.
func TestRetriesDoNotRaiseSlowStartBudget(t *testing.T) {
	jobsToWarmingWorker := func(retries int) float64 {
		warming := readyEntry("b", 0, 0)
		warming.StartedAt = time.Hour - 10*time.Second
		b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), warming)
		n := 0.0
		for i := range 2000 {
			for try := range 1 + retries {
				id := JobID(10*i + try)
				b.arrive(id, 2, 25*time.Second-time.Duration(try)*300*ms)
				for len(b.actionsOf(Send)) > 0 {
					if b.requireOne(Send).Worker == "b" {
						n++
					}
					b.endAttempt(id, 0, OK)
				}
			}
			b.now += 5 * ms
		}
		return n
	}
	if once, often := jobsToWarmingWorker(0), jobsToWarmingWorker(4); often > 1.5*once || once < 100 {
		t.Fatalf("a worker in its slow start got %v jobs without retries, and %v with retries", once, often)
	}
}
