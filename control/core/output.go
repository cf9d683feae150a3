package core

import "github.com/tinylib/msgp/msgp"

// outboundMessage is a message to send. Its type determines the method.
type outboundMessage struct {
	To      string // rpc address
	Message msgp.Marshaler
}

// diskWrite is a change on disk: records to append, or an image that replaces everything. Once it is synced, OnDisk is
// called with its batch.
type diskWrite struct {
	Batch   uint64
	Records [][]byte
	Image   []byte
}

// completion is the outcome of a command that was submitted to this node.
type completion struct {
	Number uint64 // as returned by Submit
	Result []byte // result of Machine.Apply
	Err    error  // ErrUnavailable, ErrUnknown or nil
}

// output is what a node wants its driver to do. Only the writes have to be executed in order.
type output struct {
	Writes        []diskWrite
	Messages      []outboundMessage
	Completions   []completion
	ChainChanges  []chainChange
	DiskChanges   []diskChange
	QuorumChanges []quorumChange
	Applied       bool // commands were applied to the machine, or it was restored from a snapshot
}
