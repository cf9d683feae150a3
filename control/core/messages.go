package core

import (
	"ravendale/cluster/wire"
	"ravendale/control/view"
)

//go:generate go run github.com/tinylib/msgp -file messages.go -o messages_gen.go -tests=false -unexported
//msgp:tuple beat decided propose forward forwardReply leaving

// Methods of the core's messages, all of them notifications but methodForward.
const (
	methodBeat wire.Method = wire.MethodCorePrivate + iota
	methodPrepare
	methodPromise
	methodAccept
	methodAcceptReply
	methodDecided
	methodAttach
	methodFill
	methodAppend
	methodAck
	methodGap
	methodPropose
	methodLeaseRequest
	methodLeaseReply
	methodLeaseRelease
	methodForward // forward, forwardReply
	methodLeaving
)

// beat is what a process tells all others of the core now and then.
type beat struct {
	Member    view.Member // its ID is zero if the process has no disk
	Epoch     uint64      // zero: it knows no view
	Founder   bool        // it may found the core together with the other seeds
	Idle      bool        // it is the head and can't order in this epoch
	Whole     bool
	Attached  bool
	Synced    uint64
	Committed uint64
	Missing   []view.ID // members that it does not hear; itself: its disk takes nothing, and it stands aside
	Leading   bool      // it holds the leader lease
	Leader    string    // rpc address of the holder as it knows, empty if it knows none
	Leaving   bool      // it is about to end
}

// decided tells of a view that is decided.
type decided struct {
	View view.View
}

// propose asks the head to order a command.
type propose struct {
	Epoch   uint64
	Origin  uint64
	Number  uint64
	Low     uint64 // all its commands below have ended
	Command []byte
}

// forward asks a member to submit a command for a process without a disk.
type forward struct {
	WaitMillis uint32
	Command    []byte
}

type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeUnavailable
	outcomeUnknown
)

type forwardReply struct {
	Outcome outcome
	Result  []byte
}

// leaving tells that a member won't seek the leader lease for a while, and whether it wishes to be no voter any more.
type leaving struct {
	ID   view.ID
	Vote bool
}
