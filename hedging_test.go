package ravendale

import (
	"testing"
	"time"
)

// Own slots tie at zero at every dispatcher; copying on that alone copied 60% of all jobs.
func TestHedgesNeedReportedSlots(t *testing.T) {
	s := testSettings()
	s.ReportsIn = ReportsInAnswers
	b := newBench(t, s, ready("a", 0, 0), ready("b", 0, 0), ready("c", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.one(Send) // no report, no copy
	first := b.acts[0].Worker
	b.endWith(1, 0, OK, 2)
	b.now += 10 * ms
	// The room is first's: either the job goes there, or its copy does.
	b.arrive(2, 0, 6*time.Second)
	sends := b.of(Send)
	to := map[string]bool{}
	for _, a := range sends {
		to[a.Worker] = true
	}
	if !to[first] {
		t.Fatalf("the worker with reported room (%s) is not used: %+v", first, sends)
	}
	if len(sends) == 2 {
		b.do(Event{Kind: AttemptEnded, Job: 2, Attempt: 1, Outcome: Overloaded})
		b.none(Send) // 'full' drops a copy
	}
}

func TestLoserOfACopyIsCancelled(t *testing.T) {
	s := testSettings()
	s.ReportsIn, s.Zones = ReportsInAnswers, 2
	b := newBench(t, s, ready("near", 0, 0), ready("far", 1, 0))
	b.arrive(1, 0, 6*time.Second)
	b.endWith(1, 0, OK, 2)
	if j := b.d.byName["far"]; j != nil {
		b.d.observeFree(j, 2)
	}
	b.arrive(2, 0, 6*time.Second)
	if n := len(b.of(Send)); n != 2 {
		t.Fatalf("%d sends, want the job and its copy", n)
	}
	b.end(2, 1, OK)
	if c := b.one(Cancel); c.Attempt != 0 {
		t.Fatalf("attempt %d is cancelled, want the loser, 0", c.Attempt)
	}
}

// A job stands behind others while room stands elsewhere; its start note is overdue.
func TestAWaitingJobIsHedgedAndKeepsTheFirstToStart(t *testing.T) {
	b := newBench(t, startSettings(), ready("a", 0, 0), ready("b", 0, 0), ready("c", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	first := b.one(Send).Worker
	b.fire(initialStartTimeout)
	second := b.one(Send).Worker
	if second == first {
		t.Fatal("the second place is in the same queue")
	}
	b.fire(initialStartTimeout) // both wait: the copy moves on, the first keeps its place
	if c := b.one(Cancel); c.Attempt != 1 {
		t.Fatalf("attempt %d gives up its place, want 1", c.Attempt)
	}
	b.one(Send)
	b.do(Event{Kind: JobStarted, Job: 1, Attempt: 0})
	if c := b.one(Cancel); c.Attempt != 2 {
		t.Fatalf("attempt %d is cancelled at the start of 0, want 2", c.Attempt)
	}
}

// Where no attempt can be taken back each second place is work done twice. Seen on a large calm day without cancel, in a burst of half
// as much again: a third of what came ran twice, half of the answers were late, and under the gate's share was served.
func TestAWaitingJobStaysQueuedWhereNoAttemptCanBeCancelled(t *testing.T) {
	s := startSettings()
	s.MayCancel = false
	b := newBench(t, s, ready("a", 0, 0), ready("b", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.one(Send)
	for range 8 {
		b.fire(initialStartTimeout)
		b.none(Send)
	}
}

func TestAJobThatStartsInTimeIsNotHedged(t *testing.T) {
	b := newBench(t, startSettings(), ready("a", 0, 0), ready("b", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.now += 10 * ms
	b.do(Event{Kind: JobStarted, Job: 1})
	b.fire(initialStartTimeout)
	b.none(Send)
}

// On sockets a worker takes up to 50 ms to say that it took a job, however prompt others are.
func TestAJobIsNotMovedBeforeItsWorkerCouldSpeak(t *testing.T) {
	s := startSettings()
	s.Tick = 2 * ms
	b := newBench(t, s, ready("a", 0, 0), ready("b", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.now += ms
	b.do(Event{Kind: JobStarted, Job: 1})
	b.end(1, 0, OK)
	b.arrive(2, 0, 6*time.Second)
	b.fire(45 * ms)
	b.none(Send)
	b.fire(10 * ms)
	b.one(Send)
}

// A keyed job that waits moves as well, to workers that would drop the repeat and no further, wherever the first is listed by now.
func TestAWaitingKeyedJobIsHedgedInItsGroup(t *testing.T) {
	b := newBench(t, startSettings(), ready("a", 0, 0), ready("b", 0, 1), ready("c", 0, 0), ready("d", 0, 1))
	b.arrive(1, 1, 25*time.Second)
	first := b.d.byName[b.one(Send).Worker].Entry
	b.do(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{ready(first.Worker, 0, 1-first.Cell)}})
	b.fire(initialStartTimeout)
	if second := b.d.byName[b.one(Send).Worker]; second.Cell != first.Cell {
		t.Errorf("the second place is at %s of cell %d, the first was in %d", second.Worker, second.Cell, first.Cell)
	}
}

func TestUnsafeJobIsNotHedged(t *testing.T) {
	b := newBench(t, startSettings(), ready("a", 0, 0), ready("b", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	for range 20 {
		b.fire(initialStartTimeout)
		b.none(Send)
		b.none(Cancel)
	}
}

// Jobs worth less tolerate queues better, so they filled them and the dearest class was served worst. But one that may have run
// in its group can't be refused any more: held for a third of 25 s, bookings came 8 s late, where late earns nothing.
func TestALowValueJobLeavesTheQueueWhileSlotsAreScarce(t *testing.T) {
	for _, tc := range []struct {
		class  int
		late   float64 // what a late answer earns
		leaves bool
	}{{0, 0, true}, {1, 0, false}, {1, 0.3, true}} {
		s := startSettings()
		s.Classes[tc.class].LateValue = tc.late
		b := newBench(t, s, ready("a", 0, 0), ready("b", 0, 0))
		b.d.arrivals.meanValue, b.d.arrivals.jobs, b.d.zones[0].busy = 9, 100, 1
		b.arrive(100, tc.class, s.Classes[tc.class].Deadline)
		b.d.zones[0].busy = 1
		b.fire(initialStartTimeout)
		if left := len(b.of(Cancel)) == 1 && len(b.of(Send)) == 0; left != tc.leaves {
			t.Errorf("%+v: %+v", tc, b.acts)
		}
	}
}
