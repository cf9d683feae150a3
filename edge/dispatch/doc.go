// Package dispatch delivers the messages that are leased to an edge to workers.
//
// A message comes by Accept (a client put it at this edge, and its store accepted it) or by Grant (a store leases it to this edge). It waits
// for the messages before it in its key order, for its delay, and for its service: a rate limit's token, or capacity of a worker. One
// decision module of package ravendale for each service chooses the worker. What is known of an attempt (worker.Outcome) decides whether the
// message is completed, retried or released; the terminal report goes to the queue until it is acknowledged, and only then the
// message is forgotten.
//
// Core is the state machine: events and times go in, Actions come out, and it does no I/O. Manager drives a Core: it owns the clock, the
// deliveries under way and the queue's client, and serializes events.
//
// A message's way through the Core: intake.go (Accept, Grant), due.go (deferral, backoff, expiry), admission.go (route, service, token),
// waitqueue.go and ratelimit.go (what waits for a service), job.go (a message's stay with a module, and its attempts), outcome.go (what
// follows on an attempt), report.go (completion), completions.go (what must not run again). configure.go applies configurations and the lists
// of workers and edges.
package dispatch
