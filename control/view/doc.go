// Package view agrees on who belongs to the core and in which order its chain runs. The view of each epoch is decided by single-decree
// Paxos among the voters of the epoch before (Lamport, "Paxos Made Simple"); views are to the chain what the configurations of a master
// are in chain replication (van Renesse and Schneider).
//
// It is pure. A voter keeps its Vote on disk: Prepare and Accept say when it has changed, and then it must be synced before the answer
// leaves. A Proposer makes one attempt at deciding the successor of a view; Plan makes the view to propose out of what the proposer knows
// of the others.
package view
