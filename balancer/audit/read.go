package audit

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// FindingKind is the kind of a Finding.
type FindingKind string

// Kinds of findings. Torn, Folded and Foreign are normal.
const (
	Torn            FindingKind = "torn"        // a crash truncated the last line
	Folded          FindingKind = "folded"      // old spans have been replaced by sums
	Foreign         FindingKind = "foreign"     // entries of another version of the program
	Lost            FindingKind = "gap"         // entries that the member could not write, as it notes itself
	Missing         FindingKind = "missing"     // entries that existed are missing
	Altered         FindingKind = "altered"     // a line was altered
	Reordered       FindingKind = "reordered"   // a line is at another position than it was written at
	RolledBack      FindingKind = "rolled back" // a later process continued from an older state of the disk
	UnmeasuredClock FindingKind = "unheard"     // no peer measured the offset of a process's clock
)

// Fault reports whether a finding means that the written record was changed, by a person or a faulty disk.
func (k FindingKind) Fault() bool {
	return slices.Contains([]FindingKind{Missing, Altered, Reordered, RolledBack}, k)
}

// Finding is a defect or a peculiarity of a record. It is reported, never repaired.
type Finding struct {
	Kind     FindingKind `json:"kind"`
	Member   string      `json:"member"`
	Position string      `json:"place"` // file and line, or the incarnation
	Text     string      `json:"text"`
}

// String returns the member, the kind, the position and the text.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s: %s", f.Member, f.Kind, f.Position, f.Text)
}

// PlacedEntry is an entry with its position in the record and its aligned time.
type PlacedEntry struct {
	Entry
	Member      string
	Incarnation uint64
	Position    string `json:"Place"`
	When        int64  // Unix milliseconds by the reference clock, unless Unaligned; see Audit.align
	Unaligned   bool   `json:"Loose"` // the offset of its process's clock is unknown: When is by its own clock and not evaluated
}

// Record is what was read of one member's record.
type Record struct {
	Member   string
	Entries  []PlacedEntry
	hashes   map[Head]bool     // heads at each line read: true if its hash is correct
	ends     map[uint64]uint64 // number of the last entry by incarnation
	folds    map[uint64]uint64 // number of the last folded entry by incarnation
	head     Head
	findings []Finding
}

type memberFile struct {
	path        string
	incarnation uint64
	number      int
	size        int64
}

// memberFiles returns the files of a member, oldest first.
func memberFiles(dir, member string) (files []memberFile, err error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, f := range list {
		info, err := f.Info()
		if m, incarnation, number, ok := parseName(f.Name()); err == nil && ok && m == member && info.Mode().IsRegular() {
			files = append(files, memberFile{filepath.Join(dir, f.Name()), incarnation, number, info.Size()})
		}
	}
	slices.SortFunc(files, func(a, b memberFile) int {
		return cmp.Or(cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.number, b.number))
	})
	return files, nil
}

// readMember reads all files of a member in a directory.
func readMember(dir, member string) (*Record, error) {
	files, err := memberFiles(dir, member)
	if err != nil {
		return nil, err
	}
	r := &Record{Member: member, hashes: make(map[Head]bool), ends: make(map[uint64]uint64), folds: make(map[uint64]uint64)}
	for i, f := range files {
		text, err := os.ReadFile(f.path)
		if err != nil {
			return nil, err
		}
		r.read(f, text, i == 0, i+1 == len(files) || files[i+1].incarnation != f.incarnation)
	}
	return r, nil
}

func (r *Record) addFinding(kind FindingKind, position, text string, args ...any) {
	r.findings = append(r.findings, Finding{kind, r.Member, position, fmt.Sprintf(text, args...)})
}

// read parses one file. A break of the chain becomes a finding, and reading continues with the line's own number and hash.
func (r *Record) read(f memberFile, text []byte, first, last bool) {
	name := filepath.Base(f.path)
	prev, seq := r.head.Hash, uint64(0)
	if r.head.Incarnation == f.incarnation {
		seq = r.head.Seq
	}
	lines := bytes.SplitAfter(text, []byte("\n"))
	for i, line := range lines {
		if len(line) == 0 {
			continue
		}
		position := fmt.Sprintf("%s:%d", name, i+1)
		complete := line[len(line)-1] == '\n'
		line = bytes.TrimSuffix(line, []byte("\n"))
		if i == 0 {
			prev = r.beginFile(f, prev, peekPrev(line), first, position)
		}
		e, hash, err := readLine(prev, line)
		if errors.Is(err, errFormat) || !complete {
			if last && i == len(lines)-1 && !complete {
				r.addFinding(Torn, position, "the last line is cut short")
				return
			}
			r.addFinding(Altered, position, "no line of a record")
			prev = string(line[:min(len(line), 2*hashSize)]) // the next line may be chained to this hash
			continue
		}
		r.checkSequence(e, seq, err, position)
		prev = hash
		r.hashes[Head{f.incarnation, e.Seq, hash}] = err == nil
		r.hashes[Head{f.incarnation, 0, hash}] = true
		if e.Kind == Segment && e.Seq < seq { // a failed write had reached the disk, and its entries were written again
			r.Entries = slices.DeleteFunc(r.Entries, func(p PlacedEntry) bool { return p.Incarnation == f.incarnation && p.Seq > e.Seq })
			seq = e.Seq
		}
		seq = max(seq, e.Seq)
		r.addEntry(f, e, position)
		if e.Kind == Fold && e.Before != nil {
			prev, hash = e.Before.Hash, e.Before.Hash
			r.hashes[*e.Before] = true
			r.folds[f.incarnation] = e.Upto
		}
		r.head = Head{f.incarnation, seq, hash}
		r.ends[f.incarnation] = seq
	}
}

// beginFile returns the hash to which a file's first line is chained. It adds a finding if that is not the end of the
// previous file.
func (r *Record) beginFile(f memberFile, prev, chained string, first bool, position string) string {
	switch {
	case chained == prev:
	case first && f.number > 1:
		r.addFinding(Folded, position, "what was before has gone, to keep within the bound")
	case first:
		r.addFinding(Missing, position, "what was before is not there")
	case !r.hashes[Head{r.head.Incarnation, 0, chained}]:
		r.addFinding(Missing, position, "the end of the file before, or files between, are not there")
	}
	return chained
}

// checkSequence adds a finding if an entry does not follow number seq, or if err says that its hash is wrong.
func (r *Record) checkSequence(e *Entry, seq uint64, err error, position string) {
	next := seq + 1
	if e.Kind == Segment || e.Kind == Fold {
		next = e.Seq
	}
	switch {
	case e.Seq > next:
		r.addFinding(Missing, position, "entries %d to %d are not there", next, e.Seq-1)
	case e.Seq < next:
		r.addFinding(Reordered, position, "entry %d stands after %d", e.Seq, seq)
	case err != nil:
		r.addFinding(Altered, position, "entry %d, or the line before it, is not what was written", e.Seq)
	}
}

// addEntry adds an entry to the record, and adds findings for missing entries that the entry itself reports.
func (r *Record) addEntry(f memberFile, e *Entry, position string) {
	known := []string{Start, Stop, Proposed, Accepted, InForce, Adopted, Refused, Standing, Member, Command, List, Span, Gap, Witness,
		Fold, Segment, Amnesiac}
	keep := func(e Entry) {
		r.Entries = append(r.Entries, PlacedEntry{Entry: e, Member: r.Member, Incarnation: f.incarnation, Position: position})
	}
	switch {
	case e.Kind == Segment:
	case e.Kind == Fold:
		r.addFinding(Folded, position, "spans up to entry %d are there as sums", e.Upto)
		for _, text := range e.Kept {
			var kept Entry
			if json.Unmarshal(text, &kept) == nil {
				keep(kept)
			}
		}
		for _, s := range e.Spans {
			keep(s)
		}
	case !slices.Contains(known, e.Kind):
		r.addFinding(Foreign, position, "entry %d is of a kind that this version does not know: %q", e.Seq, e.Kind)
		keep(*e)
	default:
		if e.Kind == Gap {
			r.addFinding(Lost, position, "%d entries could not be written before entry %d", e.Lost, e.Seq)
		}
		if e.Kind == Start && e.Before != nil && e.Before.Hash != "" && e.Before.Incarnation == r.head.Incarnation &&
			(*e.Before != r.head && !r.hashes[*e.Before]) {
			r.addFinding(Missing, position, "the record went on to entry %d before this start", e.Before.Seq)
		}
		keep(*e)
	}
}

// Read reads and evaluates the records in directories. A directory may contain the records of several members, but each
// member's record must be in one directory. The order of the directories has no effect. Read fails only if a directory
// or a file can't be read, or if there is no record; a damaged file results in findings.
func Read(dirs ...string) (*Audit, error) {
	a := &Audit{records: make(map[string]*Record)}
	for _, dir := range dirs {
		list, err := os.ReadDir(dir)
		if err != nil {
			return nil, err
		}
		for _, f := range list {
			member, _, _, ok := parseName(f.Name())
			if !ok || a.records[member] != nil {
				continue
			}
			r, err := readMember(dir, member)
			if err != nil {
				return nil, err
			}
			a.records[member] = r
			a.Members = append(a.Members, member)
		}
	}
	if len(a.Members) == 0 {
		return nil, fmt.Errorf("%s: no record of a scheduler there", strings.Join(dirs, ", "))
	}
	slices.Sort(a.Members)
	for _, m := range a.Members {
		a.Findings = append(a.Findings, a.records[m].findings...)
	}
	a.checkWitnesses()
	a.align()
	a.evaluate()
	return a, nil
}
