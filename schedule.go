package ravendale

import "time"

// pendingRetry is when a job that found no worker looks again: well under any latency target.
const pendingRetry = 50 * time.Millisecond

// wake sets the one timer, unless it fires before that already.
func (d *Dispatcher) wake(at time.Duration) {
	if at >= d.wakeAt {
		return
	}
	d.wakeAt = at
	d.acts = append(d.acts, Action{Kind: SetTimer, Wait: max(at-d.now, d.settings.Tick)})
}

// onTimer looks at every open job that is due. Timers that come early find nothing due.
func (d *Dispatcher) onTimer() {
	if d.now < d.wakeAt {
		return
	}
	d.wakeAt = never
	next := never
	for i := 0; i < len(d.open); {
		j := d.open[i]
		if j.due <= d.now {
			d.advance(j)
		}
		if j.open { // else close took it out of the list
			next = min(next, j.due)
			i++
		}
	}
	if d.watch.askAt <= d.now {
		d.acts = append(d.acts, Action{Kind: WatchList})
		d.watch.askAt = d.now + max(d.settings.AskWithin/2, askRetry) // unless an answer comes
	}
	d.wake(min(next, d.watch.askAt))
}

// advance does what is due for an open job and sets when it is next.
func (d *Dispatcher) advance(j *job) {
	if d.now >= j.answerBy || d.now > j.startBy && d.isWaiting(j) && j.mayRefuse() &&
		(j.class.LateValue == 0 || d.zone(d.settings.Zone).busy > busyZone) {
		d.giveUp(j)
		return
	}
	j.due = j.answerBy
	switch {
	case j.active > 0:
	case j.notBefore > d.now:
		j.due = min(j.due, j.notBefore)
	default:
		d.dispatch(j)
	}
	if !j.open {
		return
	}
	if j.startBy < never && d.isWaiting(j) && j.mayRefuse() {
		j.due = min(j.due, max(j.startBy, d.now)+d.settings.Tick)
	}
	if d.settings.TellsStart {
		d.watchStart(j)
	}
}

// dispatch sends a pending job, or gives it up if it may go nowhere any more; else it looks again soon.
func (d *Dispatcher) dispatch(j *job) {
	if w := d.pick(j, false); w != nil {
		d.send(j, w)
		return
	}
	if len(j.attempts) >= j.maxAttempts || d.now >= d.retryUntil(j) {
		d.giveUp(j)
		return
	}
	j.due = min(j.answerBy, d.now+pendingRetry)
	d.wake(j.due)
}

// dispatchPending sends pending jobs while there is capacity, those of the highest value first and then the oldest.
func (d *Dispatcher) dispatchPending() {
	for {
		var best *job
		for _, j := range d.open {
			if j.active == 0 && j.notBefore <= d.now && (best == nil || j.value > best.value) {
				best = j
			}
		}
		if best == nil {
			return
		}
		d.advance(best)
		if best.open && best.active == 0 {
			return
		}
	}
}

// send begins an attempt.
func (d *Dispatcher) send(j *job, w *worker) {
	d.acts = append(d.acts, Action{Kind: Send, Job: j.id, Worker: w.Worker, By: d.retryUntil(j)})
	j.attempts = append(j.attempts, attempt{w: w, zone: w.Zone, cell: w.Cell, sentAt: d.now, inFlight: true, mayRun: true})
	j.inFlight++
	j.active++
	w.slots += j.slots
	d.slots += j.slots
	w.free -= j.slots
	if d.warmUp(w) < 1 {
		w.tokens -= j.cost
	}
}
