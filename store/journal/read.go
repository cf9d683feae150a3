package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"slices"
)

// Read returns the payload of a record, whether or not the record is synced. It fails with ErrNotFound, ErrDamaged or
// an error of the disk.
func (j *Journal) Read(at Location) ([]byte, error) {
	j.mu.Lock()
	if payload := j.readQueued(at); payload != nil {
		j.mu.Unlock()
		return payload, nil
	}
	file := j.files[at.Segment]
	j.mu.Unlock()
	if file == nil {
		return nil, fmt.Errorf("%w: segment %d", ErrNotFound, at.Segment)
	}
	return readRecord(file, at)
}

// readQueued returns the payload of a record that is not written yet, or nil if the location is in no queued chunk. The
// caller must hold mu.
func (j *Journal) readQueued(at Location) []byte {
	for _, list := range [][]chunk{j.queued, j.writing} {
		for i := range list {
			c := &list[i]
			if !c.contains(at) {
				continue
			}
			data := c.data[at.Offset-c.offset:]
			size := binary.BigEndian.Uint32(data)
			return slices.Clone(data[recordHeader : recordHeader+size])
		}
	}
	return nil
}

// readAhead is the length of the first read: most records are not longer.
const readAhead = 2 << 10

func readRecord(file *os.File, at Location) ([]byte, error) {
	buffer := make([]byte, readAhead)
	n, err := file.ReadAt(buffer, int64(at.Offset))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("journal: segment %d: %w", at.Segment, err)
	}
	if n < recordHeader {
		return nil, fmt.Errorf("%w: segment %d at byte %d", ErrNotFound, at.Segment, at.Offset)
	}
	size, sum := int(binary.BigEndian.Uint32(buffer)), binary.BigEndian.Uint32(buffer[4:])
	if size == 0 || size > maxRecord {
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
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, fmt.Errorf("%w: segment %d at byte %d", ErrDamaged, at.Segment, at.Offset)
	}
	return payload, nil
}
