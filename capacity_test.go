package ravendale

import (
	"testing"
	"time"
)

// An unsafe job can't be moved from one worker's queue to another. If its value is below half of the mean, it stays pending while
// slots are scarce, except for a worker without jobs of this dispatcher, and while slots are very scarce for any worker.
func TestLowValueUnsafeJobStaysPendingWhileSlotsAreScarce(t *testing.T) {
	for _, tc := range []struct {
		busy, value, ours, late float64
		sent                    bool
	}{{scarceThreshold, 1, 1, 0.25, true}, {scarceThreshold + 0.01, 1, 1, 0.25, false}, {scarceThreshold + 0.01, 1, 0, 0.25, true}, {veryScarceThreshold + 0.01, 1, 0, 0.25, false}, {1, 2, 1, 0.25, true},
		{scarceThreshold - 0.09, 1, 1, 0, false}, {scarceThreshold - 0.11, 1, 1, 0, true}} {
		s := startNoteSettings()
		s.Classes[2].Value, s.Classes[2].LateValue = tc.value, tc.late
		b := newTestBench(t, s, readyEntry("a", 0, 0))
		b.d.arrivals.meanValue, b.d.arrivals.jobs, b.d.zones[0].busy, b.d.workers[0].ownSlots = 3, 100, tc.busy, tc.ours
		if b.arrive(2, 2, 25*time.Second); (len(b.actionsOf(Send)) == 1) != tc.sent {
			t.Errorf("%+v: unexpected actions %v", tc, b.actions)
		}
	}
}

// Guards against retries at a worker that is still full: all dispatchers read the same outdated reports, tried the same workers
// and used up their attempts.
func TestRejectingWorkerGetsNoJobUntilSlotIsFree(t *testing.T) {
	s := testSettings()
	s.ReportsIn = ReportsInAnswers
	b := newTestBench(t, s, readyEntry("a", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.arrive(2, 0, 6*time.Second)
	b.endAttemptWithFreeSlots(1, 0, Overloaded, 0)
	b.requireNone(Send)
	for range 5 {
		b.advance(50 * ms)
		b.requireNone(Send)
	}
	b.endAttemptWithFreeSlots(2, 0, OK, 0) // the answered job frees a slot, whatever an older report says
	if a := b.requireOne(Send); a.Job != 1 {
		t.Fatalf("job %d is sent, want the pending job 1", a.Job)
	}
}

// Guards against a long pause after one rejection: among many dispatchers, one that held no slots at a worker sent it nothing for
// ten seconds after a single rejection, while a worker of three slots frees one every few milliseconds.
func TestFullWorkerWithListedSlotsIsRetriedWithExponentialDelay(t *testing.T) {
	const run = 20 * ms
	s := testSettings()
	s.Dispatchers, s.Classes[0].LatencyTarget, s.MaxAttempts = 69, 0, 100
	b := newTestBench(t, s, Entry{Worker: "w", State: Ready, Weight: 1, Slots: 3})
	b.arrive(1, 0, time.Hour)
	b.now += run
	b.endAttempt(1, 0, OK)
	b.arrive(2, 0, time.Hour)
	for attempt, want := range []time.Duration{16 * run, 32 * run, 64 * run} {
		b.endAttempt(2, attempt, Overloaded)
		b.requireNone(Send)
		if wait := b.untilSent(5 * ms); wait < want || wait > want+5*ms {
			t.Errorf("after %d rejections the worker is tried again after %v, want %v", attempt+1, wait, want)
		}
	}
	b.now += run
	b.endAttempt(2, 3, OK)
	b.arrive(3, 0, time.Hour)
	b.endAttempt(3, 0, Overloaded)
	if wait := b.untilSent(5 * ms); wait < 32*run || wait > 32*run+5*ms {
		t.Errorf("after an answer and one more rejection the worker is tried again after %v, want %v", wait, 32*run)
	}
}

func TestNewWorkerInitiallyGetsShareOfListedSlots(t *testing.T) {
	for _, tc := range []struct{ dispatchers, slots, sent int }{{69, 3, 1}, {4, 3, 1}, {4, 16, 4}, {1, 16, 16}, {4, 0, 20}} {
		s := testSettings()
		s.Dispatchers, s.Me, s.Classes[0].LatencyTarget = tc.dispatchers, 0, 0
		b := newTestBench(t, s, Entry{Worker: "w", State: Ready, Weight: 1, Slots: tc.slots})
		sent := 0
		for i := range 20 {
			b.arrive(JobID(i), 0, time.Hour)
			sent += len(b.actionsOf(Send))
		}
		if sent != tc.sent {
			t.Errorf("%+v: %d jobs are sent at once", tc, sent)
		}
	}
}

func TestFullWorkerWithUnknownSlotsIsRetriedAtSharedRate(t *testing.T) {
	s := testSettings()
	s.Dispatchers, s.Classes[0].LatencyTarget = 20, 0
	b := newTestBench(t, s, Entry{Worker: "w", State: Ready, Weight: 1})
	b.arrive(1, 0, time.Hour)
	b.endAttempt(1, 0, Overloaded)
	if wait, want := b.untilSent(pendingRetryInterval), 20*rejectionRetryInterval; wait < want || wait > want+pendingRetryInterval {
		t.Errorf("the worker is tried again after %v, want %v", wait, want)
	}
}

// Guards against long queues: within ten seconds of overload, queues grew to eight seconds and all answers were late.
func TestNoJobIsSentToLongQueue(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	for _, w := range b.d.workers {
		b.d.observeFreeSlots(w, -8) // 8 jobs wait there
	}
	b.arrive(1, 2, 25*time.Second)
	b.requireNone(Send)
	b.d.observeFreeSlots(b.d.byName["b"], -1)
	b.advance(pendingRetryInterval)
	if a := b.requireOne(Send); a.Worker != "b" {
		t.Fatalf("the pending job is sent to %s, want b, where one job waits", a.Worker)
	}
}
