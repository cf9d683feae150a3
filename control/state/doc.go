// Package state is the state machine of the control plane: the operator's configuration, the leader's term and the
// placement of the queue. It is deterministic: the same commands in the same order lead to the same state and the same
// results everywhere.
//
// A process encodes a Command and submits it to the core, which orders and commits it. Each member applies committed
// commands to its Machine; the caller receives the Result of the member that it submitted the command to. Snapshot and
// Restore transfer the whole state to disk and to members that lack the log. Configuration changes of the operator (Set
// and Patch) are compare-and-set on the configuration's version. A duplicate of a change that was applied is
// acknowledged again, as long as the history contains that change.
package state
