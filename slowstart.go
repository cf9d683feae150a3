package ravendale

import (
	"math"
	"time"
)

const (
	fewDispatchers = 8 // up to this many, each one sees enough jobs to distribute its own: see estimateCapacity and rank

	earlyBudget, lateBudget = 0.6, 0.9 // of OverloadMultiple, in the first quarter of the slow start and after it: see hasToken

	rateWindow = 10 * time.Second // the arrival rate is averaged over this time
)

// capacity holds what is known about the capacity of the workers.
type capacity struct {
	peakReady      int           // largest number of ready workers seen at once
	allReady       bool          // whether that many are ready now,
	warmingUntil   time.Duration // and when all of these are past their slow start
	workerRate     float64       // jobs a second that a worker of mean weight can do at least: see estimateCapacity
	warmThroughput float64       // jobs a second that a worker did when all were ready and warm
	meanWeight     float64       // mean weight of the ready workers
	warmingOnTime  float64       // fraction of recent jobs sent to workers in their slow start that started in time
}

// warmUpFraction returns the fraction of its capacity that a worker has at least, if it warms up as slowly as the settings
// allow: 1 after its slow start.
func (d *Dispatcher) warmUpFraction(w *worker) float64 {
	age := d.now - w.StartedAt
	if w.StartedAt <= 0 || age >= d.settings.SlowStartFor {
		return 1
	}
	return d.settings.SlowStartFrom + (1-d.settings.SlowStartFrom)*max(0, float64(age)/float64(d.settings.SlowStartFor))
}

// hasToken reports whether a worker in its slow start may be sent one more job. Its budget is a token bucket. Dispatchers don't
// see one another's sends, so each keeps to its own share of what the worker can do by its listed weight, times its
// warmUpFraction and a fraction of OverloadMultiple. The fraction is lower early in the slow start, when one job is most of what
// may be sent in an OverloadSpan, unless workers in slow start are observed to start jobs on time. A job that costs more than
// all dispatchers together may send in an OverloadSpan is sent only to a worker without jobs of this dispatcher.
func (d *Dispatcher) hasToken(j *job, w *worker) bool {
	fraction := lateBudget
	if d.now-w.StartedAt <= d.settings.SlowStartFor/4 {
		fraction = earlyBudget + (lateBudget-earlyBudget)*d.capacity.warmingOnTime
	}
	rate := d.capacity.workerRate * d.warmUpFraction(w) * d.settings.OverloadMultiple * fraction
	if w.Weight > 0 {
		rate *= w.Weight / d.capacity.meanWeight
	}
	w.tokens = min(1, w.tokens+rate*(d.now-w.refilledAt).Seconds())
	w.refilledAt = d.now
	return w.tokens >= 1 && (w.ownSlots == 0 || j.cost <= rate*float64(d.settings.Dispatchers)*d.settings.OverloadSpan.Seconds())
}

// estimateCapacity updates workerRate at each arrival. It is a worker's share of the jobs that arrive here, and more if all
// workers are ready, warm and mostly start jobs at once. If many dispatchers that don't see one another's jobs load a worker of
// four slots to 0.6, 0.7, 0.8 and 0.9, the fraction of jobs that wait longer than a quarter of a mean run is 0.19, 0.32, 0.49 and
// 0.72 (Erlang C). If fewer wait, the load was lower and the workers can do more. This does not hold for few dispatchers: each
// knows most of the slots in use, so that jobs start at once at any load.
func (d *Dispatcher) estimateCapacity() {
	rate := d.arrivalRate() / float64(max(d.capacity.peakReady, 1))
	if d.capacity.allReady && d.now >= d.capacity.warmingUntil {
		busy := 0.0
		for i := range d.zones {
			busy = max(busy, d.zones[i].busy)
		}
		manyDispatchers := max(0, 1-fewDispatchers/float64(d.settings.Dispatchers))
		updateMean(&d.capacity.warmThroughput, rate/(1-0.2*manyDispatchers*(1-busy)))
	}
	d.capacity.workerRate = max(rate, d.capacity.warmThroughput)
}

// arrivalRate returns the number of jobs that arrive per second. The average starts at 0 and is corrected for the part of
// rateWindow that has not been observed yet.
func (d *Dispatcher) arrivalRate() float64 {
	seen := max(d.now-d.arrivals.first, rateWindow/10)
	return d.arrivals.rate / (1 - math.Exp(-float64(seen)/float64(rateWindow)))
}
