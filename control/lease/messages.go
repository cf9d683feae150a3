package lease

import "ravendale/control/view"

//go:generate go run github.com/tinylib/msgp -file messages.go -o messages_gen.go -tests=false
//msgp:tuple Request Reply Release PreviousGrant

// Request asks a voter for the lease, or for its renewal.
type Request struct {
	Epoch         uint64
	Incarnation   uint64 // of the candidate, drawn at its start
	ElectionRound uint64 // of its requests in that incarnation, climbing
}

// Reply answers a Request.
type Reply struct {
	Epoch         uint64
	Incarnation   uint64
	ElectionRound uint64
	Granted       bool
}

// Release gives back what a voter granted up to an election round. A candidate that got no majority or stops sends it.
type Release struct {
	Incarnation   uint64
	ElectionRound uint64
}

// PreviousGrant is what a voter keeps on disk. Of the zero one no grant may still hold.
type PreviousGrant struct {
	Holder  view.ID // the only one that may hold a lease, zero if nobody may
	Unknown bool    // anybody may hold one
}
