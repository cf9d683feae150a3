// Package state is the state machine of the control plane: the operator's configuration, the leader's term and the placement of the
// queue. It is deterministic: the same commands in the same order lead to the same state and the same results everywhere.
//
// A process encodes a Command, has it ordered and committed by the core, and each member applies it to its Machine; the Result of the
// member that was asked answers the caller. Snapshot and Restore carry the whole state to a disk and to members that lack the log. Orders
// of the operator are compare-and-set on the configuration's version, and a duplicate of one that was applied is acknowledged again, as
// long as the history holds it.
package state
