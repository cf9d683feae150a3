package ravendale

import "time"

const (
	// rejectionRetry is the interval at which all dispatchers together try a worker that rejected a job as overloaded, beyond what
	// it held of ours then; rejectionTTL is for how long.
	rejectionRetry = 150 * time.Millisecond
	rejectionTTL   = 10 * time.Second
	maxDoublings   = 10 // of the pause until one whose slots are listed is tried again

	maxQueue = 1 // no job joins a queue of more than so many: it would wait a mean run

	busyZone                = 0.8       // a zone is busy while this part of the samples find no free slot
	scarceSlots, tightSlots = 0.5, 0.65 // the same of the own zone, for jobs that may wait: see lowValue and pick
)

// hasCapacity keeps jobs from long queues and from workers that would reject them. One that did so lately takes as many of
// our slots as it held then, and one more after a pause: of rejectionRetry for each dispatcher, or where its slots are listed of
// a few short runs, doubled by each rejection and halved by each finish. An unhealthy one gets one job.
func (d *Dispatcher) hasCapacity(j *job, w *worker) bool {
	if w.unhealthyUntil > 0 && w.slots > 0 || w.slots > 2*(1+d.slots/float64(len(d.workers))) {
		return false
	}
	fresh, queue := d.now-w.reportedAt < reportTTL, d.zone(w.Zone).queue
	if fresh {
		queue = max(0, -w.free)
	}
	since, pause := d.now-w.rejectedAt, float64(rejectionRetry)*float64(d.settings.Dispatchers)
	if w.Slots > 0 {
		pause = min(pause, float64(max(8*j.stats.least, 1)<<min(w.rejections, maxDoublings)))
	}
	switch {
	case queue > maxQueue:
		return false
	case since >= rejectionTTL || fresh && w.free+0.25 >= j.slots:
		return true
	}
	return w.slots+j.slots <= w.limit+float64(since)/pause
}

// isIdle reports whether w may take a copy: it has none of our jobs, and lately reported the slots free, of others' as well.
func (d *Dispatcher) isIdle(j *job, w *worker) bool {
	return w.slots == 0 && w.unhealthyUntil <= d.now && d.now-w.reportedAt < reportTTL && w.free >= j.slots
}

// contention is how busy the own zone is for a job: queues cost more where late answers earn little, down from a quarter to
// nothing.
func (d *Dispatcher) contention(j *job) float64 {
	return d.zone(d.settings.Zone).busy + 0.1*max(0, 1-4*j.class.LateValue)
}

// lowValue reports whether slots are scarce and the job is of less value than the mean of what arrives.
func (d *Dispatcher) lowValue(j *job) bool {
	return d.contention(j) > scarceSlots && j.value < d.arrivals.meanValue
}
