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
	Kind   FindingKind `json:"kind"`
	Member string      `json:"member"`
	Place  string      `json:"place"` // file and line, or the incarnation
	Text   string      `json:"text"`
}

// String names the member, the kind and the place, and says what is wrong there.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s: %s", f.Member, f.Kind, f.Place, f.Text)
}

// PlacedEntry is an entry with where it stands.
type PlacedEntry struct {
	Entry
	Member      string
	Incarnation uint64
	Place       string
	When        int64 // Unix milliseconds by the reference's clock, as far as is known; see Read
	Loose       bool  // nothing was measured of its process's clock: the time is its own, and nothing is judged by it
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

func (r *Record) find(kind FindingKind, place, text string, args ...any) {
	r.found = append(r.found, Finding{kind, r.Member, place, fmt.Sprintf(text, args...)})
}

// read takes one file. What does not hold together is told, and reading goes on from what the line says of itself.
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
		place := fmt.Sprintf("%s:%d", name, i+1)
		whole := line[len(line)-1] == '\n'
		line = bytes.TrimSuffix(line, []byte("\n"))
		if i == 0 {
			if told := peekPrev(line); told != prev {
				switch {
				case first && f.number > 1:
					r.find(Folded, place, "what was before has gone, to keep within the bound")
				case first:
					r.find(Missing, place, "what was before is not there")
				case !r.hashes[Head{r.head.Incarnation, 0, told}]:
					r.find(Missing, place, "the end of the file before, or files between, are not there")
				}
				prev = told
			}
		}
		e, hash, err := readLine(prev, line)
		if errors.Is(err, errForm) || !whole {
			if last && i == len(lines)-1 && !whole {
				r.find(Torn, place, "the last line is cut short")
				return
			}
			r.find(Altered, place, "no line of a record")
			prev = string(line[:min(len(line), 2*hashSize)]) // as the line after may still say
			continue
		}
		next := seq + 1
		if e.Kind == Segment || e.Kind == Fold {
			next = e.Seq
		}
		switch {
		case e.Seq > next:
			r.find(Missing, place, "entries %d to %d are not there", next, e.Seq-1)
		case e.Seq < next:
			r.find(Reordered, place, "entry %d stands after %d", e.Seq, seq)
		case err != nil:
			r.find(Altered, place, "entry %d, or the line before it, is not what was written", e.Seq)
		}
		prev = hash
		r.hashes[Head{f.incarnation, e.Seq, hash}] = err == nil
		r.hashes[Head{f.incarnation, 0, hash}] = true
		if e.Kind == Segment && e.Seq < seq { // a write failed, and what of it is on disk all the same was written again
			r.Entries = slices.DeleteFunc(r.Entries, func(p PlacedEntry) bool { return p.Incarnation == f.incarnation && p.Seq > e.Seq })
			seq = e.Seq
		}
		seq = max(seq, e.Seq)
		r.take(f, e, place)
		if e.Kind == Fold && e.Before != nil {
			prev, hash = e.Before.Hash, e.Before.Hash
			r.hashes[*e.Before] = true
			r.folds[f.incarnation] = e.Upto
		}
		r.head = Head{f.incarnation, seq, hash}
		r.ends[f.incarnation] = seq
	}
}

// take keeps an entry, and tells what it says itself of what is missing.
func (r *Record) take(f memberFile, e *Entry, place string) {
	known := []string{Start, Stop, Proposed, Accepted, InForce, Adopted, Refused, Standing, Member, Command, List, Span, Gap, Witness,
		Fold, Segment, Amnesiac}
	keep := func(e Entry) {
		r.Entries = append(r.Entries, PlacedEntry{Entry: e, Member: r.Member, Incarnation: f.incarnation, Place: place})
	}
	switch {
	case e.Kind == Segment:
	case e.Kind == Fold:
		r.find(Folded, place, "spans up to entry %d are there as sums", e.Upto)
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
		r.find(Foreign, place, "entry %d is of a kind that this version does not know: %q", e.Seq, e.Kind)
		keep(*e)
	default:
		if e.Kind == Gap {
			r.find(Lost, place, "%d entries could not be written before entry %d", e.Lost, e.Seq)
		}
		if e.Kind == Start && e.Before != nil && e.Before.Hash != "" && e.Before.Incarnation == r.head.Incarnation &&
			(*e.Before != r.head && !r.hashes[*e.Before]) {
			r.find(Missing, place, "the record went on to entry %d before this start", e.Before.Seq)
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

// witnesses holds each record against what its peers were told of it: a record that was rewritten whole, cut off at its end or
// put back to an older state holds together by itself.
func (a *Audit) witnesses() {
	type told struct {
		head Head
		by   string
	}
	worst := make(map[string]map[uint64]told)
	for _, by := range a.Members {
		for i := range a.records[by].Entries {
			for peer, seen := range a.records[by].Entries[i].Seen {
				r := a.records[peer]
				h := seen.Head
				if r == nil || h.Hash == "" {
					continue
				}
				end, there := r.ends[h.Incarnation]
				switch {
				case there && h.Seq <= end && h.Seq > r.folds[h.Incarnation] && !r.hashes[h]:
					a.find(Altered, peer, fmt.Sprintf("incarnation %d, entry %d", h.Incarnation, h.Seq), "%s was told another one", by)
				case !there || h.Seq > end:
					if worst[peer] == nil {
						worst[peer] = make(map[uint64]told)
					}
					if h.Seq > worst[peer][h.Incarnation].head.Seq {
						worst[peer][h.Incarnation] = told{h, by}
					}
				}
			}
		}
	}
	for _, peer := range a.Members {
		for incarnation, t := range worst[peer] {
			kind, end := Missing, a.records[peer].ends[incarnation]
			if a.records[peer].head.Incarnation > incarnation {
				kind = Rolled // a later process went on from an older state of the disk
			}
			a.find(kind, peer, fmt.Sprintf("incarnation %d", incarnation), "entries %d to %d are not there; %s was told of them", end+1, t.head.Seq, t.by)
		}
	}
	a.Findings = slices.Compact(a.Findings)
}

// AdoptionWitnessed says whether others' records show that a member's was as far as its adoption of an epoch, or farther.
func (a *Audit) AdoptionWitnessed(member string, epoch uint64) bool {
	r := a.records[member]
	if r == nil {
		return false
	}
	adopted := slices.IndexFunc(r.Entries, func(e PlacedEntry) bool { return e.Kind == Adopted && e.Epoch != nil && e.Epoch.Number == epoch })
	if adopted < 0 {
		return false
	}
	entry := r.Entries[adopted]
	for _, by := range a.Members {
		for i := range a.records[by].Entries {
			head := a.records[by].Entries[i].Seen[member].Head
			if head.Incarnation == entry.Incarnation && head.Seq >= entry.Seq {
				return true
			}
		}
	}
	return false
}

func (a *Audit) find(kind FindingKind, member, place, text string, args ...any) {
	f := Finding{kind, member, place, fmt.Sprintf(text, args...)}
	if !slices.Contains(a.Findings, f) {
		a.Findings = append(a.Findings, f)
	}
}
