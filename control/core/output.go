package core

import "github.com/tinylib/msgp/msgp"

// outboundMessage is a message to send. Its type tells the method.
type outboundMessage struct {
	To      string // rpc address
	Message msgp.Marshaler
}

// diskWrite is a change on disk: records to append, or an image that replaces all. The node hears OnDisk with its batch when it is synced.
type diskWrite struct {
	Batch   uint64
	Records [][]byte
	Image   []byte
}

// completion is the outcome of a command submitted here.
type completion struct {
	Number uint64 // as Submit returned it
	Result []byte // of Machine.Apply
	Err    error  // ErrUnavailable, ErrUnknown or nil
}

// output is what a node wants done, in any order but that of the writes.
type output struct {
	Writes        []diskWrite
	Messages      []outboundMessage
	Completions   []completion
	ChainChanges  []chainChange
	DiskChanges   []diskChange
	QuorumChanges []quorumChange
	Applied       bool // commands were applied to the machine, or it was restored
}
