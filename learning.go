package ravendale

import "time"

// ownEnough is how many own observations of a class leave what others saw of it no weight.
const ownEnough = 50

// prior is what others saw of a class, and beside it what was seen here.
type prior struct {
	learnt   ClassSnapshot
	run, dev time.Duration
	observed float64
}

// observe takes how long a job ran. What was learnt counts as so many observations, less as own ones come, at ownEnough nothing.
func (c *classStats) observe(run time.Duration) {
	if c.least += c.least / sampleWindow; run < c.least {
		c.least = run
	}
	p := c.prior
	if p == nil {
		off := run - c.run
		c.run += off / sampleWindow
		c.dev += (off.Abs() - c.dev) / sampleWindow
		return
	}
	p.observed++
	kept := min(p.observed, sampleWindow)
	off := run - p.run
	p.run += time.Duration(float64(off) / kept)
	if p.observed > 1 {
		p.dev += time.Duration((float64(off.Abs()) - float64(p.dev)) / kept)
	}
	left := p.learnt.Weight * max(0, 1-p.observed/ownEnough)
	weight := left / (left + kept)
	c.run = p.run + time.Duration(weight*float64(p.learnt.Run-p.run))
	c.dev = p.dev + time.Duration(weight*float64(p.learnt.Dev-p.dev))
	if p.observed >= ownEnough {
		c.prior = nil
	}
}

// learn takes what other dispatchers know, of whatever truth: where nothing was seen here, and so that it does no more harm
// than a blind start. It may lower the budget of a worker in its slow start, never raise it; arrivals and starts, which would,
// are not learnt.
func (d *Dispatcher) learn(m *Snapshot) {
	for i, c := range d.settings.Classes {
		r, s := m.Classes[c.Name], d.stats[i]
		if s.run == 0 && s.prior == nil && r.Run > 0 && r.Run <= c.Deadline && r.Dev >= 0 && r.Dev <= c.Deadline && r.Weight > 0 {
			s.run, s.dev, s.prior = r.Run, r.Dev, &prior{learnt: r}
		}
	}
	for i := range min(len(m.Zones), len(d.zones)) {
		if z := &d.zones[i]; z.startLatency == 0 && m.Zones[i].StartLatency > 0 && m.Zones[i].StartLatency <= initialStartTimeout {
			z.startLatency = m.Zones[i].StartLatency
		}
	}
	for _, w := range d.workers {
		was, known := m.Workers[w.Worker]
		if !known || was.ListedStart != w.listedStart {
			continue // another start: nothing that was seen of that one holds
		}
		if was.UnhealthyUntil > d.now {
			w.unhealthyUntil = max(w.unhealthyUntil, min(was.UnhealthyUntil, d.now+unhealthyFor))
		}
		if d.warmUp(w) < 1 {
			w.tokens = min(w.tokens, max(was.Tokens, 0))
		}
	}
}
