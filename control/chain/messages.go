package chain

//go:generate go run github.com/tinylib/msgp -file messages.go -o messages_gen.go -tests=false
//msgp:tuple Entry State Write Attach Fill Append Ack Gap

// Entry is a command at its position in the log. If two logs have an entry with the same sequence number and the same
// epoch, they are equal up to that entry (the log matching property of raft).
type Entry struct {
	Sequence uint64
	Epoch    uint64 // epoch in which the entry was ordered
	Origin   uint64 // incarnation of the submitting process; zero: the entry only marks the start of an epoch
	Number   uint64 // number of the command among those of its origin
	Command  []byte
}

// State is what a member stores on disk along with the machine's snapshot.
type State struct {
	Base          uint64 // sequence number of the last entry that the machine's snapshot covers
	BaseEpoch     uint64 // epoch of that entry
	Entries       []Entry
	CompleteEpoch uint64 // latest epoch in which the member was known to hold every entry committed in earlier epochs
}

// Write is a change of the State on disk. It is appended to the file as a record.
type Write struct {
	Truncate      bool // before Entries are appended, the entries after TruncateAfter are discarded
	TruncateAfter uint64
	Entries       []Entry
	CompleteEpoch uint64 // replaces State.CompleteEpoch unless it is zero
}

// Attach reports the sender's log position to its predecessor in a new epoch, and asks it to continue from there.
type Attach struct {
	Epoch     uint64
	Last      uint64 // sequence number of the sender's last entry
	LastEpoch uint64
	Committed uint64 // the sender has every committed entry up to this one
}

// Fill answers an Attach: Entries follow the entry From. If HasSnapshot is set, Snapshot is the machine's state at
// From, and replaces that of the receiver.
type Fill struct {
	Epoch       uint64
	HasSnapshot bool
	Snapshot    []byte
	From        uint64
	FromEpoch   uint64
	Entries     []Entry
	Committed   uint64
}

// Append carries entries that follow the entry Previous to the successor.
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

// Gap reports to the predecessor that entries were lost in transit: the sender's last entry is Last.
type Gap struct {
	Epoch uint64
	Last  uint64
}
