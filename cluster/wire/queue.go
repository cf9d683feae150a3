package wire

//msgp:tuple Message Attach AttachReply Put PutReply Report ReportReply Claim ClaimReply Find FindReply Grant

// Message is a client's request that the system has accepted, or is asked to accept.
type Message struct {
	ID          string // its name for clients; PartitionOf tells where it lies
	RequestID   string
	Route       string // name of the route it came by
	Method      string
	Host        string
	Target      string // path and query, as received
	ContentType string
	Key         string // Order-Key; empty: no order
	Body        []byte
	SentUnixMs  int64  // time of day when it was received
	DelayMs     uint32 // it may be delivered so long after that
	RetentionMs uint32 // it is finished so long after that, delivered or not
	Retries     uint16 // failed attempts after which it is dead
	Ordered     bool   // its route is ordered by Key
}

// State of a message.
type State uint8

// The states of a message.
const (
	StatePending State = iota
	StateDone
	StateDead    // refused for good, or failed as often as its route allows, or retained to its end
	StateDropped // its route was removed
)

// Attach says to a store which edge is at the other end of a connection.
type Attach struct {
	Edge     string // Member.ID
	Zone     string
	Draining bool // assign nothing to it: it is being stopped
}

// AttachReply says under which epoch the store acts.
type AttachReply struct {
	Epoch uint64
}

// PutCode says what became of a Put.
type PutCode uint8

// The answers to a Put. Only PutAccepted accepts a message; after PutStale, PutNotPrimary and PutRejected nothing was accepted and
// nothing will be. PutUnknown leaves it open.
const (
	PutAccepted   PutCode = iota
	PutStale              // the store acts under another epoch: see PutReply.Epoch
	PutNotPrimary         // the partition's primary is another store
	PutRejected           // too few stores, or too full
	PutUnknown
)

// Put asks the primary of a partition to accept a message. The same message may be put again.
type Put struct {
	Partition uint16
	Epoch     uint64
	Message   Message
	Dispatch  bool // the edge will deliver it: else the store assigns it to one that can
}

// PutReply answers a Put.
type PutReply struct {
	Code    PutCode
	Epoch   uint64
	Granted bool // of a message with an order: it is the first of its key, and may be delivered now
}

// Grant assigns a message to an edge for delivery, or notifies its leaseholder that it may deliver it now.
type Grant struct {
	Partition  uint16
	Epoch      uint64 // of the store that grants
	ID         string
	Failed     uint16 // attempts that failed
	HasMessage bool   // Message is set: the edge did not have it
	Message    Message
}

// ReportKind says how a delivery went.
type ReportKind uint8

// The kinds of reports. ReportFailed and ReportReleased leave the message pending.
const (
	ReportDone     ReportKind = iota // with Signature
	ReportFailed                     // one more failed attempt; the edge goes on leasing the message
	ReportDead                       // refused for good, or failed too often
	ReportDropped                    // its route was removed
	ReportReleased                   // the edge ends its lease without an outcome
	ReportExpired                    // retained to its end
)

// Report notifies the primary of a message's partition of what became of its delivery. It may be sent again.
type Report struct {
	Partition uint16
	Epoch     uint64
	ID        string
	Kind      ReportKind
	Failed    uint16 // failed attempts so far, this one included
	Signature string
}

// ReportReply is sent once the report is on disk at all replicas. Code is as for a Put: PutAccepted, PutStale, PutNotPrimary or
// PutUnknown. A report of an unknown message is PutAccepted.
type ReportReply struct {
	Code  PutCode
	Epoch uint64
}

// Claim says to a new primary which messages of its partitions an edge leases, so that it does not assign them anew. It is sent
// after Attach, and again for each epoch, even if empty.
type Claim struct {
	Epoch uint64
	IDs   []string
}

// ClaimReply lists the claimed messages that the store does not know as pending: the edge drops them if no reply
// has said that they are accepted, or if they are finished.
type ClaimReply struct {
	Code    PutCode
	Epoch   uint64
	Unknown []string
}

// Find asks for a message's state, and with Body for its bytes. Any replica answers that knows the message. That it does not know it a
// store says only under the epoch that the asker names: another placement may have the message elsewhere.
type Find struct {
	ID    string
	Body  bool
	Epoch uint64
}

// FindReply answers a Find.
type FindReply struct {
	Found     bool
	State     State
	Signature string
	Body      []byte
}
