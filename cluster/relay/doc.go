// Package relay distributes updates of the topics from the leader to all processes, along a tree of schedulers with a
// bounded fan-out.
//
// Parents defines the tree: each process computes its parents from the list of members alone. Topics holds the newest
// version of each topic and the recent deltas that led to it, Children records what each child was sent, and Uplink
// selects the parent that a process subscribes to; these do no I/O. Node connects them to the network. A parent sends
// each child what is newer than the child's versions, as deltas if it has them, and every 500 ms a heartbeat with its
// versions. A child that lacks an announced version fetches it from its parent or from the leader.
package relay
