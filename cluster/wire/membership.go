package wire

//msgp:tuple Version Member StoreStatus Renew RenewReply Subscribe SubscribeReply Update Heartbeat Fetch HostCore
//msgp:tuple Store Placement StoreView Edge Members Worker Workers

// Topic is a kind of state that the control plane gives to all. Of each there is one newest version.
type Topic uint8

// The topics, in the order in which they index lists of versions.
const (
	TopicConfig  Topic = iota // the payload is the configuration document, as JSON
	TopicWorkers              // Workers
	TopicStores               // StoreView
	TopicMembers              // Members
	TopicCount
)

// Version orders what is said on a topic: by term, then by sequence. The zero Version is before all others.
type Version struct {
	Term     uint64
	Sequence uint64
}

// Less says whether v comes before other.
func (v Version) Less(other Version) bool {
	if v.Term != other.Term {
		return v.Term < other.Term
	}
	return v.Sequence < other.Sequence
}

// Member is one process of the system in one life: a restart makes another one.
type Member struct {
	ID      string // drawn at the start of the process
	Node    string // the machine's name
	Address string // host:port where its rpc server listens
	Zone    string
	Region  string
	Edge    bool   // takes clients' requests
	Storage bool   // keeps messages
	Disk    string // identity of the store's disk, drawn when it is first used
	Ready   bool
	Leaving bool // it is being stopped in order
}

// StoreStatus is what a store tells with each renewal.
type StoreStatus struct {
	Epoch    uint64   // of the StoreView that it acts under
	Synced   []uint16 // partitions that it is joining and holds completely
	Pending  uint64   // messages that have not ended
	Messages uint64   // messages kept, those that have ended included
	Stalled  bool     // its disk takes nothing: it is full, or does not answer
}

// Renew asks for a lease of membership, or for its renewal.
type Renew struct {
	Member Member
	Store  StoreStatus // of members with Storage
	Have   []Version   // by topic
}

// HostCore has a store take part in the control plane's core, where too few control processes have a disk, or leave it.
type HostCore struct {
	Host bool
}

// RenewReply grants a lease, or names who can.
type RenewReply struct {
	Granted     bool
	Leader      string    // rpc address of the control process that grants leases; empty if unknown
	LeaseMillis uint32    // counted from when the renewal was sent
	Heads       []Version // by topic, newest; empty unless Granted
	Core        []string  // rpc addresses of all control processes known
}

// Subscribe asks a parent in the relay tree for all updates that are newer than Have.
type Subscribe struct {
	Member string
	Have   []Version // by topic
}

// SubscribeReply says whether the parent takes the child. Refused, the child looks for another.
type SubscribeReply struct {
	Accepted bool
}

// Update brings one topic to version To.
type Update struct {
	Topic      Topic
	From       Version // with Delta: the version that the payload applies to
	To         Version
	Delta      bool
	Compressed bool // the payload is a full topic, compressed
	Payload    []byte
}

// Heartbeat tells a child that its parent lives, and what the newest versions are that it has.
type Heartbeat struct {
	Heads []Version // by topic
}

// Fetch asks for a topic's newest version; the answer is an Update, with an empty payload if Have is as new.
type Fetch struct {
	Topic Topic
	Have  Version
}

// Store is one machine of the queue.
type Store struct {
	Disk     string // identity: a machine that lost its disk is another store
	Node     string
	Address  string
	Zone     string
	Region   string
	Retiring bool // it is being emptied
}

// Placement says where a partition lies.
type Placement struct {
	Replicas []uint16 // indices into StoreView.Stores that hold it completely; the first is the primary
	Joining  []uint16 // indices of those that get all new writes and are being filled with the old ones
	// Former are indices of members that were dropped while too few others held the partition completely.
	Former []uint16
	// Covered says that Former and Joining together have all that was accepted: one of Former was complete when it was dropped, and there
	// have been enough members since.
	Covered bool
	// Unsure says that all replicas were lost, and rebuilt from others: what joining ones that are Former have is taken over.
	Unsure bool
}

// StoreView is the agreed placement of all partitions. A new one has the next epoch.
type StoreView struct {
	Epoch      uint64
	Copies     uint16 // disks that hold a message before it is accepted
	Stores     []Store
	Partitions []Placement
}

// Edge is a scheduler as others see it.
type Edge struct {
	ID      string
	Node    string
	Address string
	Zone    string
	Region  string
	Ready   bool
}

// Members are the schedulers that hold a lease, ordered by zone and node, and the control processes.
type Members struct {
	Edges []Edge
	Core  []string // rpc addresses of the control processes
}

// Worker is one entry of the platform's list.
type Worker struct {
	ID           string
	Service      string
	Address      string
	Zone         string
	Version      string
	Capacity     uint32
	Draining     bool
	WarmupMillis uint32
}

// Workers is the platform's list, complete.
type Workers struct {
	Entries []Worker
}
