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
)

// Errors of a journal.
var (
	// ErrDamaged is returned by Open and Read for a record or a segment header that is invalid.
	ErrDamaged = errors.New("journal: damaged record")
	// ErrNotFound is returned by Read for a location without a record, for example because its segment was removed.
	ErrNotFound = errors.New("journal: no such record")
)

// maxRecord is the maximum length of a payload, in bytes.
const maxRecord = 48 << 20

const (
	recordHeader  = 4 + 4 // length and checksum of the payload
	segmentHeader = 8 + 4 // magic, number
	magic         = "rvnjrnl1"
	suffix        = ".journal"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Location is the start of a record. The zero Location refers to no record.
type Location struct {
	Segment uint32
	Offset  uint32 // in bytes from the start of the segment
}

// scan reads the records of a segment and calls visit for each. It returns the length of the valid part: up to the
// first invalid record, or the whole segment.
func scan(file *os.File, number uint32, visit func(Location, []byte) error) (uint32, error) {
	reader := io.NewSectionReader(file, 0, 1<<40)
	buffered := newScanner(reader)
	header, err := buffered.next(segmentHeader)
	if err != nil && !isEOF(err) {
		return 0, err
	}
	if err != nil || string(header[:8]) != magic || binary.BigEndian.Uint32(header[8:]) != number {
		return 0, ErrDamaged
	}
	validEnd := uint32(segmentHeader)
	for {
		header, err := buffered.next(recordHeader)
		if errors.Is(err, io.EOF) {
			return validEnd, nil
		}
		if err != nil {
			return validEnd, readError(err)
		}
		size, sum := binary.BigEndian.Uint32(header), binary.BigEndian.Uint32(header[4:])
		if size == 0 || size > maxRecord {
			return validEnd, ErrDamaged
		}
		payload, err := buffered.next(int(size))
		if err != nil {
			return validEnd, readError(err)
		}
		if crc32.Checksum(payload, castagnoli) != sum {
			return validEnd, ErrDamaged
		}
		if err := visit(Location{Segment: number, Offset: validEnd}, payload); err != nil {
			return validEnd, err
		}
		validEnd += recordHeader + size
	}
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }

// readError returns the error for a record that can't be read: ErrDamaged if the file is truncated, otherwise the error
// of the disk.
func readError(err error) error {
	if isEOF(err) {
		return ErrDamaged
	}
	return err
}

// path returns the path of a segment's file.
func (j *Journal) path(segment uint32) string {
	return filepath.Join(j.dir, fmt.Sprintf("%010d%s", segment, suffix))
}

// segments returns the numbers of the segments on disk, in order.
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

// create creates a segment. Its header is synced together with the first records.
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

// removeFile removes a segment and syncs the folder. Without the sync, an older segment could reappear after a power
// failure although a newer one is gone.
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

// SyncFolder syncs a folder, so that created, renamed and removed files in it are durable across a power failure.
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
