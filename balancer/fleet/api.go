package fleet

import "ravendale/balancer/audit"

// ActionKind says what is to be done.
type ActionKind uint8

// Kinds of actions.
const (
	Send            ActionKind = iota // Message, to To
	Store                             // State is to be written; then the event Stored with Serial
	Check                             // Epoch is to be checked as a configuration is; then the event Checked
	Apply                             // Epoch is what the scheduler acts under from now on
	Record                            // Entry is for the record
	StandingChanged                   // Standing has changed
)

// Action is one thing to do.
type Action struct {
	Kind     ActionKind
	To       string
	Message  Message
	State    State
	Serial   int
	Epoch    *Epoch
	Entry    audit.Entry
	Standing Standing
}

// EventKind says what came.
type EventKind uint8

// Kinds of events.
const (
	Tick     EventKind = iota // some time has passed: at least every quarter of Config.Heartbeat
	Received                  // Message
	Stored                    // what Serial asked for, and all before, is on disk, or Err
	Checked                   // Epoch, or why not: Err
	Leaving                   // this process ends
)

// Event is one thing that came.
type Event struct {
	Kind    EventKind
	Message Message
	Serial  int
	ID      ID
	Err     error
}
