// Package emulator models the worker nodes that a scheduler sends jobs to. The model is deterministic: each call takes the
// current time and an event and returns the resulting notices; it uses no clock, goroutine or socket. Package lab connects
// the model to sockets and the wall clock; tests drive it with a simulated clock.
//
// The model is specific to this project and follows the figures that the operators gave for their points nodes: three
// speeds, slots that share cores, a FIFO queue whose head waits until it fits, a slow start at a fraction of the capacity
// that rises linearly, and a failure when a node in slow start is sent more work than it can do.
package emulator
