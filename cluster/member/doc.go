// Package member is the agent that each scheduler and store runs: it holds the process's lease of membership at the leader, takes part in
// the relay tree, and gives the process the newest state of all topics as immutable snapshots.
//
// Agent is the shell: it owns the connection and the mailbox. When to renew, and at which control process, is decided by session, which is pure.
// A process may act as a member while Agent.Leased holds, and its state is no older than the leader's at its start once Agent.Current holds.
package member
