package ravendale

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// checker checks the events and actions of one Dispatcher against the four rules. It is independent of how the Dispatcher decides.
// The rules: 1 one final answer in time, 2 no forbidden second run, 3 no send to a worker that leaves, 4 the slow start budget.
type checker struct {
	settings Settings
	jobs     map[JobID]*checkedJob
	workers  map[string]*checkedWorker
	sent     int // number of sends
	breaches []string
}

type checkedJob struct {
	class    int
	deadline time.Duration
	open     bool
	attempts []checkedAttempt
}

type checkedAttempt struct {
	worker     Entry
	sentAt     time.Duration
	inFlight   bool
	mayHaveRun bool // the job may have run
	cancelled  bool
}

type checkedWorker struct {
	Entry
	drainingAt time.Duration // when the list last reported it as draining or removed
	earlySends []time.Duration
}

func newChecker(s Settings) *checker {
	return &checker{settings: s, jobs: make(map[JobID]*checkedJob), workers: make(map[string]*checkedWorker)}
}

func (c *checker) breach(now time.Duration, format string, args ...any) {
	c.breaches = append(c.breaches, fmt.Sprintf("%v: ", now)+fmt.Sprintf(format, args...))
}

// observeEvent records an event that is passed to the Dispatcher.
func (c *checker) observeEvent(now time.Duration, ev *Event) {
	switch ev.Kind {
	case JobArrived:
		c.jobs[ev.Job] = &checkedJob{class: ev.Class, deadline: now + ev.TimeLeft, open: true}
	case AttemptEnded:
		j := c.jobs[ev.Job]
		a := &j.attempts[ev.Attempt]
		a.inFlight = false
		switch ev.Outcome {
		case Overloaded, ConnectFailed, NotSent:
			a.mayHaveRun = false
		}
		if ev.Closed {
			j.open = false
		}
	case ClientLeft:
		c.jobs[ev.Job].open = false
	case WorkersListed:
		c.observeList(now, ev)
	}
}

func (c *checker) observeList(now time.Duration, ev *Event) {
	if ev.List == ListFailed {
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

// checkDeadlines checks that no answer is overdue.
func (c *checker) checkDeadlines(now time.Duration) {
	for id, j := range c.jobs {
		if j.open && now > j.deadline+c.settings.AnswerSlack {
			c.breach(now, "rule 1: job %d has no answer %v after its deadline", id, now-j.deadline)
			j.open = false
		}
	}
}

// checkAction checks an action of the Dispatcher.
func (c *checker) checkAction(now time.Duration, a Action) {
	switch a.Kind {
	case Send, Refuse, Fail, Cancel:
	default:
		return
	}
	j := c.jobs[a.Job]
	if j == nil {
		c.breach(now, "job %d never arrived", a.Job)
		return
	}
	switch a.Kind {
	case Send:
		c.checkSend(now, a, j)
	case Refuse, Fail:
		if !j.open {
			c.breach(now, "rule 1: job %d has a second final answer", a.Job)
		}
		j.open = false
		if a.Kind == Refuse && !c.mayRefuse(j) {
			c.breach(now, "rule 2: job %d is refused though it may have run", a.Job)
		}
	case Cancel:
		if a.Attempt >= len(j.attempts) || !c.settings.MayCancel {
			c.breach(now, "cancel of a missing attempt, or where cancels are not allowed: job %d, attempt %d", a.Job, a.Attempt)
			return
		}
		j.attempts[a.Attempt].cancelled = true
	}
}

func (c *checker) mayRefuse(j *checkedJob) bool {
	class := c.settings.Classes[j.class]
	return class.Effect == Safe || class.Effect == Keyed && class.Group == GroupAll || firstThatMayHaveRun(j) == nil
}

func firstThatMayHaveRun(j *checkedJob) *checkedAttempt {
	i := slices.IndexFunc(j.attempts, func(a checkedAttempt) bool { return a.mayHaveRun })
	if i < 0 {
		return nil
	}
	return &j.attempts[i]
}

func (c *checker) checkSend(now time.Duration, a Action, j *checkedJob) {
	c.sent++
	w := c.workers[a.Worker]
	if w == nil {
		c.breach(now, "worker %s was never listed", a.Worker)
		return
	}
	if !j.open {
		c.breach(now, "rule 1: job %d is sent after its final answer", a.Job)
	}
	if w.State != Ready && now > w.drainingAt+c.settings.DrainTimeout {
		c.breach(now, "rule 3: job %d is sent to %s %v after the worker was reported as draining or removed", a.Job, a.Worker, now-w.drainingAt)
	}
	c.checkRetry(now, a, j, w)
	c.checkSlowStart(now, w)
	j.attempts = append(j.attempts, checkedAttempt{worker: w.Entry, sentAt: now, inFlight: true, mayHaveRun: true})
	if len(j.attempts) > c.settings.MaxAttempts {
		c.breach(now, "job %d has %d attempts, more than MaxAttempts", a.Job, len(j.attempts))
	}
}

func (c *checker) checkRetry(now time.Duration, a Action, j *checkedJob, w *checkedWorker) {
	first, class := firstThatMayHaveRun(j), c.settings.Classes[j.class]
	if first == nil {
		return
	}
	inFlight := 0
	for _, earlier := range j.attempts {
		if earlier.inFlight {
			inFlight++
		}
	}
	inGroup := class.Group == GroupAll || class.Group == GroupZone && w.Zone == first.worker.Zone ||
		class.Group == GroupCell && w.Cell == first.worker.Cell
	switch {
	case inFlight > 0 && !c.settings.MayHedge:
		c.breach(now, "rule 2: job %d has two attempts in flight without MayHedge", a.Job)
	case class.Effect == Unsafe:
		c.breach(now, "rule 2: unsafe job %d is sent again though it may have run", a.Job)
	case class.Effect == Keyed && (!inGroup || now >= first.sentAt+class.Window):
		c.breach(now, "rule 2: keyed job %d is sent again outside its group or window", a.Job)
	}
}

// checkSlowStart checks this dispatcher's share of the budget of a worker in the first quarter of its slow start. All dispatchers
// together may send it little then, so this one may send it at most two jobs in an OverloadSpan.
func (c *checker) checkSlowStart(now time.Duration, w *checkedWorker) {
	if w.StartedAt <= 0 || now-w.StartedAt > c.settings.SlowStartFor/4 {
		return
	}
	w.earlySends = append(w.earlySends, now)
	recent := 0
	for _, at := range w.earlySends {
		if at > now-c.settings.OverloadSpan {
			recent++
		}
	}
	if recent > 2 {
		c.breach(now, "rule 4: worker %s, in its slow start, is sent %d jobs within OverloadSpan", w.Worker, recent)
	}
}

func TestCheckerDetectsBreaches(t *testing.T) {
	send := func(id JobID, worker string) Action { return Action{Kind: Send, Job: id, Worker: worker} }
	cases := []struct {
		name  string
		class int
		acts  func(c *checker)
	}{
		{"second answer", 0, func(c *checker) {
			c.checkAction(0, Action{Kind: Fail, Job: 1})
			c.checkAction(0, Action{Kind: Fail, Job: 1})
		}},
		{"late answer", 0, func(c *checker) { c.checkDeadlines(2 * time.Second) }},
		{"send after final answer", 0, func(c *checker) {
			c.checkAction(0, Action{Kind: Fail, Job: 1})
			c.checkAction(0, send(1, "a"))
		}},
		{"unsafe job sent twice", 2, func(c *checker) { c.checkAction(0, send(1, "a")); c.checkAction(0, send(1, "b")) }},
		{"unsafe job refused after a send", 2, func(c *checker) { c.checkAction(0, send(1, "a")); c.checkAction(0, Action{Kind: Refuse, Job: 1}) }},
		{"keyed job sent to another cell", 1, func(c *checker) { c.checkAction(0, send(1, "a")); c.checkAction(0, send(1, "b")) }},
		{"keyed job sent after its window", 1, func(c *checker) {
			c.checkAction(0, send(1, "a"))
			c.checkAction(11*time.Second, send(1, "a"))
		}},
		{"send to a draining worker", 0, func(c *checker) {
			c.observeEvent(0, &Event{Kind: WorkersListed, List: Delta, Entries: []Entry{{Worker: "a", State: Draining}}})
			c.checkAction(600*ms, send(1, "a"))
		}},
		{"too many sends in slow start", 0, func(c *checker) {
			warming := readyEntry("a", 0, 0)
			warming.StartedAt = 1
			c.observeEvent(1, &Event{Kind: WorkersListed, List: Delta, Entries: []Entry{warming}})
			for range 4 {
				c.checkAction(1, send(1, "a"))
			}
		}},
		{"too many attempts", 0, func(c *checker) {
			for range 6 {
				c.checkAction(0, send(1, "a"))
			}
		}},
	}
	for _, tc := range cases {
		c := newChecker(testSettings())
		c.observeEvent(0, &Event{Kind: WorkersListed, List: Cached, Entries: []Entry{readyEntry("a", 0, 0), readyEntry("b", 1, 1)}})
		c.observeEvent(0, &Event{Kind: JobArrived, Job: 1, Class: tc.class, TimeLeft: time.Second})
		if tc.acts(c); len(c.breaches) == 0 {
			t.Errorf("%s: the checker reported no breach", tc.name)
		}
	}
}
