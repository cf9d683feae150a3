// Package slotstest has a folder in memory whose unsynced writes may be lost or torn, for tests of what must survive a loss of power.
package slotstest

import (
	"errors"
	"io/fs"
	"math/rand/v2"

	"ravendale/control/slots"
)

// ErrBroken is what operations fail with after Break.
var ErrBroken = errors.New("slotstest: disk is broken")

// Folder is a slots.Folder in memory. It is not safe for use by several goroutines at once.
type Folder struct {
	files     map[string]*content
	removed   map[string]*content // removed, and not yet synced
	countdown int                 // operations left until all fail; negative: no end
	Syncs     int                 // syncs so far
}

type content struct {
	data   []byte
	synced []byte
	lasts  bool // it has been synced once
	writes []span
}

type span struct{ from, to int }

// New returns an empty folder.
func New() *Folder {
	return &Folder{files: make(map[string]*content), removed: make(map[string]*content), countdown: -1}
}

// Break makes all operations fail that come after so many more that write or sync; a write that fails leaves half of it. Negative: all work.
func (d *Folder) Break(after int) { d.countdown = after }

func (d *Folder) count() error {
	if d.countdown == 0 {
		return ErrBroken
	}
	if d.countdown > 0 {
		d.countdown--
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
	if err := d.count(); err != nil {
		return nil, err
	}
	file, ok := d.files[name]
	if !ok {
		file = &content{}
		d.files[name] = file
	}
	file.data = append([]byte(nil), file.data[:min(int(size), len(file.data))]...)
	return &handle{folder: d, file: file}, nil
}

// Remove implements slots.Folder.
func (d *Folder) Remove(name string) error {
	if err := d.count(); err != nil {
		return err
	}
	if file, ok := d.files[name]; ok {
		d.removed[name] = file
		delete(d.files, name)
	}
	return nil
}

// Rename implements slots.Folder. A loss of power before the next sync of the folder may undo it.
func (d *Folder) Rename(name, to string) error {
	if err := d.count(); err != nil {
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
	if err := d.count(); err != nil {
		return err
	}
	d.removed = make(map[string]*content)
	return nil
}

// Corrupt lets a test change a file's bytes, synced ones too.
func (d *Folder) Corrupt(name string, change func(data []byte) []byte) {
	if file, ok := d.files[name]; ok {
		file.data = change(append([]byte(nil), file.data...))
		file.synced, file.writes = file.data, nil
	}
}

// Names lists the files.
func (d *Folder) Names() []string {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	return names
}

// PowerLoss leaves of each file what its last sync covered, and of what was written later some, none or torn parts. It mends a broken disk.
func (d *Folder) PowerLoss(random *rand.Rand) {
	d.countdown = -1
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
	d.removed = make(map[string]*content)
	clean := random.IntN(3) == 0
	for _, name := range sorted(d.files) {
		file := d.files[name]
		if !file.lasts && (clean || random.IntN(2) == 0) {
			delete(d.files, name)
			continue
		}
		file.lose(random, clean)
	}
}

func (c *content) lose(random *rand.Rand, clean bool) {
	data := append([]byte(nil), c.synced...)
	if !clean {
		data = c.mix(random, data)
	}
	*c = content{data: data, synced: data, lasts: true}
}

// mix keeps each unsynced write, drops it or keeps its beginning; a dropped one before a kept one leaves zeros, or what was there.
func (c *content) mix(random *rand.Rand, data []byte) []byte {
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

func sorted(files map[string]*content) []string {
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

type handle struct {
	folder *Folder
	file   *content
}

func (h *handle) Write(data []byte) (int, error) {
	err := h.folder.count()
	if err != nil {
		data = data[:len(data)/2]
	}
	from := len(h.file.data)
	h.file.data = append(h.file.data, data...)
	h.file.writes = append(h.file.writes, span{from, len(h.file.data)})
	return len(data), err
}

func (h *handle) Sync() error {
	if err := h.folder.count(); err != nil {
		return err
	}
	h.folder.Syncs++
	h.file.synced = append([]byte(nil), h.file.data...)
	h.file.writes, h.file.lasts = nil, true
	return nil
}

func (h *handle) Close() error { return nil }
