package ravendale

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// bench drives one dispatcher and keeps what it said.
type bench struct {
	t    *testing.T
	d    *Dispatcher
	now  time.Duration
	acts []Action // of the last event
}

// testSettings has one class of each effect: 0 safe, 1 keyed by cell, 2 unsafe.
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

func newBench(t *testing.T, s Settings, workers ...Entry) *bench {
	t.Helper()
	d, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, d: d, now: time.Hour}
	b.do(Event{Kind: WorkersListed, List: Cached, Entries: workers})
	return b
}

func (b *bench) do(ev Event) []Action {
	b.acts = b.d.Handle(b.now, &ev, nil)
	return b.acts
}

func (b *bench) arrive(id JobID, class int, left time.Duration) []Action {
	return b.do(Event{Kind: JobArrived, Job: id, Class: class, Tenant: -1, Left: left})
}

func (b *bench) end(id JobID, attempt int, o Outcome) []Action {
	return b.do(Event{Kind: AttemptEnded, Job: id, Attempt: attempt, Outcome: o, Closed: o == OK})
}

// free is a report of free slots that comes with an outcome.
func (b *bench) endWith(id JobID, attempt int, o Outcome, free float64) {
	b.do(Event{Kind: AttemptEnded, Job: id, Attempt: attempt, Outcome: o, Closed: o == OK,
		Load: Load{Given: true, FreeSlots: free, InFlight: -1, Busy: -1}})
}

// fire advances the clock and lets the timer fire.
func (b *bench) fire(by time.Duration) []Action {
	b.now += by
	return b.do(Event{Kind: TimerFired})
}

// of returns the last actions of one kind.
func (b *bench) of(kind ActionKind) (found []Action) {
	for _, a := range b.acts {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

// one returns the only action of one kind, and fails the test if there is not exactly one.
func (b *bench) one(kind ActionKind) Action {
	b.t.Helper()
	found := b.of(kind)
	if len(found) != 1 {
		b.t.Fatalf("%d actions of kind %d in %+v, want 1", len(found), kind, b.acts)
	}
	return found[0]
}

// none fails the test if there is an action of the kind.
func (b *bench) none(kind ActionKind) {
	b.t.Helper()
	if found := b.of(kind); len(found) > 0 {
		b.t.Fatalf("unwanted actions of kind %d: %+v", kind, found)
	}
}

// untilSent lets the timer fire again and again until a job is sent, and returns how long that took.
func (b *bench) untilSent(step time.Duration) time.Duration {
	from := b.now
	for len(b.of(Send)) == 0 && b.now-from < 2*rejectionTTL {
		b.now += step
		b.d.wakeAt = 0
		for _, j := range b.d.open {
			j.due = 0
		}
		b.do(Event{Kind: TimerFired})
	}
	return b.now - from
}

func ready(name string, zone, cell int) Entry {
	return Entry{Worker: name, Zone: zone, Cell: cell, State: Ready, Weight: 1}
}

func startSettings() Settings {
	s := testSettings()
	s.TellsStart = true
	return s
}
