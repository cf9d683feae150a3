// Package core is the replicated core of the control plane: it orders commands for a state machine so that none that was acknowledged is lost,
// and grants one process at a time the leader lease.
//
// It is built of four agreements, each a package or a type of its own. The members and their order are a view; the view of each epoch is decided by
// Paxos among the voters of the one before (control/view, viewChange). Within a view, commands pass along a chain (control/chain), as in chain
// replication: the head orders them, each member syncs and passes them on, and what the tail has is committed. The voters grant the leader lease
// (control/lease, leaderLease). What a member promises, accepts or grants is on its disk before it is sent (durability; files: control/slots).
//
// The node does all of that without clock, sockets or disk, as etcd's raft library does. Whoever drives it calls Tick by the time that the last Tick returned, Receive with
// what others sent, Submit, and OnDisk or DiskFailed when a write has ended; after each call it takes the output with Take. Writes must be done in
// order, each by a whole sync, and be reported in that order; messages may be sent at once, since the node holds back those that need a write. Core
// drives one on real sockets and files; simulations and the model in this package's tests drive many in virtual time.
package core
