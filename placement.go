package ravendale

import "math"

const (
	// The penalties are added to a rank: unhealthy workers come last, however few of our slots are there, and those of an
	// unavailable zone before them.
	unhealthyPenalty, unavailablePenalty = 1e6, 1e3

	maxScanned = 64 // workers looked at for one job, from a random one on, while that finds any that will do
)

// pick returns the ready worker of the job's kind with fewest of our slots in flight, or nil; for a copy, one with none.
func (d *Dispatcher) pick(j *job, idle bool) *worker {
	if len(j.attempts) >= j.maxAttempts || d.now >= d.retryUntil(j) {
		return nil
	}
	// What must not run twice can't be taken back from a queue: of less than half of the mean value it waits here while slots are
	// scarce.
	kept := j.class.Effect == Unsafe && d.lowValue(j) && 2*j.value < d.arrivals.meanValue
	if kept && d.contention(j) > tightSlots {
		return nil
	}
	first := j.mayHaveRun()
	var best *worker
	least, healthy := math.Inf(1), 0
	start := d.random.IntN(max(len(d.workers), 1))
	for i := range d.workers {
		if i >= maxScanned && least < unavailablePenalty {
			break
		}
		w := d.workers[(start+i)%len(d.workers)]
		if !w.usable() || j.class.Kind >= 0 && w.Kind != j.class.Kind {
			continue
		}
		if healthy++; w.unhealthyUntil > d.now {
			healthy -= 2
		}
		if !d.hasCapacity(j, w) || idle && !d.isIdle(j, w) || first != nil && !d.mayRetryOn(j, first, w) || kept && w.slots > 0 {
			continue
		}
		if d.warmUp(w) < 1 && (idle || !d.hasToken(j, w)) {
			continue
		}
		rank := d.rank(w)
		if w.unhealthyUntil > 0 && j.class.Effect == Unsafe || d.zone(w.Zone).failures >= failuresOfZone && j.class.Effect != Safe {
			rank += 1 + d.slots/float64(len(d.workers)) // others try an unhealthy one first: they can be sent again
		}
		if rank < least {
			best, least = w, rank
		}
	}
	ownZone := d.zone(d.settings.Zone)
	if healthy > 0 && (least >= unhealthyPenalty || least >= unavailablePenalty && ownZone.unavailableUntil <= d.now) {
		return nil // a dead worker, or an unavailable zone's, always looks free: wait for the own zone, unless that is unavailable
	}
	return best
}
