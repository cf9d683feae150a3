package wire

//msgp:tuple Version Member StoreStatus Renew RenewReply Subscribe SubscribeReply Update Heartbeat Fetch HostCore
//msgp:tuple Store Placement StoreView Edge Members Worker Workers

// Topic is a kind of state that the control plane distributes to all processes. Each topic has one newest version.
type Topic uint8

// The topics, in the order in which they index lists of versions.
const (
	TopicConfig  Topic = iota // the payload is the configuration document, as JSON
	TopicWorkers              // Workers
	TopicStores               // StoreView
	TopicMembers              // Members
	TopicCount
)

// Version orders the states of a topic: by term, then by sequence. The zero Version is older than all others.
type Version struct {
	Term     uint64
	Sequence uint64
}

// Less reports whether v is older than other.
func (v Version) Less(other Version) bool {
	if v.Term != other.Term {
		return v.Term < other.Term
	}
	return v.Sequence < other.Sequence
}

// Member is one run of a process of the system: after a restart the process is another member.
type Member struct {
	ID      string // random, generated at the start of the process
	Node    string // the machine's name
	Address string // host:port where its rpc server listens
	Zone    string
	Region  string
	Edge    bool   // accepts clients' requests
	Storage bool   // stores messages
	Disk    string // identity of the store's disk, generated when it is first used
	Ready   bool
	Leaving bool // it is being shut down in an orderly way
}

// StoreStatus is what a store reports with each renewal.
type StoreStatus struct {
	Epoch    uint64   // of the StoreView that the store applies
	Synced   []uint16 // partitions that the store is joining and already holds completely
	Pending  uint64   // messages that are not finished
	Messages uint64   // stored messages, including finished ones
	Stalled  bool     // the store's disk accepts no writes: it is full or does not respond
}

// Renew requests a membership lease or its renewal.
type Renew struct {
	Member Member
	Store  StoreStatus // set by members with Storage
	Have   []Version   // by topic
}

// HostCore instructs a store to join the control plane's core, where too few control processes have a disk, or to leave
// it.
type HostCore struct {
	Host bool
}

// RenewReply grants a lease, or names the control process that can.
type RenewReply struct {
	Granted     bool
	Leader      string    // rpc address of the control process that grants leases; empty if unknown
	LeaseMillis uint32    // duration of the lease, counted from when the renewal was sent
	Heads       []Version // newest version by topic; empty unless Granted
	Core        []string  // rpc addresses of all known control processes
}

// Subscribe asks a parent in the relay tree to send all updates newer than Have.
type Subscribe struct {
	Member string
	Have   []Version // by topic
}

// SubscribeReply reports whether the parent accepts the child. A refused child tries another parent.
type SubscribeReply struct {
	Accepted bool
}

// Update updates one topic to version To.
type Update struct {
	Topic      Topic
	From       Version // if Delta is set: the version that the payload applies to
	To         Version
	Delta      bool
	Compressed bool // the payload is a full topic, compressed
	Payload    []byte
}

// Heartbeat shows a child that its parent is available, and lists the parent's newest versions.
type Heartbeat struct {
	Heads []Version // by topic
}

// Fetch requests a topic's newest version. The answer is an Update, with an empty payload if there is none newer than
// Have.
type Fetch struct {
	Topic Topic
	Have  Version
}

// Store is one machine that stores messages.
type Store struct {
	Disk     string // identity of the store: a machine with a new disk is another store
	Node     string
	Address  string
	Zone     string
	Region   string
	Retiring bool // the operator is retiring it: its partitions are being moved to other stores
}

// Placement lists the stores that hold a partition.
type Placement struct {
	Replicas []uint16 // indices into StoreView.Stores of those that hold the partition completely; the first is the primary
	Joining  []uint16 // indices of those that receive all new writes while they copy the existing data
	// Former are indices of stores that were removed while too few others held the partition completely.
	Former []uint16
	// Covered means that Former and Joining together hold every accepted message: one of Former was complete when it
	// was removed, and there have been enough stores since.
	Covered bool
	// Unsure means that all replicas were lost and the partition was rebuilt from other stores: data on joining stores
	// that are in Former is merged into it.
	Unsure bool
}

// StoreView is the agreed placement of all partitions. Each new view has the next epoch.
type StoreView struct {
	Epoch      uint64
	Copies     uint16 // number of disks that must hold a message before it is accepted
	Stores     []Store
	Partitions []Placement
}

// Edge is a scheduler's entry in Members.
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

// Worker is one entry of the platform's list of workers.
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

// Workers is the platform's complete list of workers.
type Workers struct {
	Entries []Worker
}
