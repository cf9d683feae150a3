package fleet

import "ravendale/balancer/audit"

// Kinds of messages.
const (
	Ping  = "ping"  // Number counts up
	Pong  = "pong"  // answers the ping of that number
	Stale = "stale" // the sender knows a newer process of that name: YouInc
	Leave = "leave" // the sender ends as planned
	Want  = "want"  // the content of an epoch is requested
	Have  = "have"  // and given
	Busy  = "busy"  // or not just now
)

// Message is what one member sends another, as JSON in a frame of package link. Peers of other versions read it: a field keeps
// its name in JSON.
type Message struct {
	Kind   string `json:"kind"`
	From   string `json:"from"`
	Inc    uint64 `json:"inc"` // incarnation: a process is not its former self
	Nonce  uint64 `json:"nonce"`
	Number uint64 `json:"n,omitempty"`

	Accepted ID     `json:"accepted"`           // the sender's vote, on its disk
	Adopted  ID     `json:"adopted"`            // what it acts under,
	Force    ID     `json:"force"`              // and what it knows that a majority voted for
	Against  uint64 `json:"against,omitempty"`  // a number that the sender will not vote for: it can't act on that epoch
	Floor    uint64 `json:"floor,omitempty"`    // the highest that the sender voted for or knows in force
	Amnesiac bool   `json:"amnesiac,omitempty"` // the sender may have forgotten an epoch: it vouches for nothing
	YouInc   uint64 `json:"you_inc,omitempty"`  // what the sender remembers of the receiver,
	YouVote  uint64 `json:"you_vote,omitempty"`
	YouNonce uint64 `json:"you_nonce,omitempty"` // of a Stale message: the process that it is meant for

	ID      ID     `json:"id,omitzero"`
	Content []byte `json:"content,omitempty"`

	Stamp audit.Stamp `json:"stamp"` // the shell's: for the record alone
	Mono  int64       `json:"mono"`  // milliseconds of the sender's monotonic clock
	Wall  int64       `json:"wall"`
	Head  audit.Head  `json:"head"`
}
