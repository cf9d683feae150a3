package ravendale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world makes legal random events for one dispatcher and passes both sides to a checker.
type world struct {
	rnd      *rand.Rand
	check    *checker
	d        *Dispatcher
	set      Settings
	now      time.Duration
	timers   []time.Duration
	nextID   JobID
	inFlight []openAttempt
	hung     map[string]bool
	entries  []Entry
	log      []string // every action, to compare two runs
}

type openAttempt struct {
	job     JobID
	attempt int
	worker  string
}

func newWorld(t *testing.T, s Settings, seed uint64) *world {
	t.Helper()
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{rnd: rand.New(rand.NewPCG(seed, 1)), check: newChecker(s), d: d, set: s,
		now: time.Hour, hung: make(map[string]bool)}
	for i := range 8 {
		w.entries = append(w.entries, Entry{Worker: fmt.Sprint("w", i), Zone: i % 2, Cell: i % 3,
			State: Ready, Weight: 1 + float64(i%2)})
	}
	w.handle(Event{Kind: WorkersListed, List: Cached, Entries: slices.Clone(w.entries)})
	return w
}

func (w *world) handle(ev Event) {
	w.check.event(w.now, &ev)
	for _, a := range w.d.Handle(w.now, &ev, nil) {
		w.log = append(w.log, fmt.Sprint(w.now, a))
		w.check.action(w.now, a)
		switch a.Kind {
		case SetTimer:
			w.timers = append(w.timers, w.now+max(a.Wait, w.set.Tick))
		case Send:
			w.inFlight = append(w.inFlight, openAttempt{a.Job, len(w.check.jobs[a.Job].attempts) - 1, a.Worker})
		case Probe:
			if w.rnd.IntN(4) > 0 {
				w.handle(Event{Kind: ProbeAnswered, Worker: a.Worker, Outcome: OK, Load: w.load()})
			}
		}
	}
}

func (w *world) load() Load {
	return Load{Given: w.rnd.IntN(3) > 0, InFlight: float64(w.rnd.IntN(6)), FreeSlots: float64(w.rnd.IntN(3)), Busy: -1}
}

// step lets a tick pass and something happen.
func (w *world) step() {
	w.now += w.set.Tick * time.Duration(1+w.rnd.IntN(4))
	w.overdue()
	w.check.clock(w.now)
	due := 0
	w.timers = slices.DeleteFunc(w.timers, func(at time.Duration) bool {
		if at <= w.now {
			due++
		}
		return at <= w.now
	})
	for range due {
		w.handle(Event{Kind: TimerFired})
	}
	switch n := w.rnd.IntN(20); {
	case n < 6:
		w.arrive()
	case n < 13:
		w.endOne()
	case n < 15:
		w.note()
	case n < 16:
		if w.rnd.IntN(12) == 0 {
			w.change()
		}
	case n == 16:
		w.clientLeaves()
	case n == 17:
		name := w.entries[w.rnd.IntN(len(w.entries))].Worker
		w.hung[name] = !w.hung[name]
	}
}

func (w *world) arrive() {
	w.nextID++
	class := w.rnd.IntN(len(w.set.Classes))
	left := time.Duration(1+w.rnd.IntN(100)) * w.set.Classes[class].Deadline / 100
	w.handle(Event{Kind: JobArrived, Job: w.nextID, Class: class, Tenant: w.rnd.IntN(3) - 1, Left: left,
		Work: time.Duration(w.rnd.IntN(3)) * time.Second})
}

// overdue delivers the time-outs at the clients' deadlines.
func (w *world) overdue() {
	for i := 0; i < len(w.inFlight); i++ {
		if j := w.check.jobs[w.inFlight[i].job]; j.open && w.now >= j.deadline {
			w.end(i, TimedOut)
			i = -1 // the dispatcher may have changed the list
		}
	}
}

func (w *world) endOne() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.rnd.IntN(len(w.inFlight))
	o := w.inFlight[i]
	switch {
	case w.check.jobs[o.job].attempts[o.attempt].cancelled && w.rnd.IntN(4) > 0:
		w.end(i, Cancelled)
	case w.hung[o.worker]:
	default:
		outcomes := []Outcome{OK, OK, OK, OK, Error, Overloaded, Overloaded, ConnectFailed, Reset, NotSent}
		w.end(i, outcomes[w.rnd.IntN(len(outcomes))])
	}
}

func (w *world) end(i int, outcome Outcome) {
	o := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	closed := outcome == OK || !w.check.jobs[o.job].open
	w.handle(Event{Kind: AttemptEnded, Job: o.job, Attempt: o.attempt, Outcome: outcome, Closed: closed, Load: w.load()})
}

func (w *world) note() {
	if len(w.inFlight) == 0 {
		return
	}
	o := w.inFlight[w.rnd.IntN(len(w.inFlight))]
	kind := JobProgressed
	if w.rnd.IntN(2) == 0 {
		kind = JobStarted
	}
	w.handle(Event{Kind: kind, Job: o.job, Attempt: o.attempt, Done: w.rnd.Float64()})
}

// change lets a worker drain, go, come back cold or move to another zone, or the list fail or lack half, have some twice and
// six hundred others.
func (w *world) change() {
	e := &w.entries[w.rnd.IntN(len(w.entries))]
	switch w.rnd.IntN(8) {
	case 6:
		e.Zone, e.Cell = w.rnd.IntN(4)-1, w.rnd.IntN(4)-1
	case 7:
		w.handle(Event{Kind: WorkersListed, List: Full, Entries: slices.Concat(w.entries[:4], kinds(600), w.entries[2:4])})
		return
	case 0:
		w.handle(Event{Kind: WorkersListed, List: Failed})
		return
	case 1:
		e.State = Draining
	case 2:
		e.State = Removed
	default:
		e.State, e.StartedAt = Ready, w.now
	}
	if w.rnd.IntN(3) == 0 {
		w.handle(Event{Kind: WorkersListed, List: Full, Entries: slices.Clone(w.entries)})
		return
	}
	w.handle(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{*e}})
}

func (w *world) clientLeaves() {
	var open []JobID
	for id, j := range w.check.jobs {
		if j.open {
			open = append(open, id)
		}
	}
	if len(open) > 0 {
		w.handle(Event{Kind: ClientLeft, Job: slices.Min(open)})
	}
}

func streamSettings(seed uint64) Settings {
	s := testSettings()
	s.Classes = append(s.Classes, Class{Name: "z", Effect: Keyed, Group: GroupZone, Window: time.Second,
		LatencyTarget: time.Second, Deadline: 4 * time.Second, Kind: -1, Value: 3})
	s.Tenants = []Tenant{{Name: "a", Share: 0.5}, {Name: "b", Share: 0.5}}
	s.TellsStart = seed%2 == 0
	s.MayHedge = seed%3 > 0
	s.MustAsk = seed%4 == 0
	s.ValuePerJob = seed%5 == 0
	s.Dispatchers = []int{4, 400, 2}[seed%3] // as told: it may be wrong by far
	if seed%2 == 1 {
		s.ReportsIn, s.MayProbe = ReportsInAnswers, true
	}
	return s
}

func TestRulesHoldOverRandomStreams(t *testing.T) {
	for seed := range uint64(24) {
		w := newWorld(t, streamSettings(seed), seed)
		for range 3000 {
			w.step()
		}
		for range 6000 { // let everything end
			w.now += w.set.Tick
			w.overdue()
			w.check.clock(w.now)
			for len(w.timers) > 0 && slices.Min(w.timers) <= w.now {
				i := slices.Index(w.timers, slices.Min(w.timers))
				w.timers = slices.Delete(w.timers, i, i+1)
				w.handle(Event{Kind: TimerFired})
			}
		}
		for _, f := range w.check.faults {
			t.Errorf("seed %d: %s", seed, f)
		}
		if w.check.sent < 100 {
			t.Errorf("seed %d: only %d sends, the stream shows nothing", seed, w.check.sent)
		}
		for id, j := range w.check.jobs {
			if j.open {
				t.Errorf("seed %d: job %d was never answered", seed, id)
			}
		}
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	var logs [2][]string
	for i := range logs {
		w := newWorld(t, streamSettings(4), 4)
		for range 2000 {
			w.step()
		}
		logs[i] = w.log
	}
	if len(logs[0]) == 0 || !slices.Equal(logs[0], logs[1]) {
		t.Fatal("two runs of the same events differ")
	}
}
