package ravendale

import (
	"fmt"
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
	c.retry(now, a, j, w)
	c.slowStart(now, w)
	j.attempts = append(j.attempts, checkedAttempt{worker: w.Entry, sentAt: now, inFlight: true, mayHave: true})
	if len(j.attempts) > c.set.MaxAttempts {
		c.fault(now, "job %d has %d attempts", a.Job, len(j.attempts))
	}
}

func (c *checker) retry(now time.Duration, a Action, j *checkedJob, w *checkedWorker) {
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
