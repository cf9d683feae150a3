// Package queue is the durable queue of one store, as a pure core: it is given events with their time, and acts through the interfaces
// Journal, Host and Remote. It has no clock, goroutine, socket or file of its own; package server drives it.
//
// # Driving the core
//
// New makes a core, Recover gets each record of the journal in order, and Start hands the journal over. From then on each event is one call
// by one goroutine at a time: requests of edges (AttachEdge, ClaimMessages, PutMessage, ReportDelivery, FindMessage), messages of other stores
// (Replicate, Compare, Fetch, Filled and their answers Acked, Differ, Fetched), connections (PeerUp, PeerDown, EdgeDown), the journal
// (JournalSynced, DiskFull), the control plane (SetView, SetEdges) and time (Tick, as asked for through Host.WakeAt).
//
// # The life of a message
//
// A put is accepted once the message is on the disks of all members of its partition. An edge that puts, claims or is assigned the message
// leases it, and may deliver it once it is granted: at once, or when all earlier messages of its key are finished. The lease ends when the edge
// releases the message, is away for too long, or does not claim it; the message is requeued then, unowned, and assigned to an edge when it is due.
// A report gives it its outcome: it is finished (done, dead or dropped), and removed after a retention.
//
// # Replication
//
// The primary of a partition alone decides. It applies a change, appends it to its journal and sends it to all other members of the partition;
// the operation is complete once all have it on disk. What a primary sends overwrites what a member has.
//
// # Takeover
//
// A new primary, or one that has restarted, first compares its content with that of each other replica, adopts what only they have, and sends them
// what they lack. It grants nothing before that, and before edges had the time to claim what they lease. The same comparison fills joining
// members, and repairs what a scrub finds.
//
// All members know of each pending message which edge leased it last. An unowned message goes to that edge first, as long as it is
// connected: it may have finished it, and then reports so. Others get it once that edge has departed or has released it.
//
// # Retention
//
// Outcomes are numbered. The primary removes finished messages in that order, and the number of the last one that it has removed goes along with
// each comparison (the horizon): members remove exactly the same.
package queue

//go:generate go run github.com/tinylib/msgp -file record.go -o record_gen.go -tests=false
//go:generate go run github.com/tinylib/msgp -file protocol.go -o protocol_gen.go -tests=false
