// Package knowledge holds what other schedulers have observed of servers, classes and zones: each item with the time of
// the last observation, their number, and for a server which of its starts they are of. It weighs the items, and
// computes the prior values with which a newly started scheduler begins. It is pure: the caller passes the time.
//
// A scheduler's whole state is described by ravendale.Snapshot, which the successor in an upgrade takes over
// completely. A learner (a scheduler that starts without one) takes a Snapshot made from other schedulers' items, which
// contains only the items that still have weight here.
package knowledge
