package ravendale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checker watches the events and actions of one dispatcher for a breach of the four rules.
// It knows the rules only, nothing of how the dispatcher decides.
type checker struct {
	set     Settings
	jobs    map[JobID]*checkedJob
	workers map[string]*checkedWorker
	sent    int // sends in all
	faults  []string
}

type checkedJob struct {
	class    int
	deadline time.Duration
	open     bool
	attempts []checkedAttempt
}

type checkedAttempt struct {
	worker    Entry
	sentAt    time.Duration
	inFlight  bool
	mayHave   bool // it may have run
	cancelled bool
}

type checkedWorker struct {
	Entry
	drainingAt time.Duration // when it was last said to drain or to be gone
	earlySends []time.Duration
}

func newChecker(s Settings) *checker {
	return &checker{set: s, jobs: make(map[JobID]*checkedJob), workers: make(map[string]*checkedWorker)}
}

func (c *checker) fault(now time.Duration, format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%v: ", now)+fmt.Sprintf(format, args...))
}

// event notes what the dispatcher is told.
func (c *checker) event(now time.Duration, ev *Event) {
	switch ev.Kind {
	case JobArrived:
		c.jobs[ev.Job] = &checkedJob{class: ev.Class, deadline: now + ev.Left, open: true}
	case AttemptEnded:
		j := c.jobs[ev.Job]
		a := &j.attempts[ev.Attempt]
		a.inFlight = false
		switch ev.Outcome {
		case Overloaded, ConnectFailed, NotSent:
			a.mayHave = false
		}
		if ev.Closed {
			j.open = false
		}
	case ClientLeft:
		c.jobs[ev.Job].open = false
	case WorkersListed:
		c.list(now, ev)
	}
}

func (c *checker) list(now time.Duration, ev *Event) {
	if ev.List == Failed {
		return
	}
	if ev.List != Delta {
		for _, w := range c.workers {
			w.State, w.drainingAt = Removed, now
		}
	}
	for _, e := range ev.Entries {
		w := c.workers[e.Worker]
		if w == nil {
			w = &checkedWorker{}
			c.workers[e.Worker] = w
		}
		if w.StartedAt != e.StartedAt {
			w.earlySends = nil
		}
		w.Entry = e
		if e.State != Ready {
			w.drainingAt = now
		}
	}
}

// clock checks that no answer is overdue.
func (c *checker) clock(now time.Duration) {
	for id, j := range c.jobs {
		if j.open && now > j.deadline+c.set.AnswerSlack {
			c.fault(now, "rule 1: job %d has no answer %v after its deadline", id, now-j.deadline)
			j.open = false
		}
	}
}

// action checks what the dispatcher does.
func (c *checker) action(now time.Duration, a Action) {
	switch a.Kind {
	case Send, Refuse, Fail, Cancel:
	default:
		return
	}
	j := c.jobs[a.Job]
	if j == nil {
		c.fault(now, "job %d was never given", a.Job)
		return
	}
	switch a.Kind {
	case Send:
		c.send(now, a, j)
	case Refuse, Fail:
		if !j.open {
			c.fault(now, "rule 1: job %d has a second final answer", a.Job)
		}
		j.open = false
		if a.Kind == Refuse && !c.mayRefuse(j) {
			c.fault(now, "rule 2: job %d is refused though it may have run", a.Job)
		}
	case Cancel:
		if a.Attempt >= len(j.attempts) || !c.set.MayCancel {
			c.fault(now, "cancel of an attempt never made: job %d, %d", a.Job, a.Attempt)
			return
		}
		j.attempts[a.Attempt].cancelled = true
	}
}

func (c *checker) mayRefuse(j *checkedJob) bool {
	class := c.set.Classes[j.class]
	return class.Effect == Safe || class.Effect == Keyed && class.Group == GroupAll || firstThatRan(j) == nil
}

func firstThatRan(j *checkedJob) *checkedAttempt {
	i := slices.IndexFunc(j.attempts, func(a checkedAttempt) bool { return a.mayHave })
	if i < 0 {
		return nil
	}
	return &j.attempts[i]
}

func (c *checker) send(now time.Duration, a Action, j *checkedJob) {
	c.sent++
	w := c.workers[a.Worker]
	if w == nil {
		c.fault(now, "worker %s was never listed", a.Worker)
		return
	}
	if !j.open {
		c.fault(now, "rule 1: job %d is sent after its final answer", a.Job)
	}
	if w.State != Ready && now > w.drainingAt+c.set.DrainTimeout {
		c.fault(now, "rule 3: job %d is sent to %s %v after it was said to leave", a.Job, a.Worker, now-w.drainingAt)
	}
	c.repeat(now, a, j, w)
	c.slowStart(now, w)
	j.attempts = append(j.attempts, checkedAttempt{worker: w.Entry, sentAt: now, inFlight: true, mayHave: true})
	if len(j.attempts) > c.set.MaxAttempts {
		c.fault(now, "job %d has %d attempts", a.Job, len(j.attempts))
	}
}

func (c *checker) repeat(now time.Duration, a Action, j *checkedJob, w *checkedWorker) {
	first, class := firstThatRan(j), c.set.Classes[j.class]
	if first == nil {
		return
	}
	live := 0
	for _, earlier := range j.attempts {
		if earlier.inFlight {
			live++
		}
	}
	inGroup := class.Group == GroupAll || class.Group == GroupZone && w.Zone == first.worker.Zone ||
		class.Group == GroupCell && w.Cell == first.worker.Cell
	switch {
	case live > 0 && !c.set.MayHedge:
		c.fault(now, "rule 2: job %d has two attempts out where copies are forbidden", a.Job)
	case class.Effect == Unsafe:
		c.fault(now, "rule 2: unsafe job %d is sent again though it may have run", a.Job)
	case class.Effect == Keyed && (!inGroup || now >= first.sentAt+class.Window):
		c.fault(now, "rule 2: keyed job %d is sent again outside its group or window", a.Job)
	}
}

// slowStart checks the own share of a worker in its slow start: in its first quarter, all dispatchers together may
// send it little, so this one may send it hardly more than one job in a span.
func (c *checker) slowStart(now time.Duration, w *checkedWorker) {
	if w.StartedAt <= 0 || now-w.StartedAt > c.set.SlowStartFor/4 {
		return
	}
	w.earlySends = append(w.earlySends, now)
	recent := 0
	for _, at := range w.earlySends {
		if at > now-c.set.OverloadSpan {
			recent++
		}
	}
	if recent > 2 {
		c.fault(now, "rule 4: %s, in its slow start, is sent %d jobs in a span", w.Worker, recent)
	}
}

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

func TestCheckerCatchesBreaches(t *testing.T) {
	send := func(id JobID, worker string) Action { return Action{Kind: Send, Job: id, Worker: worker} }
	cases := []struct {
		name  string
		class int
		acts  func(c *checker)
	}{
		{"second answer", 0, func(c *checker) {
			c.action(0, Action{Kind: Fail, Job: 1})
			c.action(0, Action{Kind: Fail, Job: 1})
		}},
		{"late answer", 0, func(c *checker) { c.clock(2 * time.Second) }},
		{"send after the answer", 0, func(c *checker) {
			c.action(0, Action{Kind: Fail, Job: 1})
			c.action(0, send(1, "a"))
		}},
		{"unsafe twice", 2, func(c *checker) { c.action(0, send(1, "a")); c.action(0, send(1, "b")) }},
		{"unsafe refused", 2, func(c *checker) { c.action(0, send(1, "a")); c.action(0, Action{Kind: Refuse, Job: 1}) }},
		{"keyed in another cell", 1, func(c *checker) { c.action(0, send(1, "a")); c.action(0, send(1, "b")) }},
		{"keyed after its window", 1, func(c *checker) {
			c.action(0, send(1, "a"))
			c.action(11*time.Second, send(1, "a"))
		}},
		{"drain", 0, func(c *checker) {
			c.event(0, &Event{Kind: WorkersListed, List: Delta, Entries: []Entry{{Worker: "a", State: Draining}}})
			c.action(600*ms, send(1, "a"))
		}},
		{"cold", 0, func(c *checker) {
			cold := ready("a", 0, 0)
			cold.StartedAt = 1
			c.event(1, &Event{Kind: WorkersListed, List: Delta, Entries: []Entry{cold}})
			for range 4 {
				c.action(1, send(1, "a"))
			}
		}},
		{"too many attempts", 0, func(c *checker) {
			for range 6 {
				c.action(0, send(1, "a"))
			}
		}},
	}
	for _, tc := range cases {
		c := newChecker(testSettings())
		c.event(0, &Event{Kind: WorkersListed, List: Cached, Entries: []Entry{ready("a", 0, 0), ready("b", 1, 1)}})
		c.event(0, &Event{Kind: JobArrived, Job: 1, Class: tc.class, Left: time.Second})
		if tc.acts(c); len(c.faults) == 0 {
			t.Errorf("%s: the checker saw nothing", tc.name)
		}
	}
}
