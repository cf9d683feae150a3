// Package journal is a write-ahead log on one disk: records are appended to numbered segments, and synced in groups.
//
// A segment is the file NNNNNNNNNN.journal: the eight bytes "rvnjrnl1" and the segment's number, then records, each of them its length, the
// CRC-32 (Castagnoli) of its payload, and the payload. Numbers are of 32 bits, big-endian.
//
// Only the newest write of the newest segment is ever unsynced: a segment is synced before the next one is made. After a loss of
// power that write may be missing or torn, so reading stops at the newest segment's first bad record, and what follows is
// truncated. A bad record anywhere else is damage (ErrDamaged).
//
// Segments are removed from the oldest on, one by one, and the folder is synced between: a record that undoes an older one
// never goes first.
package journal
