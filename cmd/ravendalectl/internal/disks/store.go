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

// Store is what a store keeps.
type Store struct {
	Disk       string      `json:"disk"`  // identity; empty if it can't be read
	Epoch      uint64      `json:"epoch"` // newest placement that it has acted under
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
	content := newMessages()
	previous := uint32(0)
	for i, name := range names {
		number := numberOf(name)
		if previous != 0 && number != previous+1 {
			report.damage("segments %d to %d are lost", previous+1, number-1)
		}
		previous = number
		if err := report.addSegment(journalDir, name, i == len(names)-1, content); err != nil {
			return nil, err
		}
	}
	report.Store = content.render()
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
		if !entry.IsDir() && numberOf(entry.Name()) > 0 {
			names = append(names, entry.Name())
		}
	}
	slices.SortFunc(names, func(a, b string) int { return int(numberOf(a)) - int(numberOf(b)) })
	return names, nil
}

// numberOf reads the number of a segment off its name; zero: it is none.
func numberOf(name string) uint32 {
	var number uint32
	if !strings.HasSuffix(name, segmentSuffix) {
		return 0
	}
	_, _ = fmt.Sscanf(name, "%010d"+segmentSuffix, &number)
	return number
}

// addSegment reads one segment of a journal. The journal reads a copy, since it mends what it opens.
func (r *Report) addSegment(dir, name string, newest bool, content *messages) error {
	original, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return fmt.Errorf("disks: %w", err)
	}
	file := File{Name: name, Bytes: int64(len(original)), Fate: FateIntact}
	good, err := readSegment(name, original, func(payload []byte) {
		file.Records++
		if err := content.apply(payload); err != nil {
			r.damage("%s: record %d has a content that is not known here: %v", name, file.Records, err)
		}
	})
	if err != nil {
		return err
	}
	file.Good = good
	switch {
	case good == file.Bytes:
	case newest:
		file.Fate = FateTorn
		r.remark("%s: the last %d bytes were torn by a loss of power, or have rotted: on the newest segment one can't be told from the other", name, file.Bytes-good)
	default:
		file.Fate = FateUnreadable
		r.damage("%s: it can't be read from byte %d on, and it was synced before the next segment was begun: the store would not start", name, good)
	}
	r.Files = append(r.Files, file)
	return nil
}

// readSegment visits the good records of a segment, and returns how many bytes they are.
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
	if !bytes.HasPrefix(original, repaired) { // its header was made anew
		return 0, nil
	}
	return int64(len(repaired)), nil
}

// readIdentity reads the identity, which a store draws anew if it is not complete.
func (r *Report) readIdentity(dir string) {
	content, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		r.remark("there is no identity beside the journal: with it missing the store would be a new one")
		return
	}
	if err != nil {
		r.remark("identity: %v", err)
		return
	}
	r.Store.Disk = strings.TrimSpace(string(content))
}

// messages follows the records of a journal.
type messages struct {
	epoch      uint64
	partitions map[uint16]map[string]wire.State
}

func newMessages() *messages { return &messages{partitions: make(map[uint16]map[string]wire.State)} }

func (m *messages) apply(payload []byte) error {
	var r queue.Record
	if _, err := r.UnmarshalMsg(payload); err != nil {
		return err
	}
	if r.Kind == queue.RecordEpoch {
		m.epoch = max(m.epoch, r.Sequence)
		return nil
	}
	in := m.partitions[r.Partition]
	if in == nil {
		in = make(map[string]wire.State)
		m.partitions[r.Partition] = in
	}
	switch r.Kind {
	case queue.RecordMessage, queue.RecordFinish:
		in[r.ID] = r.State
	case queue.RecordDrop:
		delete(in, r.ID)
	case queue.RecordWipe:
		clear(in)
	}
	return nil
}

func (m *messages) render() *Store {
	s := &Store{Epoch: m.epoch, Partitions: []Partition{}}
	for number, in := range m.partitions {
		p := Partition{Number: number}
		for _, state := range in {
			s.count(state)
			if state == wire.StatePending {
				p.Pending++
			}
		}
		p.Finished = len(in) - p.Pending
		if len(in) > 0 {
			s.Partitions = append(s.Partitions, p)
		}
	}
	slices.SortFunc(s.Partitions, func(a, b Partition) int { return int(a.Number) - int(b.Number) })
	return s
}

func (s *Store) count(state wire.State) {
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
