// Package history records what the stand-ins observed: requests and answers of clients, requests and runs at workers,
// orders of the operator, and injected faults. It is the only input of the checkers.
//
// All times are monotonic, relative to the creation of the Recorder.
package history
