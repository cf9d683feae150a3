package ravendale

// handleStart records that an attempt is running, and cancels the attempts of the job that have not started.
func (d *Dispatcher) handleStart(ev *Event) {
	j := d.jobs[ev.Job]
	if j == nil || ev.Attempt < 0 || ev.Attempt >= len(j.attempts) || j.attempts[ev.Attempt].started {
		return
	}
	a := &j.attempts[ev.Attempt]
	a.started, j.started = true, true
	d.zone(a.w.Zone).failures = 0
	if d.settings.TellsStart && ev.Kind == JobStarted {
		z, took := d.zone(a.w.Zone), d.now-a.sentAt
		if z.startLatency += z.startLatency / 32; z.startLatency == 0 || z.startLatency > took {
			z.startLatency = took
		}
		if !a.startOverdue {
			updateMean(&z.busy, 0)
			if d.warmUpFraction(a.w) < 1 {
				updateMean(&d.capacity.warmingOnTime, 1)
			}
		}
		a.w.reportedAt = d.now - reportTTL
	}
	if !j.open {
		return
	}
	for i := range j.attempts {
		if i != ev.Attempt && !j.attempts[i].started {
			d.cancel(j, i)
		}
	}
}

// handleOutcome processes the outcome of an attempt. If the job has already ended, this frees the slots and updates the
// observations, and the job itself is not advanced.
func (d *Dispatcher) handleOutcome(ev *Event) {
	j := d.jobs[ev.Job]
	if j == nil || ev.Attempt < 0 || ev.Attempt >= len(j.attempts) || !j.attempts[ev.Attempt].inFlight {
		return
	}
	a := &j.attempts[ev.Attempt]
	a.inFlight = false
	j.attemptsInFlight--
	if !a.cancelled {
		j.activeAttempts--
	}
	a.w.ownSlots -= j.slots
	d.slotsInFlight -= j.slots
	switch ev.Outcome {
	case Overloaded, ConnectFailed, NotSent:
		a.mayRun = false
		if ev.Outcome == ConnectFailed && d.settings.WrittenCount && j.maxAttempts < 2*d.settings.MaxAttempts {
			j.maxAttempts++ // not counted: six in a second may fail at a partitioned zone; leave some for others
		}
	}
	d.observeOutcome(j, a, ev)
	switch {
	case ev.Closed:
		d.closeJob(j)
	case j.open && j.activeAttempts == 0:
		d.advance(j)
	}
	if !j.open && j.attemptsInFlight == 0 {
		delete(d.jobs, j.id)
	}
	d.dispatchPending()
	d.hedgeOldest()
}

// handleUnresponsive cancels an attempt that the worker has not even accepted, so that the job can be sent elsewhere. The
// attempt of an unsafe job is not cancelled, since the worker may have received it.
func (d *Dispatcher) handleUnresponsive(ev *Event) {
	j := d.jobs[ev.Job]
	if j == nil || !j.open || ev.Attempt >= len(j.attempts) || j.class.Effect == Unsafe {
		return
	}
	d.observeNoAnswer(j.attempts[ev.Attempt].w)
	d.observeFault(j.attempts[ev.Attempt].w)
	d.cancel(j, ev.Attempt)
}

// cancel requests the cancellation of an attempt that has no outcome yet, if the settings allow it.
func (d *Dispatcher) cancel(j *job, i int) {
	a := &j.attempts[i]
	if !a.inFlight || a.cancelled || !d.settings.MayCancel {
		return
	}
	a.cancelled = true
	j.activeAttempts--
	d.actions = append(d.actions, Action{Kind: Cancel, Job: j.id, Attempt: i})
}
