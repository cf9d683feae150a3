package ravendale

import (
	"math"
	"math/rand/v2"
	"time"
)

// never is a time that is never reached.
const never = time.Duration(math.MaxInt64)

// Dispatcher makes the decisions of one dispatcher: see the package comment for its usage. It is not safe for concurrent use.
type Dispatcher struct {
	settings    Settings
	random      *rand.Rand
	workers     []*worker // in the order in which they were first listed
	byName      map[string]*worker
	detached    map[string]time.Duration // workers detached by an operator, listed or not, with the time of the detach
	zones       []zone                   // by zone index; the last is for workers of unknown zones
	capacity    capacity
	listRequest listRequest

	jobs          map[JobID]*job
	openJobs      []*job        // oldest first
	slotsInFlight float64       // slots held by this dispatcher's attempts at all workers
	stats         []*classStats // by class
	arrivals      arrivals

	now           time.Duration
	drainDeadline time.Duration // the process exits then: jobs without an answer would get none
	timerAt       time.Duration // when the earliest timer that was set fires
	actions       []Action      // actions for the current event
}

// Handle processes one event at the time now, which must never decrease. It appends the resulting actions to actions, in the
// order in which they must be executed, and returns the extended slice.
func (d *Dispatcher) Handle(now time.Duration, ev *Event, actions []Action) []Action {
	d.now, d.actions = now, actions
	switch ev.Kind {
	case JobArrived:
		d.handleArrival(ev)
	case AttemptEnded:
		d.handleOutcome(ev)
	case JobStarted, JobProgressed, StreamStarted:
		if j := d.jobs[ev.Job]; j != nil && ev.Kind == StreamStarted {
			j.answerBy = never // the client is receiving the answer, so the deadline no longer applies
		}
		d.handleStart(ev)
	case ClientLeft:
		if j := d.jobs[ev.Job]; j != nil {
			d.closeJob(j)
		}
	case TimerFired:
		d.handleTimer()
	case WorkersListed:
		d.handleList(ev)
	case AttemptUnresponsive:
		d.handleUnresponsive(ev)
	case WorkerDetached, WorkerAttached:
		d.setDetached(ev.Worker, ev.Kind == WorkerDetached)
	case SentElsewhere:
		d.slotsInFlight = max(0, d.slotsInFlight+ev.Slots)
		if w := d.byName[ev.Worker]; w != nil {
			w.ownSlots = max(0, w.ownSlots+ev.Slots)
			if d.warmUpFraction(w) < 1 && ev.Slots > 0 {
				w.tokens--
			}
		}
	case Inherited:
		d.inherit(ev.Snapshot)
	case Learnt:
		d.learn(ev.Snapshot)
	case ShuttingDown:
		d.drain(d.now + ev.TimeLeft)
	}
	actions, d.actions = d.actions, nil
	return actions
}

// New returns a Dispatcher, or an error that names the first invalid setting.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		random:        rand.New(rand.NewPCG(seed, 0)),
		drainDeadline: never, timerAt: never, listRequest: listRequest{requestAt: never, retryDelay: listRetryDelay},
		byName: make(map[string]*worker), detached: make(map[string]time.Duration),
		jobs: make(map[JobID]*job), zones: make([]zone, s.Zones+1),
	}
	d.apply(s)
	return d, nil
}

// HasWorker reports whether a worker is listed, or detached by an operator.
func (d *Dispatcher) HasWorker(name string) bool {
	_, detached := d.detached[name]
	return detached || d.byName[name] != nil
}

// WarmingUp reports whether a worker is assumed to be in its slow start at the time now.
func (d *Dispatcher) WarmingUp(name string, now time.Duration) bool {
	w := d.byName[name]
	return w != nil && w.StartedAt > 0 && now-w.StartedAt < d.settings.SlowStartFor
}

// Workers returns how many workers are listed, and how many of these currently get no jobs because they are detached, not
// ready or unhealthy.
func (d *Dispatcher) Workers() (listed, avoided int) {
	for _, w := range d.workers {
		if !w.usable() || w.unhealthyUntil > d.now {
			avoided++
		}
	}
	return len(d.workers), avoided
}
