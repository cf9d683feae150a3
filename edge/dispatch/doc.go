// Package dispatch delivers the messages that are leased to an edge to the workers of their services.
//
// A store leases each message to one edge, which delivers it and reports the outcome. A message arrives by Accept (a
// client put it at this edge, and its store accepted it) or by Grant (a store leases it to this edge). It waits until the
// preceding messages of its key order are completed, until its delay has passed, and until its service can take it: for a
// token of the service's rate limit, or for the capacity of a worker. Each service has its own decision module, a
// ravendale.Dispatcher, which chooses the worker. The outcome of an attempt (worker.Outcome) determines whether the message
// is completed, retried or released to another edge. The last report on a message is sent to the queue until it is
// acknowledged, and only then the message is removed.
//
// Core is a state machine: it takes events with their times, returns Actions, and does no I/O. Manager drives a Core: it
// owns the clock, the deliveries in flight and the queue client, and serializes events.
//
// The files, in the order in which a message passes through the Core: intake.go (Accept, Grant), due.go (deferral, backoff,
// expiry), admission.go (route, service, token), waitqueue.go and ratelimit.go (messages that wait for a service), job.go
// (submission to a module, and its attempts), outcome.go (the consequences of an attempt), report.go (completion and
// release), completions.go (messages that must not run again). configure.go applies configurations and the lists of workers
// and edges.
package dispatch
