// Package view decides on the members of the core and on the order of its chain. The view of each epoch is decided by
// single-decree Paxos among the voters of the preceding epoch (Lamport, "Paxos Made Simple"). Views play the part
// that the configurations of a master have in chain replication (van Renesse and Schneider).
//
// The package does no I/O and has no clock. A voter keeps its Vote on disk: Prepare and Accept report whether it has
// changed, and then it must be synced before the answer is sent. A Proposer makes one attempt at deciding the
// successor of a view. Plan computes the view to propose from what the proposer knows about the other members.
package view
