// Package fleet is what the schedulers of one installation agree on: who is there, which policy epoch is in force, and who may
// act. docs/fleet.md has the rules and why they hold.
//
// Core is a pure state machine: the time and an event in, actions out. Its shell (package agent) makes it with New from the
// state on disk, calls Start once, then Handle with each message, each answer of disk and checker, and a Tick at least every
// quarter of Config.Heartbeat, and executes the actions in their order. What a Store asks for is on disk before its Stored
// event says so; messages that rest on it are sent by the core only then.
//
// An epoch is in force once a majority of the members named in the operator's file has voted for it, on disk. A member votes
// for one content a number, and never for a lower number than before. A member is trusted while a majority has answered pings
// that it sent within Config.Trust, by its own monotonic clock: one of them knows of any epoch that was in force before.
package fleet
