package ravendale

import (
	"math"
	"slices"
	"time"
)

const (
	// answerTicks is how many ticks before the client leaves its answer goes: one until the next batch, one for a time-out that
	// shares it.
	answerTicks = 2
	// valueWindow is over how many arrivals the mean value is averaged, sampleWindow over how many samples a zone's busy part and a
	// class's run are.
	valueWindow, sampleWindow = 64, 16
)

// attempt is one send of a job.
type attempt struct {
	w          *worker
	zone, cell int // its worker's then: a list may move it, and who discards a duplicate is where the job went
	sentAt     time.Duration
	inFlight   bool // no outcome yet
	mayRun     bool // it may have run, or still may
	started    bool // a start note or a progress note came
	cancelled  bool
	late       bool // its start is overdue: it waits
}

// job is one that has no final answer yet, or attempts without an outcome.
type job struct {
	id          JobID
	class       *Class      // the class and the most attempts as they were when it came:
	maxAttempts int         // settings that change later are not for it
	stats       *classStats // of its class
	slots       float64
	answerBy    time.Duration
	startBy     time.Duration // started after this it misses its latency target, as far as is known
	notBefore   time.Duration // it is not sent before this
	due         time.Duration // when it is to be looked at next
	attempts    []attempt
	open        bool // no final answer yet
	hedged      bool
	value       float64
	cost        float64 // to the budget of a worker that warms up, in mean jobs
	started     bool    // an attempt is known to run
	inFlight    int     // attempts without an outcome
	active      int     // attempts without an outcome that we have not cancelled
}

// arrivals is what was seen of the jobs that come.
type arrivals struct {
	rate            float64       // jobs a second, averaged over rateWindow: see arrivalRate
	first, last     time.Duration // when they came
	jobs, meanValue float64       // how many, and their mean value of late
}

// classStats is what was seen of the jobs of one class.
type classStats struct {
	run      time.Duration // from send to answer, of late
	dev      time.Duration // mean deviation from run
	least    time.Duration // the shortest run of late: it hardly waited at the worker
	longest  time.Duration // the longest time that a client's attempt came with
	arrivals float64       // so many jobs
	prior    *prior        // what others saw, until enough was seen here
}

// onArrival takes a new job, or one that another process had.
func (d *Dispatcher) onArrival(ev *Event) {
	class := ev.Class
	if class < 0 || class >= len(d.settings.Classes) {
		class = len(d.settings.Classes) - 1 // no class of the settings: see apply
	}
	j := &job{id: ev.Job, slots: max(ev.Slots, 1), open: true, maxAttempts: d.settings.MaxAttempts,
		class: &d.settings.Classes[class], stats: d.stats[class]}
	j.answerBy = min(d.now+ev.Left-answerTicks*d.settings.Tick, d.leaveAt)
	if d.arrivals.last == 0 {
		d.arrivals.first = d.now
	}
	d.arrivals.rate *= math.Exp(-float64(d.now-d.arrivals.last) / float64(rateWindow))
	d.arrivals.last = d.now
	d.setTarget(j, ev)
	// A client's retry adds nothing to the rate: more than comes must not be sent to what warms up.
	if !ev.Retry && ev.Left >= j.stats.longest-j.stats.longest/100 {
		d.arrivals.rate += 1 / rateWindow.Seconds()
		d.estimateCapacity()
	}
	d.resumeAttempts(j, ev.Attempts)
	d.jobs[j.id] = j
	d.open = append(d.open, j)
	d.advance(j)
	if j.open {
		d.wake(j.due)
	}
	d.hedgeOldest()
}

// setTarget works out by when the job must start and its value. The client's clock began with its first attempt: one that
// has less time left than the longest seen of its class is so much older.
func (d *Dispatcher) setTarget(j *job, ev *Event) {
	c := j.stats
	c.longest = max(c.longest, ev.Left)
	work, run := ev.Work, ev.Work
	if work <= 0 {
		work, run = c.run, c.run+c.dev
	}
	j.startBy = never
	if j.class.LatencyTarget > 0 {
		target := min(j.class.LatencyTarget+time.Duration(j.class.Stretch*float64(work)), c.longest)
		// At least LatencyTarget: a deviation may be twice the mean, and nothing would be left.
		j.startBy = d.now + ev.Left - c.longest + max(target-run, j.class.LatencyTarget)
	}
	j.value = j.class.Value
	if d.settings.ValuePerJob {
		j.value /= max(run, d.settings.Tick, 1).Seconds()
	}
	d.arrivals.meanValue += (j.value - d.arrivals.meanValue) * max(1/(1+d.arrivals.jobs), 1.0/valueWindow)
	d.arrivals.jobs++
	c.arrivals++
	sum, all := 0.0, 0.0
	for _, s := range d.stats {
		sum, all = sum+s.arrivals*float64(s.run), all+s.arrivals
	}
	if j.cost = 1; c.run > 0 { // of what a mean job costs: a budget is of work, and runs of 0.3 s go beside runs of 3 s
		j.cost = max(float64(c.run)*all/sum, 0.25)
	}
}

// isWaiting reports whether a job is known not to run: it is pending here, or no start note came.
func (d *Dispatcher) isWaiting(j *job) bool {
	return j.active == 0 || d.settings.TellsStart && !j.started
}

// giveUp gives a job its final answer: a refusal if a retry can do no harm, else a failure.
func (d *Dispatcher) giveUp(j *job) {
	a := Action{Kind: Fail, Job: j.id}
	if j.mayRefuse() { // the client should stay away for a run, which frees some slots; 0 where it is not told
		a.Kind, a.Wait = Refuse, min(max(j.stats.run, pendingRetry), max(d.settings.MaxRetryAfter, 0))
	}
	d.acts = append(d.acts, a)
	d.close(j)
}

// close ends a job that has its final answer; it is forgotten with its last outcome.
func (d *Dispatcher) close(j *job) {
	if !j.open {
		return
	}
	j.open = false
	d.open = slices.DeleteFunc(d.open, func(other *job) bool { return other == j })
	for i := range j.attempts {
		d.cancel(j, i)
	}
	if j.inFlight == 0 {
		delete(d.jobs, j.id)
	}
}

// drain has every open job answered by a time, so that its client may try elsewhere: later, none would come at all.
func (d *Dispatcher) drain(at time.Duration) {
	d.leaveAt = at
	for _, j := range d.open {
		j.answerBy = min(j.answerBy, at)
		j.due = min(j.due, j.answerBy)
	}
	d.wake(at)
}
