package ravendale

import "time"

// pendingRetryInterval is how often a job that found no worker is tried again: well under any latency target.
const pendingRetryInterval = 50 * time.Millisecond

// scheduleTimer sets the timer, unless it already fires before that time.
func (d *Dispatcher) scheduleTimer(at time.Duration) {
	if at >= d.timerAt {
		return
	}
	d.timerAt = at
	d.actions = append(d.actions, Action{Kind: SetTimer, Wait: max(at-d.now, d.settings.Tick)})
}

// handleTimer advances every open job that is due. A timer that fires too early has no effect.
func (d *Dispatcher) handleTimer() {
	if d.now < d.timerAt {
		return
	}
	d.timerAt = never
	next := never
	for i := 0; i < len(d.openJobs); {
		j := d.openJobs[i]
		if j.checkAt <= d.now {
			d.advance(j)
		}
		if j.open { // else closeJob has removed it from openJobs
			next = min(next, j.checkAt)
			i++
		}
	}
	if d.listRequest.requestAt <= d.now {
		d.actions = append(d.actions, Action{Kind: WatchList})
		d.listRequest.requestAt = d.now + max(d.settings.AskWithin/2, listRetryDelay) // in case no answer comes
	}
	d.scheduleTimer(min(next, d.listRequest.requestAt))
}

// advance does what is due for an open job and sets the time of its next check.
func (d *Dispatcher) advance(j *job) {
	if d.now >= j.answerBy || d.now > j.startBy && d.isWaiting(j) && j.mayRefuse() &&
		(j.class.LateValue == 0 || d.zone(d.settings.Zone).busy > busyZoneThreshold) {
		d.giveUp(j)
		return
	}
	j.checkAt = j.answerBy
	switch {
	case j.activeAttempts > 0:
	case j.notBefore > d.now:
		j.checkAt = min(j.checkAt, j.notBefore)
	default:
		d.dispatch(j)
	}
	if !j.open {
		return
	}
	if j.startBy < never && d.isWaiting(j) && j.mayRefuse() {
		j.checkAt = min(j.checkAt, max(j.startBy, d.now)+d.settings.Tick)
	}
	if d.settings.TellsStart {
		d.watchStart(j)
	}
}

// dispatch sends a pending job, or gives it up if no further attempt is allowed. If no worker has capacity, it schedules
// another try.
func (d *Dispatcher) dispatch(j *job) {
	if w := d.pick(j, false); w != nil {
		d.send(j, w)
		return
	}
	if len(j.attempts) >= j.maxAttempts || d.now >= d.retryUntil(j) {
		d.giveUp(j)
		return
	}
	j.checkAt = min(j.answerBy, d.now+pendingRetryInterval)
	d.scheduleTimer(j.checkAt)
}

// dispatchPending sends pending jobs while there is capacity: those of the highest value first, and the oldest of these.
func (d *Dispatcher) dispatchPending() {
	for {
		var best *job
		for _, j := range d.openJobs {
			if j.activeAttempts == 0 && j.notBefore <= d.now && (best == nil || j.value > best.value) {
				best = j
			}
		}
		if best == nil {
			return
		}
		d.advance(best)
		if best.open && best.activeAttempts == 0 {
			return
		}
	}
}

// send starts an attempt.
func (d *Dispatcher) send(j *job, w *worker) {
	d.actions = append(d.actions, Action{Kind: Send, Job: j.id, Worker: w.Worker, SendBefore: d.retryUntil(j)})
	j.attempts = append(j.attempts, attempt{w: w, zone: w.Zone, cell: w.Cell, sentAt: d.now, inFlight: true, mayRun: true})
	j.attemptsInFlight++
	j.activeAttempts++
	w.ownSlots += j.slots
	d.slotsInFlight += j.slots
	w.freeSlots -= j.slots
	if d.warmUpFraction(w) < 1 {
		w.tokens -= j.cost
	}
}
