package ravendale

import (
	"math"
	"math/rand/v2"
	"time"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// Dispatcher decides for one dispatcher: see the package comment for how to drive it. It is not safe for concurrent use.
type Dispatcher struct {
	settings Settings
	random   *rand.Rand
	workers  []*worker // in the order in which they were first listed
	byName   map[string]*worker
	detached map[string]time.Duration // by an operator, listed or not: since when
	zones    []zone                   // by number; the last is for workers of no known zone
	capacity capacity
	watch    watch

	jobs     map[JobID]*job
	open     []*job        // oldest first
	slots    float64       // of all workers, held by attempts of ours in flight
	stats    []*classStats // by class
	arrivals arrivals

	now     time.Duration
	leaveAt time.Duration // what is unanswered by then is lost with this process
	wakeAt  time.Duration // when our earliest timer fires
	acts    []Action      // of the event in hand
}

// Handle takes one event at the time now, which never goes back, and appends to acts what is to be done, in order.
func (d *Dispatcher) Handle(now time.Duration, ev *Event, acts []Action) []Action {
	d.now, d.acts = now, acts
	switch ev.Kind {
	case JobArrived:
		d.onArrival(ev)
	case AttemptEnded:
		d.onOutcome(ev)
	case JobStarted, JobProgressed, StreamBegan:
		if j := d.jobs[ev.Job]; j != nil && ev.Kind == StreamBegan {
			j.answerBy = never // the attempt is the client's now, and no deadline binds it
		}
		d.onStart(ev)
	case ClientLeft:
		if j := d.jobs[ev.Job]; j != nil {
			d.close(j)
		}
	case TimerFired:
		d.onTimer()
	case WorkersListed:
		d.onList(ev)
	case AttemptUnresponsive:
		d.onUnresponsive(ev)
	case WorkerDetached, WorkerAttached:
		d.setDetached(ev.Worker, ev.Kind == WorkerDetached)
	case SentElsewhere:
		d.slots = max(0, d.slots+ev.Slots)
		if w := d.byName[ev.Worker]; w != nil {
			w.slots = max(0, w.slots+ev.Slots)
			if d.warmUp(w) < 1 && ev.Slots > 0 {
				w.tokens--
			}
		}
	case Inherited:
		d.inherit(ev.Snapshot)
	case Learnt:
		d.learn(ev.Snapshot)
	case Leaving:
		d.drain(d.now + ev.Left)
	}
	acts, d.acts = d.acts, nil
	return acts
}

// New returns a Dispatcher, or an error that names the setting that makes no sense.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		random:  rand.New(rand.NewPCG(seed, 0)),
		leaveAt: never, wakeAt: never, watch: watch{askAt: never, askAfter: askRetry},
		byName: make(map[string]*worker), detached: make(map[string]time.Duration),
		jobs: make(map[JobID]*job), zones: make([]zone, s.Zones+1),
	}
	d.apply(s)
	return d, nil
}

// Knows reports whether a worker is listed, or detached by an operator.
func (d *Dispatcher) Knows(name string) bool {
	_, detached := d.detached[name]
	return detached || d.byName[name] != nil
}

// WarmingUp reports whether a worker is taken to be in its slow start at a time.
func (d *Dispatcher) WarmingUp(name string, now time.Duration) bool {
	w := d.byName[name]
	return w != nil && w.StartedAt > 0 && now-w.StartedAt < d.settings.SlowStartFor
}

// Workers counts those listed, and those of them that get no jobs now: detached, not ready or unhealthy.
func (d *Dispatcher) Workers() (listed, avoided int) {
	for _, w := range d.workers {
		if !w.usable() || w.unhealthyUntil > d.now {
			avoided++
		}
	}
	return len(d.workers), avoided
}
