package ravendale

import (
	"math"
	"testing"
	"time"
)

// A cold worker's budget is of work: a job costs its class's mean run over that of all that come, or a whole one before a run
// was seen. What costs more than all together may send in the rule's span goes to an empty worker only.
func TestASlowStartBudgetIsOfWork(t *testing.T) {
	for _, tc := range []struct {
		class int
		warm  time.Duration
		ours  float64
		cost  float64 // 0: not sent
	}{{0, 0, 0, 0.5}, {1, 0, 0, 1.5}, {2, 0, 0, 1}, {1, 0, 1, 0}, {1, 15 * time.Second, 1, 1.5}} {
		b := newBench(t, testSettings(), ready("a", 0, 0))
		b.d.stats[0].run, b.d.stats[1].run, b.d.stats[0].arrivals, b.d.stats[1].arrivals = 200*ms, 600*ms, 1e9, 1e9
		w := b.d.workers[0]
		w.StartedAt = b.now - tc.warm
		b.d.capacity.peak, b.d.capacity.warmThroughput, w.tokens, w.refilledAt, w.slots = 10, 0.2, 1, b.now, tc.ours
		b.arrive(1, tc.class, 6*time.Second)
		if cost := 1 - w.tokens; math.Abs(cost-tc.cost) > 0.01 || (len(b.of(Send)) == 1) != (tc.cost > 0) {
			t.Errorf("%+v: cost %.2f, %v", tc, cost, b.acts)
		}
	}
}

func TestAWorkerInSlowStartGetsItsBudgetOnly(t *testing.T) {
	s := testSettings()
	warming := ready("cold", 0, 0)
	warming.StartedAt = time.Hour - 1
	b := newBench(t, s, ready("a", 0, 0), ready("b", 0, 0), ready("c", 0, 0), warming)
	var early, late int
	for id := range JobID(400) {
		b.now += 50 * ms
		b.arrive(id, 2, 25*time.Second)
		if b.one(Send).Worker == "cold" {
			if id < 40 {
				early++
			} else if id >= 360 {
				late++
			}
		}
		b.end(id, 0, OK)
	}
	if early > 3 || late <= early {
		t.Errorf("a cold worker got %d of the first 40 jobs and %d of the last, want few, then more", early, late)
	}
}

// A fleet that is replaced whole must not starve: once the coldest time is past, cold workers
// together take what comes at a usual load.
func TestAFleetThatIsAllInSlowStartTakesItsLoad(t *testing.T) {
	s := testSettings()
	s.Dispatchers, s.Me, s.OverloadMultiple = 1, 0, 3
	var fleet []Entry
	for _, name := range []string{"a", "b", "c", "d"} {
		e := ready(name, 0, 0)
		e.StartedAt = time.Hour - s.SlowStartFor/2
		fleet = append(fleet, e)
	}
	b := newBench(t, s, fleet...)
	b.d.arrivals.rate, b.d.arrivals.last = 20, b.now // the rate of the jobs below, as if they had come for long
	sent := 0
	for id := JobID(1); id <= 100; id++ {
		b.now += 50 * ms
		b.arrive(id, 2, 25*time.Second)
		for range b.of(Send) {
			sent++
			b.end(id, 0, OK)
		}
	}
	if sent < 80 {
		t.Errorf("%d of 100 jobs were sent when they came, want most", sent)
	}
}

// The budget of a cold worker is a share of the first tries: refused clients come back within milliseconds, and what
// they send again must not raise what is sent to a worker that can do little yet.
func TestRetriesDoNotRaiseTheBudgetOfAWorkerInSlowStart(t *testing.T) {
	sent := func(retries int) float64 {
		warming := ready("b", 0, 0)
		warming.StartedAt = time.Hour - 10*time.Second
		b := newBench(t, testSettings(), ready("a", 0, 0), warming)
		n := 0.0
		for i := range 2000 {
			for try := range 1 + retries {
				id := JobID(10*i + try)
				b.arrive(id, 2, 25*time.Second-time.Duration(try)*300*ms)
				for len(b.of(Send)) > 0 {
					if b.one(Send).Worker == "b" {
						n++
					}
					b.end(id, 0, OK)
				}
			}
			b.now += 5 * ms
		}
		return n
	}
	if once, often := sent(0), sent(4); often > 1.5*once || once < 100 {
		t.Fatalf("%v jobs to a cold worker, %v with retries", once, often)
	}
}
