package queue

import "ravendale/cluster/wire"

//msgp:tuple Hello HelloReply Replicate Acked Compare Digest Differ Fetch Fetched Filled

// Methods between stores. All but MethodHello are notifications; an answer to one is another notification.
const (
	MethodHello     = wire.MethodStorePrivate + iota // request Hello, reply HelloReply: the first on each connection between stores
	MethodReplicate                                  // Replicate, from a primary to a member
	MethodAcked                                      // Acked, the answer to Replicate
	MethodCompare                                    // Compare, from a primary to a member
	MethodDiffer                                     // Differ, the answer to Compare: one for each bucket that differs
	MethodFetch                                      // Fetch, from a primary to a member
	MethodFetched                                    // Fetched, the answer to Fetch
	MethodFilled                                     // Filled, from a primary to a joining member
)

// Hello names the disk of the store that connects, and the disk of the store that it expects to reach.
type Hello struct {
	From string // disk of the sender
	To   string // expected disk of the receiver
}

// HelloReply reports whether the store has the disk that Hello names.
type HelloReply struct {
	Accepted bool
}

// Replicate carries changes from a primary to a member.
type Replicate struct {
	Epoch   uint64
	Number  uint64 // counts these notifications on the connection
	Old     bool   // the messages were put earlier: the rest of their delays is computed from the time of day
	Records [][]byte
}

// Acked reports that the Replicate with this number, and all earlier ones on the connection, are on the member's disk.
type Acked struct {
	Number uint64
}

// Compare asks a member which buckets of a partition differ from the primary's.
type Compare struct {
	Epoch        uint64
	Partition    uint16
	ComparisonID uint64
	Horizon      uint64   // finished messages up to this sequence number are removed
	Sums         []uint64 // checksum of each bucket at the primary
}

// Digest summarizes a member's state of one message.
type Digest struct {
	ID     string
	Sum    uint64
	State  wire.State
	Failed uint16 // number of failed attempts
	NoBody bool   // the message is dead, and the member lacks its body
}

// Differ lists all messages that a member has in a bucket that differs from the primary's.
type Differ struct {
	Partition    uint16
	ComparisonID uint64
	Bucket       uint16 // bucketCount if no bucket differs
	Last         bool   // no further bucket differs
	Entries      []Digest
}

// Fetch asks a member for its full state of some messages.
type Fetch struct {
	Epoch        uint64
	Partition    uint16
	ComparisonID uint64
	IDs          []string
}

// Fetched answers a Fetch with records of kind RecordMessage.
type Fetched struct {
	Partition    uint16
	ComparisonID uint64
	Last         bool // this is the last answer to the Fetch
	Records      [][]byte
}

// Filled notifies a joining member that it has the complete partition on disk.
type Filled struct {
	Epoch     uint64
	Partition uint16
}
