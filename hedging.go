package ravendale

import "time"

// Hedging sends a copy of a job to a second worker before the first has answered. Its rule is pi-gamma: Lee and others, "On
// Scheduling Redundant Requests With Cancellation Overheads", IEEE/ACM Transactions on Networking 25(2), 2017.

// gamma is how many jobs may be open here at most while copies are made: see docs/design.md.
const gamma = 4

// initialStartTimeout holds until a start note has told how long a start takes.
const initialStartTimeout = 100 * time.Millisecond

// watchStart moves a job whose start note is overdue: it is queued behind others, and a place in a second queue costs nothing
// where the first to start is kept and the rest cancelled. There, unless unsafe, it gets a copy whatever N is, which moves on.
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
			j.due = min(j.due, due)
			d.wake(j.due)
			return
		}
		if !a.late {
			a.late = true
			d.observeFree(a.w, -1)
			if d.warmUp(a.w) < 1 {
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
	if w == nil || d.now-w.reportedAt < reportTTL && w.free < 0 {
		return
	}
	if j.active > 1 {
		d.cancel(j, newest)
	}
	d.send(j, w)
	j.due = min(j.due, d.now+d.startTimeout(w))
	d.wake(j.due)
}

// yieldSlots gives up a low-value job's places in queues and spreads the attempts left over the time left: it takes only slots
// that it finds free, so that jobs of more value go first though workers serve in order. Not for one that can't be refused and
// earns nothing late.
func (d *Dispatcher) yieldSlots(j *job) {
	for i := range j.attempts {
		d.cancel(j, i)
	}
	j.due = d.now + (j.due-d.now)/time.Duration(j.maxAttempts-len(j.attempts)+1)
	j.notBefore = j.due
	d.wake(j.due)
}

// hedgeOldest is pi-gamma: at each arrival and finish, while N <= gamma, the oldest safe job without a copy gets one on an idle
// worker.
func (d *Dispatcher) hedgeOldest() {
	if !d.settings.MayHedge || len(d.open) > gamma {
		return
	}
	for _, j := range d.open {
		if j.hedged || j.active != 1 || j.class.Effect != Safe {
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

// startTimeout is the time by which a job that found a free slot is known to have started: on sockets a worker reports it in up
// to 50 ms.
func (d *Dispatcher) startTimeout(w *worker) time.Duration {
	if latency := d.zone(w.Zone).startLatency; latency > 0 {
		return 10*latency + 20*d.settings.Tick
	}
	return initialStartTimeout
}
