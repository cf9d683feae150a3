package chain

//go:generate go run github.com/tinylib/msgp -file messages.go -o messages_gen.go -tests=false
//msgp:tuple Entry State Write Attach Fill Append Ack Gap

// Entry is a command at its position in the log. Two logs that have the same epoch at the same sequence are equal up to there (the log
// matching property of raft).
type Entry struct {
	Sequence uint64
	Epoch    uint64 // in which it was ordered
	Origin   uint64 // incarnation of the process that submitted it; zero: it marks the start of an epoch and holds no command
	Number   uint64 // of the command among its origin's
	Command  []byte
}

// State is what a member must find on its disk again, beside the machine's snapshot.
type State struct {
	Base          uint64 // sequence of the last entry that the machine's snapshot covers
	BaseEpoch     uint64 // of that entry
	Entries       []Entry
	CompleteEpoch uint64 // epoch in which it last was known to hold all that was committed before
}

// Write is a change of the State on disk, as it is appended to the file.
type Write struct {
	Truncate      bool // entries after TruncateAfter are thrown away first
	TruncateAfter uint64
	Entries       []Entry
	CompleteEpoch uint64 // unless zero: replaces State.CompleteEpoch
}

// Attach asks the predecessor, in a new epoch, to go on after what the sender has.
type Attach struct {
	Epoch     uint64
	Last      uint64 // sequence of its last entry
	LastEpoch uint64
	Committed uint64 // the sender has all that is committed up to here
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

// Append passes on entries that follow Previous.
type Append struct {
	Epoch     uint64
	Previous  uint64
	Entries   []Entry
	Committed uint64
}

// Ack reports to the predecessor what is committed.
type Ack struct {
	Epoch     uint64
	Committed uint64
}

// Gap reports to the predecessor that entries were lost on the way: the sender's last entry is Last.
type Gap struct {
	Epoch uint64
	Last  uint64
}
