package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"ravendale"
)

// MessageKind tells what a Message is.
type MessageKind uint8

// The kinds of message, each with the fields of Message that count.
const (
	Clock MessageKind = iota // a batch begins: Now, Frame
	Start                    // an instance begins: Instance, Seed, Settings
	Exit                     // an instance has been killed: Instance
	Event                    // Instance, Event
	Turn                     // the batch is complete
)

// Message is one line, or a list with its entries.
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
	long       []byte
	inBatch    bool

	running map[string]*tables // the instances that have started
	current *tables            // nil until a select line
	name    string

	interned map[string]string // one copy of each worker's name
	entries  []ravendale.Entry
}

// tables resolve the names of one instance's settings.
type tables struct {
	classes, tenants, zones, kinds []string
	x0, x1                         string
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:       bufio.NewReaderSize(in, 1<<20),
		running:  make(map[string]*tables),
		interned: make(map[string]string),
	}
}

// Next reads one message. It returns io.EOF where the input ends between two batches.
func (r *Reader) Next(m *Message) error {
	for {
		text, err := r.readLine()
		if err != nil {
			return err
		}
		done, err := r.parse(text, m)
		if err != nil {
			return fmt.Errorf("line %d: %w", r.lineNumber, err)
		}
		if done {
			return nil
		}
	}
}

// readLine returns the next line without its end.
func (r *Reader) readLine() ([]byte, error) {
	r.lineNumber++
	chunk, err := r.in.ReadSlice('\n')
	if err == nil {
		return chunk[:len(chunk)-1], nil
	}
	r.long = append(r.long[:0], chunk...)
	for errors.Is(err, bufio.ErrBufferFull) {
		chunk, err = r.in.ReadSlice('\n')
		r.long = append(r.long, chunk...)
	}
	switch {
	case err == nil:
		return r.long[:len(r.long)-1], nil
	case !errors.Is(err, io.EOF):
		return nil, fmt.Errorf("line %d: %w", r.lineNumber, err)
	case r.inBatch || len(r.long) > 0:
		return nil, fmt.Errorf("line %d: the input ends inside a batch, before your_turn", r.lineNumber)
	}
	return nil, io.EOF
}

// parse reads one line; done is false for a line that only sets the scene.
func (r *Reader) parse(text []byte, m *Message) (done bool, err error) {
	f := fields{rest: text}
	keyword := string(f.keyword())
	if !r.inBatch {
		switch keyword {
		case "":
			return false, nil
		case "clock":
			r.inBatch = true
			return true, parseClock(&f, m)
		}
		return false, fmt.Errorf("%q stands outside a batch", keyword)
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
		return false, fmt.Errorf("%q concerns no running instance (%q)", keyword, r.name)
	}
	*m = Message{Kind: Event, Instance: r.name}
	switch keyword {
	case "exit":
		m.Kind = Exit
		delete(r.running, r.name)
		r.current = nil
		return true, nil
	case "directory_update":
		return true, r.parseList(&f, &m.Event)
	}
	return true, r.parseEvent(keyword, &f, &m.Event)
}

func parseClock(f *fields, m *Message) error {
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

func (r *Reader) parseSelect(f *fields) error {
	r.name = ""
	for f.next() {
		if string(f.key) == "i" {
			r.name = r.intern(f.val)
		}
	}
	if f.err == nil && r.name == "" {
		return errors.New("select names no instance")
	}
	r.current = r.running[r.name]
	return f.err
}

func (r *Reader) parseStart(f *fields, m *Message) error {
	if r.name == "" {
		return errors.New("start before any select")
	}
	*m = Message{Kind: Start, Instance: r.name}
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
	r.running[r.name] = names
	return nil
}

// parseList reads a list and the entry lines that follow it.
func (r *Reader) parseList(f *fields, e *ravendale.Event) error {
	e.Kind = ravendale.WorkersListed
	var count uint64
	for f.next() {
		switch string(f.key) {
		case "kind":
			kind := f.uint(8)
			if kind > uint64(ravendale.Failed) {
				return fmt.Errorf("list kind %d is unknown", kind)
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
	f := fields{rest: text}
	if keyword := f.keyword(); string(keyword) != "m" {
		return entry, fmt.Errorf("a list entry was expected, not %q", keyword)
	}
	for f.next() {
		switch string(f.key) {
		case "worker":
			entry.Worker = r.intern(f.val)
		case "az":
			entry.Zone = index(r.current.zones, f.val)
		case "shape":
			entry.Kind = index(r.current.kinds, f.val)
		case "group":
			entry.Cell = f.int()
		case "availability":
			state := f.uint(8)
			if state > uint64(ravendale.Draining) {
				return entry, fmt.Errorf("availability %d is unknown", state)
			}
			entry.State = ravendale.Availability(state)
		case "heft":
			entry.Weight = f.float()
		case "boot-time-us":
			entry.StartedAt = f.micros()
		}
	}
	if f.err == nil && entry.Worker == "" {
		return entry, errors.New("a list entry names no worker")
	}
	return entry, f.err
}

var eventKinds = map[string]ravendale.EventKind{
	"accept":      ravendale.JobArrived,
	"started":     ravendale.StreamBegan,
	"progress":    ravendale.JobProgressed,
	"resolved":    ravendale.AttemptEnded,
	"client_left": ravendale.ClientLeft,
	"reminder":    ravendale.TimerFired,
	"health":      ravendale.ProbeAnswered,
	"whisper":     ravendale.PeerMessage,
}

func (r *Reader) parseEvent(keyword string, f *fields, e *ravendale.Event) error {
	kind, known := eventKinds[keyword]
	if !known {
		return fmt.Errorf("message %q is unknown", keyword)
	}
	*e = ravendale.Event{Kind: kind, Class: -1, Tenant: -1}
	named := false
	for f.next() {
		named = named || string(f.key) == "ticket"
		r.parseField(f, e)
	}
	if f.err == nil && !named && needsJob(kind) {
		return fmt.Errorf("%s names no ticket", keyword)
	}
	if f.err == nil && kind == ravendale.ProbeAnswered && e.Worker == "" {
		return fmt.Errorf("%s names no worker", keyword)
	}
	return f.err
}

// parseField reads one value of an event.
func (r *Reader) parseField(f *fields, e *ravendale.Event) {
	switch string(f.key) {
	case "ticket":
		e.Job = ravendale.JobID(f.uint(32))
	case "class":
		e.Class = index(r.current.classes, f.val)
	case "project":
		e.Tenant = index(r.current.tenants, f.val)
	case "subject":
		e.Key = f.hex()
	case "remaining-us":
		e.Left = f.micros()
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
		e.Load = r.current.load(f)
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

// load reads a report; the values of x0 and x1 mean what the settings say.
func (t *tables) load(f *fields) ravendale.Load {
	load := ravendale.Load{Given: true, InFlight: -1, FreeSlots: -1, Busy: -1}
	rest := f.val
	for len(rest) > 0 {
		var pair []byte
		pair, rest = splitAt(rest, ',')
		name, value := splitAt(pair, ':')
		if string(value) == "" {
			continue
		}
		what := string(name)
		switch what {
		case "x0":
			what = t.x0
		case "x1":
			what = t.x1
		}
		switch what {
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

// intern returns the one copy of a short name.
func (r *Reader) intern(b []byte) string {
	if s, ok := r.interned[string(b)]; ok {
		return s
	}
	s := string(b)
	r.interned[s] = s
	return s
}

func index(names []string, b []byte) int {
	for i, name := range names {
		if name == string(b) {
			return i
		}
	}
	return -1
}
