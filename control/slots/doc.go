// Package slots keeps a small state on disk: two slot files written in turn hold a snapshot each, and a log of records follows the newer one.
// Whatever was there when Append or Snapshot returned without an error is there after a loss of power.
//
// The files are slot-0, slot-1, log-0 and log-1; a generation uses those of its parity. All of them are rows of records: length (4 bytes, little end
// first, as all numbers), generation (8), xxhash64 over both and the content (8), content. A slot is one record, a snapshot; a log begins with an
// empty record, which shows that the slot of its generation was synced before.
package slots
