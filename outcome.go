package ravendale

// onStart takes the note that an attempt runs, and cancels those that still wait elsewhere.
func (d *Dispatcher) onStart(ev *Event) {
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
		if !a.late {
			updateMean(&z.busy, 0)
			if d.warmUp(a.w) < 1 {
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

// onOutcome takes the outcome of an attempt. Outcomes of jobs that ended before only free their slots.
func (d *Dispatcher) onOutcome(ev *Event) {
	j := d.jobs[ev.Job]
	if j == nil || ev.Attempt < 0 || ev.Attempt >= len(j.attempts) || !j.attempts[ev.Attempt].inFlight {
		return
	}
	a := &j.attempts[ev.Attempt]
	a.inFlight = false
	j.inFlight--
	if !a.cancelled {
		j.active--
	}
	a.w.slots -= j.slots
	d.slots -= j.slots
	switch ev.Outcome {
	case Overloaded, ConnectFailed, NotSent:
		a.mayRun = false
		if ev.Outcome == ConnectFailed && d.settings.WrittenCount && j.maxAttempts < 2*d.settings.MaxAttempts {
			j.maxAttempts++ // it was none, and six can go to a partitioned zone in a second: some are left for where it can run
		}
	}
	d.observeOutcome(j, a, ev)
	switch {
	case ev.Closed:
		d.close(j)
	case j.open && j.active == 0:
		d.advance(j)
	}
	if !j.open && j.inFlight == 0 {
		delete(d.jobs, j.id)
	}
	d.dispatchPending()
	d.hedgeOldest()
}

// onUnresponsive moves a job that a worker does not even accept. What must not run twice stays, for it may be there.
func (d *Dispatcher) onUnresponsive(ev *Event) {
	j := d.jobs[ev.Job]
	if j == nil || !j.open || ev.Attempt >= len(j.attempts) || j.class.Effect == Unsafe {
		return
	}
	d.observeNoAnswer(j.attempts[ev.Attempt].w)
	d.observeFault(j.attempts[ev.Attempt].w)
	d.cancel(j, ev.Attempt)
}

// cancel asks for the end of an attempt without an outcome, if settings allow it.
func (d *Dispatcher) cancel(j *job, i int) {
	a := &j.attempts[i]
	if !a.inFlight || a.cancelled || !d.settings.MayCancel {
		return
	}
	a.cancelled = true
	j.active--
	d.acts = append(d.acts, Action{Kind: Cancel, Job: j.id, Attempt: i})
}
