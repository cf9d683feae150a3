package ravendale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation generates valid random events for one Dispatcher, and passes these and its actions to a checker.
type simulation struct {
	rnd        *rand.Rand
	checker    *checker
	dispatcher *Dispatcher
	settings   Settings
	now        time.Duration
	timers     []time.Duration
	nextID     JobID
	inFlight   []sentAttempt
	hung       map[string]bool
	entries    []Entry
	log        []string // all actions, to compare two runs
}

type sentAttempt struct {
	job     JobID
	attempt int
	worker  string
}

func newSimulation(t *testing.T, s Settings, seed uint64) *simulation {
	t.Helper()
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), checker: newChecker(s), dispatcher: d, settings: s,
		now: time.Hour, hung: make(map[string]bool)}
	for i := range 8 {
		sim.entries = append(sim.entries, Entry{Worker: fmt.Sprint("w", i), Zone: i % 2, Cell: i % 3,
			State: Ready, Weight: 1 + float64(i%2)})
	}
	sim.handle(Event{Kind: WorkersListed, List: Cached, Entries: slices.Clone(sim.entries)})
	return sim
}

func (sim *simulation) handle(ev Event) {
	sim.checker.observeEvent(sim.now, &ev)
	for _, a := range sim.dispatcher.Handle(sim.now, &ev, nil) {
		sim.log = append(sim.log, fmt.Sprint(sim.now, a))
		sim.checker.checkAction(sim.now, a)
		switch a.Kind {
		case SetTimer:
			sim.timers = append(sim.timers, sim.now+max(a.Wait, sim.settings.Tick))
		case Send:
			sim.inFlight = append(sim.inFlight, sentAttempt{a.Job, len(sim.checker.jobs[a.Job].attempts) - 1, a.Worker})
		case Probe:
			if sim.rnd.IntN(4) > 0 {
				sim.handle(Event{Kind: ProbeAnswered, Worker: a.Worker, Outcome: OK, Load: sim.randomLoad()})
			}
		}
	}
}

func (sim *simulation) randomLoad() Load {
	return Load{Given: sim.rnd.IntN(3) > 0, InFlight: float64(sim.rnd.IntN(6)), FreeSlots: float64(sim.rnd.IntN(3)), Busy: -1}
}

// step advances the clock by one to four ticks and passes a random event.
func (sim *simulation) step() {
	sim.now += sim.settings.Tick * time.Duration(1+sim.rnd.IntN(4))
	sim.timeOutAttempts()
	sim.checker.checkDeadlines(sim.now)
	due := 0
	sim.timers = slices.DeleteFunc(sim.timers, func(at time.Duration) bool {
		if at <= sim.now {
			due++
		}
		return at <= sim.now
	})
	for range due {
		sim.handle(Event{Kind: TimerFired})
	}
	switch n := sim.rnd.IntN(20); {
	case n < 6:
		sim.arriveJob()
	case n < 13:
		sim.endRandomAttempt()
	case n < 15:
		sim.sendRandomNote()
	case n < 16:
		if sim.rnd.IntN(12) == 0 {
			sim.changeList()
		}
	case n == 16:
		sim.clientLeaves()
	case n == 17:
		name := sim.entries[sim.rnd.IntN(len(sim.entries))].Worker
		sim.hung[name] = !sim.hung[name]
	}
}

func (sim *simulation) arriveJob() {
	sim.nextID++
	class := sim.rnd.IntN(len(sim.settings.Classes))
	left := time.Duration(1+sim.rnd.IntN(100)) * sim.settings.Classes[class].Deadline / 100
	sim.handle(Event{Kind: JobArrived, Job: sim.nextID, Class: class, Tenant: sim.rnd.IntN(3) - 1, TimeLeft: left,
		Work: time.Duration(sim.rnd.IntN(3)) * time.Second})
}

// timeOutAttempts ends the attempts of jobs whose client's deadline has passed.
func (sim *simulation) timeOutAttempts() {
	for i := 0; i < len(sim.inFlight); i++ {
		if j := sim.checker.jobs[sim.inFlight[i].job]; j.open && sim.now >= j.deadline {
			sim.endAttempt(i, TimedOut)
			i = -1 // the Dispatcher may have changed inFlight
		}
	}
}

func (sim *simulation) endRandomAttempt() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.rnd.IntN(len(sim.inFlight))
	o := sim.inFlight[i]
	switch {
	case sim.checker.jobs[o.job].attempts[o.attempt].cancelled && sim.rnd.IntN(4) > 0:
		sim.endAttempt(i, Cancelled)
	case sim.hung[o.worker]:
	default:
		outcomes := []Outcome{OK, OK, OK, OK, Error, Overloaded, Overloaded, ConnectFailed, Reset, NotSent}
		sim.endAttempt(i, outcomes[sim.rnd.IntN(len(outcomes))])
	}
}

func (sim *simulation) endAttempt(i int, outcome Outcome) {
	o := sim.inFlight[i]
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	closed := outcome == OK || !sim.checker.jobs[o.job].open
	sim.handle(Event{Kind: AttemptEnded, Job: o.job, Attempt: o.attempt, Outcome: outcome, Closed: closed, Load: sim.randomLoad()})
}

func (sim *simulation) sendRandomNote() {
	if len(sim.inFlight) == 0 {
		return
	}
	o := sim.inFlight[sim.rnd.IntN(len(sim.inFlight))]
	kind := JobProgressed
	if sim.rnd.IntN(2) == 0 {
		kind = JobStarted
	}
	sim.handle(Event{Kind: kind, Job: o.job, Attempt: o.attempt, Done: sim.rnd.Float64()})
}

// changeList makes a worker drain, leave, restart or move to another zone. Or the request for the list fails, or the list lacks
// half of the workers, has some twice and has 600 others.
func (sim *simulation) changeList() {
	e := &sim.entries[sim.rnd.IntN(len(sim.entries))]
	switch sim.rnd.IntN(8) {
	case 6:
		e.Zone, e.Cell = sim.rnd.IntN(4)-1, sim.rnd.IntN(4)-1
	case 7:
		sim.handle(Event{Kind: WorkersListed, List: Full, Entries: slices.Concat(sim.entries[:4], entriesOfThreeKinds(600), sim.entries[2:4])})
		return
	case 0:
		sim.handle(Event{Kind: WorkersListed, List: ListFailed})
		return
	case 1:
		e.State = Draining
	case 2:
		e.State = Removed
	default:
		e.State, e.StartedAt = Ready, sim.now
	}
	if sim.rnd.IntN(3) == 0 {
		sim.handle(Event{Kind: WorkersListed, List: Full, Entries: slices.Clone(sim.entries)})
		return
	}
	sim.handle(Event{Kind: WorkersListed, List: Delta, Entries: []Entry{*e}})
}

func (sim *simulation) clientLeaves() {
	var open []JobID
	for id, j := range sim.checker.jobs {
		if j.open {
			open = append(open, id)
		}
	}
	if len(open) > 0 {
		sim.handle(Event{Kind: ClientLeft, Job: slices.Min(open)})
	}
}

func settingsForSeed(seed uint64) Settings {
	s := testSettings()
	s.Classes = append(s.Classes, Class{Name: "z", Effect: Keyed, Group: GroupZone, Window: time.Second,
		LatencyTarget: time.Second, Deadline: 4 * time.Second, Kind: -1, Value: 3})
	s.Tenants = []Tenant{{Name: "a", Share: 0.5}, {Name: "b", Share: 0.5}}
	s.TellsStart = seed%2 == 0
	s.MayHedge = seed%3 > 0
	s.MustAsk = seed%4 == 0
	s.ValuePerJob = seed%5 == 0
	s.Dispatchers = []int{4, 400, 2}[seed%3] // as configured: the real number may be very different
	if seed%2 == 1 {
		s.ReportsIn, s.MayProbe = ReportsInAnswers, true
	}
	return s
}

func TestRulesHoldOverRandomEvents(t *testing.T) {
	for seed := range uint64(24) {
		sim := newSimulation(t, settingsForSeed(seed), seed)
		for range 3000 {
			sim.step()
		}
		for range 6000 { // let all jobs end
			sim.now += sim.settings.Tick
			sim.timeOutAttempts()
			sim.checker.checkDeadlines(sim.now)
			for len(sim.timers) > 0 && slices.Min(sim.timers) <= sim.now {
				i := slices.Index(sim.timers, slices.Min(sim.timers))
				sim.timers = slices.Delete(sim.timers, i, i+1)
				sim.handle(Event{Kind: TimerFired})
			}
		}
		for _, f := range sim.checker.breaches {
			t.Errorf("seed %d: %s", seed, f)
		}
		if sim.checker.sent < 100 {
			t.Errorf("seed %d: got only %d sends, want at least 100", seed, sim.checker.sent)
		}
		for id, j := range sim.checker.jobs {
			if j.open {
				t.Errorf("seed %d: job %d was never answered", seed, id)
			}
		}
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	var logs [2][]string
	for i := range logs {
		sim := newSimulation(t, settingsForSeed(4), 4)
		for range 2000 {
			sim.step()
		}
		logs[i] = sim.log
	}
	if len(logs[0]) == 0 || !slices.Equal(logs[0], logs[1]) {
		t.Fatal("two runs with the same events differ in their actions, or have none")
	}
}
