// Package chain implements one member's part in chain replication: the head orders entries, each member syncs them to
// disk before it forwards them to its successor, the tail commits them, and acknowledgements of the commit travel
// back to the head (van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability",
// 2004).
//
// A Chain does no I/O and has no clock. Its caller
//
//   - passes each decided view to Adopt, and calls Seal before it sends a promise for the next view;
//   - passes on the messages of the neighbours in the chain (OnAttach, OnFill, OnAppend, OnAck, OnGap), the
//     heartbeats of all members (OnHeartbeat), and the time (Tick);
//   - after each of these calls gets the Actions from Take, and carries them out in the order of their fields:
//     install a snapshot, write to disk, apply, send;
//   - after writing calls LogOffset, and passes the result to OnSynced once the write is on disk.
//
// In a new epoch a member first attaches to its predecessor: Attach reports its log position, and Fill makes its log
// equal to the predecessor's, by entries or by a snapshot. The member is attached when that is on disk. From then on
// it accepts entries (Append) and commits.
package chain
