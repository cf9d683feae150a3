// Package knowledge holds what was learnt of servers, classes and zones by others: each item with the time at which it was
// seen, from how many observations, and for servers of which start. It weighs them, and says what of it a fresh scheduler
// may begin with. It is pure: times come in with the calls.
//
// What a scheduler knows has one description, ravendale.Snapshot, which the successor in an upgrade takes whole. A learner takes
// a Snapshot of others' making, in which this package leaves only what still weighs.
package knowledge
