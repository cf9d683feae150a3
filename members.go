package ravendale

import (
	"hash/crc32"
	"math"
	"time"
)

// The first requests for the list are spread over listRequestSpread times the number of dispatchers. Failed requests are
// retried after listRetryDelay, which doubles with each failure.
const listRequestSpread, listRetryDelay = 20 * time.Millisecond, time.Second

// listRequest holds when the list of workers is requested next, if the settings require requests.
type listRequest struct {
	requestAt  time.Duration // time of the next request
	retryDelay time.Duration // delay after the next failure
}

// worker is a listed worker with the observations of it.
type worker struct {
	Entry                                    // StartedAt is the assumed start
	listedStart                time.Duration // StartedAt as listed
	detached                   bool          // by an operator
	ownSlots                   float64       // slots held by this dispatcher's attempts
	tokens                     float64       // sends allowed in its slow start: see hasToken
	refilledAt, unhealthyUntil time.Duration
	faultRate                  float64       // fraction of its recent outcomes that were errors or broken connections
	slotLimit                  float64       // ownSlots when it last rejected a job as overloaded
	rejectedAt                 time.Duration // time of that rejection
	rejections                 int           // recent rejections: see hasCapacity
	freeSlots                  float64       // free slots by its latest report, adjusted for the sends and answers since
	reportedAt                 time.Duration // when freeSlots was last set, by a report or an overdue start
}

// handleList applies an update of the worker list.
func (d *Dispatcher) handleList(ev *Event) {
	if ev.List == ListFailed {
		d.listRequest.requestAt = d.now + time.Duration(float64(d.listRequest.retryDelay)*(0.5+d.random.Float64()))
		d.listRequest.retryDelay = min(2*d.listRequest.retryDelay, max(d.settings.AskWithin/4, listRetryDelay))
		d.scheduleTimer(d.listRequest.requestAt)
		return
	}
	if ev.List != Delta {
		for _, w := range d.workers {
			w.State = Removed
		}
	}
	for i := range ev.Entries {
		d.updateEntry(&ev.Entries[i])
	}
	d.pruneRemoved()
	switch {
	case !d.settings.MustAsk:
	case ev.List == Cached:
		d.listRequest.requestAt = d.now + time.Duration(d.random.Float64()*float64(d.settings.Dispatchers)*float64(listRequestSpread))
		d.scheduleTimer(d.listRequest.requestAt)
	default:
		d.listRequest.requestAt, d.listRequest.retryDelay = never, listRetryDelay
	}
	d.dispatchPending()
}

// updateEntry applies one entry of the list. A worker that has restarted loses all observations.
func (d *Dispatcher) updateEntry(e *Entry) {
	w := d.byName[e.Worker]
	if w == nil {
		if e.State == Removed {
			return
		}
		w = new(d.newWorker(e.Worker, 0))
		if e.Slots > 0 { // all dispatchers would send to it at once: start as if it had rejected a job beyond our share of its slots
			w.slotLimit, w.rejectedAt = max(1, float64(e.Slots)/float64(d.settings.Dispatchers)), d.now
		}
		d.byName[e.Worker] = w
		d.workers = append(d.workers, w)
	}
	startedAt := e.StartedAt
	switch {
	case startedAt == w.listedStart:
		startedAt = w.StartedAt // unchanged: keep the assumed start
	case startedAt > w.StartedAt:
		*w = d.newWorker(e.Worker, w.ownSlots)
	}
	w.Entry, w.listedStart = *e, e.StartedAt
	w.StartedAt = startedAt
	_, w.detached = d.detached[e.Worker]
}

// setDetached takes a worker out of service or puts it back. A worker that comes back is assumed to have been restarted, and
// loses all observations. Until a list says when it started, that is assumed to be now, since a worker that is wrongly
// assumed to be warm gets overloaded. It may be sent one job immediately.
func (d *Dispatcher) setDetached(name string, detached bool) {
	detachedSince, wasDetached := d.detached[name]
	w := d.byName[name]
	switch {
	case detached && !wasDetached:
		d.detached[name] = d.now
	case !detached:
		delete(d.detached, name)
	}
	if w == nil || detached == wasDetached {
		return
	}
	if !detached {
		e, listedStart := w.Entry, w.listedStart
		*w = d.newWorker(e.Worker, w.ownSlots)
		w.Entry, w.listedStart, w.tokens = e, listedStart, 1
		if w.StartedAt = listedStart; listedStart < detachedSince {
			w.StartedAt = d.now
		}
	}
	w.detached = detached
	d.pruneRemoved()
	d.dispatchPending()
}

// usable reports whether a worker may be sent jobs according to the list and the operators.
func (w *worker) usable() bool { return w.State == Ready && !w.detached }

// newWorker returns a worker without observations. The fraction of a token that it begins with differs between dispatchers and
// between workers: this spreads the first sends of all dispatchers to one worker, and of one dispatcher to all workers.
func (d *Dispatcher) newWorker(name string, slots float64) worker {
	dispatcherPhase := (float64(d.settings.Me) + d.random.Float64()) / float64(d.settings.Dispatchers)
	_, phase := math.Modf(dispatcherPhase + float64(crc32.ChecksumIEEE([]byte(name)))/math.MaxUint32)
	expired := d.now - rejectionTTL
	return worker{ownSlots: slots, tokens: phase, refilledAt: d.now, rejectedAt: expired, reportedAt: expired}
}

// pruneRemoved drops the workers that were removed from the list, and updates the counts of the usable ones.
func (d *Dispatcher) pruneRemoved() {
	remaining, ready, usable, weight := d.workers[:0], 0, 0, 0.0
	for _, w := range d.workers {
		if w.State == Removed {
			delete(d.byName, w.Worker)
			continue
		}
		if w.usable() {
			if d.capacity.peakReady == 0 || d.warmUpFraction(w) == 1 {
				ready++ // not those in slow start: replacements listed before the old workers leave would count twice
			} else {
				d.capacity.warmingUntil = max(d.capacity.warmingUntil, w.StartedAt+d.settings.SlowStartFor)
			}
			usable++
			weight += w.Weight
		}
		remaining = append(remaining, w)
	}
	clear(d.workers[len(remaining):])
	d.workers = remaining
	d.capacity.peakReady = max(d.capacity.peakReady, ready)
	d.capacity.allReady = usable == d.capacity.peakReady
	d.capacity.meanWeight = weight / float64(max(usable, 1))
}
