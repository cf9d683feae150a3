package lease

import "ravendale/control/view"

//go:generate go run github.com/tinylib/msgp -file messages.go -o messages_gen.go -tests=false
//msgp:tuple Request Reply Release PreviousGrant

// Request asks a voter to grant or renew the lease.
type Request struct {
	Epoch         uint64
	Incarnation   uint64 // incarnation of the candidate, drawn at random at its start
	ElectionRound uint64 // number of the request in that incarnation, increasing
}

// Reply answers a Request.
type Reply struct {
	Epoch         uint64
	Incarnation   uint64
	ElectionRound uint64
	Granted       bool
}

// Release returns all grants of an incarnation up to an election round. A candidate sends it when it stops or can't
// get a majority.
type Release struct {
	Incarnation   uint64
	ElectionRound uint64
}

// PreviousGrant is a voter's record on disk of its last grant. With the zero value, no earlier grant can still be in
// force.
type PreviousGrant struct {
	Holder  view.ID // the only member that may hold a lease, zero if none may
	Unknown bool    // any member may hold a lease
}
