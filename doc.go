// Package ravendale is the decision module of a dispatcher that pushes jobs to workers. It decides which worker a job is
// sent to and when, when a job is sent to another worker, and when its client is refused.
//
// A Dispatcher is a pure state machine: events in, actions out. It reads no clock, starts no goroutine, does no I/O and logs
// nothing. Equal settings, seed and events give equal actions, so every run can be replayed.
//
// # Usage
//
// The owner of a Dispatcher creates it with New and calls Handle from a single goroutine. The owner
//
//  1. passes whatever happens to Handle as an Event, with the time, which never decreases: a new job (JobArrived), start
//     notes and the outcome of an attempt (JobStarted, AttemptEnded), a client that disconnected (ClientLeft), the list of
//     workers (WorkersListed), an operator's order (WorkerDetached, WorkerAttached);
//  2. executes the Actions that Handle appended, in their order, before it passes the next event. Actions return nothing:
//     the owner reports their results as later events;
//  3. keeps one timer. SetTimer replaces it if it would fire later than requested, and when it fires the owner passes
//     TimerFired. A timer that fires too early does no harm.
//
// Each JobArrived is answered by a Refuse, by a Fail, or by the answer of an attempt, which the owner reports by setting
// Closed in AttemptEnded. Each Send is followed by one AttemptEnded, even after a Cancel and after the job's final answer.
// The attempts of a job are numbered from 0 in the order of their Sends.
//
// A process that replaces another one passes the list of workers first, then Inherited with the Snapshot of the replaced
// process, then the jobs of that process, as JobArrived with their Attempts.
//
// # Where the decisions are made
//
// Each file that deploy/balancer.toml lists under policy makes one kind of decision:
//
//	dispatcher.go  the coordinator: which part handles an event
//	job.go         a job from its arrival to its final answer: latency target, value, giving up
//	schedule.go    when a job is checked, and which pending job is sent first
//	placement.go   which worker a job is sent to
//	rank.go        how the workers that may take a job are ordered
//	capacity.go    whether a worker, or the dispatcher's own zone, has slots for a job
//	hedging.go     when a job gets a second attempt while the first is in flight
//	retry.go       whether a job that may have run may be sent again, and where
//	outcome.go     what a start note, an outcome or a missing response changes
//	health.go      which workers and zones are unhealthy
//	slowstart.go   how many jobs a worker is sent while it warms up
//	members.go     which workers there are
//	learning.go    what is adopted from other dispatchers of the same workers
//
// The other files are the interface: api.go has the events and actions, settings.go the settings, and snapshot.go the state
// that a process passes to its replacement.
package ravendale
