package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"sync"
)

// Journal is an open log. It is safe for concurrent use.
type Journal struct {
	dir     string
	options Options

	mu       sync.Mutex
	files    map[uint32]*os.File // open segments, by number
	sizes    map[uint32]uint32   // lengths of the segments on disk, by number
	oldest   uint32
	newest   uint32  // the segment that appends go to
	end      uint32  // length of the newest segment, including queued records
	queued   []chunk // chunks to write next
	writing  []chunk // chunks that are being written
	spare    []byte  // a buffer to reuse for the next chunk
	appended uint64  // bytes appended since Open
	used     int64   // bytes in all segments, including queued records
	err      error   // the error that stopped the journal
	closing  bool

	wake chan struct{} // wakes the goroutine of run
	stop chan struct{} // closed by Close
	done chan struct{} // closed when run returns
}

// Open opens the journal in a folder, which it creates if necessary, and calls visit for each record in the order of
// writing. The payload is valid only until visit returns. Open fails with ErrDamaged, or with an error of the disk or
// of visit.
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

// Append queues a record. It returns the location of the record and its position: the record is on disk once OnSync has
// reported that position or a higher one.
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
	c.data = binary.BigEndian.AppendUint32(c.data, crc32.Checksum(payload, castagnoli))
	c.data = append(c.data, payload...)
	length := uint32(recordHeader + len(payload))
	j.end += length
	j.used += int64(length)
	j.appended += uint64(length)
	j.signal()
	return at, j.appended
}

// tail returns the chunk to which the next record is appended, a new one if necessary.
func (j *Journal) tail() *chunk {
	if n := len(j.queued); n > 0 && j.queued[n-1].segment == j.newest && j.queued[n-1].remove == nil {
		return &j.queued[n-1]
	}
	j.queued = append(j.queued, chunk{segment: j.newest, offset: j.end, data: j.spare[:0]})
	j.spare = nil
	return &j.queued[len(j.queued)-1]
}

// signal wakes the goroutine of run.
func (j *Journal) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Position returns the position of the last record: the number of bytes appended since Open.
func (j *Journal) Position() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.appended
}

// Used returns the total length of all segments in bytes, including queued records.
func (j *Journal) Used() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.used
}

// Segments returns the numbers of the oldest segment and of the newest, to which records are appended.
func (j *Journal) Segments() (oldest, newest uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.oldest, j.newest
}

// Remove queues the removal of the oldest segment. The segment is removed once all records appended so far are on disk.
// Remove does nothing if the segment is not the oldest, or is also the newest.
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

// Close writes and syncs all queued records and closes the files. It returns an error if the disk has failed or is
// full. It may be called more than once.
func (j *Journal) Close() error {
	j.mu.Lock()
	alreadyClosing := j.closing
	j.closing = true
	j.mu.Unlock()
	if !alreadyClosing {
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
