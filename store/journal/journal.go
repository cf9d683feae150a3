package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"sync"
)

// Journal is an open log. Its methods may be called by any goroutine.
type Journal struct {
	dir     string
	options Options

	mu       sync.Mutex
	files    map[uint32]*os.File // synced segments, and the newest
	sizes    map[uint32]uint32   // their lengths on disk
	oldest   uint32
	newest   uint32  // the segment that appends go to
	end      uint32  // its length with what is queued
	queued   []chunk // waits to be written
	writing  []chunk // is being written
	spare    []byte  // a buffer for the next chunk
	appended uint64  // bytes since Open
	used     int64   // bytes of all segments, with what is queued
	err      error   // why the disk failed
	closing  bool

	wake chan struct{} // has the goroutine of run look at the queue
	stop chan struct{} // closed by Close
	done chan struct{} // closed when run returns
}

// Open reads a journal, in the order in which it was written, and makes it ready for more; a folder that does not exist is made. Visit gets each
// record, and may keep the payload only until it returns. Open fails with ErrDamaged, or as the disk or visit does.
func Open(dir string, options Options, visit func(at Location, payload []byte) error) (*Journal, error) {
	if options.SegmentBytes <= 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	if options.write == nil {
		options.write = writeAt
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j := &Journal{
		dir: dir, options: options, files: make(map[uint32]*os.File), sizes: make(map[uint32]uint32),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	if err := j.recover(visit); err != nil {
		j.closeFiles()
		return nil, err
	}
	go j.run()
	return j, nil
}

// Append queues a record. It returns the location at which the record lies, and the position that OnSync reports once it is on disk.
func (j *Journal) Append(payload []byte) (Location, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if int(j.end) >= j.options.SegmentBytes {
		j.newest++
		j.end = segmentHeader
	}
	at := Location{Segment: j.newest, Offset: j.end}
	c := j.tail()
	c.data = binary.BigEndian.AppendUint32(c.data, uint32(len(payload)))
	c.data = binary.BigEndian.AppendUint32(c.data, crc32.Checksum(payload, checksums))
	c.data = append(c.data, payload...)
	length := uint32(recordHeader + len(payload))
	j.end += length
	j.used += int64(length)
	j.appended += uint64(length)
	j.signal()
	return at, j.appended
}

// tail is the chunk that the next record goes to.
func (j *Journal) tail() *chunk {
	if n := len(j.queued); n > 0 && j.queued[n-1].segment == j.newest && j.queued[n-1].remove == nil {
		return &j.queued[n-1]
	}
	j.queued = append(j.queued, chunk{segment: j.newest, offset: j.end, data: j.spare[:0]})
	j.spare = nil
	return &j.queued[len(j.queued)-1]
}

// signal wakes the journal's goroutine.
func (j *Journal) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Position is that of all that was appended since Open, in bytes.
func (j *Journal) Position() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.appended
}

// Used is the length of all segments, in bytes.
func (j *Journal) Used() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.used
}

// Segments are the numbers of the oldest segment and of the one that appends go to.
func (j *Journal) Segments() (oldest, newest uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.oldest, j.newest
}

// Remove queues the removal of the oldest segment, once all that was appended so far is on disk. It must not be the newest.
func (j *Journal) Remove(segment uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if segment != j.oldest || segment >= j.newest {
		return
	}
	j.oldest++
	if len(j.queued) == 0 {
		j.queued = append(j.queued, chunk{segment: j.newest, offset: j.end})
	}
	last := &j.queued[len(j.queued)-1]
	last.remove = append(last.remove, segment)
	j.signal()
}

// Close writes and syncs what is queued, and closes the files. It fails if the disk has failed, or is full. It may be called again.
func (j *Journal) Close() error {
	j.mu.Lock()
	again := j.closing
	j.closing = true
	j.mu.Unlock()
	if !again {
		close(j.stop)
	}
	j.signal()
	<-j.done
	j.closeFiles()
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.err
}

func (j *Journal) closeFiles() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for number, file := range j.files {
		_ = file.Close()
		delete(j.files, number)
	}
}
