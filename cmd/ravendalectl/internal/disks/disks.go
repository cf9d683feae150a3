// Package disks reads the disks of stopped processes without changing them. It reports which data is intact, torn by a power loss or
// unreadable, and the state that the processes would recover at the next start.
package disks

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"ravendale/control/slots"
)

// FileState is the condition of a file.
type FileState string

// States of files.
const (
	FileIntact     FileState = "whole"
	FileSuperseded FileState = "older"    // intact, but superseded by a newer file
	FileTorn       FileState = "torn"     // the data after the readable part was not synced or acknowledged; the next start truncates it
	FileUnneeded   FileState = "unneeded" // not intact, but superseded by a newer file or never used
	FileUnreadable FileState = "lost"     // synced data can't be read: the disk is damaged
)

// File is one file of a disk.
type File struct {
	Name          string    `json:"name"`
	Bytes         int64     `json:"bytes"`
	ReadableBytes int64     `json:"good"` // number of readable bytes from the start
	Records       int       `json:"records"`
	State         FileState `json:"fate"`
}

// Report is the content of one disk.
type Report struct {
	Folder  string   `json:"folder"`
	Files   []File   `json:"files"`
	Damage  []string `json:"damage"`          // empty if all acknowledged data is readable
	Core    *Core    `json:"core,omitempty"`  // set for a control process; nil if it can't be read
	Store   *Store   `json:"store,omitempty"` // set for a store
	Remarks []string `json:"remarks,omitempty"`

	SetAside bool `json:"setAside,omitempty"` // a control process found the disk damaged, and continued as a new member

	diskName nameMapping
}

// Damaged reports whether any synced data can't be read.
func (r *Report) Damaged() bool { return len(r.Damage) > 0 }

func (r *Report) addDamage(format string, arguments ...any) {
	r.Damage = append(r.Damage, fmt.Sprintf(format, arguments...))
}

func (r *Report) addRemark(format string, arguments ...any) {
	r.Remarks = append(r.Remarks, fmt.Sprintf(format, arguments...))
}

// ErrNoDisk is returned for a folder that has files of neither a control process nor a store.
var ErrNoDisk = errors.New("disks: neither a control process nor a store has anything here")

// Inspect reads the disks in a folder. If the folder itself is no disk, it reads its subfolders: the data folder of a machine has one for
// each role.
func Inspect(folder string) ([]*Report, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("disks: %w", err)
	}
	reports, err := inspectFolder(folder, entries)
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
		found, err := inspectFolder(inner, innerEntries)
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

func inspectFolder(folder string, entries []os.DirEntry) ([]*Report, error) {
	var reports []*Report
	if containsEntry(entries, func(e os.DirEntry) bool { return isCoreFile(e.Name()) && !e.IsDir() }) {
		report, err := inspectCore(folder, unchangedName)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	if containsEntry(entries, func(e os.DirEntry) bool { return isDamagedFile(e.Name()) && !e.IsDir() }) {
		report, err := inspectCore(folder, slots.DamagedName)
		if err != nil {
			return nil, err
		}
		report.SetAside = true
		reports = append(reports, report)
	}
	if journal, ok := findJournal(folder, entries); ok {
		report, err := inspectStore(folder, journal)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func containsEntry(entries []os.DirEntry, match func(os.DirEntry) bool) bool {
	for _, entry := range entries {
		if match(entry) {
			return true
		}
	}
	return false
}

// findJournal returns the folder that has journal segments: the given one or its journal subfolder. It returns false if neither has any.
func findJournal(folder string, entries []os.DirEntry) (string, bool) {
	isSegment := func(e os.DirEntry) bool { return !e.IsDir() && strings.HasSuffix(e.Name(), segmentSuffix) }
	if containsEntry(entries, isSegment) {
		return folder, true
	}
	inner := filepath.Join(folder, journalFolder)
	segments, err := os.ReadDir(inner)
	return inner, err == nil && containsEntry(segments, isSegment)
}
