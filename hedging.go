package ravendale

import "time"

// A hedge is a second attempt of a job, sent to another worker before the first attempt has ended. The rule is pi-gamma: Lee
// and others, "On Scheduling Redundant Requests With Cancellation Overheads", IEEE/ACM Transactions on Networking 25(2), 2017.

// gamma is the largest number of open jobs at which hedgeOldest sends hedges: see docs/design.md.
const gamma = 4

// initialStartTimeout applies until a start note has shown how long a start takes.
const initialStartTimeout = 100 * time.Millisecond

// watchStart hedges a job whose start note is overdue. Such a job is queued behind others, and a place in a second queue costs
// nothing if the first attempt to start causes the others to be cancelled. So if attempts can be cancelled and the job is not
// unsafe, it gets a hedge, however many jobs are open. If the start of the hedge is overdue too, the hedge moves on to another
// worker.
func (d *Dispatcher) watchStart(j *job) {
	newest := -1
	for i := range j.attempts {
		a := &j.attempts[i]
		switch {
		case !a.inFlight || a.cancelled:
			continue
		case a.started:
			return
		}
		newest = i
		due := a.sentAt + d.startTimeout(a.w)
		if due > d.now {
			j.checkAt = min(j.checkAt, due)
			d.scheduleTimer(j.checkAt)
			return
		}
		if !a.startOverdue {
			a.startOverdue = true
			d.observeFreeSlots(a.w, -1)
			if d.warmUpFraction(a.w) < 1 {
				updateMean(&d.capacity.warmingOnTime, 0)
			}
		}
	}
	if newest < 0 || j.class.Effect == Unsafe || !d.settings.MayHedge || !d.settings.MayCancel {
		return
	}
	if d.lowValue(j) && (j.mayRefuse() || j.class.LateValue > 0) && len(j.attempts) < j.maxAttempts {
		d.yieldSlots(j)
		return
	}
	w := d.pick(j, false)
	if w == nil || d.now-w.reportedAt < reportTTL && w.freeSlots < 0 {
		return
	}
	if j.activeAttempts > 1 {
		d.cancel(j, newest)
	}
	d.send(j, w)
	j.checkAt = min(j.checkAt, d.now+d.startTimeout(w))
	d.scheduleTimer(j.checkAt)
}

// yieldSlots cancels the queued attempts of a low-value job and spreads its remaining attempts over the remaining time. The
// job then uses only slots that it finds free, so that jobs of higher value go first although workers serve in order. It is
// not for jobs that can't be refused and earn nothing late.
func (d *Dispatcher) yieldSlots(j *job) {
	for i := range j.attempts {
		d.cancel(j, i)
	}
	j.checkAt = d.now + (j.checkAt-d.now)/time.Duration(j.maxAttempts-len(j.attempts)+1)
	j.notBefore = j.checkAt
	d.scheduleTimer(j.checkAt)
}

// hedgeOldest applies pi-gamma at each arrival and outcome: while at most gamma jobs are open, safe jobs without a hedge get one
// on an idle worker, oldest job first.
func (d *Dispatcher) hedgeOldest() {
	if !d.settings.MayHedge || len(d.openJobs) > gamma {
		return
	}
	for _, j := range d.openJobs {
		if j.hedged || j.activeAttempts != 1 || j.class.Effect != Safe {
			continue
		}
		w := d.pick(j, true)
		if w == nil {
			return
		}
		j.hedged = true
		d.send(j, w)
	}
}

// startTimeout returns the time after a send within which the start note of a job that found a free slot is received. On
// sockets, a worker takes up to 50 ms to send it.
func (d *Dispatcher) startTimeout(w *worker) time.Duration {
	if latency := d.zone(w.Zone).startLatency; latency > 0 {
		return 10*latency + 20*d.settings.Tick
	}
	return initialStartTimeout
}
