package ravendale

// rank orders workers: first by our slots in flight, unhealthy ones last. Own slots tie at zero nearly everywhere where many
// dispatchers see a trickle each. The draw is by weight: were the rest scaled by it too, all would take the fastest of a busy
// zone. A worker of the own zone that warms up and has a token goes first: a budget that waits for the draw is not spent, and the
// worker warms late.
func (d *Dispatcher) rank(w *worker) float64 {
	const remote, longWait = 0.25, 8
	wait := d.random.Float64()
	if d.settings.LiveWeights { // they tell of everybody's jobs: a few go by them alone, many would all choose the same one
		wait += (1 - wait) * min(1, fewDispatchers/float64(d.settings.Dispatchers))
	}
	if w.Weight > 0 {
		wait *= d.capacity.meanWeight / w.Weight
	}
	if d.now-w.reportedAt < reportTTL {
		wait += min(max(0, 1-w.free), longWait)
	} else {
		wait += d.zone(w.Zone).busy
	}
	if w.Zone != d.settings.Zone {
		wait += remote
	} else if d.warmUp(w) < 1 {
		wait = 0
	}
	rank := w.slots + wait/(1+wait)
	if d.zone(w.Zone).unavailableUntil > d.now {
		rank += unavailablePenalty
	}
	if w.unhealthyUntil > d.now {
		rank += unhealthyPenalty
	}
	return rank
}
