// Package history records what the stand-ins saw on their sockets: what clients sent and were answered, what workers were handed and
// ran, what the operator ordered, and what faults were injected. The checkers judge nothing else.
//
// All times are on the steady clock, counted from the start of the Recorder.
package history
