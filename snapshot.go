package ravendale

import (
	"maps"
	"time"
)

// This file has the state that a Dispatcher passes to the process that replaces it. It makes no decisions. Old and new processes
// run side by side, so each name in JSON stays as in the first version that had it: the golden files in testdata/compat record
// the names.

// AttemptSnapshot is an attempt of a job that another process takes over.
type AttemptSnapshot struct {
	Worker     string
	Zone, Cell int           // of the worker at the time of the send
	SentAt     time.Duration // on the clock of the events, which both processes must share
	InFlight   bool          `json:"Out"` // has no outcome yet
	MayRun     bool          // it may have run, or still may
	Started    bool
}

// Snapshot is the state that a Dispatcher passes to the process that replaces it. Times are on the clock of its events, which
// both processes must share.
type Snapshot struct {
	Detached map[string]time.Duration `json:"Out"` // workers detached by an operator, with the time of the detach
	Arrivals float64                  // jobs a second
	Peak     int                      // largest number of ready workers seen at once
	Classes  map[string]ClassSnapshot
	Workers  map[string]WorkerSnapshot
	Zones    []ZoneSnapshot // by zone index; the last is for workers of unknown zones

	MeanValue      float64 `json:"MeanWorth"`
	JobsSeen       float64
	WarmThroughput float64 `json:"Carried"`    // jobs a second that a worker did when all were ready and warm
	WarmingOnTime  float64 `json:"ColdPrompt"` // fraction of the jobs sent to workers in slow start that started in time
}

// ZoneSnapshot holds the observations of the workers of one zone.
type ZoneSnapshot struct {
	Busy, Queue  float64
	StartLatency time.Duration `json:"Prompt"`
}

// ClassSnapshot holds statistics of the jobs of one class.
type ClassSnapshot struct {
	Run, Dev, Longest time.Duration
	Arrivals          float64 `json:"Came,omitempty"` // number of arrivals
	Weight            float64 `json:",omitempty"`     // how many observations it counts as, if it comes from other dispatchers
}

// WorkerSnapshot holds the observations of one worker.
type WorkerSnapshot struct {
	StartedAt      time.Duration // assumed start
	ListedStart    time.Duration `json:"Told"` // start according to the list
	Tokens         float64       // sends allowed in its slow start
	FilledAt       time.Duration
	UnhealthyUntil time.Duration `json:"SickTill"`
	RejectedAt     time.Duration `json:"TurnedAway"` // when it last rejected a job as overloaded
	Faults, Limit  float64
	Rejections     int     `json:"Fulls,omitempty"` // recent rejections
	Slots          float64 // slots held by attempts of the process that is replaced
}

// Snapshot returns the state for the process that replaces this one.
func (d *Dispatcher) Snapshot() *Snapshot {
	snapshot := &Snapshot{Detached: maps.Clone(d.detached), Arrivals: d.arrivals.rate, Peak: d.capacity.peakReady,
		MeanValue: d.arrivals.meanValue, JobsSeen: d.arrivals.jobs,
		WarmThroughput: d.capacity.warmThroughput, WarmingOnTime: d.capacity.warmingOnTime,
		Classes: make(map[string]ClassSnapshot), Workers: make(map[string]WorkerSnapshot)}
	for i, c := range d.settings.Classes {
		snapshot.Classes[c.Name] = ClassSnapshot{Run: d.stats[i].meanRun, Dev: d.stats[i].meanDev, Longest: d.stats[i].maxTimeLeft, Arrivals: d.stats[i].arrivals}
	}
	for _, z := range d.zones {
		snapshot.Zones = append(snapshot.Zones, ZoneSnapshot{z.busy, z.queue, z.startLatency})
	}
	for _, w := range d.workers {
		snapshot.Workers[w.Worker] = WorkerSnapshot{StartedAt: w.StartedAt, ListedStart: w.listedStart, Tokens: w.tokens, FilledAt: w.refilledAt,
			UnhealthyUntil: w.unhealthyUntil, RejectedAt: w.rejectedAt, Faults: w.faultRate, Limit: w.slotLimit, Rejections: w.rejections, Slots: w.ownSlots}
	}
	return snapshot
}

// inherit adopts the state of the process that this one replaces, for workers that are listed here too.
func (d *Dispatcher) inherit(snapshot *Snapshot) {
	for name, since := range snapshot.Detached {
		d.detached[name] = since
	}
	d.arrivals.rate, d.arrivals.last, d.capacity.peakReady = snapshot.Arrivals, d.now, max(d.capacity.peakReady, snapshot.Peak)
	for i, c := range d.settings.Classes {
		class := snapshot.Classes[c.Name]
		*d.stats[i] = classStats{meanRun: class.Run, meanDev: class.Dev, minRun: pendingRetryInterval, maxTimeLeft: class.Longest, arrivals: class.Arrivals}
	}
	d.arrivals.meanValue, d.arrivals.jobs = snapshot.MeanValue, snapshot.JobsSeen
	d.capacity.warmThroughput, d.capacity.warmingOnTime = snapshot.WarmThroughput, snapshot.WarmingOnTime
	if len(snapshot.Zones) == len(d.zones) {
		for i, z := range snapshot.Zones {
			d.zones[i] = zone{busy: z.Busy, queue: z.Queue, startLatency: z.StartLatency}
		}
	}
	for _, previous := range snapshot.Workers {
		d.slotsInFlight += previous.Slots
	}
	for _, w := range d.workers {
		_, w.detached = d.detached[w.Worker]
		previous, known := snapshot.Workers[w.Worker]
		w.ownSlots += previous.Slots
		if known && previous.ListedStart == w.listedStart {
			w.StartedAt, w.tokens, w.refilledAt = previous.StartedAt, previous.Tokens, previous.FilledAt
			w.unhealthyUntil, w.rejectedAt, w.faultRate, w.slotLimit, w.rejections = previous.UnhealthyUntil, previous.RejectedAt, previous.Faults, previous.Limit, previous.Rejections
		}
	}
	d.pruneRemoved()
}

// Attempts returns the attempts of a job, for the process that takes it over.
func (d *Dispatcher) Attempts(id JobID) (attempts []AttemptSnapshot) {
	j := d.jobs[id]
	if j == nil {
		return nil
	}
	for _, a := range j.attempts {
		attempts = append(attempts, AttemptSnapshot{Worker: a.w.Worker, Zone: a.zone, Cell: a.cell, SentAt: a.sentAt,
			InFlight: a.inFlight && !a.cancelled, MayRun: a.mayRun, Started: a.started})
	}
	return attempts
}

// resumeAttempts adds to a job the attempts that another process made for it.
func (d *Dispatcher) resumeAttempts(j *job, attempts []AttemptSnapshot) {
	for _, previous := range attempts {
		w := d.byName[previous.Worker]
		if w == nil {
			w = new(d.newWorker(previous.Worker, 0)) // no longer listed, and nothing more is sent there
			w.Worker = previous.Worker
		}
		j.attempts = append(j.attempts, attempt{w: w, zone: previous.Zone, cell: previous.Cell, sentAt: previous.SentAt,
			inFlight: previous.InFlight, mayRun: previous.MayRun, started: previous.Started})
		if previous.InFlight {
			j.attemptsInFlight++
			j.activeAttempts++
			w.ownSlots += j.slots
			d.slotsInFlight += j.slots
			j.started = j.started || previous.Started
		}
	}
	j.hedged = len(attempts) > 1
}
