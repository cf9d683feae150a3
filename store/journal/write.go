package journal

import (
	"errors"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// run writes queued chunks until the journal is closed or the disk fails.
func (j *Journal) run() {
	defer close(j.done)
	for range j.wake {
		if !j.commit() {
			return
		}
	}
}

// commit writes and syncs all queued chunks. It returns false if run must end: the disk has failed, or the journal is
// closing.
func (j *Journal) commit() bool {
	j.mu.Lock()
	chunks, position, closing := j.queued, j.appended, j.closing
	j.queued, j.writing = nil, chunks
	j.mu.Unlock()
	for i := range chunks {
		if err := j.writeRetryingFull(&chunks[i]); err != nil {
			j.fail(err)
			return false
		}
	}
	j.mu.Lock()
	j.writing = nil
	if n := len(chunks); n > 0 && cap(chunks[n-1].data) <= maxSpareBuffer {
		j.spare = chunks[n-1].data
	}
	j.mu.Unlock()
	if len(chunks) > 0 && j.options.OnSync != nil {
		j.options.OnSync(position)
	}
	return !closing
}

// fail records and reports that the disk has failed.
func (j *Journal) fail(err error) {
	j.mu.Lock()
	j.err = err
	j.mu.Unlock()
	if j.options.OnError != nil {
		j.options.OnError(err)
	}
}

// fullRetryInterval is the interval at which a write is retried on a full disk.
const fullRetryInterval = 100 * time.Millisecond

// maxSpareBuffer is the maximum capacity of a buffer that is reused.
const maxSpareBuffer = 256 << 10

// writeRetryingFull writes a chunk. While the disk is full it retries, each time with the whole chunk: none of it has
// been synced.
func (j *Journal) writeRetryingFull(c *chunk) error {
	for reported := false; ; reported = true {
		err := j.write(c)
		if !errors.Is(err, unix.ENOSPC) {
			return err
		}
		if !reported && j.options.OnFull != nil {
			j.options.OnFull()
		}
		select {
		case <-j.stop:
			return err
		case <-time.After(fullRetryInterval):
		}
	}
}

// write writes and syncs a chunk, and then removes the segments in c.remove.
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
