package ravendale

import "time"

// retryUntil returns the time until which a job may be sent again. See apply for the windows of classes that are not Keyed.
func (d *Dispatcher) retryUntil(j *job) time.Duration {
	if first := j.mayHaveRun(); first != nil {
		return first.sentAt + j.class.Window - answerMarginTicks*d.settings.Tick
	}
	return never
}

// mayHaveRun returns the first attempt that may have run, or nil if the job cannot have run.
func (j *job) mayHaveRun() *attempt {
	for i := range j.attempts {
		if j.attempts[i].mayRun {
			return &j.attempts[i]
		}
	}
	return nil
}

// mayRetryOn reports whether a job that may have run on the worker of first may also be sent to w, before retryUntil.
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

// mayRefuse reports whether the client may be told that a retry is safe.
func (j *job) mayRefuse() bool {
	return j.class.Effect == Safe || j.mayHaveRun() == nil || j.class.Effect == Keyed && j.class.Group == GroupAll
}
