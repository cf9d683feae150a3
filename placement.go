package ravendale

import "math"

const (
	// The penalties are added to ranks, so that unhealthy workers come last, and those of unavailable zones just before them,
	// however few slots this dispatcher holds there.
	unhealthyPenalty, unavailablePenalty = 1e6, 1e3

	maxScanned = 64 // workers scanned for one job, from a random one on; more only if none of these is suitable
)

// pick returns the worker for the next attempt of a job: the one of the lowest rank among the ready workers of its kind that
// have capacity, or nil if there is none. A hedge goes only to an idle worker.
func (d *Dispatcher) pick(j *job, hedge bool) *worker {
	if len(j.attempts) >= j.maxAttempts || d.now >= d.retryUntil(j) {
		return nil
	}
	// An unsafe job can't be moved from one worker's queue to another. If its value is below half of the mean, it waits here while
	// slots are scarce: for a worker without jobs of this dispatcher, and while slots are very scarce for any worker.
	waits := j.class.Effect == Unsafe && d.lowValue(j) && 2*j.value < d.arrivals.meanValue
	if waits && d.contention(j) > veryScarceThreshold {
		return nil
	}
	first := j.mayHaveRun()
	var best *worker
	bestRank, healthyMargin := math.Inf(1), 0
	start := d.random.IntN(max(len(d.workers), 1))
	for i := range d.workers {
		if i >= maxScanned && bestRank < unavailablePenalty {
			break
		}
		w := d.workers[(start+i)%len(d.workers)]
		if !w.usable() || j.class.Kind >= 0 && w.Kind != j.class.Kind {
			continue
		}
		if healthyMargin++; w.unhealthyUntil > d.now {
			healthyMargin -= 2
		}
		if !d.hasCapacity(j, w) || hedge && !d.isIdle(j, w) || first != nil && !d.mayRetryOn(j, first, w) || waits && w.ownSlots > 0 {
			continue
		}
		if d.warmUpFraction(w) < 1 && (hedge || !d.hasToken(j, w)) {
			continue
		}
		rank := d.rank(w)
		if w.unhealthyUntil > 0 && j.class.Effect == Unsafe || d.zone(w.Zone).failures >= zoneFailureLimit && j.class.Effect != Safe {
			rank += 1 + d.slotsInFlight/float64(len(d.workers)) // leave it to jobs that can be retried to try such a worker
		}
		if rank < bestRank {
			best, bestRank = w, rank
		}
	}
	ownZone := d.zone(d.settings.Zone)
	if healthyMargin > 0 && (bestRank >= unhealthyPenalty || bestRank >= unavailablePenalty && ownZone.unavailableUntil <= d.now) {
		return nil // unresponsive workers and zones always look free: wait for the own zone, unless that is unavailable
	}
	return best
}
