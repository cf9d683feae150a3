package audit

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options configures a Log.
type Options struct {
	Dir         string
	Member      string // only letters, digits, '-' and '_', since it is part of file names
	Incarnation uint64
	Segment     int64         // size in bytes from which on a new file is started, 256 KiB if 0
	MaxBytes    int64         // total size in bytes of the member's files above which the oldest are folded, 16 MiB if 0
	Sync        time.Duration // maximum delay until entries are on disk, 200 ms if 0
	Retry       time.Duration // delay after a failed write, 1 s if 0
	Queue       int           // maximum number of queued entries, 4096 if 0: further ones are dropped, and the record notes their number
	Wall        func() int64  // Unix milliseconds
	Mono        func() int64  // monotonic milliseconds since the start
	// Create creates a file for writing; if nil, with os.OpenFile. Tests use it to simulate a failing disk.
	Create func(path string) (File, error)
}

// File is the part of os.File that a Log uses.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// Figures are statistics of a Log.
type Figures struct {
	Written, Lost, Failures uint64 // numbers of entries written, entries lost, and failed writes
	Bytes                   int64  // total size of the member's files
}

// Log writes a record on a goroutine of its own, so that Add never waits for the disk.
type Log struct {
	options Options
	mu      sync.Mutex
	queue   []Entry
	lost    uint64 // entries lost since the last gap entry
	figures Figures
	head    Head
	closing bool
	wake    chan struct{}
	close   chan struct{}
	done    chan struct{}

	// Used only by the goroutine.
	file      File
	path      string
	size      int64
	number    int
	prevHash  string
	seq       uint64
	lastTimes Entry // only its times are used: those of the last batch, for entries that the log adds itself
	failed    time.Time
}

// Open starts a log that continues the member's record in the directory, and returns the head of that record. A
// directory that can't be read or written causes no error, but a gap in the record.
func Open(o Options) (l *Log, previous Head) {
	if o.Segment == 0 {
		o.Segment = 256 << 10
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = 16 << 20
	}
	if o.Sync == 0 {
		o.Sync = 200 * time.Millisecond
	}
	if o.Retry == 0 {
		o.Retry = time.Second
	}
	if o.Queue == 0 {
		o.Queue = 4096
	}
	if o.Create == nil {
		o.Create = func(path string) (File, error) {
			return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		}
	}
	l = &Log{options: o, wake: make(chan struct{}, 1), close: make(chan struct{}), done: make(chan struct{})}
	if rec, err := readMember(o.Dir, o.Member); err == nil {
		previous = rec.head
		l.prevHash = rec.head.Hash
	}
	l.head = Head{Incarnation: o.Incarnation}
	go l.run()
	return l, previous
}

// Add queues an entry to be written.
func (l *Log) Add(e Entry) {
	e.Wall, e.Mono = l.options.Wall(), l.options.Mono()
	l.mu.Lock()
	if len(l.queue) >= l.options.Queue || l.closing {
		l.lost++
		l.figures.Lost++
	} else {
		l.queue = append(l.queue, e)
	}
	l.mu.Unlock()
	l.notify()
}

func (l *Log) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Head returns the head of the record as it is on disk.
func (l *Log) Head() Head {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.head
}

// Figures returns the current statistics.
func (l *Log) Figures() Figures {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.figures
}

// End writes the queued entries and ends the log. The returned channel is closed once that is done.
func (l *Log) End() (done <-chan struct{}) {
	l.mu.Lock()
	if !l.closing {
		l.closing = true
		close(l.close)
	}
	l.mu.Unlock()
	l.notify()
	return l.done
}

// Close calls End and waits until the log has ended.
func (l *Log) Close() { <-l.End() }

// run writes the queued entries in batches: one fsync per batch, and at most one batch per Options.Sync.
func (l *Log) run() {
	defer close(l.done)
	for {
		<-l.wake
		l.mu.Lock()
		closing := l.closing
		l.mu.Unlock()
		l.writeBatch(closing)
		if closing {
			if l.file != nil {
				_ = l.file.Close() // it was synced
			}
			return
		}
		select { // further entries may join the next batch meanwhile
		case <-time.After(l.options.Sync):
		case <-l.close:
		}
	}
}

// writeBatch writes all queued entries. If the write fails, they stay queued and go into a new file. Entries for which
// the queue had no room meanwhile are lost; a gap entry after the next batch notes their number.
func (l *Log) writeBatch(last bool) {
	if !l.failed.IsZero() && time.Since(l.failed) < l.options.Retry && !last {
		l.notify()
		return
	}
	l.mu.Lock()
	entries, lost := l.queue, l.lost
	l.queue, l.lost = nil, 0
	l.mu.Unlock()
	if len(entries) == 0 && lost == 0 {
		return
	}
	err := l.write(entries, lost)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.queue = append(entries, l.queue...)
		l.lost += lost
		if over := len(l.queue) - l.options.Queue; over > 0 { // drops the newest, so that the kept entries are consecutive
			l.queue = l.queue[:l.options.Queue]
			l.lost += uint64(over)
			l.figures.Lost += uint64(over)
		}
		l.figures.Failures++
		l.notify()
		return
	}
	l.figures.Written += uint64(len(entries))
	l.head = Head{Incarnation: l.options.Incarnation, Seq: l.seq, Hash: l.prevHash}
	l.figures.Bytes = l.fold()
}

func (l *Log) write(entries []Entry, lost uint64) (err error) {
	if len(entries) > 0 {
		l.lastTimes = Entry{At: entries[0].At, Wall: entries[0].Wall, Mono: entries[0].Mono}
	}
	seq, prev, size := l.seq, l.prevHash, l.size
	defer func() {
		if err == nil {
			l.failed = time.Time{}
			return
		}
		l.failed = time.Now()
		l.seq, l.prevHash = seq, prev
		if l.file != nil {
			_ = l.file.Truncate(size) // otherwise a partly written line would count as torn
			_ = l.file.Close()
			l.file = nil
		}
	}()
	if l.file == nil || l.size >= l.options.Segment {
		size = 0
		if err := l.startFile(); err != nil {
			return err
		}
	}
	if lost > 0 {
		gap := l.lastTimes
		gap.Kind, gap.Lost = Gap, lost
		entries = append(slices.Clone(entries), gap) // the queued entries are older than the lost ones
	}
	var b []byte
	for i := range entries {
		l.seq++
		entries[i].Seq = l.seq
		if b, l.prevHash, err = appendLine(b, l.prevHash, &entries[i]); err != nil {
			return err
		}
	}
	if _, err = l.file.Write(b); err != nil {
		return err
	}
	if err = l.file.Sync(); err != nil {
		return err // the file is not written again: after a failed fsync it is unknown what is on disk
	}
	l.size += int64(len(b))
	return nil
}

// startFile starts a new file.
func (l *Log) startFile() error {
	if l.file != nil {
		_ = l.file.Close() // it was synced
		l.file = nil
	}
	if err := os.MkdirAll(l.options.Dir, 0o755); err != nil {
		return err
	}
	l.number++
	l.path = filepath.Join(l.options.Dir, fileName(l.options.Member, l.options.Incarnation, l.number))
	f, err := l.options.Create(l.path)
	if err != nil {
		return err
	}
	line, hash, err := appendLine(nil, l.prevHash, &Entry{Kind: Segment, Seq: l.seq, At: l.lastTimes.At, Wall: l.lastTimes.Wall, Mono: l.lastTimes.Mono,
		Name: l.options.Member, Incarnation: l.options.Incarnation, Number: l.number, Prev: l.prevHash})
	if err == nil {
		_, err = f.Write(line)
	}
	if err != nil {
		_ = f.Close()
		_ = os.Remove(l.path) // it has no complete entry
		return err
	}
	l.file, l.size, l.prevHash = f, int64(len(line)), hash
	return nil
}

const suffix = ".audit"

func fileName(member string, incarnation uint64, number int) string {
	return fmt.Sprintf("%s.%020d.%06d%s", member, incarnation, number, suffix)
}

// parseName parses a name made by fileName.
func parseName(name string) (member string, incarnation uint64, number int, ok bool) {
	fields := strings.Split(strings.TrimSuffix(name, suffix), ".")
	if len(fields) != 3 || !strings.HasSuffix(name, suffix) {
		return "", 0, 0, false
	}
	incarnation, err := strconv.ParseUint(fields[1], 10, 64)
	number, err2 := strconv.Atoi(fields[2])
	return fields[0], incarnation, number, err == nil && err2 == nil
}
