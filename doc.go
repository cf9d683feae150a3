// Package ravendale decides for a dispatcher that pushes jobs to workers: which worker a job goes to and when, when it goes to
// another, and when its client is refused.
//
// A Dispatcher is a pure state machine: events in, actions out. It reads no clock, starts no goroutine, does no I/O and logs
// nothing; equal settings, seed and events give equal actions, so every history can be replayed.
//
// # How to drive it
//
// The owner has one goroutine that calls Handle. It makes a Dispatcher with New, and then:
//
//  1. hands it each thing that happens as an Event, with the time, which never goes back: a job that came (JobArrived), notes and
//     the outcome of an attempt (JobStarted, AttemptEnded), a client that left (ClientLeft), the list of workers (WorkersListed),
//     an operator's order (WorkerDetached, WorkerAttached);
//  2. executes the Actions that Handle appended, in their order, before the next event. None waits for an answer: what comes
//     of one comes back as an event;
//  3. keeps one timer. SetTimer replaces it where it would fire later than asked, and TimerFired is handed in when it fires; a
//     timer that fires too early does no harm.
//
// Each JobArrived is answered by a Refuse or a Fail, or by the answer of an attempt, of which the owner tells with Closed in
// AttemptEnded. Each Send is ended by one AttemptEnded, also after a Cancel and after the job's answer. Attempts of a job count from 0
// in the order of their sends.
//
// A process that takes another's place begins with the list of workers, then Inherited with the Snapshot of the one before, then
// its jobs, as JobArrived with their Attempts.
//
// # Where the decisions are
//
// Each file that deploy/balancer.toml names under policy holds one decision:
//
//	dispatcher.go  the coordinator: which part an event goes to
//	job.go         a job from its arrival to its final answer: latency target, value, giving up
//	schedule.go    when a job is looked at, and which pending job is sent first
//	placement.go   which worker a job goes to
//	rank.go        how workers that could take it are ordered
//	capacity.go    whether a worker, or the own zone, has slots for a job
//	hedging.go     when a job gets a second attempt beside the first
//	retry.go       whether a job that may have run may be sent again, and where
//	outcome.go     what a start note, an outcome or a missing answer changes
//	health.go      which workers and zones are unhealthy
//	slowstart.go   how much a worker gets while it warms up
//	members.go     which workers there are
//	learning.go    what is taken from others who know the same workers
//
// The rest is the interface: api.go the events and actions, settings.go the settings, snapshot.go what a process hands to the next.
package ravendale
