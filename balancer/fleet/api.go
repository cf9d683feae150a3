package fleet

import "ravendale/balancer/audit"

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	Send            ActionKind = iota // send Message to the member To
	Store                             // write State to disk, then report the event Stored with Serial
	Check                             // validate Epoch as a configuration, then report the event Checked
	Apply                             // the scheduler runs under Epoch from now on
	Record                            // add Entry to the audit record
	StandingChanged                   // the member's standing is now Standing
)

// Action is an instruction of the core to its caller. Kind decides which of the other fields are set.
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

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	Tick     EventKind = iota // the clock advanced: due at least every quarter of Config.Heartbeat
	Received                  // Message was received
	Stored                    // the state of Serial and all earlier ones are on disk, or the write failed with Err
	Checked                   // the epoch ID was validated; Err is nil or says why it is invalid
	Leaving                   // this process is about to exit
)

// Event is an input of the core. Kind decides which of the other fields are set.
type Event struct {
	Kind    EventKind
	Message Message
	Serial  int
	ID      ID
	Err     error
}
