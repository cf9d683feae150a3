package disks

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"ravendale/control/core"
	"ravendale/control/slots"
	"ravendale/control/state"
)

// Core is what a control process keeps.
type Core struct {
	Disk             string   `json:"disk"`
	BootstrapMembers []string `json:"founders,omitempty"` // seeds, if this disk may found the system
	Epoch            uint64   `json:"epoch"`
	Voters           []string `json:"voters"` // disk@address
	Chain            []string `json:"chain"`
	Sealed           bool     `json:"sealed"`    // it has promised a successor of the epoch
	Base             uint64   `json:"base"`      // sequence of the newest command that the state covers
	Last             uint64   `json:"last"`      // sequence of the newest command on disk
	Version          uint64   `json:"version"`   // of the configuration at Base
	Term             uint64   `json:"term"`      // of the leader at Base
	Placement        uint64   `json:"placement"` // epoch of the queue's placement at Base
	Uncovered        []string `json:"uncovered"` // kinds of the commands after Base, oldest first: committed or not, the chain decides
	Document         []byte   `json:"-"`         // the configuration at Base
	Older            bool     `json:"older"`     // the newest state is lost, and this is the one before
}

// pair is the files of the generations of one parity: a state, and the records that follow it.
type pair struct{ slot, log string }

var pairs = [2]pair{pairOf(0), pairOf(1)}

func pairOf(parity int) pair {
	slot, log := slots.FileNames(parity)
	return pair{slot, log}
}

func coreFile(name string) bool {
	return name == pairs[0].slot || name == pairs[1].slot || name == pairs[0].log || name == pairs[1].log
}

// damagedFile says whether a file was set aside by a control process that found its disk damaged.
func damagedFile(name string) bool {
	return slices.ContainsFunc(pairs[:], func(p pair) bool { return name == slots.DamagedName(p.slot) || name == slots.DamagedName(p.log) })
}

// fileName is the name of a file as it is, rather than as a store asks for it.
type fileName func(name string) string

func sameName(name string) string { return name }

// readOnlyFolder is a folder of which some files are seen, and none is changed. It notes where a store would go on writing.
type readOnlyFolder struct {
	dir    string
	named  fileName
	hidden map[string]bool
	opened map[string]int64 // size by name
}

func newReadOnlyFolder(dir string, named fileName, hidden ...string) *readOnlyFolder {
	f := &readOnlyFolder{dir: dir, named: named, hidden: make(map[string]bool), opened: make(map[string]int64)}
	for _, name := range hidden {
		f.hidden[name] = true
	}
	return f
}

// Read implements slots.Folder.
func (f *readOnlyFolder) Read(name string) ([]byte, error) {
	if f.hidden[name] {
		return nil, fs.ErrNotExist
	}
	return os.ReadFile(filepath.Join(f.dir, f.named(name)))
}

// Open implements slots.Folder.
func (f *readOnlyFolder) Open(name string, size int64) (slots.File, error) {
	f.opened[name] = size
	return discardFile{}, nil
}

// Remove implements slots.Folder.
func (f *readOnlyFolder) Remove(string) error { return nil }

// Sync implements slots.Folder.
func (f *readOnlyFolder) Rename(string, string) error { return nil }

// Sync implements slots.Folder.
func (f *readOnlyFolder) Sync() error { return nil }

type discardFile struct{}

func (discardFile) Write(data []byte) (int, error) { return len(data), nil }
func (discardFile) Sync() error                    { return nil }
func (discardFile) Close() error                   { return nil }

// openResult is what a slots.Store finds.
type openResult struct {
	folder   *readOnlyFolder
	snapshot []byte
	records  [][]byte
	err      error
}

func open(folder *readOnlyFolder) openResult {
	_, snapshot, records, err := slots.OpenFolder(folder)
	return openResult{folder, snapshot, records, err}
}

func (f *openResult) uses(name string) bool {
	_, used := f.folder.opened[name]
	return used
}

func inspectCore(dir string, named fileName) (*Report, error) {
	report := &Report{Folder: dir, named: named}
	newest := open(newReadOnlyFolder(dir, named))
	if newest.err != nil && !errors.Is(newest.err, slots.ErrDamaged) {
		return nil, newest.err
	}
	for i, pair := range pairs {
		other := pairs[1-i]
		if err := report.addPair(i, &newest, open(newReadOnlyFolder(dir, named, other.slot, other.log, pair.log)), open(newReadOnlyFolder(dir, named, other.slot, other.log))); err != nil {
			return nil, err
		}
	}
	best := &newest
	if newest.err != nil {
		report.damage("%v: the process would set this aside and join the core as a new member", newest.err)
		best = olderState(dir, named)
	}
	report.readCore(best, newest.err != nil)
	return report, nil
}

// olderState is the older state of a disk that lost its newest.
func olderState(dir string, named fileName) *openResult {
	for i := range pairs {
		only := open(newReadOnlyFolder(dir, named, pairs[1-i].slot, pairs[1-i].log))
		if only.err == nil && only.snapshot != nil {
			return &only
		}
	}
	return &openResult{}
}

// addPair reports a slot and its log: alone is what a store finds in the slot only, both with the log.
func (r *Report) addPair(i int, newest *openResult, alone, both openResult) error {
	slot, log := pairs[i].slot, pairs[i].log
	size, exists, err := sizeOf(r.Folder, r.named(slot))
	if err != nil {
		return err
	}
	if exists {
		r.Files = append(r.Files, r.slotFile(slot, size, newest, alone, both))
	}
	size, exists, err = sizeOf(r.Folder, r.named(log))
	if err != nil || !exists {
		return err
	}
	file := File{Name: r.named(log), Bytes: size, Good: both.folder.opened[log], Records: len(both.records), Fate: FateIntact}
	switch {
	case !newest.uses(log):
		file.Fate = FateOlder
		if file.Good == 0 {
			file.Fate = FateUnneeded
		}
	case file.Good < file.Bytes:
		file.Fate = FateTorn
		r.remark("%s: the last %d bytes were torn, or are left of an earlier log", log, file.Bytes-file.Good)
	}
	r.Files = append(r.Files, file)
	return nil
}

func (r *Report) slotFile(name string, size int64, newest *openResult, alone, both openResult) File {
	file := File{Name: r.named(name), Bytes: size}
	switch {
	case errors.Is(both.err, slots.ErrDamaged):
		file.Fate = FateUnreadable // its log shows that it was there
		if !errors.Is(newest.err, slots.ErrDamaged) {
			file.Fate = FateUnneeded
		}
		return file
	case alone.snapshot == nil:
		file.Fate = FateUnneeded
		return file
	}
	file.Good, file.Records, file.Fate = size, 1, FateOlder
	if newest.uses(name) {
		file.Fate = FateIntact
	}
	return file
}

func sizeOf(dir, name string) (size int64, exists bool, err error) {
	info, err := os.Stat(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("disks: %w", err)
	}
	return info.Size(), true, nil
}

// readCore decodes what survives.
func (r *Report) readCore(from *openResult, older bool) {
	if from.snapshot == nil {
		r.remark("nothing was ever kept here, or nothing of it can be read")
		return
	}
	kept, err := core.ReadImage(from.snapshot, from.records)
	if err != nil {
		r.damage("the state has a content that is not known here: %v", err)
		return
	}
	r.Core = render(kept)
	r.Core.Older = older
	machine := state.NewMachine()
	if len(kept.Machine) > 0 {
		if err := machine.Restore(kept.Machine); err != nil {
			r.damage("the state machine's snapshot: %v", err)
			return
		}
	}
	now := machine.Current()
	r.Core.Version, r.Core.Term, r.Core.Placement, r.Core.Document = now.Version, now.Term, now.Epoch(), now.Document
}

func render(i *core.Image) *Core {
	c := &Core{
		Disk: i.ID.String(), BootstrapMembers: i.BootstrapMembers, Epoch: i.View.Epoch, Sealed: i.Vote.Sealed(i.View.Epoch),
		Base: i.Chain.Base, Last: i.Chain.Base, Voters: []string{}, Chain: []string{}, Uncovered: []string{},
	}
	for _, member := range i.View.Voters {
		c.Voters = append(c.Voters, member.ID.String()+"@"+member.Address)
	}
	for _, id := range i.View.Chain {
		c.Chain = append(c.Chain, id.String())
	}
	for n := range i.Chain.Entries {
		entry := &i.Chain.Entries[n]
		c.Last = entry.Sequence
		if entry.Origin != 0 {
			c.Uncovered = append(c.Uncovered, kindOf(entry.Command))
		}
	}
	return c
}

func kindOf(encoded []byte) string {
	command, err := state.Decode(encoded)
	if err != nil {
		return "unreadable"
	}
	switch command := command.(type) {
	case *state.Set:
		return fmt.Sprintf("set on %d", command.Base)
	case *state.Patch:
		return fmt.Sprintf("patch on %d", command.Base)
	case *state.Show:
		return "show"
	case *state.TakeTerm:
		return "term of " + command.Candidate
	case *state.PutPlacement:
		return fmt.Sprintf("placement %d", command.View.Epoch)
	case *state.PutMembers:
		return fmt.Sprintf("%d members", len(command.Edges))
	}
	return "barrier"
}
