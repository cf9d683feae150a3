package ravendale

// rank returns the order of a worker among the candidates for a job, lowest first: by the slots that this dispatcher holds
// there, with unhealthy workers last. With many dispatchers that get few jobs each, nearly all workers tie at 0 slots. A random
// draw, scaled by weight, decides between them. Only the draw is scaled: if the rest were too, all dispatchers would choose the
// fastest workers of a busy zone. A worker of the own zone that is in its slow start and has a token goes first: if its budget
// depended on the draw, it would not be spent, and the worker would warm up late.
func (d *Dispatcher) rank(w *worker) float64 {
	const remotePenalty, maxWait = 0.25, 8
	wait := d.random.Float64()
	if d.settings.LiveWeights { // they cover the jobs of all: few dispatchers use them alone, many would choose one worker
		wait += (1 - wait) * min(1, fewDispatchers/float64(d.settings.Dispatchers))
	}
	if w.Weight > 0 {
		wait *= d.capacity.meanWeight / w.Weight
	}
	if d.now-w.reportedAt < reportTTL {
		wait += min(max(0, 1-w.freeSlots), maxWait)
	} else {
		wait += d.zone(w.Zone).busy
	}
	if w.Zone != d.settings.Zone {
		wait += remotePenalty
	} else if d.warmUpFraction(w) < 1 {
		wait = 0
	}
	rank := w.ownSlots + wait/(1+wait)
	if d.zone(w.Zone).unavailableUntil > d.now {
		rank += unavailablePenalty
	}
	if w.unhealthyUntil > d.now {
		rank += unhealthyPenalty
	}
	return rank
}
