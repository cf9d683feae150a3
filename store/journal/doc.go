// Package journal is a write-ahead log on one disk: records are appended to numbered segments and synced in groups.
//
// A segment is the file NNNNNNNNNN.journal: the eight bytes "rvnjrnl1" and the segment's number, followed by records. A
// record is the length of its payload, the CRC-32 (Castagnoli) of the payload, and the payload. Numbers are 32 bits,
// big-endian.
//
// Only the last write to the newest segment may be unsynced: a segment is synced before the next one is created. After
// a power failure that write may be missing or torn, so Open stops at the first invalid record of the newest segment
// and truncates the segment there. An invalid record anywhere else is damage (ErrDamaged).
//
// Segments are removed one by one, the oldest first, and the folder is synced after each: a record that supersedes an
// older one is never removed before it.
package journal
