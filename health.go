package ravendale

import "time"

const (
	unhealthyFor = 2 * time.Second // a worker that did not respond is avoided for this long, then gets one job at a time
	// A worker is also unhealthy if its fault rate, averaged over faultWindow outcomes, reaches faultThreshold, for example after
	// two faults in a row.
	faultThreshold, faultWindow = 0.3, 6

	zoneFailureLimit = 4 // a zone is unavailable after this many failures in a row

	reportTTL = time.Second // how long a report is used, about a mean run
)

// zone holds the observations of the workers of one zone.
type zone struct {
	busy             float64       // fraction of recent samples that found a worker without a free slot
	queue            float64       // mean number of jobs that wait at a worker, by recent reports
	startLatency     time.Duration // from a send to the start note if no job is queued; 0 if not observed yet
	failures         int           // failed connections and unaccepted requests in a row, at any of the workers
	unavailableUntil time.Duration // the zone is avoided until then because of its failures
}

// updateMean updates an exponentially weighted moving average with one sample.
func updateMean(mean *float64, sample float64) { *mean += (sample - *mean) / sampleWindow }

// observeOutcome updates the observations of the worker, its zone and the job's class with an outcome.
func (d *Dispatcher) observeOutcome(j *job, a *attempt, ev *Event) {
	w := a.w
	if ev.Load.Given && ev.Load.FreeSlots >= 0 {
		d.observeFreeSlots(w, ev.Load.FreeSlots) // the worker's own report, if it sent one
	}
	switch ev.Outcome {
	case OK:
		d.zone(w.Zone).failures = 0
		j.stats.observe(d.now - a.sentAt)
		w.freeSlots += j.slots // the report in an answer still counts the slots of the answered job
		w.rejections /= 2
		w.faultRate -= w.faultRate / faultWindow
		if w.faultRate < faultThreshold {
			w.unhealthyUntil = 0 // while the rate is higher, the worker gets one job at a time
		}
	case Overloaded:
		w.slotLimit, w.rejectedAt, w.rejections = w.ownSlots, d.now, w.rejections+1
		updateMean(&d.zone(w.Zone).busy, 1)
	case ConnectFailed:
		d.observeNoAnswer(w)
		d.markUnhealthy(w)
	case Error, Reset: // not Rejected: invalid requests of clients must not make workers unhealthy
		d.observeFault(w)
	}
}

// observeFault counts a fault against a worker. A worker that fails its jobs at once holds the fewest slots, and would be sent
// all jobs. A single fault is not enough to make a worker unhealthy.
func (d *Dispatcher) observeFault(w *worker) {
	if w.faultRate += (1 - w.faultRate) / faultWindow; w.faultRate >= faultThreshold {
		d.markUnhealthy(w)
	}
}

// observeFreeSlots records how many slots of a worker are free. A negative number is the number of jobs that wait there.
func (d *Dispatcher) observeFreeSlots(w *worker, free float64) {
	w.freeSlots, w.reportedAt = free, d.now
	z, busy := d.zone(w.Zone), 0.0
	if free < 1 {
		busy = 1
	}
	updateMean(&z.busy, busy)
	updateMean(&z.queue, max(0, -free))
}

// observeNoAnswer counts a worker that did not respond at all. After several of these in a row the zone counts as unavailable: a
// dispatcher that gets few jobs might need the whole outage of a zone to detect it at each worker.
func (d *Dispatcher) observeNoAnswer(w *worker) {
	z := d.zone(w.Zone)
	if z.failures++; z.failures >= zoneFailureLimit {
		z.unavailableUntil = d.now + time.Duration((0.75+0.5*d.random.Float64())*float64(unhealthyFor))
	}
}

// markUnhealthy makes a worker unhealthy for unhealthyFor.
func (d *Dispatcher) markUnhealthy(w *worker) {
	updateMean(&d.zone(w.Zone).busy, 1)
	w.unhealthyUntil = d.now + unhealthyFor
}

// zone returns the zone with an index. All unknown zones share one.
func (d *Dispatcher) zone(index int) *zone {
	if index < 0 || index >= d.settings.Zones {
		return &d.zones[d.settings.Zones]
	}
	return &d.zones[index]
}
