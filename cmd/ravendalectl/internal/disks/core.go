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

// Core is the state of the core on the disk of a control process.
type Core struct {
	Disk              string   `json:"disk"`
	BootstrapMembers  []string `json:"founders,omitempty"` // seeds, if this disk may bootstrap the system
	Epoch             uint64   `json:"epoch"`
	Voters            []string `json:"voters"` // disk@address
	Chain             []string `json:"chain"`
	Sealed            bool     `json:"sealed"`    // the member has promised a ballot for the successor of the epoch
	Base              uint64   `json:"base"`      // sequence of the newest command that the state covers
	Last              uint64   `json:"last"`      // sequence of the newest command on disk
	Version           uint64   `json:"version"`   // version of the configuration at Base
	Term              uint64   `json:"term"`      // term of the leader at Base
	Placement         uint64   `json:"placement"` // epoch of the queue's placement at Base
	CommandsAfterBase []string `json:"uncovered"` // kinds of the commands after Base, oldest first; the chain decides if they are committed
	Document          []byte   `json:"-"`         // the configuration at Base
	FromOlderState    bool     `json:"older"`     // the newest state is unreadable, and this is the previous one
}

// filePair has the file names for generations of one parity: the slot with the state, and the log of the records after it.
type filePair struct{ slot, log string }

var filesByParity = [2]filePair{filesOfParity(0), filesOfParity(1)}

func filesOfParity(parity int) filePair {
	slot, log := slots.FileNames(parity)
	return filePair{slot, log}
}

func isCoreFile(name string) bool {
	return name == filesByParity[0].slot || name == filesByParity[1].slot || name == filesByParity[0].log || name == filesByParity[1].log
}

// isDamagedFile reports whether a file was set aside by a control process that found its disk damaged.
func isDamagedFile(name string) bool {
	return slices.ContainsFunc(filesByParity[:], func(p filePair) bool { return name == slots.DamagedName(p.slot) || name == slots.DamagedName(p.log) })
}

// nameMapping maps the file name that slots.Store uses to the name on disk; they differ for files that were set aside.
type nameMapping func(name string) string

func unchangedName(name string) string { return name }

// readOnlyFolder implements slots.Folder without changing any file. It hides some files, and records the offsets at which a
// slots.Store would continue writing.
type readOnlyFolder struct {
	dir         string
	diskName    nameMapping
	hidden      map[string]bool
	openedSizes map[string]int64 // offset of the next write, by file name
}

func newReadOnlyFolder(dir string, diskName nameMapping, hidden ...string) *readOnlyFolder {
	f := &readOnlyFolder{dir: dir, diskName: diskName, hidden: make(map[string]bool), openedSizes: make(map[string]int64)}
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
	return os.ReadFile(filepath.Join(f.dir, f.diskName(name)))
}

// Open implements slots.Folder.
func (f *readOnlyFolder) Open(name string, size int64) (slots.File, error) {
	f.openedSizes[name] = size
	return discardFile{}, nil
}

// Remove implements slots.Folder.
func (f *readOnlyFolder) Remove(string) error { return nil }

// Rename implements slots.Folder.
func (f *readOnlyFolder) Rename(string, string) error { return nil }

// Sync implements slots.Folder.
func (f *readOnlyFolder) Sync() error { return nil }

type discardFile struct{}

func (discardFile) Write(data []byte) (int, error) { return len(data), nil }
func (discardFile) Sync() error                    { return nil }
func (discardFile) Close() error                   { return nil }

// openResult is the content that a slots.Store reads from a folder.
type openResult struct {
	folder   *readOnlyFolder
	snapshot []byte
	records  [][]byte
	err      error
}

func openSlots(folder *readOnlyFolder) openResult {
	_, snapshot, records, err := slots.OpenFolder(folder)
	return openResult{folder, snapshot, records, err}
}

func (o *openResult) uses(name string) bool {
	_, used := o.folder.openedSizes[name]
	return used
}

func inspectCore(dir string, diskName nameMapping) (*Report, error) {
	report := &Report{Folder: dir, diskName: diskName}
	newest := openSlots(newReadOnlyFolder(dir, diskName))
	if newest.err != nil && !errors.Is(newest.err, slots.ErrDamaged) {
		return nil, newest.err
	}
	for i, pair := range filesByParity {
		other := filesByParity[1-i]
		if err := report.addGenerationFiles(i, &newest, openSlots(newReadOnlyFolder(dir, diskName, other.slot, other.log, pair.log)), openSlots(newReadOnlyFolder(dir, diskName, other.slot, other.log))); err != nil {
			return nil, err
		}
	}
	best := &newest
	if newest.err != nil {
		report.addDamage("%v: the process would set this aside and join the core as a new member", newest.err)
		best = openOlderState(dir, diskName)
	}
	report.readCore(best, newest.err != nil)
	return report, nil
}

// openOlderState reads the previous state of a disk whose newest state is unreadable.
func openOlderState(dir string, diskName nameMapping) *openResult {
	for i := range filesByParity {
		opened := openSlots(newReadOnlyFolder(dir, diskName, filesByParity[1-i].slot, filesByParity[1-i].log))
		if opened.err == nil && opened.snapshot != nil {
			return &opened
		}
	}
	return &openResult{}
}

// addGenerationFiles reports a slot and its log. slotOnly is the content read from the slot alone, slotAndLog that read from both files.
func (r *Report) addGenerationFiles(parity int, newest *openResult, slotOnly, slotAndLog openResult) error {
	slot, log := filesByParity[parity].slot, filesByParity[parity].log
	size, exists, err := fileSize(r.Folder, r.diskName(slot))
	if err != nil {
		return err
	}
	if exists {
		r.Files = append(r.Files, r.inspectSlot(slot, size, newest, slotOnly, slotAndLog))
	}
	size, exists, err = fileSize(r.Folder, r.diskName(log))
	if err != nil || !exists {
		return err
	}
	file := File{Name: r.diskName(log), Bytes: size, ReadableBytes: slotAndLog.folder.openedSizes[log], Records: len(slotAndLog.records), State: FileIntact}
	switch {
	case !newest.uses(log):
		file.State = FileSuperseded
		if file.ReadableBytes == 0 {
			file.State = FileUnneeded
		}
	case file.ReadableBytes < file.Bytes:
		file.State = FileTorn
		r.addRemark("%s: the last %d bytes were torn, or are left of an earlier log", log, file.Bytes-file.ReadableBytes)
	}
	r.Files = append(r.Files, file)
	return nil
}

func (r *Report) inspectSlot(name string, size int64, newest *openResult, slotOnly, slotAndLog openResult) File {
	file := File{Name: r.diskName(name), Bytes: size}
	switch {
	case errors.Is(slotAndLog.err, slots.ErrDamaged):
		file.State = FileUnreadable // its log shows that the slot was complete
		if !errors.Is(newest.err, slots.ErrDamaged) {
			file.State = FileUnneeded
		}
		return file
	case slotOnly.snapshot == nil:
		file.State = FileUnneeded
		return file
	}
	file.ReadableBytes, file.Records, file.State = size, 1, FileSuperseded
	if newest.uses(name) {
		file.State = FileIntact
	}
	return file
}

func fileSize(dir, name string) (size int64, exists bool, err error) {
	info, err := os.Stat(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("disks: %w", err)
	}
	return info.Size(), true, nil
}

// readCore decodes the readable state.
func (r *Report) readCore(opened *openResult, older bool) {
	if opened.snapshot == nil {
		r.addRemark("nothing was ever kept here, or nothing of it can be read")
		return
	}
	image, err := core.ReadImage(opened.snapshot, opened.records)
	if err != nil {
		r.addDamage("the state has a content that is not known here: %v", err)
		return
	}
	r.Core = coreReport(image)
	r.Core.FromOlderState = older
	machine := state.NewMachine()
	if len(image.Machine) > 0 {
		if err := machine.Restore(image.Machine); err != nil {
			r.addDamage("the state machine's snapshot: %v", err)
			return
		}
	}
	current := machine.Current()
	r.Core.Version, r.Core.Term, r.Core.Placement, r.Core.Document = current.Version, current.Term, current.Epoch(), current.Document
}

func coreReport(image *core.Image) *Core {
	c := &Core{
		Disk: image.ID.String(), BootstrapMembers: image.BootstrapMembers, Epoch: image.View.Epoch, Sealed: image.Vote.Sealed(image.View.Epoch),
		Base: image.Chain.Base, Last: image.Chain.Base, Voters: []string{}, Chain: []string{}, CommandsAfterBase: []string{},
	}
	for _, member := range image.View.Voters {
		c.Voters = append(c.Voters, member.ID.String()+"@"+member.Address)
	}
	for _, id := range image.View.Chain {
		c.Chain = append(c.Chain, id.String())
	}
	for n := range image.Chain.Entries {
		entry := &image.Chain.Entries[n]
		c.Last = entry.Sequence
		if entry.Origin != 0 {
			c.CommandsAfterBase = append(c.CommandsAfterBase, commandSummary(entry.Command))
		}
	}
	return c
}

func commandSummary(encoded []byte) string {
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
