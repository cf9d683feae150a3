// Package chain is one member's part in chain replication: the head orders entries, each member has them on disk before it passes them
// on, the tail commits them, and acknowledgements of the commit go back up to the head (van Renesse and Schneider, "Chain Replication for
// Supporting High Throughput and Availability", 2004).
//
// A Chain does no I/O and has no clock. Whoever drives it
//
//   - gives it each decided view with Adopt, and seals it with Seal before a promise for the next view leaves;
//   - gives it the messages of its neighbours (OnAttach, OnFill, OnAppend, OnAck, OnGap), the heartbeats of all members (OnHeartbeat),
//     and the time (Tick);
//   - after each of these takes the Actions by Take, and carries them out in the order of their fields: install a snapshot, write to disk, apply,
//     send;
//   - after writing takes a LogOffset, and gives that to OnSynced once the write is on disk.
//
// In a new epoch a member attaches to its predecessor first: Attach says what it has, and Fill makes its log the same as the
// predecessor's, by entries or by a snapshot. It is attached when that is on disk. From then on it takes entries (Append), and commits.
package chain
