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

// FindingKind says what a record lacks, or what is wrong with it.
type FindingKind string

// Kinds of findings. Torn, Folded and Foreign are no fault of anybody's.
const (
	Torn      FindingKind = "torn"      // a crash cut the last line short
	Folded    FindingKind = "folded"    // old spans are there as sums alone
	Foreign   FindingKind = "foreign"   // entries of another version of the program
	Lost      FindingKind = "gap"       // entries that the member could not write, as it says itself
	Missing   FindingKind = "missing"   // entries that were there once
	Altered   FindingKind = "altered"   // a line that is not what was written
	Reordered FindingKind = "reordered" // or not where
	Rolled    FindingKind = "rolled back"
	Unheard   FindingKind = "unheard" // nothing tells how far a member's clock is off
)

// Fault says whether a finding means that somebody, or a disk, changed what was written.
func (k FindingKind) Fault() bool {
	return slices.Contains([]FindingKind{Missing, Altered, Reordered, Rolled}, k)
}

// Finding is one thing that a record lacks or that is wrong with it. It is named and never mended.
type Finding struct {
	Kind     FindingKind `json:"kind"`
	Member   string      `json:"member"`
	Position string      `json:"place"` // file and line, or the incarnation
	Text     string      `json:"text"`
}

// String names the member, the kind and the place, and says what is wrong there.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s: %s", f.Member, f.Kind, f.Position, f.Text)
}

// PlacedEntry is an entry with where it stands.
type PlacedEntry struct {
	Entry
	Member      string
	Incarnation uint64
	Position    string `json:"Place"`
	When        int64  // Unix milliseconds by the reference's clock, as far as is known; see Read
	Unaligned   bool   `json:"Loose"` // nothing was measured of its process's clock: the time is its own, and nothing is judged by it
}

// Record is all that was read of one member.
type Record struct {
	Member  string
	Entries []PlacedEntry
	hashes  map[Head]bool     // of the lines that were read whole
	ends    map[uint64]uint64 // the last number of each incarnation
	folds   map[uint64]uint64 // and up to which one there are sums alone
	head    Head
	found   []Finding
}

type memberFile struct {
	path        string
	incarnation uint64
	number      int
	size        int64
}

// memberFiles lists the files of a member, oldest first.
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

// readMember reads all files of one member in a folder.
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

func (r *Record) find(kind FindingKind, position, text string, args ...any) {
	r.found = append(r.found, Finding{kind, r.Member, position, fmt.Sprintf(text, args...)})
}

// read takes one file. What does not hold together is a finding, and reading goes on from what the line says of itself.
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
			prev = r.begin(f, prev, peekPrev(line), first, position)
		}
		e, hash, err := readLine(prev, line)
		if errors.Is(err, errForm) || !complete {
			if last && i == len(lines)-1 && !complete {
				r.find(Torn, position, "the last line is cut short")
				return
			}
			r.find(Altered, position, "no line of a record")
			prev = string(line[:min(len(line), 2*hashSize)]) // as the line after may still say
			continue
		}
		r.follow(e, seq, err, position)
		prev = hash
		r.hashes[Head{f.incarnation, e.Seq, hash}] = err == nil
		r.hashes[Head{f.incarnation, 0, hash}] = true
		if e.Kind == Segment && e.Seq < seq { // a write failed, and what of it is on disk all the same was written again
			r.Entries = slices.DeleteFunc(r.Entries, func(p PlacedEntry) bool { return p.Incarnation == f.incarnation && p.Seq > e.Seq })
			seq = e.Seq
		}
		seq = max(seq, e.Seq)
		r.keep(f, e, position)
		if e.Kind == Fold && e.Before != nil {
			prev, hash = e.Before.Hash, e.Before.Hash
			r.hashes[*e.Before] = true
			r.folds[f.incarnation] = e.Upto
		}
		r.head = Head{f.incarnation, seq, hash}
		r.ends[f.incarnation] = seq
	}
}

// begin returns what a file's first line is chained to, by itself, and tells if that is not the end of what was read before.
func (r *Record) begin(f memberFile, prev, chained string, first bool, position string) string {
	switch {
	case chained == prev:
	case first && f.number > 1:
		r.find(Folded, position, "what was before has gone, to keep within the bound")
	case first:
		r.find(Missing, position, "what was before is not there")
	case !r.hashes[Head{r.head.Incarnation, 0, chained}]:
		r.find(Missing, position, "the end of the file before, or files between, are not there")
	}
	return chained
}

// follow tells if an entry is not the next after one of number seq, or did not hold together with it.
func (r *Record) follow(e *Entry, seq uint64, err error, position string) {
	next := seq + 1
	if e.Kind == Segment || e.Kind == Fold {
		next = e.Seq
	}
	switch {
	case e.Seq > next:
		r.find(Missing, position, "entries %d to %d are not there", next, e.Seq-1)
	case e.Seq < next:
		r.find(Reordered, position, "entry %d stands after %d", e.Seq, seq)
	case err != nil:
		r.find(Altered, position, "entry %d, or the line before it, is not what was written", e.Seq)
	}
}

// keep keeps an entry, and tells what it says itself of what is missing.
func (r *Record) keep(f memberFile, e *Entry, position string) {
	known := []string{Start, Stop, Proposed, Accepted, InForce, Adopted, Refused, Standing, Member, Command, List, Span, Gap, Witness,
		Fold, Segment, Amnesiac}
	keep := func(e Entry) {
		r.Entries = append(r.Entries, PlacedEntry{Entry: e, Member: r.Member, Incarnation: f.incarnation, Position: position})
	}
	switch {
	case e.Kind == Segment:
	case e.Kind == Fold:
		r.find(Folded, position, "spans up to entry %d are there as sums", e.Upto)
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
		r.find(Foreign, position, "entry %d is of a kind that this version does not know: %q", e.Seq, e.Kind)
		keep(*e)
	default:
		if e.Kind == Gap {
			r.find(Lost, position, "%d entries could not be written before entry %d", e.Lost, e.Seq)
		}
		if e.Kind == Start && e.Before != nil && e.Before.Hash != "" && e.Before.Incarnation == r.head.Incarnation &&
			(*e.Before != r.head && !r.hashes[*e.Before]) {
			r.find(Missing, position, "the record went on to entry %d before this start", e.Before.Seq)
		}
		keep(*e)
	}
}

// Read reads the records in folders, one for each member; a folder may hold several members'. The order of the folders makes
// no difference. Errors are folders that can't be read: what is wrong in a file is a finding.
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
		a.Findings = append(a.Findings, a.records[m].found...)
	}
	a.witnesses()
	a.align()
	a.judge()
	return a, nil
}
