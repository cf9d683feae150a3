// Package member implements the membership agent of each scheduler and store: it renews the process's membership lease
// at the leader, takes part in the relay tree, and provides the newest state of all topics as immutable snapshots.
//
// Agent owns the connection and the mailbox. The session, which does no I/O, decides when to renew and at which control
// process. A process may act as a member while Agent.Leased returns true. Once Agent.Current returns true, its state is
// at least as new as the leader's was at the process's first granted renewal.
package member
