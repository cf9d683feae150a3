package journal

import "os"

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 8 << 20

// Options configures a journal.
type Options struct {
	SegmentBytes int // a segment that has reached this length gets no more records; 0: DefaultSegmentBytes
	// OnSync is called after each sync with the position up to which all records are on disk. The journal's goroutine
	// calls OnSync, OnError and OnFull, and writes nothing until they return.
	OnSync func(position uint64)
	// OnError is called once when the disk fails: nothing is synced from then on. A full disk is no failure: appended
	// records wait in memory until there is space.
	OnError func(error)
	// OnFull is called once each time the journal starts to wait for space on a full disk.
	OnFull func()

	write func(file *os.File, data []byte, at int64) error // writeAt by default; tests replace it
}
