// Package relay brings updates of the topics from the leader to all processes, along a tree of schedulers with a bounded fan-out.
//
// Parents shapes the tree: it is computed by each process from the list of members alone. Topics holds the newest version of each topic
// and the deltas that led to it, Children what each child was sent, Uplink which parent a process subscribes to; these are pure. Node is the
// shell that connects them. A parent sends each child what is newer than what it has, as deltas if it has them, and a heartbeat with the
// versions each 500 ms; a child that misses a version that was named fetches it from its parent or from the leader.
package relay
