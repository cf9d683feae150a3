// Package ravendale decides for a dispatcher that pushes jobs to workers.
//
// A Dispatcher is a pure state machine. The owner hands it the time and an
// Event; it appends the Actions that the owner is to carry out, in order. It
// reads no clock, starts no goroutine and does no I/O, and equal events with
// an equal seed give equal actions. Every decision is in the files that deploy/balancer.toml names under policy; this
// file is the interface and nothing else.
package ravendale

import "time"

// JobID names a job. The owner never uses one twice.
type JobID uint32

// Effect says what a second run of a job does.
type Effect uint8

// The effects of a second run.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // the workers of one Group discard repeats inside Class.Window
	Unsafe               // must never run twice
)

// Group says which workers discard each other's repeats of a Keyed job.
type Group uint8

// The groups.
const (
	GroupAll  Group = iota // all workers
	GroupZone              // those of one zone
	GroupCell              // those of one cell
)

// Class describes a kind of job.
type Class struct {
	Name      string
	Effect    Effect
	Group     Group
	Window    time.Duration // how long repeats are discarded, from the first send that may have run
	Aim       time.Duration // an answer within Aim + Stretch x the job's work earns full worth
	Stretch   float64
	Deadline  time.Duration // what a client waits in all
	Worth     float64
	LateWorth float64 // part of Worth earned between aim and deadline
	Kind      int     // the machine kind it needs, -1 for any
	Priority  int
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // jobs a second over all dispatchers; 0 if unknown
}

// Prices are fractions of the result, each for one unit a job.
type Prices struct {
	CrossZone, Waste, Connection, Handshake, Probe, Peer, LateFail float64
}

// Settings is all that a dispatcher is told at its start.
type Settings struct {
	Dispatchers int // how many there are; Me is this one's number
	Me          int
	Zones       int // how many zones there are; Zone is this dispatcher's own, -1 if unknown
	Zone        int
	Classes     []Class
	Tenants     []Tenant
	Prices      Prices

	WorthByJob     bool    // a job is worth the same however long it runs
	OverShareWorth float64 // what a job beyond its tenant's share is worth, of its class's worth

	MaxAttempts int  // for one job
	MayCopy     bool // two attempts of a job may be out at once
	MayCancel   bool
	MayProbe    bool
	MayTell     bool // messages to other dispatchers are allowed

	RetryAfter    bool // clients are told when to come back
	MaxRetryAfter time.Duration

	MustAsk   bool          // the worker list comes only when asked for
	AskWithin time.Duration // a dispatcher that has not asked for so long counts as informed

	LiveWeights bool // listed weights fall with the jobs that a worker holds, whoever sent them

	AnswerSlack  time.Duration // a final answer may be so late
	DrainGrace   time.Duration
	ColdFrom     float64 // a fresh worker starts at this part of its capacity or above,
	ColdFor      time.Duration
	FallMultiple float64 // and falls if sent more than this multiple of what it can do
	FallSpan     time.Duration

	TellsStart bool // workers tell when a job starts
	// WrittenCount: an attempt counts against MaxAttempts once its request may have reached the worker, so one whose
	// connection never came up is none. So the platform's protocol counts on sockets; the simulator counts every send.
	WrittenCount bool
	Progress     time.Duration // interval of progress notes, 0 for none
	ReportsIn    ReportMode
	Tick         time.Duration // events are delivered this coarsely
}

// ReportMode says where load reports come from.
type ReportMode uint8

// The modes of load reports.
const (
	NoReports        ReportMode = iota // none come
	ReportsInAnswers                   // with the answer to each attempt
	ReportsInProbes                    // with the answer to each probe
)

// Availability is a worker's state by the list.
type Availability uint8

// The states of a worker.
const (
	Gone     Availability = iota // not in the list any more
	Ready                        // takes new jobs
	Draining                     // finishes what it has, and takes no new jobs
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

// ListKind says how the entries of a WorkerList event apply.
type ListKind uint8

// The kinds of list.
const (
	Delta  ListKind = iota // changed entries only
	Full                   // the whole list
	Cached                 // the whole list as last held, maybe outdated
	Failed                 // the call failed or the watch broke; no entries
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	OK            Outcome = iota // it ran to its end
	Error                        // may have run
	FullUp                       // turned away unseen
	TimedOut                     // may have run, may still run
	ConnectFailed                // never ran
	Reset                        // may have run
	Cancelled                    // may have run
	NotSent                      // never ran
	Rejected                     // the worker could not use the request; nothing promises that it did not run
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

// The kinds of event, each with the fields of Event that count.
const (
	JobArrived    EventKind = iota // Job, Class, Tenant, Key, Left, Work, Slots, Memory, Retry, Attempts
	JobStarted                     // Job, Attempt
	JobProgressed                  // Job, Attempt, Done
	StreamBegan                    // Job, Attempt: the answer has begun, no deadline binds it any more
	AttemptEnded                   // Job, Attempt, Outcome, Took, Closed, Load
	ClientLeft                     // Job
	TimerFired                     // nothing else
	WorkersListed                  // List, Entries
	ProbeAnswered                  // Worker, Outcome, Took, Load
	PeerMessage                    // From, Data
	AttemptSilent                  // Job, Attempt: the worker has not even taken it, long after it should have
	WorkerOut                      // Worker: nothing more may go there, whatever is listed, until it is back
	WorkerBack                     // Worker: the list counts again, and it is to be taken for cold
	SentElsewhere                  // Worker, Slots: another process of this dispatcher sent a job there; below 0: it ended
	Inherited                      // Past: of the process before this one, after its list
	Learnt                         // Past: what others know, after the list; it counts where nothing was seen here
	Leaving                        // Left: all that is open, or comes yet, is to be answered within it
)

// Event is one thing that happened. Class and Tenant are indices into the settings, -1 if unknown.
type Event struct {
	Kind   EventKind
	Job    JobID
	Class  int
	Tenant int
	Key    uint64
	Left   time.Duration // until the client gives this try up
	Work   time.Duration // hint of the job's work at unit speed, 0 if none
	Slots  float64       // 0 counts as 1
	Memory float64
	Retry  bool
	// Attempts are those of the process before this one, which had the job. Such a job is no news: Retry is set.
	Attempts []Attempted
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
	Past     *Memory
}

// Attempted is an attempt of a job that another process goes on with.
type Attempted struct {
	Worker     string
	Zone, Cell int           // its worker's at the time of the send
	SentAt     time.Duration // on the clock of the events, which the two share
	Out        bool          // without an outcome
	MayRun     bool          // it may have run, or still may
	Started    bool
}

// Memory is what a dispatcher hands to the process that takes its place. Times are on the clock of its events, which
// the two must share.
type Memory struct {
	Out      map[string]time.Duration // workers out by hand, since when
	Arrivals float64                  // jobs a second
	Peak     int                      // the most ready workers seen at once
	Classes  map[string]RunMemory
	Workers  map[string]WorkerMemory
	Zones    []ZoneMemory // by number; the last is for workers of no known zone

	MeanWorth, JobsSeen float64
	Carried, ColdPrompt float64 // what a worker did when all were up and warm, and the part of cold starts that were prompt
}

// ZoneMemory is what was seen of the workers of one zone.
type ZoneMemory struct {
	Busy, Queue float64
	Prompt      time.Duration
}

// RunMemory is what was seen of the jobs of one class.
type RunMemory struct {
	Run, Dev, Longest time.Duration
	Came              float64 `json:",omitempty"` // so many jobs
	Weight            float64 `json:",omitempty"` // of what is learnt from others: how many observations it is worth
}

// WorkerMemory is what was seen of one worker.
type WorkerMemory struct {
	StartedAt, Told      time.Duration // what its start is taken for, and what the list said
	Tokens               float64       // sends allowed while cold
	FilledAt             time.Duration
	SickTill, TurnedAway time.Duration
	Faults, Limit        float64
	Fulls                int     `json:",omitempty"` // full answers of late
	Slots                float64 // in flight from the process before
}

// ActionKind tells what an Action asks for, and so which of its fields count.
type ActionKind uint8

// The kinds of action, each with the fields of Action that count.
const (
	Send      ActionKind = iota // Job, Worker, By: attempts count 0, 1, 2 in the order of their sends
	Cancel                      // Job, Attempt
	Refuse                      // Job, Wait: final; a retry can do no harm, best after Wait
	Fail                        // Job: final, without that promise
	SetTimer                    // Wait
	Probe                       // Worker
	WatchList                   // nothing else
	Tell                        // To (-1 for all), Data
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
