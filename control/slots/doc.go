// Package slots stores a small state on disk. Two slot files, written alternately, each hold a snapshot; a log of
// records follows the newer one. Everything written by a call of Append or Snapshot that returned without an error
// survives a power loss.
//
// The files are slot-0, slot-1, log-0 and log-1; a generation uses those of its parity. All files are sequences of
// records: length (4 bytes, little-endian as all numbers), generation (8), xxhash64 over both and the content (8),
// content. A slot is one record, a snapshot. A log begins with an empty record, which shows that the slot of its
// generation was synced before.
package slots
