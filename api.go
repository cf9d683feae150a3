package ravendale

import "time"

// JobID identifies a job. The owner never reuses one.
type JobID uint32

// Availability is the state of a worker according to the list.
type Availability uint8

// States of a worker.
const (
	Removed  Availability = iota // no longer listed
	Ready                        // may be sent jobs
	Draining                     // finishes the jobs that it has and may be sent no new ones
)

// Entry is one worker in a list of workers.
type Entry struct {
	Worker    string
	Zone      int
	Kind      int
	Cell      int
	State     Availability
	Weight    float64       // relative size, 1 if the list gives none
	Slots     int           // jobs that it runs at once, 0 if the list does not say
	StartedAt time.Duration // time of its latest start, 0 if long ago
}

// ListKind says how the entries of a WorkersListed event apply.
type ListKind uint8

// Kinds of lists.
const (
	Delta      ListKind = iota // changed entries only
	Full                       // the whole list
	Cached                     // the last known whole list, possibly outdated
	ListFailed                 // the request failed or the watch broke; no entries
)

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes, and whether the job may have run.
const (
	OK            Outcome = iota
	Error                 // may have run
	Overloaded            // rejected unread: never ran
	TimedOut              // may have run, may still run
	ConnectFailed         // never ran
	Reset                 // may have run
	Cancelled             // may have run
	NotSent               // never ran
	Rejected              // the worker could not use the request; nothing guarantees that the job did not run
)

// Load is a worker's report of its own load. A field that the worker did not report is negative.
type Load struct {
	Given     bool
	InFlight  float64 // jobs that it holds
	FreeSlots float64
	Busy      float64 // fraction of its processors in use
}

// EventKind says what an Event reports, and therefore which of its fields are used.
type EventKind uint8

// Kinds of events, with the fields that they use.
const (
	JobArrived          EventKind = iota // Job, Class, Tenant, Key, TimeLeft, Work, Slots, Memory, Retry, Attempts
	JobStarted                           // Job, Attempt: the worker reported that the job runs (a start note)
	JobProgressed                        // Job, Attempt, Done
	StreamStarted                        // Job, Attempt: the answer streams to the client; the deadline no longer applies
	AttemptEnded                         // Job, Attempt, Outcome, Took, Closed, Load
	ClientLeft                           // Job
	TimerFired                           // nothing else
	WorkersListed                        // List, Entries
	ProbeAnswered                        // Worker, Outcome, Took, Load
	PeerMessage                          // From, Data
	AttemptUnresponsive                  // Job, Attempt: the worker has not even accepted the request, long after it should have
	WorkerDetached                       // Worker: it gets no more jobs, whatever is listed, until WorkerAttached
	WorkerAttached                       // Worker: the list applies to it again, and its slow start begins
	SentElsewhere                        // Worker, Slots: another process of this dispatcher sent a job there; negative: it ended
	Inherited                            // Snapshot: of the process that this one replaces; after the list
	Learnt                               // Snapshot: observations of other dispatchers, used where this one has none; after the list
	ShuttingDown                         // TimeLeft: the process shuts down; all open and new jobs must be answered within this time
)

// Event reports one thing that happened. Class and Tenant are indices into the settings, -1 if unknown.
type Event struct {
	Kind     EventKind
	Job      JobID
	Class    int
	Tenant   int
	Key      uint64
	TimeLeft time.Duration // time until the client gives up this request; a client may retry its job with a new one
	Work     time.Duration // estimated run time of the job on a worker of unit speed, 0 if unknown
	Slots    float64       // slots that the job takes; 0 counts as 1
	Memory   float64
	Retry    bool // the client has sent this job before
	// Attempts were made by the process that this one replaces, if it had the job. Such a job is not new: Retry is set.
	Attempts []AttemptSnapshot
	Attempt  int
	Outcome  Outcome
	Took     time.Duration
	Closed   bool // the job has its final answer
	Done     float64
	Load     Load
	Worker   string
	List     ListKind
	Entries  []Entry
	From     int
	Data     []byte
	Snapshot *Snapshot
}

// ActionKind says what an Action requests, and therefore which of its fields are used.
type ActionKind uint8

// Kinds of actions, with the fields that they use.
const (
	Send        ActionKind = iota // Job, Worker, SendBefore: the attempts of a job are numbered 0, 1, 2 in the order of their Sends
	Cancel                        // Job, Attempt
	Refuse                        // Job, Wait: final answer; the client may safely retry, preferably after Wait
	Fail                          // Job: final answer, without the guarantee that a retry is safe
	SetTimer                      // Wait
	Probe                         // Worker
	WatchList                     // nothing else
	NotifyPeers                   // To (-1 for all), Data
)

// Action is one thing that the owner has to do.
type Action struct {
	Kind    ActionKind
	Job     JobID
	Worker  string
	Attempt int
	Wait    time.Duration
	// SendBefore is the time, on the clock of the events, until which the last byte of the request may be sent, however late
	// its connection is established.
	SendBefore time.Duration
	To         int
	Data       []byte
}
