package ravendale

import (
	"maps"
	"time"
)

// What a Dispatcher hands to the process that takes its place. Nothing in this file decides anything. Old and new processes run
// side by side, so the names in JSON are those of the first version that had them: the golden files in testdata/compat hold
// them.

// AttemptSnapshot is an attempt of a job that another process goes on with.
type AttemptSnapshot struct {
	Worker     string
	Zone, Cell int           // its worker's at the time of the send
	SentAt     time.Duration // on the clock of the events, which the two processes share
	InFlight   bool          `json:"Out"` // without an outcome
	MayRun     bool          // it may have run, or still may
	Started    bool
}

// Snapshot is what a dispatcher hands to the process that takes its place. Times are on the clock of its events, which
// the two must share.
type Snapshot struct {
	Detached map[string]time.Duration `json:"Out"` // workers detached by an operator, since when
	Arrivals float64                  // jobs a second
	Peak     int                      // the most ready workers seen at once
	Classes  map[string]ClassSnapshot
	Workers  map[string]WorkerSnapshot
	Zones    []ZoneSnapshot // by number; the last is for workers of no known zone

	MeanValue      float64 `json:"MeanWorth"`
	JobsSeen       float64
	WarmThroughput float64 `json:"Carried"`    // jobs a second that a worker did when all were up and warm
	WarmingOnTime  float64 `json:"ColdPrompt"` // part of the jobs sent to workers in slow start that started in time
}

// ZoneSnapshot is what was seen of the workers of one zone.
type ZoneSnapshot struct {
	Busy, Queue  float64
	StartLatency time.Duration `json:"Prompt"`
}

// ClassSnapshot is what was seen of the jobs of one class.
type ClassSnapshot struct {
	Run, Dev, Longest time.Duration
	Arrivals          float64 `json:"Came,omitempty"` // so many jobs
	Weight            float64 `json:",omitempty"`     // of what is learnt from others: how many observations it counts as
}

// WorkerSnapshot is what was seen of one worker.
type WorkerSnapshot struct {
	StartedAt      time.Duration // what its start is taken for,
	ListedStart    time.Duration `json:"Told"` // and what the list said
	Tokens         float64       // sends allowed in its slow start
	FilledAt       time.Duration
	UnhealthyUntil time.Duration `json:"SickTill"`
	RejectedAt     time.Duration `json:"TurnedAway"` // when it last answered that it is overloaded
	Faults, Limit  float64
	Rejections     int     `json:"Fulls,omitempty"` // such answers of late
	Slots          float64 // in flight from the process before
}

// Snapshot returns what the process after this one is to know.
func (d *Dispatcher) Snapshot() *Snapshot {
	m := &Snapshot{Detached: maps.Clone(d.detached), Arrivals: d.arrivals.rate, Peak: d.capacity.peak,
		MeanValue: d.arrivals.meanValue, JobsSeen: d.arrivals.jobs,
		WarmThroughput: d.capacity.warmThroughput, WarmingOnTime: d.capacity.warmingOnTime,
		Classes: make(map[string]ClassSnapshot), Workers: make(map[string]WorkerSnapshot)}
	for i, c := range d.settings.Classes {
		m.Classes[c.Name] = ClassSnapshot{Run: d.stats[i].run, Dev: d.stats[i].dev, Longest: d.stats[i].longest, Arrivals: d.stats[i].arrivals}
	}
	for _, z := range d.zones {
		m.Zones = append(m.Zones, ZoneSnapshot{z.busy, z.queue, z.startLatency})
	}
	for _, w := range d.workers {
		m.Workers[w.Worker] = WorkerSnapshot{StartedAt: w.StartedAt, ListedStart: w.listedStart, Tokens: w.tokens, FilledAt: w.refilledAt,
			UnhealthyUntil: w.unhealthyUntil, RejectedAt: w.rejectedAt, Faults: w.faults, Limit: w.limit, Rejections: w.rejections, Slots: w.slots}
	}
	return m
}

// inherit takes what the process before this one knew of the workers that are listed here too.
func (d *Dispatcher) inherit(m *Snapshot) {
	for name, since := range m.Detached {
		d.detached[name] = since
	}
	d.arrivals.rate, d.arrivals.last, d.capacity.peak = m.Arrivals, d.now, max(d.capacity.peak, m.Peak)
	for i, c := range d.settings.Classes {
		r := m.Classes[c.Name]
		*d.stats[i] = classStats{run: r.Run, dev: r.Dev, least: pendingRetry, longest: r.Longest, arrivals: r.Arrivals}
	}
	d.arrivals.meanValue, d.arrivals.jobs = m.MeanValue, m.JobsSeen
	d.capacity.warmThroughput, d.capacity.warmingOnTime = m.WarmThroughput, m.WarmingOnTime
	if len(m.Zones) == len(d.zones) {
		for i, z := range m.Zones {
			d.zones[i] = zone{busy: z.Busy, queue: z.Queue, startLatency: z.StartLatency}
		}
	}
	for _, was := range m.Workers {
		d.slots += was.Slots
	}
	for _, w := range d.workers {
		_, w.detached = d.detached[w.Worker]
		was, known := m.Workers[w.Worker]
		w.slots += was.Slots
		if known && was.ListedStart == w.listedStart {
			w.StartedAt, w.tokens, w.refilledAt = was.StartedAt, was.Tokens, was.FilledAt
			w.unhealthyUntil, w.rejectedAt, w.faults, w.limit, w.rejections = was.UnhealthyUntil, was.RejectedAt, was.Faults, was.Limit, was.Rejections
		}
	}
	d.pruneRemoved()
}

// Attempts returns the attempts of a job, for the process that goes on with it.
func (d *Dispatcher) Attempts(id JobID) (all []AttemptSnapshot) {
	j := d.jobs[id]
	if j == nil {
		return nil
	}
	for _, a := range j.attempts {
		all = append(all, AttemptSnapshot{Worker: a.w.Worker, Zone: a.zone, Cell: a.cell, SentAt: a.sentAt,
			InFlight: a.inFlight && !a.cancelled, MayRun: a.mayRun, Started: a.started})
	}
	return all
}

// resumeAttempts gives a job the attempts that another process made for it.
func (d *Dispatcher) resumeAttempts(j *job, attempts []AttemptSnapshot) {
	for _, was := range attempts {
		w := d.byName[was.Worker]
		if w == nil {
			w = new(d.newWorker(was.Worker, 0)) // it has gone, and nothing more is sent there
			w.Worker = was.Worker
		}
		j.attempts = append(j.attempts, attempt{w: w, zone: was.Zone, cell: was.Cell, sentAt: was.SentAt,
			inFlight: was.InFlight, mayRun: was.MayRun, started: was.Started})
		if was.InFlight {
			j.inFlight++
			j.active++
			w.slots += j.slots
			d.slots += j.slots
			j.started = j.started || was.Started
		}
	}
	j.hedged = len(attempts) > 1
}
