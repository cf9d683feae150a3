package ravendale

import "time"

// JobID names a job. The owner never uses one twice.
type JobID uint32

// Availability is a worker's state by the list.
type Availability uint8

// States of a worker.
const (
	Removed  Availability = iota // it is no longer listed
	Ready                        // jobs may go to it
	Draining                     // it finishes what it has, and nothing new may go to it
)

// Entry is one worker in a list.
type Entry struct {
	Worker    string
	Zone      int
	Kind      int
	Cell      int
	State     Availability
	Weight    float64       // comparable size, 1 where the list gives none
	Slots     int           // jobs that it runs at once, 0 where the list does not say
	StartedAt time.Duration // time of its latest start, 0 if long past
}

// ListKind says how the entries of a WorkersListed event apply.
type ListKind uint8

// Kinds of lists.
const (
	Delta  ListKind = iota // changed entries only
	Full                   // the whole list
	Cached                 // the whole list as last held, maybe outdated
	Failed                 // the call failed or the watch broke; no entries
)

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes, and whether the job may have run.
const (
	OK            Outcome = iota
	Error                 // may have run
	Overloaded            // rejected unseen: never ran
	TimedOut              // may have run, may still run
	ConnectFailed         // never ran
	Reset                 // may have run
	Cancelled             // may have run
	NotSent               // never ran
	Rejected              // the worker could not use the request; nothing promises that it did not run
)

// Load is a worker's report of itself; a field it did not give is negative.
type Load struct {
	Given     bool
	InFlight  float64 // jobs it holds
	FreeSlots float64
	Busy      float64 // part of its processors in use
}

// EventKind tells what an Event reports, and so which of its fields count.
type EventKind uint8

// Kinds of events, with the fields that count.
const (
	JobArrived          EventKind = iota // Job, Class, Tenant, Key, Left, Work, Slots, Memory, Retry, Attempts
	JobStarted                           // Job, Attempt
	JobProgressed                        // Job, Attempt, Done
	StreamBegan                          // Job, Attempt: the answer has begun, no deadline binds it any more
	AttemptEnded                         // Job, Attempt, Outcome, Took, Closed, Load
	ClientLeft                           // Job
	TimerFired                           // nothing else
	WorkersListed                        // List, Entries
	ProbeAnswered                        // Worker, Outcome, Took, Load
	PeerMessage                          // From, Data
	AttemptUnresponsive                  // Job, Attempt: the worker has not even taken it, long after it should have
	WorkerDetached                       // Worker: nothing more may go there, whatever is listed, until it is back
	WorkerAttached                       // Worker: the list counts again, and its slow start begins
	SentElsewhere                        // Worker, Slots: another process of this dispatcher sent a job there; below 0: it ended
	Inherited                            // Snapshot: of the process before this one, after its list
	Learnt                               // Snapshot: what others know, after the list; it counts where nothing was seen here
	Leaving                              // Left: all that is open, or comes yet, is to be answered within it
)

// Event is one thing that happened. Class and Tenant are indices into the settings, -1 if unknown.
type Event struct {
	Kind   EventKind
	Job    JobID
	Class  int
	Tenant int
	Key    uint64
	Left   time.Duration // until the client gives this attempt of its own up
	Work   time.Duration // hint of the job's work at unit speed, 0 if none
	Slots  float64       // 0 counts as 1
	Memory float64
	Retry  bool
	// Attempts are those of the process before this one, which had the job. Such a job is not new: Retry is set.
	Attempts []AttemptSnapshot
	Attempt  int
	Outcome  Outcome
	Took     time.Duration
	Closed   bool // the job has had its final answer
	Done     float64
	Load     Load
	Worker   string
	List     ListKind
	Entries  []Entry
	From     int
	Data     []byte
	Snapshot *Snapshot
}

// ActionKind tells what an Action asks for, and so which of its fields count.
type ActionKind uint8

// Kinds of actions, with the fields that count.
const (
	Send        ActionKind = iota // Job, Worker, By: attempts count 0, 1, 2 in the order of their sends
	Cancel                        // Job, Attempt
	Refuse                        // Job, Wait: final; a retry can do no harm, best after Wait
	Fail                          // Job: final, without that promise
	SetTimer                      // Wait
	Probe                         // Worker
	WatchList                     // nothing else
	NotifyPeers                   // To (-1 for all), Data
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Job     JobID
	Worker  string
	Attempt int
	Wait    time.Duration
	By      time.Duration // on the clock of the events: the send's last byte may go until then, whenever a connection is there
	To      int
	Data    []byte
}
