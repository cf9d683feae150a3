package wire

//msgp:tuple Message Attach AttachReply EdgeConfig Put PutReply Report ReportReply Claim ClaimReply Find FindReply Grant

// Message is a client's request that the system has accepted or is to accept.
type Message struct {
	ID          string // given to clients; PartitionOf returns its partition
	RequestID   string
	Route       string // name of the matching route
	Method      string
	Host        string
	Target      string // path and query, as received
	ContentType string
	Key         string // Order-Key header; empty: not ordered
	Body        []byte
	SentUnixMs  int64  // wall-clock time at which it was received
	DelayMs     uint32 // time from SentUnixMs until it may be delivered
	RetentionMs uint32 // time from SentUnixMs until it is finished, delivered or not
	Retries     uint16 // failed attempts after which it is dead
	Ordered     bool   // its route delivers messages in order of Key
}

// State is the state of a message.
type State uint8

// The states of a message.
const (
	StatePending State = iota
	StateDone
	StateDead    // permanently refused, failed as often as its route allows, or its retention has expired
	StateDropped // its route was removed
)

// IsKnown reports whether the state is one of those above.
func (s State) IsKnown() bool { return s <= StateDropped }

// Attach identifies the edge of a connection to a store.
type Attach struct {
	Edge     string // Member.ID
	Zone     string
	Draining bool // it is being stopped: assign no messages to it
}

// AttachReply returns the epoch that the store applies.
type AttachReply struct {
	Epoch uint64
}

// EdgeConfig notifies a store of the version of the configuration that the edge of a connection applies. The edge sends
// it after Attach, and again for each newer version. Edges of earlier versions of the program do not send it.
type EdgeConfig struct {
	Version uint64
}

// PutCode is the result of a Put.
type PutCode uint8

// The results of a Put. PutAccepted means that the message is accepted. After PutStale, PutNotPrimary and PutRejected
// it is not accepted and never will be by this Put. After PutUnknown it may or may not be accepted.
const (
	PutAccepted   PutCode = iota
	PutStale              // the store applies another epoch: see PutReply.Epoch
	PutNotPrimary         // the partition's primary is another store
	PutRejected           // too few stores are available, or they are too full
	PutUnknown
)

// Put asks the primary of a partition to accept a message. It may be repeated with the same message.
type Put struct {
	Partition uint16
	Epoch     uint64
	Message   Message
	Dispatch  bool // the edge will deliver the message; otherwise the store assigns it to an edge that can
}

// PutReply answers a Put.
type PutReply struct {
	Code    PutCode
	Epoch   uint64
	Granted bool // for an ordered message: it is the first one of its key and may be delivered now
}

// Grant assigns a message to an edge for delivery, or notifies the edge that already leases the message that it may
// deliver it now.
type Grant struct {
	Partition  uint16
	Epoch      uint64 // of the granting store
	ID         string
	Failed     uint16 // failed attempts so far
	HasMessage bool   // Message is set, because the edge does not have it
	Message    Message
}

// ReportKind is the outcome of a delivery.
type ReportKind uint8

// The kinds of reports. ReportFailed and ReportReleased leave the message pending.
const (
	ReportDone     ReportKind = iota // with Signature
	ReportFailed                     // one more attempt failed; the edge keeps its lease of the message
	ReportDead                       // permanently refused, or failed too often
	ReportDropped                    // its route was removed, or its put was abandoned: Signature has the DropReason
	ReportReleased                   // the edge ends its lease without an outcome
	ReportExpired                    // its retention has expired
)

// Report notifies the primary of a message's partition of the outcome of a delivery. It may be repeated.
type Report struct {
	Partition uint16
	Epoch     uint64
	ID        string
	Kind      ReportKind
	Failed    uint16 // failed attempts so far, this one included
	Signature string // of ReportDone: the worker's signature; of ReportDropped: a DropReason
}

// ReportReply is sent after all replicas have written the report to disk. Code is PutAccepted, PutStale, PutNotPrimary
// or PutUnknown, as for a Put. A report on an unknown message is answered with PutAccepted.
type ReportReply struct {
	Code  PutCode
	Epoch uint64
}

// Claim lists for a new primary which messages of its partitions an edge leases, so that the primary does not assign
// them again. An edge sends it after Attach and for each new epoch, even if the list is empty.
type Claim struct {
	Epoch uint64
	IDs   []string
}

// ClaimReply lists the claimed messages that are not pending at the store. The edge drops those that no reply has
// confirmed as accepted, and those that are finished.
type ClaimReply struct {
	Code    PutCode
	Epoch   uint64
	Unknown []string
}

// Find requests a message's state, and with Body also its content. Any replica that holds the message can answer. A
// store reports a message as not found only if it applies the epoch of the request: under another placement other
// stores may hold the message.
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
