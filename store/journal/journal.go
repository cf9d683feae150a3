// Package journal is a write-ahead log on one disk: records are appended to numbered segments, and synced in groups.
//
// Only the newest write of the newest segment is ever unsynced: a segment is synced before the next one is made. After a loss of
// power that write may be missing or torn, so reading stops at the newest segment's first bad record, and what follows is
// cut off. A bad record anywhere else is damage.
//
// Segments are removed from the oldest on, one by one, and the folder is synced between: a record that undoes an older one
// never goes first.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of the log.
const (
	DefaultSegmentBytes = 8 << 20
	MaxRecord           = 48 << 20 // bytes of one record

	recordHeader  = 4 + 4 // length and checksum of the payload
	segmentHeader = 8 + 4 // magic, number
	magic         = "rvnjrnl1"
	suffix        = ".journal"
	keptBuffer    = 256 << 10              // larger buffers are given back after use
	roomPause     = 100 * time.Millisecond // a disk without room is tried again
	readGuess     = 2 << 10                // bytes read in the hope that they hold a record whole
	scanBuffer    = 64 << 10
)

// Errors of a journal.
var (
	ErrClosed  = errors.New("journal: closed")
	ErrDamaged = errors.New("journal: damaged record")
	ErrGone    = errors.New("journal: no such record")
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Location is where a record starts. The zero Location is none.
type Location struct {
	Segment uint32
	Offset  uint32 // in bytes
}

// Options of a journal.
type Options struct {
	SegmentBytes int // a segment that is as long takes no more; zero for the default
	// OnSync is called after each sync with the position up to which all is on disk, by the journal's goroutine.
	OnSync func(position uint64)
	// OnError is called once when the disk fails: nothing is synced from then on. A disk without room does not fail: what was
	// appended waits until there is some.
	OnError func(error)
	// OnFull is called when the disk has no room, before the wait for it: once for each.
	OnFull func()

	write func(file *os.File, data []byte, at int64) error // tests only: in the place of the file's
}

// chunk is what one write puts into one segment.
type chunk struct {
	segment uint32
	offset  uint32
	data    []byte
	remove  []uint32 // segments to remove once all before is on disk
}

func (c *chunk) holds(at Location) bool {
	return c.segment == at.Segment && at.Offset >= c.offset && at.Offset < c.offset+uint32(len(c.data))
}

// Journal is an open log. Its methods may be called by any goroutine.
type Journal struct {
	dir     string
	options Options

	mu       sync.Mutex
	files    map[uint32]*os.File // synced segments, and the newest
	sizes    map[uint32]uint32
	oldest   uint32
	newest   uint32  // the segment that appends go to
	end      uint32  // its length with what is queued
	queued   []chunk // waits to be written
	writing  []chunk // is being written
	spare    []byte
	appended uint64
	used     int64
	err      error
	closing  bool
	wake     chan struct{}
	stop     chan struct{} // closed by Close
	done     chan struct{}
}

// Open reads a journal, in the order in which it was written, and makes it ready for more. Visit gets each record; the payload
// is its only until it returns.
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

func (j *Journal) path(segment uint32) string {
	return filepath.Join(j.dir, fmt.Sprintf("%010d%s", segment, suffix))
}

func (j *Journal) segments() ([]uint32, error) {
	entries, err := os.ReadDir(j.dir)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	var numbers []uint32
	for _, entry := range entries {
		var number uint32
		if _, err := fmt.Sscanf(entry.Name(), "%010d"+suffix, &number); err == nil && number > 0 {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (j *Journal) recover(visit func(Location, []byte) error) error {
	numbers, err := j.segments()
	if err != nil {
		return err
	}
	for i, number := range numbers {
		newest := i == len(numbers)-1
		if err := j.recoverSegment(number, newest, visit); err != nil {
			return err
		}
	}
	if len(numbers) == 0 {
		j.oldest = 1
		return j.create(1)
	}
	j.oldest, j.newest = numbers[0], numbers[len(numbers)-1]
	j.end = j.sizes[j.newest]
	if j.end == 0 { // its header was lost
		return j.create(j.newest)
	}
	return nil
}

// recoverSegment reads one segment, cuts a bad end off the newest, and syncs it: what a killed process wrote is in the file, but
// need not be on disk.
func (j *Journal) recoverSegment(number uint32, newest bool, visit func(Location, []byte) error) error {
	file, err := os.OpenFile(j.path(number), os.O_RDWR, 0)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.files[number] = file
	good, err := scan(file, number, visit)
	if errors.Is(err, ErrDamaged) && newest {
		err = file.Truncate(int64(good))
	}
	if err == nil && newest {
		err = file.Sync()
	}
	if err != nil {
		return fmt.Errorf("journal: segment %d at byte %d: %w", number, good, err)
	}
	j.sizes[number] = good
	j.used += int64(good)
	return nil
}

// scan reads a segment's records and returns the length of what is good.
func scan(file *os.File, number uint32, visit func(Location, []byte) error) (uint32, error) {
	reader := io.NewSectionReader(file, 0, 1<<40)
	buffered := newScanner(reader)
	header, err := buffered.next(segmentHeader)
	if err != nil && !isShort(err) {
		return 0, err
	}
	if err != nil || string(header[:8]) != magic || binary.BigEndian.Uint32(header[8:]) != number {
		return 0, ErrDamaged
	}
	good := uint32(segmentHeader)
	for {
		header, err := buffered.next(recordHeader)
		if errors.Is(err, io.EOF) {
			return good, nil
		}
		if err != nil {
			return good, damage(err)
		}
		size, sum := binary.BigEndian.Uint32(header), binary.BigEndian.Uint32(header[4:])
		if size == 0 || size > MaxRecord {
			return good, ErrDamaged
		}
		payload, err := buffered.next(int(size))
		if err != nil {
			return good, damage(err)
		}
		if crc32.Checksum(payload, checksums) != sum {
			return good, ErrDamaged
		}
		if err := visit(Location{Segment: number, Offset: good}, payload); err != nil {
			return good, err
		}
		good += recordHeader + size
	}
}

func isShort(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }

// damage tells a file that ends too soon from a disk that can't be read.
func damage(err error) error {
	if isShort(err) {
		return ErrDamaged
	}
	return err
}

// create makes a segment, whose header goes to disk with the first records.
func (j *Journal) create(number uint32) error {
	file, err := os.OpenFile(j.path(number), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	header := binary.BigEndian.AppendUint32([]byte(magic), number)
	if _, err := file.WriteAt(header, 0); err != nil {
		_ = file.Close()
		return fmt.Errorf("journal: %w", err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if old := j.files[number]; old != nil {
		_ = old.Close()
	}
	j.files[number] = file
	j.sizes[number] = segmentHeader
	j.used += segmentHeader
	if number >= j.newest {
		j.newest = number
		j.end = max(j.end, segmentHeader)
	}
	return nil
}

// Append queues a record. It returns where the record lies, and the position that OnSync tells once it is on disk.
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

func (j *Journal) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Position is that of all that was appended.
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

// Read returns a record's payload.
func (j *Journal) Read(at Location) ([]byte, error) {
	j.mu.Lock()
	if payload := j.readQueued(at); payload != nil {
		j.mu.Unlock()
		return payload, nil
	}
	file := j.files[at.Segment]
	j.mu.Unlock()
	if file == nil {
		return nil, fmt.Errorf("%w: segment %d", ErrGone, at.Segment)
	}
	return readRecord(file, at)
}

func (j *Journal) readQueued(at Location) []byte {
	for _, list := range [][]chunk{j.queued, j.writing} {
		for i := range list {
			c := &list[i]
			if !c.holds(at) {
				continue
			}
			data := c.data[at.Offset-c.offset:]
			size := binary.BigEndian.Uint32(data)
			return slices.Clone(data[recordHeader : recordHeader+size])
		}
	}
	return nil
}

func readRecord(file *os.File, at Location) ([]byte, error) {
	buffer := make([]byte, readGuess)
	n, err := file.ReadAt(buffer, int64(at.Offset))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("journal: segment %d: %w", at.Segment, err)
	}
	if n < recordHeader {
		return nil, fmt.Errorf("%w: segment %d at byte %d", ErrGone, at.Segment, at.Offset)
	}
	size, sum := int(binary.BigEndian.Uint32(buffer)), binary.BigEndian.Uint32(buffer[4:])
	if size == 0 || size > MaxRecord {
		return nil, fmt.Errorf("%w: segment %d at byte %d", ErrDamaged, at.Segment, at.Offset)
	}
	payload := buffer[recordHeader:n]
	if size > len(payload) {
		payload = make([]byte, size)
		if _, err := file.ReadAt(payload, int64(at.Offset)+recordHeader); err != nil {
			return nil, fmt.Errorf("journal: segment %d: %w", at.Segment, err)
		}
	}
	payload = payload[:size]
	if crc32.Checksum(payload, checksums) != sum {
		return nil, fmt.Errorf("%w: segment %d at byte %d", ErrDamaged, at.Segment, at.Offset)
	}
	return payload, nil
}

// Close writes and syncs what is queued, and closes the files. It may be called again.
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

func (j *Journal) run() {
	defer close(j.done)
	for range j.wake {
		if !j.commit() {
			return
		}
	}
}

// commit writes and syncs all that is queued, and says whether the journal goes on.
func (j *Journal) commit() bool {
	j.mu.Lock()
	chunks, position, closing := j.queued, j.appended, j.closing
	j.queued, j.writing = nil, chunks
	j.mu.Unlock()
	for i := range chunks {
		if err := j.writeInTime(&chunks[i]); err != nil {
			j.fail(err)
			return false
		}
	}
	j.mu.Lock()
	j.writing = nil
	if n := len(chunks); n > 0 && cap(chunks[n-1].data) <= keptBuffer {
		j.spare = chunks[n-1].data
	}
	j.mu.Unlock()
	if len(chunks) > 0 && j.options.OnSync != nil {
		j.options.OnSync(position)
	}
	return !closing
}

func (j *Journal) fail(err error) {
	j.mu.Lock()
	j.err = err
	j.mu.Unlock()
	if j.options.OnError != nil {
		j.options.OnError(err)
	}
}

// writeInTime writes a chunk once there is room for it. The whole chunk is written anew then: nothing of it has been synced.
func (j *Journal) writeInTime(c *chunk) error {
	for told := false; ; told = true {
		err := j.write(c)
		if !errors.Is(err, unix.ENOSPC) {
			return err
		}
		if !told && j.options.OnFull != nil {
			j.options.OnFull()
		}
		select {
		case <-j.stop:
			return err
		case <-time.After(roomPause):
		}
	}
}

func (j *Journal) write(c *chunk) error {
	if len(c.data) > 0 {
		if err := j.writeData(c); err != nil {
			return err
		}
	}
	for _, segment := range c.remove {
		if err := j.removeFile(segment); err != nil {
			return err
		}
	}
	return nil
}

func (j *Journal) writeData(c *chunk) error {
	j.mu.Lock()
	file := j.files[c.segment]
	j.mu.Unlock()
	if file == nil {
		if err := j.create(c.segment); err != nil {
			return err
		}
		j.mu.Lock()
		file = j.files[c.segment]
		j.mu.Unlock()
	}
	if err := j.options.write(file, c.data, int64(c.offset)); err != nil {
		return fmt.Errorf("journal: segment %d: %w", c.segment, err)
	}
	if err := syncData(file); err != nil {
		return fmt.Errorf("journal: segment %d: %w", c.segment, err)
	}
	j.mu.Lock()
	j.sizes[c.segment] = c.offset + uint32(len(c.data))
	j.mu.Unlock()
	return nil
}

func writeAt(file *os.File, data []byte, at int64) error {
	_, err := file.WriteAt(data, at)
	return err
}

func syncData(file *os.File) error {
	for {
		err := unix.Fdatasync(int(file.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}

// removeFile removes a segment for good: the folder is synced, so that no older one can come back after a newer one has gone.
func (j *Journal) removeFile(segment uint32) error {
	j.mu.Lock()
	file := j.files[segment]
	delete(j.files, segment)
	j.used -= int64(j.sizes[segment])
	delete(j.sizes, segment)
	j.mu.Unlock()
	if file != nil {
		_ = file.Close()
	}
	if err := os.Remove(j.path(segment)); err != nil && !os.IsNotExist(err) {
		return fmt.Errorf("journal: %w", err)
	}
	return SyncFolder(j.dir)
}

// SyncFolder makes the names in a folder last.
func SyncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	defer func() { _ = folder.Close() }()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("journal: folder %s: %w", dir, err)
	}
	return nil
}
