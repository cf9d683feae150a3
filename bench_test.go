package ravendale

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testBench drives one Dispatcher and keeps its latest actions.
type testBench struct {
	t       *testing.T
	d       *Dispatcher
	now     time.Duration
	actions []Action // for the latest event
}

// testSettings returns settings with one class of each effect: 0 safe, 1 keyed by cell, 2 unsafe.
func testSettings() Settings {
	return Settings{
		Dispatchers: 4, Me: 1, Zones: 2, Zone: 0,
		Classes: []Class{
			{Name: "s", Effect: Safe, LatencyTarget: 400 * ms, Stretch: 2, Deadline: 6 * time.Second, Kind: -1, Value: 1},
			{Name: "k", Effect: Keyed, Group: GroupCell, Window: 10 * time.Second, LatencyTarget: time.Second, Stretch: 2,
				Deadline: 25 * time.Second, Kind: -1, Value: 1},
			{Name: "u", Effect: Unsafe, LatencyTarget: time.Second, Stretch: 2, Deadline: 25 * time.Second, Kind: -1, Value: 1},
		},
		MaxAttempts: 5, MayHedge: true, MayCancel: true, AnswerSlack: 20 * ms, DrainTimeout: 500 * ms,
		AskWithin: 10 * time.Second, SlowStartFrom: 0.15, SlowStartFor: 20 * time.Second, OverloadMultiple: 2.5,
		OverloadSpan: 2 * time.Second, Tick: 5 * ms,
	}
}

func newTestBench(t *testing.T, s Settings, workers ...Entry) *testBench {
	t.Helper()
	d, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &testBench{t: t, d: d, now: time.Hour}
	b.handle(Event{Kind: WorkersListed, List: Cached, Entries: workers})
	return b
}

func (b *testBench) handle(ev Event) []Action {
	b.actions = b.d.Handle(b.now, &ev, nil)
	return b.actions
}

func (b *testBench) arrive(id JobID, class int, left time.Duration) []Action {
	return b.handle(Event{Kind: JobArrived, Job: id, Class: class, Tenant: -1, TimeLeft: left})
}

func (b *testBench) endAttempt(id JobID, attempt int, o Outcome) []Action {
	return b.handle(Event{Kind: AttemptEnded, Job: id, Attempt: attempt, Outcome: o, Closed: o == OK})
}

// endAttemptWithFreeSlots passes an outcome with a report of free slots.
func (b *testBench) endAttemptWithFreeSlots(id JobID, attempt int, o Outcome, free float64) {
	b.handle(Event{Kind: AttemptEnded, Job: id, Attempt: attempt, Outcome: o, Closed: o == OK,
		Load: Load{Given: true, FreeSlots: free, InFlight: -1, Busy: -1}})
}

// advance moves the clock forward and fires the timer.
func (b *testBench) advance(by time.Duration) []Action {
	b.now += by
	return b.handle(Event{Kind: TimerFired})
}

// actionsOf returns the latest actions of one kind.
func (b *testBench) actionsOf(kind ActionKind) (found []Action) {
	for _, a := range b.actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

// requireOne returns the only latest action of one kind, and fails the test if there is not exactly one.
func (b *testBench) requireOne(kind ActionKind) Action {
	b.t.Helper()
	found := b.actionsOf(kind)
	if len(found) != 1 {
		b.t.Fatalf("got %d actions of kind %d in %+v, want 1", len(found), kind, b.actions)
	}
	return found[0]
}

// requireNone fails the test if the latest actions include one of the kind.
func (b *testBench) requireNone(kind ActionKind) {
	b.t.Helper()
	if found := b.actionsOf(kind); len(found) > 0 {
		b.t.Fatalf("unexpected actions of kind %d: %+v", kind, found)
	}
}

// untilSent fires the timer once a step until a job is sent or 2*rejectionTTL has passed, and returns the time it took.
func (b *testBench) untilSent(step time.Duration) time.Duration {
	from := b.now
	for len(b.actionsOf(Send)) == 0 && b.now-from < 2*rejectionTTL {
		b.now += step
		b.d.timerAt = 0
		for _, j := range b.d.openJobs {
			j.checkAt = 0
		}
		b.handle(Event{Kind: TimerFired})
	}
	return b.now - from
}

func readyEntry(name string, zone, cell int) Entry {
	return Entry{Worker: name, Zone: zone, Cell: cell, State: Ready, Weight: 1}
}

func startNoteSettings() Settings {
	s := testSettings()
	s.TellsStart = true
	return s
}
