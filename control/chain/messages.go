package chain

//go:generate go run github.com/tinylib/msgp -file messages.go -o messages_gen.go -tests=false
//msgp:tuple Entry State Write Attach Fill Append Ack Gap

// Entry is a command in its place. Two logs that have the same epoch at the same sequence are alike up to there.
type Entry struct {
	Sequence uint64
	Epoch    uint64 // in which it was ordered
	Origin   uint64 // who submitted it, in one life; zero: it marks the start of an epoch and holds no command
	Number   uint64 // of the origin's commands
	Command  []byte
}

// State is what a member must find on its disk again.
type State struct {
	Base          uint64 // sequence of the last entry that the machine's snapshot covers
	BaseEpoch     uint64 // of that entry
	Entries       []Entry
	CompleteEpoch uint64 // epoch in which it last was known to hold all that was committed before
}

// Write changes the State on disk.
type Write struct {
	Truncate      bool // entries after TruncateAfter are thrown away first
	TruncateAfter uint64
	Entries       []Entry
	CompleteEpoch uint64 // unless zero: replaces State.CompleteEpoch
}

// Attach asks the predecessor to go on after what the sender has.
type Attach struct {
	Epoch     uint64
	Last      uint64 // sequence of its last entry
	LastEpoch uint64
	Committed uint64 // it surely has what is committed up to here
}

// Fill answers an Attach: the log goes on after From. HasSnapshot says that Snapshot replaces the machine's state by
// that at From.
type Fill struct {
	Epoch       uint64
	HasSnapshot bool
	Snapshot    []byte
	From        uint64
	FromEpoch   uint64
	Entries     []Entry
	Committed   uint64
}

// Append passes entries on that follow Previous.
type Append struct {
	Epoch     uint64
	Previous  uint64
	Entries   []Entry
	Committed uint64
}

// Ack tells the predecessor what is committed.
type Ack struct {
	Epoch     uint64
	Committed uint64
}

// Gap tells the predecessor that something between was lost: the sender's last entry is Last.
type Gap struct {
	Epoch uint64
	Last  uint64
}
