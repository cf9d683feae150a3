// Package fleet implements the agreement of an installation's schedulers: which of them are up, which policy epoch (a
// numbered version of the shared settings) is in force, and which may take requests. docs/fleet.md has the rules and
// their proofs.
//
// Core is a pure state machine: it takes the time and an event and returns actions. Its caller (package agent) creates
// it with New from the state on disk, calls Start once, then Handle with each message, each result of a write or a
// check, and a Tick at least every quarter of Config.Heartbeat, and executes the actions in their order. The caller
// reports Stored only when the state of that Store is on disk; the core sends the messages that depend on it only after
// that.
//
// An epoch is in force once a majority of the members named in the operator's file has stored votes for it on disk. A
// member votes for one content per number, and never for a lower number than before. A member is trusted while a
// majority has answered pings that it sent within the last Config.Trust, by its own monotonic clock: any two majorities
// overlap, so one of the members that answered knows of each epoch that was in force by then.
package fleet
