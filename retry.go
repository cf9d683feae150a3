package ravendale

import "time"

// retryUntil is until when a job may be sent again: see apply for the windows of classes that are not keyed.
func (d *Dispatcher) retryUntil(j *job) time.Duration {
	if first := j.mayHaveRun(); first != nil {
		return first.sentAt + j.class.Window - answerTicks*d.settings.Tick
	}
	return never
}

// mayHaveRun returns the first attempt that may have run, or nil while nothing can have.
func (j *job) mayHaveRun() *attempt {
	for i := range j.attempts {
		if j.attempts[i].mayRun {
			return &j.attempts[i]
		}
	}
	return nil
}

// mayRetryOn reports whether a job that may have run on first's worker may go to w as well, before retryUntil.
func (d *Dispatcher) mayRetryOn(j *job, first *attempt, w *worker) bool {
	for i := range j.attempts {
		if j.attempts[i].inFlight && (j.attempts[i].w == w || !d.settings.MayHedge) {
			return false
		}
	}
	group := j.class.Group
	return j.class.Effect == Safe || group == GroupAll || group == GroupZone && w.Zone == first.zone && w.Zone >= 0 ||
		group == GroupCell && w.Cell == first.cell && w.Cell >= 0
}

// mayRefuse reports whether the client may be told that a retry does no harm.
func (j *job) mayRefuse() bool {
	return j.class.Effect == Safe || j.mayHaveRun() == nil || j.class.Effect == Keyed && j.class.Group == GroupAll
}
