package ravendale

import "time"

const (
	unhealthyFor = 2 * time.Second // a worker that gave no answer is passed over, then gets one job at a time
	// A worker is unhealthy, too, when this part of its last outcomes, averaged over so many, were faults: two in a row, say.
	faultThreshold, faultWindow = 0.3, 6

	failuresOfZone = 4 // after so many in a row without an answer a zone counts as unavailable

	reportTTL = time.Second // a report is believed for so long, about a mean run
)

// zone is what was seen of the workers of one zone.
type zone struct {
	busy             float64       // part of the samples that found a worker without a free slot, of late
	queue            float64       // jobs that wait for each slot, by reports of late
	startLatency     time.Duration // from a send to the start note where nothing waits; 0 until seen
	failures         int           // connections and calls without an answer in a row, to whichever workers
	unavailableUntil time.Duration // it is passed over until then for that
}

// updateMean moves an exponentially weighted mean by one sample.
func updateMean(mean *float64, sample float64) { *mean += (sample - *mean) / sampleWindow }

// observeOutcome takes what an outcome says of the worker's health.
func (d *Dispatcher) observeOutcome(j *job, a *attempt, ev *Event) {
	w := a.w
	if ev.Load.Given && ev.Load.FreeSlots >= 0 {
		d.observeFree(w, ev.Load.FreeSlots) // by its own report, where workers give one
	}
	switch ev.Outcome {
	case OK:
		d.zone(w.Zone).failures = 0
		j.stats.observe(d.now - a.sentAt)
		w.free += j.slots // a report is older than the finish that brings it
		w.rejections /= 2
		w.faults -= w.faults / faultWindow
		if w.faults < faultThreshold {
			w.unhealthyUntil = 0 // until then it is tried with one job at a time
		}
	case Overloaded:
		w.limit, w.rejectedAt, w.rejections = w.slots, d.now, w.rejections+1
		updateMean(&d.zone(w.Zone).busy, 1)
	case ConnectFailed:
		d.observeNoAnswer(w)
		d.markUnhealthy(w)
	case Error, Reset: // not Rejected: clients that send rubbish must not make workers unhealthy
		d.observeFault(w)
	}
}

// observeFault counts against a worker: one that fails jobs at once has the fewest of our slots and would draw all. One says
// little.
func (d *Dispatcher) observeFault(w *worker) {
	if w.faults += (1 - w.faults) / faultWindow; w.faults >= faultThreshold {
		d.markUnhealthy(w)
	}
}

// observeFree takes how many slots a worker has free; below 0, how many jobs wait there.
func (d *Dispatcher) observeFree(w *worker, free float64) {
	w.free, w.reportedAt = free, d.now
	z, busy := d.zone(w.Zone), 0.0
	if free < 1 {
		busy = 1
	}
	updateMean(&z.busy, busy)
	updateMean(&z.queue, max(0, -free))
}

// observeNoAnswer counts a worker that gave no answer at all. Several in a row, and it is the zone: a dispatcher that sees few
// jobs would need as long as the zone is away to learn it of each worker.
func (d *Dispatcher) observeNoAnswer(w *worker) {
	z := d.zone(w.Zone)
	if z.failures++; z.failures >= failuresOfZone {
		z.unavailableUntil = d.now + time.Duration((0.75+0.5*d.random.Float64())*float64(unhealthyFor))
	}
}

// markUnhealthy passes a worker over for a while that gave no answer.
func (d *Dispatcher) markUnhealthy(w *worker) {
	updateMean(&d.zone(w.Zone).busy, 1)
	w.unhealthyUntil = d.now + unhealthyFor
}

// zone returns the zone of a number, and one for all that are unknown.
func (d *Dispatcher) zone(number int) *zone {
	if number < 0 || number >= d.settings.Zones {
		return &d.zones[d.settings.Zones]
	}
	return &d.zones[number]
}
