package ravendale

import (
	"testing"
	"time"
)

// Guards against too many hedges: at each dispatcher most workers hold none of its slots, and a hedge to any such worker meant a
// hedge for 60% of all jobs.
func TestHedgeNeedsReportedFreeSlots(t *testing.T) {
	s := testSettings()
	s.ReportsIn = ReportsInAnswers
	b := newTestBench(t, s, readyEntry("a", 0, 0), readyEntry("b", 0, 0), readyEntry("c", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.requireOne(Send) // without a report there is no hedge
	first := b.actions[0].Worker
	b.endAttemptWithFreeSlots(1, 0, OK, 2)
	b.now += 10 * ms
	// Only first has reported free slots: either the job or its hedge is sent there.
	b.arrive(2, 0, 6*time.Second)
	sends := b.actionsOf(Send)
	sentTo := map[string]bool{}
	for _, a := range sends {
		sentTo[a.Worker] = true
	}
	if !sentTo[first] {
		t.Fatalf("the worker with reported free slots (%s) is not used: %+v", first, sends)
	}
	if len(sends) == 2 {
		b.handle(Event{Kind: AttemptEnded, Job: 2, Attempt: 1, Outcome: Overloaded})
		b.requireNone(Send) // a rejected hedge is not retried
	}
}

func TestSlowerAttemptIsCancelled(t *testing.T) {
	s := testSettings()
	s.ReportsIn, s.Zones = ReportsInAnswers, 2
	b := newTestBench(t, s, readyEntry("near", 0, 0), readyEntry("far", 1, 0))
	b.arrive(1, 0, 6*time.Second)
	b.endAttemptWithFreeSlots(1, 0, OK, 2)
	if j := b.d.byName["far"]; j != nil {
		b.d.observeFreeSlots(j, 2)
	}
	b.arrive(2, 0, 6*time.Second)
	if n := len(b.actionsOf(Send)); n != 2 {
		t.Fatalf("got %d sends, want the job and its hedge", n)
	}
	b.endAttempt(2, 1, OK)
	if c := b.requireOne(Cancel); c.Attempt != 0 {
		t.Fatalf("attempt %d is cancelled, want 0, which has not answered", c.Attempt)
	}
}

// A job whose start note is overdue is queued behind others, while other workers may have free slots.
func TestOverdueStartIsHedgedAndFirstStartWins(t *testing.T) {
	b := newTestBench(t, startNoteSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0), readyEntry("c", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	first := b.requireOne(Send).Worker
	b.advance(initialStartTimeout)
	second := b.requireOne(Send).Worker
	if second == first {
		t.Fatal("the hedge is sent to the same worker")
	}
	b.advance(initialStartTimeout) // both attempts wait: the hedge moves on, the first attempt stays queued
	if c := b.requireOne(Cancel); c.Attempt != 1 {
		t.Fatalf("attempt %d is cancelled, want the hedge, 1", c.Attempt)
	}
	b.requireOne(Send)
	b.handle(Event{Kind: JobStarted, Job: 1, Attempt: 0})
	if c := b.requireOne(Cancel); c.Attempt != 2 {
		t.Fatalf("attempt %d is cancelled when attempt 0 starts, want 2", c.Attempt)
	}
}

// If attempts can't be cancelled, each hedge of a queued job runs the job twice. In an experiment without cancellation, during a
// burst of half as much load again, a third of the jobs ran twice, half of the answers were late, and fewer jobs were served than
// the acceptance limit requires.
func TestOverdueStartIsNotHedgedWithoutCancellation(t *testing.T) {
	s := startNoteSettings()
	s.MayCancel = false
	b := newTestBench(t, s, readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.requireOne(Send)
	for range 8 {
		b.advance(initialStartTimeout)
		b.requireNone(Send)
	}
}

func TestJobStartedInTimeIsNotHedged(t *testing.T) {
	b := newTestBench(t, startNoteSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.now += 10 * ms
	b.handle(Event{Kind: JobStarted, Job: 1})
	b.advance(initialStartTimeout)
	b.requireNone(Send)
}

// On sockets a worker takes up to 50 ms to send a start note, however fast other notes came.
func TestStartTimeoutAllowsForDelayedStartNotes(t *testing.T) {
	s := startNoteSettings()
	s.Tick = 2 * ms
	b := newTestBench(t, s, readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.now += ms
	b.handle(Event{Kind: JobStarted, Job: 1})
	b.endAttempt(1, 0, OK)
	b.arrive(2, 0, 6*time.Second)
	b.advance(45 * ms)
	b.requireNone(Send)
	b.advance(10 * ms)
	b.requireOne(Send)
}

// A queued keyed job is hedged too, but only to workers that discard its duplicates: those of the cell that the first worker had
// at the time of the send, even if the list has moved that worker since.
func TestKeyedJobIsHedgedWithinItsGroup(t *testing.T) {
	b := newTestBench(t, startNoteSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 1), readyEntry("c", 0, 0), readyEntry("d", 0, 1))
	b.arrive(1, 1, 25*time.Second)
	first := b.d.byName[b.requireOne(Send).Worker].Entry
	b.handle(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{readyEntry(first.Worker, 0, 1-first.Cell)}})
	b.advance(initialStartTimeout)
	if second := b.d.byName[b.requireOne(Send).Worker]; second.Cell != first.Cell {
		t.Errorf("the hedge is sent to %s of cell %d, the first attempt was in cell %d", second.Worker, second.Cell, first.Cell)
	}
}

func TestUnsafeJobIsNotHedged(t *testing.T) {
	b := newTestBench(t, startNoteSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	for range 20 {
		b.advance(initialStartTimeout)
		b.requireNone(Send)
		b.requireNone(Cancel)
	}
}

// Guards against two failures. Jobs of low value tolerate queues better, so they filled the queues, and the class of the highest
// value was served worst. But a keyed job that may have run can't be refused any more: when such jobs were held for a third of
// 25 s, their answers came 8 s late, where late answers earn nothing.
func TestLowValueJobLeavesQueueWhileSlotsAreScarce(t *testing.T) {
	for _, tc := range []struct {
		class  int
		late   float64 // what a late answer earns
		leaves bool
	}{{0, 0, true}, {1, 0, false}, {1, 0.3, true}} {
		s := startNoteSettings()
		s.Classes[tc.class].LateValue = tc.late
		b := newTestBench(t, s, readyEntry("a", 0, 0), readyEntry("b", 0, 0))
		b.d.arrivals.meanValue, b.d.arrivals.jobs, b.d.zones[0].busy = 9, 100, 1
		b.arrive(100, tc.class, s.Classes[tc.class].Deadline)
		b.d.zones[0].busy = 1
		b.advance(initialStartTimeout)
		if left := len(b.actionsOf(Cancel)) == 1 && len(b.actionsOf(Send)) == 0; left != tc.leaves {
			t.Errorf("%+v: unexpected actions %+v", tc, b.actions)
		}
	}
}
