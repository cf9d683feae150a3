package ravendale

import "time"

const (
	// rejectionRetryInterval is the interval at which all dispatchers together send one job more to a worker that rejected a job
	// as overloaded. A rejection counts for rejectionTTL.
	rejectionRetryInterval = 150 * time.Millisecond
	rejectionTTL           = 10 * time.Second
	maxDoublings           = 10 // limit on the doublings of pause in hasCapacity, for workers whose slots are listed

	maxQueue = 1 // no job is sent to a longer queue: it would wait a mean run

	busyZoneThreshold                    = 0.8       // a zone is busy while this fraction of the samples finds no free slot
	scarceThreshold, veryScarceThreshold = 0.5, 0.65 // contention of the own zone, for jobs that may wait: see lowValue and pick
)

// hasCapacity reports whether a worker may be sent a job. It keeps jobs from long queues and from workers that would reject
// them. A worker that recently rejected a job may hold as many slots as it held for this dispatcher then, and one more after
// each pause. The pause is rejectionRetryInterval times the number of dispatchers. If the worker's slots are listed, it is at
// most 8 times the shortest run, doubled for each recent rejection, and a successful answer halves the number of these. An
// unhealthy worker gets one job at a time.
func (d *Dispatcher) hasCapacity(j *job, w *worker) bool {
	if w.unhealthyUntil > 0 && w.ownSlots > 0 || w.ownSlots > 2*(1+d.slotsInFlight/float64(len(d.workers))) {
		return false
	}
	fresh, queue := d.now-w.reportedAt < reportTTL, d.zone(w.Zone).queue
	if fresh {
		queue = max(0, -w.freeSlots)
	}
	since, pause := d.now-w.rejectedAt, float64(rejectionRetryInterval)*float64(d.settings.Dispatchers)
	if w.Slots > 0 {
		pause = min(pause, float64(max(8*j.stats.minRun, 1)<<min(w.rejections, maxDoublings)))
	}
	switch {
	case queue > maxQueue:
		return false
	case since >= rejectionTTL || fresh && w.freeSlots+0.25 >= j.slots:
		return true
	}
	return w.ownSlots+j.slots <= w.slotLimit+float64(since)/pause
}

// isIdle reports whether w may be sent a hedge: it has no job of this dispatcher, and it recently reported enough free slots,
// which covers the jobs of other dispatchers.
func (d *Dispatcher) isIdle(j *job, w *worker) bool {
	return w.ownSlots == 0 && w.unhealthyUntil <= d.now && d.now-w.reportedAt < reportTTL && w.freeSlots >= j.slots
}

// contention returns how busy the own zone is for a job. Queues cost more if late answers earn little, so it is increased for
// jobs with a LateValue below a quarter, by up to 0.1 for a LateValue of 0.
func (d *Dispatcher) contention(j *job) float64 {
	return d.zone(d.settings.Zone).busy + 0.1*max(0, 1-4*j.class.LateValue)
}

// lowValue reports whether slots are scarce and the value of the job is below the mean of the arrivals.
func (d *Dispatcher) lowValue(j *job) bool {
	return d.contention(j) > scarceThreshold && j.value < d.arrivals.meanValue
}
