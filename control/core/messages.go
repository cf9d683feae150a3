package core

import (
	"ravendale/cluster/wire"
	"ravendale/control/view"
)

//go:generate go run github.com/tinylib/msgp -file messages.go -o messages_gen.go -tests=false -unexported
//msgp:tuple heartbeat decided propose forward forwardReply leaving

// Methods of the core's messages. All of them are notifications, except for methodForward.
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
	methodForward // request forward, reply forwardReply
	methodLeaving
)

// heartbeat is sent by each process of the core to all others every heartbeatInterval, and at once when certain fields
// change.
type heartbeat struct {
	Member       view.Member // its ID is zero if the process has no disk
	Epoch        uint64      // zero if the sender has no view
	Bootstrap    bool        // the sender may bootstrap the core together with the other seeds
	CannotOrder  bool        // the sender is the head and can't order commands in this epoch
	Complete     bool        // the sender's log contains all that was committed in earlier epochs
	Attached     bool        // the sender's log continues that of its predecessor
	Synced       uint64      // sequence up to which the sender's log is durable
	Committed    uint64      // sequence up to which the sender knows the log to be committed
	Unresponsive []view.ID   // members from which the sender receives no heartbeats; includes the sender itself if it is degraded
	Leading      bool        // the sender holds the leader lease
	Leader       string      // rpc address of the holder as known to the sender; empty if unknown
	Stopping     bool        // the sender's process is about to stop
}

// decided carries a view that was decided.
type decided struct {
	View view.View
}

// propose asks the head to order a command.
type propose struct {
	Epoch   uint64
	Origin  uint64
	Number  uint64
	Low     uint64 // all commands of the origin with lower numbers have completed
	Command []byte
}

// forward is sent by a process without a usable disk and asks a member to submit a command.
type forward struct {
	WaitMillis uint32
	Command    []byte
}

// outcome is the result of a forwarded command.
type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeUnavailable
	outcomeUnknown
)

// forwardReply is the reply to forward.
type forwardReply struct {
	Outcome outcome
	Result  []byte
}

// leaving says that the sender does not request the leader lease for a while.
type leaving struct {
	ID   view.ID
	Vote bool // the sender also asks to be removed from the voters
}
