package ravendale

import (
	"hash/crc32"
	"math"
	"time"
)

// First calls to the list are spread over askSpread for each dispatcher, and retried after askRetry, which doubles.
const askSpread, askRetry = 20 * time.Millisecond, time.Second

// watch is when the list of workers is asked for, if settings want that.
type watch struct {
	askAt    time.Duration // the next time
	askAfter time.Duration // the delay after the next failure
}

// worker is one that is listed, and what was seen of it.
type worker struct {
	Entry                                    // StartedAt as it is taken to be
	listedStart                time.Duration // StartedAt as listed
	detached                   bool          // by an operator
	slots                      float64       // our slots in flight
	tokens                     float64       // sends allowed in its slow start: see hasToken
	refilledAt, unhealthyUntil time.Duration
	faults                     float64       // part of its outcomes, of late, that were errors or breaks
	limit                      float64       // our slots there when it last rejected a job as overloaded
	rejectedAt                 time.Duration // when that was
	rejections                 int           // such answers of late: see hasCapacity
	free                       float64       // slots that it reported free, less what we sent since
	reportedAt                 time.Duration // when free was last set
}

// onList follows the worker list.
func (d *Dispatcher) onList(ev *Event) {
	if ev.List == Failed {
		d.watch.askAt = d.now + time.Duration(float64(d.watch.askAfter)*(0.5+d.random.Float64()))
		d.watch.askAfter = min(2*d.watch.askAfter, max(d.settings.AskWithin/4, askRetry))
		d.wake(d.watch.askAt)
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
		d.watch.askAt = d.now + time.Duration(d.random.Float64()*float64(d.settings.Dispatchers)*float64(askSpread))
		d.wake(d.watch.askAt)
	default:
		d.watch.askAt, d.watch.askAfter = never, askRetry
	}
	d.dispatchPending()
}

// updateEntry takes one entry of the list. A worker that started anew since is one of which nothing is known.
func (d *Dispatcher) updateEntry(e *Entry) {
	w := d.byName[e.Worker]
	if w == nil {
		if e.State == Removed {
			return
		}
		w = new(d.newWorker(e.Worker, 0))
		if e.Slots > 0 { // all who learn of it would come at once: it is as if it had held our share and rejected one more
			w.limit, w.rejectedAt = max(1, float64(e.Slots)/float64(d.settings.Dispatchers)), d.now
		}
		d.byName[e.Worker] = w
		d.workers = append(d.workers, w)
	}
	at := e.StartedAt
	switch {
	case at == w.listedStart:
		at = w.StartedAt // not new: what it was taken to be stands
	case at > w.StartedAt:
		*w = d.newWorker(e.Worker, w.slots)
	}
	w.Entry, w.listedStart = *e, e.StartedAt
	w.StartedAt = at
	_, w.detached = d.detached[e.Worker]
}

// setDetached takes a worker out of service, or puts it back. It was restarted meanwhile, and nothing seen before counts. Until a
// list tells when that was, it was now: one taken for warm is overloaded. It gets one job at once.
func (d *Dispatcher) setDetached(name string, detached bool) {
	since, was := d.detached[name]
	w := d.byName[name]
	switch {
	case detached && !was:
		d.detached[name] = d.now
	case !detached:
		delete(d.detached, name)
	}
	if w == nil || detached == was {
		return
	}
	if !detached {
		e, listedStart := w.Entry, w.listedStart
		*w = d.newWorker(e.Worker, w.slots)
		w.Entry, w.listedStart, w.tokens = e, listedStart, 1
		if w.StartedAt = listedStart; listedStart < since {
			w.StartedAt = d.now
		}
	}
	w.detached = detached
	d.pruneRemoved()
	d.dispatchPending()
}

// usable reports whether jobs may go to a worker, by the list and by operators.
func (w *worker) usable() bool { return w.State == Ready && !w.detached }

// newWorker is a worker of which nothing is known but our slots. The part of a token that it begins with is another at each
// dispatcher and for each worker: so their sends come evenly, and not many at once, or one dispatcher's all together.
func (d *Dispatcher) newWorker(name string, slots float64) worker {
	dispatcher := (float64(d.settings.Me) + d.random.Float64()) / float64(d.settings.Dispatchers)
	_, phase := math.Modf(dispatcher + float64(crc32.ChecksumIEEE([]byte(name)))/math.MaxUint32)
	long := d.now - rejectionTTL
	return worker{slots: slots, tokens: phase, refilledAt: d.now, rejectedAt: long, reportedAt: long}
}

// pruneRemoved drops workers that were removed from the list, and counts the ready ones.
func (d *Dispatcher) pruneRemoved() {
	kept, ready, all, weight := d.workers[:0], 0, 0, 0.0
	for _, w := range d.workers {
		if w.State == Removed {
			delete(d.byName, w.Worker)
			continue
		}
		if w.usable() {
			if d.capacity.peak == 0 || d.warmUp(w) == 1 {
				ready++ // successors that come before the old ones go would count twice
			} else {
				d.capacity.warmingUntil = max(d.capacity.warmingUntil, w.StartedAt+d.settings.SlowStartFor)
			}
			all++
			weight += w.Weight
		}
		kept = append(kept, w)
	}
	clear(d.workers[len(kept):])
	d.workers = kept
	d.capacity.peak = max(d.capacity.peak, ready)
	d.capacity.allUp = all == d.capacity.peak
	d.capacity.meanWeight = weight / float64(max(all, 1))
}
