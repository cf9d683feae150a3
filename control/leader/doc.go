// Package leader is what the holder of the leader lease does: it grants leases of membership, reads the platform's list of workers, places the
// partitions of the queue on stores, and is the root of the relay tree.
//
// Each control process has one Service, which answers members, and leads in one term after another when Lead is called. A term is a goroutine
// that handles events in order and passes them on to its parts:
//
//   - memberLeases: who holds a lease, and over which connection it renewed last;
//   - memberList: the topic of members, and the schedulers saved for the next leader;
//   - workerList: the topic of workers, as discovery reads them;
//   - placer: the placement of the queue, and orders to retire a store;
//   - takeover: what members and the control state know of earlier terms;
//   - publisher: the versions of the topics, and the root of the relay tree.
//
// Each act asks first whether the leader lease still holds. What is written carries the term's number, and the state machine refuses what an
// older term writes: so two processes that both take themselves for the leader do no harm.
package leader
