package journal

import "os"

// DefaultSegmentBytes is the length at which a segment gets no more records, in bytes.
const DefaultSegmentBytes = 8 << 20

// Options of a journal.
type Options struct {
	SegmentBytes int // a segment that is as long gets no more records; zero for DefaultSegmentBytes
	// OnSync is called after each sync with the position up to which all is on disk. The journal's goroutine calls all three functions, and
	// goes on once they return.
	OnSync func(position uint64)
	// OnError is called once when the disk fails: nothing is synced from then on. A full disk does not fail: what was appended waits until
	// there is space.
	OnError func(error)
	// OnFull is called when the disk is full, once before each wait for space.
	OnFull func()

	write func(file *os.File, data []byte, at int64) error // by default the file's WriteAt; tests replace it
}
