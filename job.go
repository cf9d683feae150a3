package ravendale

import (
	"math"
	"slices"
	"time"
)

const (
	// answerMarginTicks is how many ticks before the client's deadline a job is answered: one until the next batch of events, and
	// one for a time-out in the same batch.
	answerMarginTicks = 2
	// valueWindow is how many arrivals the mean value is averaged over, sampleWindow how many samples the other means, such as
	// the busy fraction of a zone and the mean run of a class.
	valueWindow, sampleWindow = 64, 16
)

// attempt is one send of a job.
type attempt struct {
	w            *worker
	zone, cell   int // at the time of the send: a list may move the worker, but duplicates are discarded where the job went
	sentAt       time.Duration
	inFlight     bool // no outcome yet
	mayRun       bool // it may have run, or still may
	started      bool // a start note or a progress note was received
	cancelled    bool
	startOverdue bool // no start note came within startTimeout: the job is queued at the worker
}

// job is a job that has no final answer yet, or attempts without an outcome.
type job struct {
	id               JobID
	class            *Class      // class and maxAttempts are those at the arrival:
	maxAttempts      int         // later settings do not apply to this job
	stats            *classStats // of its class
	slots            float64
	answerBy         time.Duration
	startBy          time.Duration // if it starts later, it is expected to miss its latency target
	notBefore        time.Duration // earliest time of the next send
	checkAt          time.Duration // when advance checks it next
	attempts         []attempt
	open             bool // no final answer yet
	hedged           bool
	value            float64
	cost             float64 // what it takes from the budget of a worker in its slow start; 1 for a mean job
	started          bool    // an attempt is known to have started
	attemptsInFlight int     // attempts without an outcome
	activeAttempts   int     // attempts without an outcome that were not cancelled
}

// arrivals holds statistics of the arriving jobs.
type arrivals struct {
	rate            float64       // jobs a second, averaged over rateWindow: see arrivalRate
	first, last     time.Duration // times of the first and the latest arrival
	jobs, meanValue float64       // number of arrivals, and the mean value of the recent ones
}

// classStats holds statistics of the jobs of one class.
type classStats struct {
	meanRun     time.Duration // mean time from send to answer, of recent jobs
	meanDev     time.Duration // mean deviation from meanRun
	minRun      time.Duration // the shortest recent run: that job hardly waited at the worker
	maxTimeLeft time.Duration // the largest Event.TimeLeft of an arrival
	arrivals    float64       // number of arrivals
	learnt      *learntStats  // observations of other dispatchers, until there are enough own ones
}

// handleArrival adds a new job, or one that was taken over from another process.
func (d *Dispatcher) handleArrival(ev *Event) {
	class := ev.Class
	if class < 0 || class >= len(d.settings.Classes) {
		class = len(d.settings.Classes) - 1 // not a class of the settings: see apply
	}
	j := &job{id: ev.Job, slots: max(ev.Slots, 1), open: true, maxAttempts: d.settings.MaxAttempts,
		class: &d.settings.Classes[class], stats: d.stats[class]}
	j.answerBy = min(d.now+ev.TimeLeft-answerMarginTicks*d.settings.Tick, d.drainDeadline)
	if d.arrivals.last == 0 {
		d.arrivals.first = d.now
	}
	d.arrivals.rate *= math.Exp(-float64(d.now-d.arrivals.last) / float64(rateWindow))
	d.arrivals.last = d.now
	d.setTarget(j, ev)
	// Retries by clients don't count: workers in their slow start must not be sent more than what newly arrives.
	if !ev.Retry && ev.TimeLeft >= j.stats.maxTimeLeft-j.stats.maxTimeLeft/100 {
		d.arrivals.rate += 1 / rateWindow.Seconds()
		d.estimateCapacity()
	}
	d.resumeAttempts(j, ev.Attempts)
	d.jobs[j.id] = j
	d.openJobs = append(d.openJobs, j)
	d.advance(j)
	if j.open {
		d.scheduleTimer(j.checkAt)
	}
	d.hedgeOldest()
}

// setTarget computes the latest start, the value and the cost of a job. The client's deadline counts from its first request:
// a job with less time left than the maximum of its class is older by the difference.
func (d *Dispatcher) setTarget(j *job, ev *Event) {
	c := j.stats
	c.maxTimeLeft = max(c.maxTimeLeft, ev.TimeLeft)
	work, run := ev.Work, ev.Work
	if work <= 0 {
		work, run = c.meanRun, c.meanRun+c.meanDev
	}
	j.startBy = never
	if j.class.LatencyTarget > 0 {
		target := min(j.class.LatencyTarget+time.Duration(j.class.Stretch*float64(work)), c.maxTimeLeft)
		// At least LatencyTarget: the mean deviation may be twice the mean, which would leave no time to start.
		j.startBy = d.now + ev.TimeLeft - c.maxTimeLeft + max(target-run, j.class.LatencyTarget)
	}
	j.value = j.class.Value
	if d.settings.ValuePerJob {
		j.value /= max(run, d.settings.Tick, 1).Seconds()
	}
	d.arrivals.meanValue += (j.value - d.arrivals.meanValue) * max(1/(1+d.arrivals.jobs), 1.0/valueWindow)
	d.arrivals.jobs++
	c.arrivals++
	totalRun, totalArrivals := 0.0, 0.0
	for _, s := range d.stats {
		totalRun, totalArrivals = totalRun+s.arrivals*float64(s.meanRun), totalArrivals+s.arrivals
	}
	if j.cost = 1; c.meanRun > 0 { // relative to a mean job: runs of 0.3 s and of 3 s share a budget
		j.cost = max(float64(c.meanRun)*totalArrivals/totalRun, 0.25)
	}
}

// isWaiting reports whether a job is known not to be running: it is pending here, or no start note was received.
func (d *Dispatcher) isWaiting(j *job) bool {
	return j.activeAttempts == 0 || d.settings.TellsStart && !j.started
}

// giveUp ends a job with a refusal if the client may safely retry, else with a failure.
func (d *Dispatcher) giveUp(j *job) {
	a := Action{Kind: Fail, Job: j.id}
	if j.mayRefuse() { // some slots become free within a mean run; Wait is 0 if the settings have no RetryAfter
		a.Kind, a.Wait = Refuse, min(max(j.stats.meanRun, pendingRetryInterval), max(d.settings.MaxRetryAfter, 0))
	}
	d.actions = append(d.actions, a)
	d.closeJob(j)
}

// closeJob ends a job that has its final answer. The job is deleted once all its attempts have an outcome.
func (d *Dispatcher) closeJob(j *job) {
	if !j.open {
		return
	}
	j.open = false
	d.openJobs = slices.DeleteFunc(d.openJobs, func(other *job) bool { return other == j })
	for i := range j.attempts {
		d.cancel(j, i)
	}
	if j.attemptsInFlight == 0 {
		delete(d.jobs, j.id)
	}
}

// drain makes sure that every job is answered by a time, so that its client can retry elsewhere. The process exits after it,
// and unanswered clients would get no answer at all.
func (d *Dispatcher) drain(at time.Duration) {
	d.drainDeadline = at
	for _, j := range d.openJobs {
		j.answerBy = min(j.answerBy, at)
		j.checkAt = min(j.checkAt, j.answerBy)
	}
	d.scheduleTimer(at)
}
