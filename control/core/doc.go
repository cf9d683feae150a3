// Package core is the replicated core of the control plane: it orders commands for a state machine so that no
// acknowledged command is lost, and grants the leader lease to one process at a time.
//
// It combines four protocols, each in a package or a type of its own. A view lists the members and their order; the
// view of each epoch is decided by Paxos among the voters of the previous view (control/view, viewChange). Within a
// view, commands are replicated by chain replication (control/chain): the head orders them, each member syncs them and
// passes them on, and whatever the tail has is committed. The voters grant the leader lease (control/lease,
// leaderLease). A member writes what it promises, accepts or grants to its disk before it sends it (durability; file
// format: control/slots).
//
// The node implements all of that without clock, sockets or disk, as etcd's raft library does. Its driver calls Tick no
// later than the time that the last Tick returned, Receive with the messages of other processes, Submit, and OnDisk or
// DiskFailed when a write has ended; after each call it takes the output with Take. The driver must execute writes in
// order, sync each of them completely, and report them in that order. It may send messages at once, since the node
// holds back those that depend on a write. Core drives one node on real sockets and files; the simulations and the
// model in this package's tests drive many nodes in virtual time.
package core
