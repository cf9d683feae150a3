package fleet

import "ravendale/balancer/audit"

// Kinds of messages.
const (
	Ping  = "ping"  // a heartbeat; Number increases with each
	Pong  = "pong"  // answers the ping of the same Number
	Stale = "stale" // the sender knows a newer process with the receiver's name, whose incarnation is YouInc
	Leave = "leave" // the sender shuts down as planned
	Want  = "want"  // requests the content of the epoch ID
	Have  = "have"  // answers Want with the content
	Busy  = "busy"  // answers Want if the sender can't serve the content now
)

// Message is sent between members, as JSON in a frame of package link. Members of other versions read it, so the names
// of its JSON fields must not change.
type Message struct {
	Kind   string `json:"kind"`
	From   string `json:"from"`
	Inc    uint64 `json:"inc"` // incarnation of the sender: distinguishes it from earlier processes on the same disk
	Nonce  uint64 `json:"nonce"`
	Number uint64 `json:"n,omitempty"`

	Accepted ID     `json:"accepted"`           // the sender's vote, as stored on its disk
	Adopted  ID     `json:"adopted"`            // the epoch that the sender runs under
	Force    ID     `json:"force"`              // the highest epoch that the sender knows to be in force
	Against  uint64 `json:"against,omitempty"`  // a number that the sender will not vote for, since it can't run under that epoch
	Floor    uint64 `json:"floor,omitempty"`    // the highest floor of the epochs that the sender voted for or knows to be in force
	Amnesiac bool   `json:"amnesiac,omitempty"` // the sender may have lost a vote: its answers don't make the receiver trusted
	YouInc   uint64 `json:"you_inc,omitempty"`  // the receiver's incarnation and vote, as remembered by the sender
	YouVote  uint64 `json:"you_vote,omitempty"`
	YouNonce uint64 `json:"you_nonce,omitempty"` // in a Stale message: the nonce of the process that it is for

	ID      ID     `json:"id,omitzero"`
	Content []byte `json:"content,omitempty"`

	Stamp audit.Stamp `json:"stamp"` // set by package agent, only for the audit record
	Mono  int64       `json:"mono"`  // milliseconds of the sender's monotonic clock
	Wall  int64       `json:"wall"`
	Head  audit.Head  `json:"head"`
}
