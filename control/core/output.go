package core

import "github.com/tinylib/msgp/msgp"

// outboundMessage is a message to send. Its type tells the method.
type outboundMessage struct {
	To      string
	Message msgp.Marshaler
}

// diskWrite is a change on disk: records to append, or a whole new image. The node hears OnDisk with its batch when it is lasting.
type diskWrite struct {
	Batch   uint64
	Records [][]byte
	Image   []byte
}

// completion is the end of a command submitted here.
type completion struct {
	Number uint64
	Result []byte
	Err    error
}

// output is what a node wants done, in any order but that of the writes.
type output struct {
	Writes        []diskWrite
	Messages      []outboundMessage
	Completions   []completion
	ChainChanges  []chainChange
	DiskChanges   []diskChange
	QuorumChanges []quorumChange
	Applied       bool
}
