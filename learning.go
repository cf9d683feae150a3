package ravendale

import "time"

// ownEnough is the number of own observations of a class at which those of other dispatchers have no weight any more.
const ownEnough = 50

// learntStats holds the observations of a class by other dispatchers, and the own ones since then.
type learntStats struct {
	fromPeers      ClassSnapshot
	ownRun, ownDev time.Duration
	observations   float64
}

// observe records the run time of a job. Learnt observations count as fromPeers.Weight own ones at first, and this weight
// decreases linearly with the number of own ones, to 0 at ownEnough.
func (c *classStats) observe(run time.Duration) {
	if c.minRun += c.minRun / sampleWindow; run < c.minRun {
		c.minRun = run
	}
	p := c.learnt
	if p == nil {
		deviation := run - c.meanRun
		c.meanRun += deviation / sampleWindow
		c.meanDev += (deviation.Abs() - c.meanDev) / sampleWindow
		return
	}
	p.observations++
	ownWeight := min(p.observations, sampleWindow)
	deviation := run - p.ownRun
	p.ownRun += time.Duration(float64(deviation) / ownWeight)
	if p.observations > 1 {
		p.ownDev += time.Duration((float64(deviation.Abs()) - float64(p.ownDev)) / ownWeight)
	}
	peerWeight := p.fromPeers.Weight * max(0, 1-p.observations/ownEnough)
	peerShare := peerWeight / (peerWeight + ownWeight)
	c.meanRun = p.ownRun + time.Duration(peerShare*float64(p.fromPeers.Run-p.ownRun))
	c.meanDev = p.ownDev + time.Duration(peerShare*float64(p.fromPeers.Dev-p.ownDev))
	if p.observations >= ownEnough {
		c.learnt = nil
	}
}

// learn adopts observations of other dispatchers, which may be wrong. It uses them only where this dispatcher has none, and only
// so that wrong ones do no more harm than a start without any: they may lower the budget of a worker in its slow start, but
// never raise it. Arrivals and start times could raise it, so they are not adopted.
func (d *Dispatcher) learn(src *Snapshot) {
	for i, c := range d.settings.Classes {
		r, s := src.Classes[c.Name], d.stats[i]
		if s.meanRun == 0 && s.learnt == nil && r.Run > 0 && r.Run <= c.Deadline && r.Dev >= 0 && r.Dev <= c.Deadline && r.Weight > 0 {
			s.meanRun, s.meanDev, s.learnt = r.Run, r.Dev, &learntStats{fromPeers: r}
		}
	}
	for i := range min(len(src.Zones), len(d.zones)) {
		if z := &d.zones[i]; z.startLatency == 0 && src.Zones[i].StartLatency > 0 && src.Zones[i].StartLatency <= initialStartTimeout {
			z.startLatency = src.Zones[i].StartLatency
		}
	}
	for _, w := range d.workers {
		learnt, known := src.Workers[w.Worker]
		if !known || learnt.ListedStart != w.listedStart {
			continue // observations from before or after a restart of the worker
		}
		if learnt.UnhealthyUntil > d.now {
			w.unhealthyUntil = max(w.unhealthyUntil, min(learnt.UnhealthyUntil, d.now+unhealthyFor))
		}
		if d.warmUpFraction(w) < 1 {
			w.tokens = min(w.tokens, max(learnt.Tokens, 0))
		}
	}
}
