// Package disks reads the disks of processes that don't run, and changes nothing on them: what is intact on them, what was torn by a
// loss of power, what is lost, and what their processes would find when they start.
package disks

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"ravendale/control/slots"
)

// Fate says what became of a file.
type Fate string

// The fates of files.
const (
	FateIntact     Fate = "whole"
	FateOlder      Fate = "older"    // intact, and replaced by a newer one
	FateTorn       Fate = "torn"     // what follows the good part was not synced: it is truncated at the next start, and nothing of it was acknowledged
	FateUnneeded   Fate = "unneeded" // not intact, and replaced by a newer one, or never in use
	FateUnreadable Fate = "lost"     // what was synced can't be read: the disk is damaged
)

// File is one file of a disk.
type File struct {
	Name    string `json:"name"`
	Bytes   int64  `json:"bytes"`
	Good    int64  `json:"good"` // bytes from the start that can be read
	Records int    `json:"records"`
	Fate    Fate   `json:"fate"`
}

// Report is what is on one disk.
type Report struct {
	Folder  string   `json:"folder"`
	Files   []File   `json:"files"`
	Damage  []string `json:"damage"`          // empty: all that was ever acknowledged is there
	Core    *Core    `json:"core,omitempty"`  // of a control process; nil if it can't be read
	Store   *Store   `json:"store,omitempty"` // of a store
	Remarks []string `json:"remarks,omitempty"`

	SetAside bool `json:"setAside,omitempty"` // a control process found it damaged, and went on as a new member

	named fileName
}

// Damaged says whether something that had been synced can't be read.
func (r *Report) Damaged() bool { return len(r.Damage) > 0 }

func (r *Report) damage(format string, arguments ...any) {
	r.Damage = append(r.Damage, fmt.Sprintf(format, arguments...))
}

func (r *Report) remark(format string, arguments ...any) {
	r.Remarks = append(r.Remarks, fmt.Sprintf(format, arguments...))
}

// ErrNoDisk is returned for a folder in which neither a control process nor a store keeps anything.
var ErrNoDisk = errors.New("disks: neither a control process nor a store has anything here")

// Inspect reads all disks in a folder: its own, and those of the folders in it, as the data folder of a machine holds one for each role.
func Inspect(folder string) ([]*Report, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("disks: %w", err)
	}
	reports, err := inspectOne(folder, entries)
	if err != nil || len(reports) > 0 {
		return reports, err
	}
	for _, entry := range entries {
		if !entry.IsDir() {
			continue
		}
		inner := filepath.Join(folder, entry.Name())
		innerEntries, err := os.ReadDir(inner)
		if err != nil {
			return nil, fmt.Errorf("disks: %w", err)
		}
		found, err := inspectOne(inner, innerEntries)
		if err != nil {
			return nil, err
		}
		reports = append(reports, found...)
	}
	if len(reports) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNoDisk, folder)
	}
	return reports, nil
}

func inspectOne(folder string, entries []os.DirEntry) ([]*Report, error) {
	var reports []*Report
	if holds(entries, func(e os.DirEntry) bool { return coreFile(e.Name()) && !e.IsDir() }) {
		report, err := inspectCore(folder, sameName)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	if holds(entries, func(e os.DirEntry) bool { return damagedFile(e.Name()) && !e.IsDir() }) {
		report, err := inspectCore(folder, slots.DamagedName)
		if err != nil {
			return nil, err
		}
		report.SetAside = true
		reports = append(reports, report)
	}
	if journal, ok := journalIn(folder, entries); ok {
		report, err := inspectStore(folder, journal)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func holds(entries []os.DirEntry, is func(os.DirEntry) bool) bool {
	for _, entry := range entries {
		if is(entry) {
			return true
		}
	}
	return false
}

// journalIn finds the journal of the store whose folder this is.
func journalIn(folder string, entries []os.DirEntry) (string, bool) {
	isSegment := func(e os.DirEntry) bool { return !e.IsDir() && strings.HasSuffix(e.Name(), segmentSuffix) }
	if holds(entries, isSegment) {
		return folder, true
	}
	inner := filepath.Join(folder, journalFolder)
	segments, err := os.ReadDir(inner)
	return inner, err == nil && holds(segments, isSegment)
}
