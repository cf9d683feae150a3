package core

import (
	"ravendale/cluster/wire"
	"ravendale/control/view"
)

//go:generate go run github.com/tinylib/msgp -file messages.go -o messages_gen.go -tests=false -unexported
//msgp:tuple heartbeat decided propose forward forwardReply leaving

// Methods of the core's messages, all of them notifications but methodForward.
const (
	methodHeartbeat wire.Method = wire.MethodCorePrivate + iota
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

// heartbeat is what a process sends all others of the core each heartbeatInterval, and at once when something of it changes.
type heartbeat struct {
	Member       view.Member // its ID is zero if the process has no disk
	Epoch        uint64      // zero: it knows no view
	Bootstrap    bool        // it may bootstrap the core together with the other seeds
	CannotOrder  bool        // it is the head and can't order in this epoch
	Complete     bool        // its log has all that was committed in earlier epochs
	Attached     bool        // its log follows its predecessor's
	Synced       uint64      // sequence up to which its log is durable
	Committed    uint64      // sequence up to which it knows the log to be committed
	Unresponsive []view.ID   // members that it does not hear; itself: it is degraded
	Leading      bool        // it holds the leader lease
	Leader       string      // rpc address of the holder as it knows, empty if it knows none
	Stopping     bool        // its process is about to stop
}

// decided carries a view that is decided.
type decided struct {
	View view.View
}

// propose asks the head to order a command.
type propose struct {
	Epoch   uint64
	Origin  uint64
	Number  uint64
	Low     uint64 // all commands of the origin with lower numbers have ended
	Command []byte
}

// forward asks a member to submit a command for a process without a disk.
type forward struct {
	WaitMillis uint32
	Command    []byte
}

// outcome is what became of a forwarded command.
type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeUnavailable
	outcomeUnknown
)

// forwardReply answers forward.
type forwardReply struct {
	Outcome outcome
	Result  []byte
}

// leaving says that a member won't seek the leader lease for a while.
type leaving struct {
	ID   view.ID
	Vote bool // it wishes to be no voter any more
}
