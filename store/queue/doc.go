// Package queue implements the durable message queue of one store as a pure core: a state machine without a clock,
// goroutine, socket or file of its own. Package server passes it events, each with its time, and the core acts through
// the interfaces Journal, Host, Remote and Replier.
//
// A store owns one disk. The control plane assigns each partition of the queue to a primary and further replicas, and
// publishes the assignment as a numbered view (its epoch). An edge is a scheduler: it puts messages into the queue, and
// delivers them to workers.
//
// # Driving the core
//
// The caller creates a core with New, passes each record of the journal to Recover in order, and then passes the
// journal to Start. After that each event is one method call, and calls must not overlap: requests of edges
// (AttachEdge, ClaimMessages, PutMessage, ReportDelivery, FindMessage), messages of other stores (Replicate, Compare,
// Fetch, Filled and their answers Acked, Differ, Fetched), connections (PeerUp, PeerDown, RemoteDown), the journal
// (JournalSynced, DiskFull), the control plane (SetView, SetEdges) and time (Tick, as requested through Host.WakeAt).
//
// # Message lifecycle
//
// A put is accepted once the message is on the disks of all members of its partition. An edge that puts, claims or is
// assigned the message leases it, and may deliver it once the store has granted it: at once, or, for a message with an
// order key, when all earlier messages of the key are finished. The lease ends when the edge releases the message,
// stays disconnected for too long, or doesn't claim the message after it has reconnected. The message is unowned then,
// and the store assigns it to an edge once its delay is over. A report by an edge sets the message's outcome: the
// message is finished (done, dead or dropped), and removed after the retention time.
//
// # Replication
//
// The members of a partition are its primary, the other replicas, and joining stores, which are still receiving the
// partition's content. Only the primary decides on changes. It applies a change, appends it to its journal and sends it
// to all other members; the operation is complete once all members have it on disk. A record from the primary
// overwrites the member's state of the message.
//
// # Takeover
//
// A new or restarted primary first compares its content with that of each other replica, adopts the messages and
// outcomes that only they have, and sends them what they lack. Until that is done, and edges have had time to claim the
// messages that they lease, it grants nothing. The same comparison copies a partition to joining members, and repairs
// differences found by the periodic scrub.
//
// Every member stores for each pending message which edge leased it last. The primary assigns an unowned message to
// that edge as long as the edge is connected: it may have finished the message already, and then reports the outcome.
// Other edges get the message once the last leaseholder has disconnected for good or has released it.
//
// # Retention
//
// Outcomes have sequence numbers, and the primary removes finished messages in that order. Each comparison carries the
// sequence number of the last message that the primary has removed (the horizon), so that members remove exactly the
// same messages.
package queue

//go:generate go run github.com/tinylib/msgp -file record.go -o record_gen.go -tests=false
//go:generate go run github.com/tinylib/msgp -file protocol.go -o protocol_gen.go -tests=false
