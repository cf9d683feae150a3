package queue

import "ravendale/cluster/wire"

//msgp:tuple Hello HelloReply Replicate Acked Compare Digest Differ Fetch Fetched Filled

// Methods of stores among themselves.
const (
	MethodHello     = wire.MethodStorePrivate + iota // Hello, HelloReply: first on each connection of a store
	MethodReplicate                                  // Replicate, notification: a primary to a member
	MethodAcked                                      // Acked, notification: the answer
	MethodCompare                                    // Compare, notification: a primary to a member
	MethodDiffer                                     // Differ, notification: the answer, one for each bucket that differs
	MethodFetch                                      // Fetch, notification: a primary to a member
	MethodFetched                                    // Fetched, notification: the answer
	MethodFilled                                     // Filled, notification: a primary to a joining member
)

// Hello says who connects, and to which disk it means to talk.
type Hello struct {
	From string // disk
	To   string // disk
}

// HelloReply says whether the store has the disk that was meant.
type HelloReply struct {
	Accepted bool
}

// Replicate carries changes that a primary made.
type Replicate struct {
	Epoch   uint64
	Number  uint64 // of this notification on its connection
	Old     bool   // messages are not new: their delays run by the time of day
	Records [][]byte
}

// Acked says that the Replicate of a number and all before it on the connection are on disk.
type Acked struct {
	Number uint64
}

// Compare asks a member which part of a partition differs from the primary's.
type Compare struct {
	Epoch        uint64
	Partition    uint16
	ComparisonID uint64 // names the comparison
	Horizon      uint64 // finished messages up to this sequence are removed
	Sums         []uint64
}

// Digest stands for what a member knows of one message.
type Digest struct {
	ID     string
	Sum    uint64
	State  wire.State
	Failed uint16
	NoBody bool // it is dead, and its body is not there
}

// Differ lists what a member has in one bucket.
type Differ struct {
	Partition    uint16
	ComparisonID uint64
	Bucket       uint16 // bucketCount: none
	Last         bool   // no more buckets differ
	Entries      []Digest
}

// Fetch asks a member for what it knows of some messages.
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
	Last         bool // of the answers to one Fetch
	Records      [][]byte
}

// Filled notifies a joining member that it has all of a partition on disk.
type Filled struct {
	Epoch     uint64
	Partition uint16
}
