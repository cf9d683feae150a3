package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"ravendale"
)

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of message, each with the fields of Message that are set.
const (
	Clock MessageKind = iota // start of a batch: Now, Frame
	Start                    // an instance starts: Instance, Seed, Settings
	Exit                     // an instance was killed: Instance
	Event                    // Instance, Event
	Turn                     // end of the batch
)

// Message is one line, or a directory_update line with its entry lines.
type Message struct {
	Kind     MessageKind
	Now      time.Duration
	Frame    uint64
	Instance string
	Seed     uint64
	Settings ravendale.Settings
	Event    ravendale.Event
}

// Reader reads messages. The entries and data of an event are valid until the next call of Next.
type Reader struct {
	in         *bufio.Reader
	lineNumber int
	longLine   []byte
	inBatch    bool

	running  map[string]*nameTables // names of each running instance's settings
	current  *nameTables            // of the selected instance; nil if it isn't running
	selected string

	interned map[string]string // one copy of each instance's and worker's name
	entries  []ravendale.Entry
}

// nameTables resolves names in lines to indices into one instance's settings.
type nameTables struct {
	classes, tenants, zones, kinds []string
	x0, x1                         string // metrics that the fields x0 and x1 of a load report hold
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:       bufio.NewReaderSize(in, 1<<20),
		running:  make(map[string]*nameTables),
		interned: make(map[string]string),
	}
}

// Next reads one message. It returns io.EOF if the input ends between two batches.
func (r *Reader) Next(m *Message) error {
	for {
		text, err := r.readLine()
		if err != nil {
			return err
		}
		complete, err := r.parse(text, m)
		if err != nil {
			return fmt.Errorf("line %d: %w", r.lineNumber, err)
		}
		if complete {
			return nil
		}
	}
}

// readLine returns the next line without its newline.
func (r *Reader) readLine() ([]byte, error) {
	r.lineNumber++
	chunk, err := r.in.ReadSlice('\n')
	if err == nil {
		return chunk[:len(chunk)-1], nil
	}
	r.longLine = append(r.longLine[:0], chunk...)
	for errors.Is(err, bufio.ErrBufferFull) {
		chunk, err = r.in.ReadSlice('\n')
		r.longLine = append(r.longLine, chunk...)
	}
	switch {
	case err == nil:
		return r.longLine[:len(r.longLine)-1], nil
	case !errors.Is(err, io.EOF):
		return nil, fmt.Errorf("line %d: %w", r.lineNumber, err)
	case r.inBatch || len(r.longLine) > 0:
		return nil, fmt.Errorf("line %d: the input ends inside a batch, before your_turn", r.lineNumber)
	}
	return nil, io.EOF
}

// parse parses one line; complete is false for a line that yields no message by itself.
func (r *Reader) parse(text []byte, m *Message) (complete bool, err error) {
	f := fieldScanner{rest: text}
	keyword := string(f.keyword())
	if !r.inBatch {
		switch keyword {
		case "":
			return false, nil
		case "clock":
			r.inBatch = true
			return true, parseClock(&f, m)
		}
		return false, fmt.Errorf("%q outside a batch", keyword)
	}
	switch keyword {
	case "your_turn":
		r.inBatch = false
		*m = Message{Kind: Turn}
		return true, nil
	case "select":
		return false, r.parseSelect(&f)
	case "start":
		return true, r.parseStart(&f, m)
	}
	if r.current == nil {
		return false, fmt.Errorf("%q: instance %q is not running", keyword, r.selected)
	}
	*m = Message{Kind: Event, Instance: r.selected}
	switch keyword {
	case "exit":
		m.Kind = Exit
		delete(r.running, r.selected)
		r.current = nil
		return true, nil
	case "directory_update":
		return true, r.parseList(&f, &m.Event)
	}
	return true, r.parseEvent(keyword, &f, &m.Event)
}

func parseClock(f *fieldScanner, m *Message) error {
	*m = Message{Kind: Clock}
	seen := 0
	for f.next() {
		switch string(f.key) {
		case "clock-us":
			m.Now = f.micros()
			seen |= 1
		case "frame":
			m.Frame = f.uint(64)
			seen |= 2
		}
	}
	if f.err == nil && seen != 3 {
		return errors.New("clock lacks clock-us or frame")
	}
	return f.err
}

func (r *Reader) parseSelect(f *fieldScanner) error {
	r.selected = ""
	for f.next() {
		if string(f.key) == "i" {
			r.selected = r.intern(f.val)
		}
	}
	if f.err == nil && r.selected == "" {
		return errors.New("select has no instance name")
	}
	r.current = r.running[r.selected]
	return f.err
}

func (r *Reader) parseStart(f *fieldScanner, m *Message) error {
	if r.selected == "" {
		return errors.New("start before any select")
	}
	*m = Message{Kind: Start, Instance: r.selected}
	conf := make(config)
	for f.next() {
		if string(f.key) == "salt" {
			m.Seed = f.uint(64)
			continue
		}
		conf[string(f.key)] = string(f.val)
	}
	if f.err != nil {
		return f.err
	}
	settings, names, err := conf.settings()
	if err != nil {
		return err
	}
	m.Settings = settings
	r.current = names
	r.running[r.selected] = names
	return nil
}

// parseList parses a worker list and the entry lines that follow it.
func (r *Reader) parseList(f *fieldScanner, e *ravendale.Event) error {
	e.Kind = ravendale.WorkersListed
	var count uint64
	for f.next() {
		switch string(f.key) {
		case "kind":
			kind := f.uint(8)
			if kind > uint64(ravendale.ListFailed) {
				return fmt.Errorf("unknown list kind %d", kind)
			}
			e.List = ravendale.ListKind(kind)
		case "members-list":
			count = f.uint(32)
		}
	}
	if f.err != nil {
		return f.err
	}
	r.entries = r.entries[:0]
	for range count {
		text, err := r.readLine()
		if err != nil {
			return err
		}
		entry, err := r.parseEntry(text)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, entry)
	}
	e.Entries = r.entries
	return nil
}

func (r *Reader) parseEntry(text []byte) (ravendale.Entry, error) {
	entry := ravendale.Entry{Zone: -1, Kind: -1, Cell: -1, State: ravendale.Ready, Weight: 1}
	f := fieldScanner{rest: text}
	if keyword := f.keyword(); string(keyword) != "m" {
		return entry, fmt.Errorf("expected a list entry, got %q", keyword)
	}
	for f.next() {
		switch string(f.key) {
		case "worker":
			entry.Worker = r.intern(f.val)
		case "az":
			entry.Zone = indexOf(r.current.zones, f.val)
		case "shape":
			entry.Kind = indexOf(r.current.kinds, f.val)
		case "group":
			entry.Cell = f.int()
		case "availability":
			state := f.uint(8)
			if state > uint64(ravendale.Draining) {
				return entry, fmt.Errorf("unknown availability %d", state)
			}
			entry.State = ravendale.Availability(state)
		case "heft":
			entry.Weight = f.float()
		case "boot-time-us":
			entry.StartedAt = f.micros()
		}
	}
	if f.err == nil && entry.Worker == "" {
		return entry, errors.New("list entry has no worker")
	}
	return entry, f.err
}

var eventKinds = map[string]ravendale.EventKind{
	"accept":      ravendale.JobArrived,
	"started":     ravendale.StreamStarted,
	"progress":    ravendale.JobProgressed,
	"resolved":    ravendale.AttemptEnded,
	"client_left": ravendale.ClientLeft,
	"reminder":    ravendale.TimerFired,
	"health":      ravendale.ProbeAnswered,
	"whisper":     ravendale.PeerMessage,
}

func (r *Reader) parseEvent(keyword string, f *fieldScanner, e *ravendale.Event) error {
	kind, known := eventKinds[keyword]
	if !known {
		return fmt.Errorf("unknown message %q", keyword)
	}
	*e = ravendale.Event{Kind: kind, Class: -1, Tenant: -1}
	hasTicket := false
	for f.next() {
		hasTicket = hasTicket || string(f.key) == "ticket"
		r.parseField(f, e)
	}
	if f.err == nil && !hasTicket && needsJob(kind) {
		return fmt.Errorf("%s has no ticket", keyword)
	}
	if f.err == nil && kind == ravendale.ProbeAnswered && e.Worker == "" {
		return fmt.Errorf("%s has no worker", keyword)
	}
	return f.err
}

// parseField parses one field of an event.
func (r *Reader) parseField(f *fieldScanner, e *ravendale.Event) {
	switch string(f.key) {
	case "ticket":
		e.Job = ravendale.JobID(f.uint(32))
	case "class":
		e.Class = indexOf(r.current.classes, f.val)
	case "project":
		e.Tenant = indexOf(r.current.tenants, f.val)
	case "subject":
		e.Key = f.hex()
	case "remaining-us":
		e.TimeLeft = f.micros()
	case "weight-hint-us":
		e.Work = f.micros()
	case "cores-needed":
		e.Slots = f.float()
	case "mem":
		e.Memory = f.float()
	case "repeat":
		e.Retry = string(f.val) == "1"
	case "trial":
		e.Attempt = f.int()
	case "worker":
		e.Worker = r.intern(f.val)
	case "rc":
		e.Outcome = f.outcome()
	case "duration-us":
		e.Took = f.micros()
	case "settled":
		e.Closed = string(f.val) == "1"
	case "what":
		if f.int() == 1 {
			e.Kind = ravendale.JobStarted
		}
	case "level":
		e.Done = f.float()
	case "server-stats":
		e.Load = r.current.parseLoad(f)
	case "origin-peer":
		e.From = f.int()
	case "blob":
		e.Data = f.base64()
	}
}

func needsJob(kind ravendale.EventKind) bool {
	switch kind {
	case ravendale.TimerFired, ravendale.ProbeAnswered, ravendale.PeerMessage:
		return false
	}
	return true
}

// parseLoad parses a worker's load report. The settings define which metrics the fields x0 and x1 hold.
func (t *nameTables) parseLoad(f *fieldScanner) ravendale.Load {
	load := ravendale.Load{Given: true, InFlight: -1, FreeSlots: -1, Busy: -1}
	rest := f.val
	for len(rest) > 0 {
		var pair []byte
		pair, rest = splitAt(rest, ',')
		name, value := splitAt(pair, ':')
		if string(value) == "" {
			continue
		}
		metric := string(name)
		switch metric {
		case "x0":
			metric = t.x0
		case "x1":
			metric = t.x1
		}
		switch metric {
		case "inflight":
			load.InFlight = f.number(value)
		case "free_slots":
			load.FreeSlots = f.number(value)
		case "util":
			load.Busy = f.number(value)
		}
	}
	return load
}

// intern returns the shared copy of a name, so that repeated names aren't allocated again.
func (r *Reader) intern(b []byte) string {
	if s, ok := r.interned[string(b)]; ok {
		return s
	}
	s := string(b)
	r.interned[s] = s
	return s
}

func indexOf(names []string, b []byte) int {
	for i, name := range names {
		if name == string(b) {
			return i
		}
	}
	return -1
}
