package ravendale

import (
	"math"
	"time"
)

const (
	fewDispatchers = 8 // of so many each still sees enough to share out by: see estimateCapacity and rank

	earlyBudget, lateBudget = 0.6, 0.9 // of OverloadMultiple, in the first quarter of the slow start and past it: see hasToken

	rateWindow = 10 * time.Second // the arrival rate is averaged over so long
)

// capacity is what is known of what the workers can do.
type capacity struct {
	peak           int           // the most ready workers seen at once
	allUp          bool          // as many are ready now,
	warmingUntil   time.Duration // and from then on past their slow start
	workerRate     float64       // jobs a second that a worker of mean weight can do, at the least: see estimateCapacity
	warmThroughput float64       // what one did when all were up and warm
	meanWeight     float64       // of the ready workers
	warmingOnTime  float64       // part of the jobs sent to workers in their slow start that started in time, of late
}

// warmUp is the part of its capacity that a worker surely has, if it warms up as slowly as it may: 1 past its slow start.
func (d *Dispatcher) warmUp(w *worker) float64 {
	age := d.now - w.StartedAt
	if w.StartedAt <= 0 || age >= d.settings.SlowStartFor {
		return 1
	}
	return d.settings.SlowStartFrom + (1-d.settings.SlowStartFrom)*max(0, float64(age)/float64(d.settings.SlowStartFor))
}

// hasToken reports whether a worker in its slow start may be sent one job more. Its budget, a token bucket, is shared by all
// dispatchers unseen, so each keeps to its own share of what the worker can do, by listed weight, times its warm-up and a part of
// OverloadMultiple: less while one job is most of a span, unless workers in slow start are seen to start jobs on time; one that
// is more goes to an empty one alone.
func (d *Dispatcher) hasToken(j *job, w *worker) bool {
	fraction := lateBudget
	if d.now-w.StartedAt <= d.settings.SlowStartFor/4 {
		fraction = earlyBudget + (lateBudget-earlyBudget)*d.capacity.warmingOnTime
	}
	rate := d.capacity.workerRate * d.warmUp(w) * d.settings.OverloadMultiple * fraction
	if w.Weight > 0 {
		rate *= w.Weight / d.capacity.meanWeight
	}
	w.tokens = min(1, w.tokens+rate*(d.now-w.refilledAt).Seconds())
	w.refilledAt = d.now
	return w.tokens >= 1 && (w.slots == 0 || j.cost <= rate*float64(d.settings.Dispatchers)*d.settings.OverloadSpan.Seconds())
}

// estimateCapacity works out workerRate at each arrival: a worker's part of what comes here, and more where all are up, warm and
// mostly start jobs at once. Of four slots loaded to 0.6, 0.7, 0.8 and 0.9 by many who don't see one another, jobs wait over a
// quarter of a mean run at 0.19, 0.32, 0.49 and 0.72 (Erlang C): the load was surely less. Few dispatchers, who see their slots,
// have jobs start at once at any load.
func (d *Dispatcher) estimateCapacity() {
	rate := d.arrivalRate() / float64(max(d.capacity.peak, 1))
	if d.capacity.allUp && d.now >= d.capacity.warmingUntil {
		busy := 0.0
		for i := range d.zones {
			busy = max(busy, d.zones[i].busy)
		}
		many := max(0, 1-fewDispatchers/float64(d.settings.Dispatchers))
		updateMean(&d.capacity.warmThroughput, rate/(1-0.2*many*(1-busy)))
	}
	d.capacity.workerRate = max(rate, d.capacity.warmThroughput)
}

// arrivalRate is how many jobs a second come. The average starts from nothing: what it lacks of rateWindow is made up for.
func (d *Dispatcher) arrivalRate() float64 {
	seen := max(d.now-d.arrivals.first, rateWindow/10)
	return d.arrivals.rate / (1 - math.Exp(-float64(seen)/float64(rateWindow)))
}
