// Package slotstest provides a folder in memory whose unsynced writes can be lost or torn, for tests that simulate
// power failures.
package slotstest

import (
	"errors"
	"io/fs"
	"math/rand/v2"

	"ravendale/control/slots"
)

// ErrInjected is the error of operations that fail because of FailAfter.
var ErrInjected = errors.New("slotstest: injected disk failure")

// Folder is a slots.Folder in memory. It is not safe for concurrent use.
type Folder struct {
	files          map[string]*fileContent
	removed        map[string]*fileContent // removed or renamed since the folder's last sync
	operationsLeft int                     // number of operations until all fail; negative: none fails
	Syncs          int                     // number of syncs of files so far
}

type fileContent struct {
	data    []byte
	synced  []byte
	durable bool // it has been synced at least once
	writes  []span
}

// span is the byte range of a write that was not synced yet.
type span struct{ from, to int }

// New returns an empty folder.
func New() *Folder {
	return &Folder{files: make(map[string]*fileContent), removed: make(map[string]*fileContent), operationsLeft: -1}
}

// FailAfter lets a number of operations that write or sync succeed, and makes all later ones fail; a failing write
// writes half of its data. With a negative number no operation fails.
func (d *Folder) FailAfter(operations int) { d.operationsLeft = operations }

func (d *Folder) countOperation() error {
	if d.operationsLeft == 0 {
		return ErrInjected
	}
	if d.operationsLeft > 0 {
		d.operationsLeft--
	}
	return nil
}

// Read implements slots.Folder.
func (d *Folder) Read(name string) ([]byte, error) {
	file, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), file.data...), nil
}

// Open implements slots.Folder.
func (d *Folder) Open(name string, size int64) (slots.File, error) {
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	file, ok := d.files[name]
	if !ok {
		file = &fileContent{}
		d.files[name] = file
	}
	file.data = append([]byte(nil), file.data[:min(int(size), len(file.data))]...)
	return &openFile{folder: d, file: file}, nil
}

// Remove implements slots.Folder.
func (d *Folder) Remove(name string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	if file, ok := d.files[name]; ok {
		d.removed[name] = file
		delete(d.files, name)
	}
	return nil
}

// Rename implements slots.Folder. A power loss before the next sync of the folder may undo it.
func (d *Folder) Rename(name, to string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	file, ok := d.files[name]
	if !ok {
		return fs.ErrNotExist
	}
	d.removed[name] = file
	delete(d.files, name)
	d.files[to] = file
	return nil
}

// Sync implements slots.Folder.
func (d *Folder) Sync() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.removed = make(map[string]*fileContent)
	return nil
}

// Corrupt changes a file's bytes, including synced ones.
func (d *Folder) Corrupt(name string, change func(data []byte) []byte) {
	if file, ok := d.files[name]; ok {
		file.data = change(append([]byte(nil), file.data...))
		file.synced, file.writes = file.data, nil
	}
}

// Names returns the names of the files.
func (d *Folder) Names() []string {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	return names
}

// PowerLoss reduces each file to what its last sync covered, and possibly some complete or torn later writes. It also
// ends the failures that FailAfter has started.
func (d *Folder) PowerLoss(random *rand.Rand) {
	d.operationsLeft = -1
	for _, name := range sorted(d.removed) {
		if random.IntN(2) > 0 {
			continue
		}
		for other, file := range d.files {
			if file == d.removed[name] {
				delete(d.files, other) // it was renamed
			}
		}
		d.files[name] = d.removed[name]
	}
	d.removed = make(map[string]*fileContent)
	clean := random.IntN(3) == 0
	for _, name := range sorted(d.files) {
		file := d.files[name]
		if !file.durable && (clean || random.IntN(2) == 0) {
			delete(d.files, name)
			continue
		}
		file.dropUnsynced(random, clean)
	}
}

func (c *fileContent) dropUnsynced(random *rand.Rand, clean bool) {
	data := append([]byte(nil), c.synced...)
	if !clean {
		data = c.applySomeWrites(random, data)
	}
	*c = fileContent{data: data, synced: data, durable: true}
}

// applySomeWrites returns the synced data, to which each unsynced write is applied completely, in part or not at all.
// A write that is not applied, if a later one is, leaves zeros or the earlier bytes.
func (c *fileContent) applySomeWrites(random *rand.Rand, data []byte) []byte {
	if random.IntN(2) == 0 && len(c.data) < len(data) {
		data = data[:len(c.data)]
	}
	for _, write := range c.writes {
		to := min(write.to, len(c.data))
		switch random.IntN(3) {
		case 0:
			continue
		case 1:
			to = write.from + random.IntN(max(1, to-write.from))
		}
		for len(data) < to {
			data = append(data, 0)
		}
		if write.from < to {
			copy(data[write.from:to], c.data[write.from:to])
		}
	}
	return data
}

func sorted(files map[string]*fileContent) []string {
	var names []string
	for name := range files {
		at := len(names)
		for at > 0 && names[at-1] > name {
			at--
		}
		names = append(names[:at], append([]string{name}, names[at:]...)...)
	}
	return names
}

type openFile struct {
	folder *Folder
	file   *fileContent
}

func (h *openFile) Write(data []byte) (int, error) {
	err := h.folder.countOperation()
	if err != nil {
		data = data[:len(data)/2]
	}
	from := len(h.file.data)
	h.file.data = append(h.file.data, data...)
	h.file.writes = append(h.file.writes, span{from, len(h.file.data)})
	return len(data), err
}

func (h *openFile) Sync() error {
	if err := h.folder.countOperation(); err != nil {
		return err
	}
	h.folder.Syncs++
	h.file.synced = append([]byte(nil), h.file.data...)
	h.file.writes, h.file.durable = nil, true
	return nil
}

func (h *openFile) Close() error { return nil }
