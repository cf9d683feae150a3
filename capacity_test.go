package ravendale

import (
	"testing"
	"time"
)

// What must not run twice can't be taken back from a queue: worth under half of the mean it waits while room is scarce, but
// for a worker without our jobs, and while room is very scarce for all.
func TestALowValueUnsafeJobWaitsHereWhileSlotsAreScarce(t *testing.T) {
	for _, tc := range []struct {
		busy, value, ours, late float64
		sent                    bool
	}{{scarceSlots, 1, 1, 0.25, true}, {scarceSlots + 0.01, 1, 1, 0.25, false}, {scarceSlots + 0.01, 1, 0, 0.25, true}, {tightSlots + 0.01, 1, 0, 0.25, false}, {1, 2, 1, 0.25, true},
		{scarceSlots - 0.09, 1, 1, 0, false}, {scarceSlots - 0.11, 1, 1, 0, true}} {
		s := startSettings()
		s.Classes[2].Value, s.Classes[2].LateValue = tc.value, tc.late
		b := newBench(t, s, ready("a", 0, 0))
		b.d.arrivals.meanValue, b.d.arrivals.jobs, b.d.zones[0].busy, b.d.workers[0].slots = 3, 100, tc.busy, tc.ours
		if b.arrive(2, 2, 25*time.Second); (len(b.of(Send)) == 1) != tc.sent {
			t.Errorf("%+v: %v", tc, b.acts)
		}
	}
}

// Every dispatcher reads the same late reports and tried the same workers until its attempts were gone.
func TestAWorkerThatRejectedAJobIsUsedOnEvidenceOnly(t *testing.T) {
	s := testSettings()
	s.ReportsIn = ReportsInAnswers
	b := newBench(t, s, ready("a", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.arrive(2, 0, 6*time.Second)
	b.endWith(1, 0, Overloaded, 0)
	b.none(Send)
	for range 5 {
		b.fire(50 * ms)
		b.none(Send)
	}
	b.endWith(2, 0, OK, 0) // an own finish is sure room, whatever an older report says
	if a := b.one(Send); a.Job != 1 {
		t.Fatalf("job %d is sent, want the held one", a.Job)
	}
}

// With many dispatchers, one that held nothing at a worker was shut out for ten seconds by a single answer that it is full, while a worker of
// three slots frees one every few milliseconds.
func TestAFullWorkerWithListedSlotsIsTriedAgainAfterAPauseThatDoubles(t *testing.T) {
	const run = 20 * ms
	s := testSettings()
	s.Dispatchers, s.Classes[0].LatencyTarget, s.MaxAttempts = 69, 0, 100
	b := newBench(t, s, Entry{Worker: "w", State: Ready, Weight: 1, Slots: 3})
	b.arrive(1, 0, time.Hour)
	b.now += run
	b.end(1, 0, OK)
	b.arrive(2, 0, time.Hour)
	for attempt, want := range []time.Duration{16 * run, 32 * run, 64 * run} {
		b.end(2, attempt, Overloaded)
		b.none(Send)
		if took := b.untilSent(5 * ms); took < want || took > want+5*ms {
			t.Errorf("after %d full answers it is tried again in %v, want %v", attempt+1, took, want)
		}
	}
	b.now += run
	b.end(2, 3, OK)
	b.arrive(3, 0, time.Hour)
	b.end(3, 0, Overloaded)
	if took := b.untilSent(5 * ms); took < 32*run || took > 32*run+5*ms {
		t.Errorf("after a finish and one more full answer it is tried again in %v, want %v", took, 32*run)
	}
}

func TestAWorkerThatIsNewTakesItsFractionOfTheSlotsAtFirst(t *testing.T) {
	for _, tc := range []struct{ dispatchers, slots, sent int }{{69, 3, 1}, {4, 3, 1}, {4, 16, 4}, {1, 16, 16}, {4, 0, 20}} {
		s := testSettings()
		s.Dispatchers, s.Me, s.Classes[0].LatencyTarget = tc.dispatchers, 0, 0
		b := newBench(t, s, Entry{Worker: "w", State: Ready, Weight: 1, Slots: tc.slots})
		sent := 0
		for i := range 20 {
			b.arrive(JobID(i), 0, time.Hour)
			sent += len(b.of(Send))
		}
		if sent != tc.sent {
			t.Errorf("%+v: %d are sent at once", tc, sent)
		}
	}
}

func TestAFullWorkerOfUnknownSlotsIsTriedByAllTogether(t *testing.T) {
	s := testSettings()
	s.Dispatchers, s.Classes[0].LatencyTarget = 20, 0
	b := newBench(t, s, Entry{Worker: "w", State: Ready, Weight: 1})
	b.arrive(1, 0, time.Hour)
	b.end(1, 0, Overloaded)
	if took, want := b.untilSent(pendingRetry), 20*rejectionRetry; took < want || took > want+pendingRetry {
		t.Errorf("it is tried again in %v, want %v", took, want)
	}
}

// Queues grew to eight seconds in ten seconds of overload, and every answer came late.
func TestNoJobJoinsALongQueue(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0))
	for _, w := range b.d.workers {
		b.d.observeFree(w, -8) // so many wait
	}
	b.arrive(1, 2, 25*time.Second)
	b.none(Send)
	b.d.observeFree(b.d.byName["b"], -1)
	b.fire(pendingRetry)
	if a := b.one(Send); a.Worker != "b" {
		t.Fatalf("the held job goes to %s, want b, where one job waits", a.Worker)
	}
}
