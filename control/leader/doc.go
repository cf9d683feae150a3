// Package leader implements the work of the process that holds the leader lease: it grants membership leases, reads the
// platform's list of workers, places the partitions of the queue on stores, and is the root of the relay tree.
//
// Each control process has one Service, which answers requests of members. Each call of Lead leads for one term. A term
// is a goroutine that handles events in order and passes them on to its parts:
//
//   - memberLeases: the members that hold a lease, and the connection of each one's last renewal;
//   - memberList: the topic of members, and the schedulers saved for the next leader;
//   - workerList: the topic of workers, as package discovery reads them;
//   - placer: the placement of the queue, and the orders to retire a store;
//   - takeover: the state of earlier terms, as members and the control state hold it;
//   - publisher: the versions of the topics, and the root of the relay tree.
//
// A term checks that the leader lease is still valid before each action. Writes carry the term's number, and the state
// machine rejects writes of an older term: two processes that both consider themselves the leader therefore do no harm.
package leader
