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

// Options say what a log is of and how much it may take.
type Options struct {
	Dir         string
	Member      string // letters, digits, '-' and '_' alone: it is part of files' names
	Incarnation uint64
	Segment     int64         // bytes after which a new file begins, 256 KiB if 0
	Most        int64         // bytes of all files of the member, above which the oldest are folded, 16 MiB if 0
	Sync        time.Duration // at most so long until what was written is on disk, 200 ms if 0
	Retry       time.Duration // after a failure, 1 s if 0
	Queue       int           // entries that wait for the disk at most, 4096 if 0: what comes beyond is lost, and said to be
	Wall        func() int64  // Unix milliseconds
	Mono        func() int64  // milliseconds since the start, monotonic
	// Create opens a file for writing; os.OpenFile if nil. A test puts a disk that fails in its place.
	Create func(path string) (File, error)
}

// File is what a log needs of one.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// Figures count what became of entries.
type Figures struct {
	Written, Lost, Failures uint64 // entries, entries, and times that the disk failed
	Bytes                   int64  // of all files of the member
}

// Log writes a record in a goroutine of its own: whoever adds an entry never waits for the disk.
type Log struct {
	o       Options
	mu      sync.Mutex
	queue   []Entry
	lost    uint64 // not recorded yet
	figures Figures
	head    Head
	closing bool
	wake    chan struct{}
	close   chan struct{}
	done    chan struct{}

	// The goroutine's own.
	file   File
	path   string
	size   int64
	number int
	prev   string
	seq    uint64
	at     Entry // its times are those of the last entry that came
	failed time.Time
}

// Open begins a record where the member's last one in the folder ends, whose head it returns. A folder that can't be read or
// written is no error here: it is a gap.
func Open(o Options) (l *Log, before Head) {
	if o.Segment == 0 {
		o.Segment = 256 << 10
	}
	if o.Most == 0 {
		o.Most = 16 << 20
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
	l = &Log{o: o, wake: make(chan struct{}, 1), close: make(chan struct{}), done: make(chan struct{})}
	if rec, err := readMember(o.Dir, o.Member); err == nil {
		before = rec.head
		l.prev = rec.head.Hash
	}
	l.head = Head{Incarnation: o.Incarnation}
	go l.run()
	return l, before
}

// Add has an entry written, after those added before.
func (l *Log) Add(e Entry) {
	e.Wall, e.Mono = l.o.Wall(), l.o.Mono()
	l.mu.Lock()
	if len(l.queue) >= l.o.Queue || l.closing {
		l.lost++
		l.figures.Lost++
	} else {
		l.queue = append(l.queue, e)
	}
	l.mu.Unlock()
	l.rouse()
}

func (l *Log) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Head is how far the record is on disk.
func (l *Log) Head() Head {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.head
}

// Figures returns the counts of now.
func (l *Log) Figures() Figures {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.figures
}

// End has what waits written, and ends the log; the channel is closed once that is done.
func (l *Log) End() (done <-chan struct{}) {
	l.mu.Lock()
	if !l.closing {
		l.closing = true
		close(l.close)
	}
	l.mu.Unlock()
	l.rouse()
	return l.done
}

// Close is End, and waits.
func (l *Log) Close() { <-l.End() }

// run writes what waits, batch by batch: one fsync each, and at most one in Sync.
func (l *Log) run() {
	defer close(l.done)
	for {
		<-l.wake
		l.mu.Lock()
		closing := l.closing
		l.mu.Unlock()
		l.batch(closing)
		if closing {
			if l.file != nil {
				_ = l.file.Close() // it was synced
			}
			return
		}
		select { // others come meanwhile, for the same fsync
		case <-time.After(l.o.Sync):
		case <-l.close:
		}
	}
}

// batch writes all that waits. What a failing disk does not take waits on, and goes in the next file; what there was no room for
// meanwhile is lost, and the first entry after it says how much.
func (l *Log) batch(last bool) {
	if !l.failed.IsZero() && time.Since(l.failed) < l.o.Retry && !last {
		l.rouse()
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
		if over := len(l.queue) - l.o.Queue; over > 0 { // the newest go: what is kept has no holes
			l.queue = l.queue[:l.o.Queue]
			l.lost += uint64(over)
			l.figures.Lost += uint64(over)
		}
		l.figures.Failures++
		l.rouse()
		return
	}
	l.figures.Written += uint64(len(entries))
	l.head = Head{Incarnation: l.o.Incarnation, Seq: l.seq, Hash: l.prev}
	l.figures.Bytes = l.fold()
}

func (l *Log) write(entries []Entry, lost uint64) (err error) {
	if len(entries) > 0 {
		l.at = Entry{At: entries[0].At, Wall: entries[0].Wall, Mono: entries[0].Mono}
	}
	seq, prev, size := l.seq, l.prev, l.size
	defer func() {
		if err == nil {
			l.failed = time.Time{}
			return
		}
		l.failed = time.Now()
		l.seq, l.prev = seq, prev
		if l.file != nil {
			_ = l.file.Truncate(size) // else its end counts as torn
			_ = l.file.Close()
			l.file = nil
		}
	}()
	if l.file == nil || l.size >= l.o.Segment {
		size = 0
		if err := l.next(); err != nil {
			return err
		}
	}
	if lost > 0 {
		gap := l.at
		gap.Kind, gap.Lost = Gap, lost
		entries = append(slices.Clone(entries), gap) // what came before there was no room comes before it
	}
	var b []byte
	for i := range entries {
		l.seq++
		entries[i].Seq = l.seq
		if b, l.prev, err = appendLine(b, l.prev, &entries[i]); err != nil {
			return err
		}
	}
	if _, err = l.file.Write(b); err != nil {
		return err
	}
	if err = l.file.Sync(); err != nil {
		return err // never tried again on this file: what of it is on disk is not known any more
	}
	l.size += int64(len(b))
	return nil
}

// next begins a file.
func (l *Log) next() error {
	if l.file != nil {
		_ = l.file.Close() // it was synced
		l.file = nil
	}
	if err := os.MkdirAll(l.o.Dir, 0o755); err != nil {
		return err
	}
	l.number++
	l.path = filepath.Join(l.o.Dir, fileName(l.o.Member, l.o.Incarnation, l.number))
	f, err := l.o.Create(l.path)
	if err != nil {
		return err
	}
	line, hash, err := appendLine(nil, l.prev, &Entry{Kind: Segment, Seq: l.seq, At: l.at.At, Wall: l.at.Wall, Mono: l.at.Mono,
		Name: l.o.Member, Incarnation: l.o.Incarnation, Number: l.number, Prev: l.prev})
	if err == nil {
		_, err = f.Write(line)
	}
	if err != nil {
		_ = f.Close()
		_ = os.Remove(l.path) // it says nothing
		return err
	}
	l.file, l.size, l.prev = f, int64(len(line)), hash
	return nil
}

const suffix = ".audit"

func fileName(member string, incarnation uint64, number int) string {
	return fmt.Sprintf("%s.%020d.%06d%s", member, incarnation, number, suffix)
}

// parseName reads what fileName wrote.
func parseName(name string) (member string, incarnation uint64, number int, ok bool) {
	fields := strings.Split(strings.TrimSuffix(name, suffix), ".")
	if len(fields) != 3 || !strings.HasSuffix(name, suffix) {
		return "", 0, 0, false
	}
	incarnation, err := strconv.ParseUint(fields[1], 10, 64)
	number, err2 := strconv.Atoi(fields[2])
	return fields[0], incarnation, number, err == nil && err2 == nil
}
