// Package emulator models the systems that a scheduler serves. It is pure: time and an event in, what comes of it out; no
// clock, goroutine or socket. A shell (package lab) plays it on sockets, or a test on a clock of its own.
//
// The model is this project's own, after the figures that the operators gave of their points nodes: three speeds, slots
// that share cores, a first-in-first-out queue whose head waits until it fits, a start at a part of the capacity that
// rises evenly, and a failure under more work than a node in its slow start can do.
package emulator
