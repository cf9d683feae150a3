package disks

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
	"ravendale/store/queue"
)

const (
	segmentSuffix = ".journal"
	journalFolder = "journal"
	identityFile  = "identity"
)

// Store is the content of the disk of a store.
type Store struct {
	Disk       string      `json:"disk"`  // identity of the disk; empty if it can't be read
	Epoch      uint64      `json:"epoch"` // newest placement epoch that the store has acted under
	Partitions []Partition `json:"partitions"`
	Pending    int         `json:"pending"`
	Done       int         `json:"done"`
	Dead       int         `json:"dead"`
	Dropped    int         `json:"dropped"`
}

// Partition counts the messages of one partition.
type Partition struct {
	Number   uint16 `json:"number"`
	Pending  int    `json:"pending"`
	Finished int    `json:"ended"`
}

func inspectStore(dir, journalDir string) (*Report, error) {
	report := &Report{Folder: dir}
	names, err := segmentNames(journalDir)
	if err != nil {
		return nil, err
	}
	states := newMessages()
	previous := uint32(0)
	for i, name := range names {
		number := segmentNumber(name)
		if previous != 0 && number != previous+1 {
			report.addDamage("segments %d to %d are lost", previous+1, number-1)
		}
		previous = number
		if err := report.addSegment(journalDir, name, i == len(names)-1, states); err != nil {
			return nil, err
		}
	}
	report.Store = states.render()
	report.readIdentity(dir)
	return report, nil
}

func segmentNames(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("disks: %w", err)
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() && segmentNumber(entry.Name()) > 0 {
			names = append(names, entry.Name())
		}
	}
	slices.SortFunc(names, func(a, b string) int { return int(segmentNumber(a)) - int(segmentNumber(b)) })
	return names, nil
}

// segmentNumber parses the number of a segment from its file name. It returns 0 if the file is no segment.
func segmentNumber(name string) uint32 {
	var number uint32
	if !strings.HasSuffix(name, segmentSuffix) {
		return 0
	}
	_, _ = fmt.Sscanf(name, "%010d"+segmentSuffix, &number)
	return number
}

// addSegment reads one segment of a journal, from a copy, since opening a journal repairs its files.
func (r *Report) addSegment(dir, name string, newest bool, states *messages) error {
	original, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return fmt.Errorf("disks: %w", err)
	}
	file := File{Name: name, Bytes: int64(len(original)), State: FileIntact}
	good, err := readSegment(name, original, func(payload []byte) {
		file.Records++
		if err := states.apply(payload); err != nil {
			r.addDamage("%s: record %d has a content that is not known here: %v", name, file.Records, err)
		}
	})
	if err != nil {
		return err
	}
	file.ReadableBytes = good
	switch {
	case good == file.Bytes:
	case newest:
		file.State = FileTorn
		r.addRemark("%s: the last %d bytes were torn by a loss of power, or have rotted: on the newest segment one can't be told from the other", name, file.Bytes-good)
	default:
		file.State = FileUnreadable
		r.addDamage("%s: it can't be read from byte %d on, and it was synced before the next segment was begun: the store would not start", name, good)
	}
	r.Files = append(r.Files, file)
	return nil
}

// readSegment calls visit for each readable record of a segment, and returns the number of readable bytes.
func readSegment(name string, original []byte, visit func(payload []byte)) (good int64, err error) {
	scratch, err := os.MkdirTemp("", "ravendalectl-*")
	if err != nil {
		return 0, fmt.Errorf("disks: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(scratch)) }()
	path := filepath.Join(scratch, name)
	if err := os.WriteFile(path, original, 0o600); err != nil {
		return 0, fmt.Errorf("disks: %w", err)
	}
	opened, err := journal.Open(scratch, journal.Options{}, func(_ journal.Location, payload []byte) error {
		visit(payload)
		return nil
	})
	if err != nil {
		return 0, fmt.Errorf("disks: %s: %w", name, err)
	}
	if err := opened.Close(); err != nil {
		return 0, fmt.Errorf("disks: %s: %w", name, err)
	}
	repaired, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("disks: %w", err)
	}
	if !bytes.HasPrefix(original, repaired) { // the journal has rewritten an unreadable header
		return 0, nil
	}
	return int64(len(repaired)), nil
}

// readIdentity reads the identity of the store. A store replaces an incomplete identity by a new one.
func (r *Report) readIdentity(dir string) {
	content, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		r.addRemark("there is no identity beside the journal: with it missing the store would be a new one")
		return
	}
	if err != nil {
		r.addRemark("identity: %v", err)
		return
	}
	r.Store.Disk = strings.TrimSpace(string(content))
}

// messages has the states of the messages of each partition after the journal records applied so far.
type messages struct {
	epoch      uint64
	partitions map[uint16]map[string]wire.State
}

func newMessages() *messages { return &messages{partitions: make(map[uint16]map[string]wire.State)} }

func (m *messages) apply(payload []byte) error {
	var record queue.Record
	if _, err := record.UnmarshalMsg(payload); err != nil {
		return err
	}
	if record.Kind == queue.RecordEpoch {
		m.epoch = max(m.epoch, record.Sequence)
		return nil
	}
	states := m.partitions[record.Partition]
	if states == nil {
		states = make(map[string]wire.State)
		m.partitions[record.Partition] = states
	}
	switch record.Kind {
	case queue.RecordMessage, queue.RecordFinish:
		states[record.ID] = record.State
	case queue.RecordDrop:
		delete(states, record.ID)
	case queue.RecordWipe:
		clear(states)
	}
	return nil
}

func (m *messages) render() *Store {
	s := &Store{Epoch: m.epoch, Partitions: []Partition{}}
	for number, states := range m.partitions {
		p := Partition{Number: number}
		for _, state := range states {
			s.countState(state)
			if state == wire.StatePending {
				p.Pending++
			}
		}
		p.Finished = len(states) - p.Pending
		if len(states) > 0 {
			s.Partitions = append(s.Partitions, p)
		}
	}
	slices.SortFunc(s.Partitions, func(a, b Partition) int { return int(a.Number) - int(b.Number) })
	return s
}

func (s *Store) countState(state wire.State) {
	switch state {
	case wire.StatePending:
		s.Pending++
	case wire.StateDone:
		s.Done++
	case wire.StateDead:
		s.Dead++
	case wire.StateDropped:
		s.Dropped++
	}
}
