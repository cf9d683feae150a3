package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Audit is what many records say together.
type Audit struct {
	Members   []string
	Findings  []Finding
	Timeline  []PlacedEntry // causes before effects, each member's entries in its own order
	Epochs    []EpochHistory
	Straggled []Straggler
	Below     []Act // acts under the floor after its date: the roll-out's rule was broken
	records   map[string]*Record
}

// EpochHistory is what became of one epoch. Times are in Unix milliseconds by the reference's clock.
type EpochHistory struct {
	ID       ID
	Floor    uint64
	InForce  int64 // when the first member knew
	Date     int64 // from when nobody is to act under an older epoch than Floor
	Adopted  map[string]int64
	Conflict bool // another content was in force under this number
}

// Straggler is a member that had not adopted an epoch of sufficient number by a floor's date.
type Straggler struct {
	Member  string
	Epoch   ID
	End     string // "brought up" or "shut out", "" where the record does not say
	AfterMs int64  // the date, until then
	From    string // who brought it
}

// Act is a span in which a member took requests under an epoch below the floor.
type Act struct {
	PlacedEntry
	Floor uint64
	Date  int64
	Taken int
}

// slackMs is what clocks that were compared may still be off, and a span that straddles a date may reach over it.
const slackMs = 250

// align gives each entry a time by one clock: that of the first member's first process. Each process's monotonic clock, which
// can't step, is laid on it by what peers measured between their monotonic clocks, outwards from that process. Where nothing was
// measured the process's own wall clock is taken, and that is said.
func (a *Audit) align() {
	type process struct {
		member string
		inc    uint64
	}
	median := func(all []int64) int64 {
		slices.Sort(all)
		return all[len(all)/2]
	}
	own := make(map[process][]int64)                 // wall less monotonic clock
	between := make(map[process]map[process][]int64) // the second's monotonic clock less the first's
	link := func(p, q process, off int64) {
		if between[p] == nil {
			between[p] = make(map[process][]int64)
		}
		between[p][q] = append(between[p][q], off)
	}
	var all []process
	for _, m := range a.Members {
		for _, e := range a.records[m].Entries {
			p := process{m, e.Incarnation}
			if own[p] == nil {
				all = append(all, p)
			}
			own[p] = append(own[p], e.Wall-e.Mono)
			for peer, seen := range e.Seen {
				if q := (process{peer, seen.Head.Incarnation}); seen.ErrMs < slackMs {
					link(p, q, seen.OffMs)
					link(q, p, -seen.OffMs)
				}
			}
		}
	}
	// The largest part that hangs together is taken, and in it the first process for the reference.
	base := make(map[process]int64) // of a monotonic clock, on the reference's wall clock
	known := make(map[process]bool)
	seen := make(map[process]bool)
	for _, first := range all {
		part := map[process]int64{first: median(own[first])}
		for next := []process{first}; len(next) > 0 && !seen[first]; next = next[1:] {
			p := next[0]
			for _, q := range slices.SortedFunc(maps.Keys(between[p]), func(x, y process) int {
				return cmp.Or(cmp.Compare(x.member, y.member), cmp.Compare(x.inc, y.inc))
			}) {
				if _, has := part[q]; !has && own[q] != nil {
					part[q], next = part[p]-median(between[p][q]), append(next, q)
				}
			}
		}
		for p := range part {
			seen[p] = true
		}
		if len(part) > len(base) {
			base, known = part, make(map[process]bool)
			for p := range part {
				known[p] = true
			}
		}
	}
	for _, m := range a.Members {
		r := a.records[m]
		for i := range r.Entries {
			e := &r.Entries[i]
			p := process{m, e.Incarnation}
			if e.Loose = !known[p]; e.Loose {
				base[p] = median(own[p])
				if len(a.Members) > 1 {
					a.find(Unheard, m, fmt.Sprintf("incarnation %d", e.Incarnation), "its clock was compared with nobody's: its times are its own")
				}
			}
			e.When = base[p] + e.Mono
		}
	}
	// Causes before effects: by stamp, but never before an earlier entry of the same member.
	stamps := make(map[string]Stamp)
	type keyed struct {
		stamp Stamp
		e     *PlacedEntry
	}
	var ordered []keyed
	for _, m := range a.Members {
		for i := range a.records[m].Entries {
			e := &a.records[m].Entries[i]
			if e.At.Compare(stamps[m]) > 0 {
				stamps[m] = e.At
			}
			ordered = append(ordered, keyed{stamps[m], e})
		}
	}
	slices.SortStableFunc(ordered, func(x, y keyed) int {
		return cmp.Or(x.stamp.Compare(y.stamp), cmp.Compare(x.e.Member, y.e.Member), cmp.Compare(x.e.Incarnation, y.e.Incarnation),
			cmp.Compare(x.e.Seq, y.e.Seq))
	})
	for _, k := range ordered {
		a.Timeline = append(a.Timeline, *k.e)
	}
}

// judge holds what was done against the roll-outs' rules.
func (a *Audit) judge() {
	lives, loose := make(map[ID]*EpochHistory), make(map[*EpochHistory]bool)
	trust := int64(0)
	for _, e := range a.Timeline {
		trust = max(trust, e.Trust)
	}
	for _, e := range a.Timeline {
		if e.Epoch == nil || e.Kind != InForce && e.Kind != Adopted && e.Kind != Proposed {
			continue
		}
		l := lives[*e.Epoch]
		if l == nil {
			l = &EpochHistory{ID: *e.Epoch, Adopted: make(map[string]int64)}
			lives[*e.Epoch] = l
		}
		// What a disk held was in force before. A time that nothing was measured for counts only where there is no other.
		if e.Kind != Proposed && (l.InForce == 0 || loose[l] && !e.Loose || loose[l] == e.Loose && e.When < l.InForce) {
			l.InForce, loose[l] = e.When, e.Loose
		}
		if e.Within > 0 {
			l.Floor = e.Floor
			l.Date = e.Within // until InForce is known
		}
		if first, known := l.Adopted[e.Member]; e.Kind == Adopted && (!known || e.When < first) {
			l.Adopted[e.Member] = e.When
		}
	}
	byNumber := make(map[uint64]int)
	for _, l := range lives {
		if l.InForce > 0 {
			byNumber[l.ID.Number]++
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(lives), func(x, y ID) int {
		return cmp.Or(cmp.Compare(x.Number, y.Number), cmp.Compare(x.Digest, y.Digest))
	}) {
		l := lives[id]
		if l.InForce == 0 {
			l.Date = 0
		} else {
			l.Date += l.InForce + trust
		}
		l.Conflict = byNumber[id.Number] > 1
		a.Epochs = append(a.Epochs, *l)
	}
	for _, l := range a.Epochs {
		if l.InForce > 0 && l.Floor > 0 {
			a.floor(&l)
		}
	}
}

// floor looks for members that were below a floor at its date, and what they did then.
func (a *Audit) floor(l *EpochHistory) {
	for _, m := range a.Members {
		under, acts, lastSeen := uint64(0), false, false
		var s *Straggler
		for _, e := range a.Timeline {
			if e.Member != m || e.Loose {
				continue
			}
			if s == nil && e.When > l.Date && lastSeen && under < l.Floor && acts {
				s = &Straggler{Member: m, Epoch: l.ID}
			}
			switch e.Kind {
			case Adopted:
				if under = e.Epoch.Number; s != nil && s.End == "" && under >= l.Floor {
					s.End, s.AfterMs, s.From = "brought up", e.When-l.Date, e.From
				}
			case Standing:
				if acts = *e.Acts; s != nil && s.End == "" && !acts {
					s.End, s.AfterMs = "shut out", e.When-l.Date
				}
			case Start:
				under, acts = 0, false
			case Span:
				began := e.When - (e.Mono - e.Since)
				number := uint64(0)
				if e.Epoch != nil {
					number = e.Epoch.Number
				}
				taken := 0
				for _, c := range e.Classes {
					taken += c.Taken
				}
				if number < l.Floor && began > l.Date+slackMs && taken > 0 {
					a.Below = append(a.Below, Act{e, l.Floor, l.Date, taken})
				}
			}
			lastSeen = true
		}
		if s != nil {
			a.Straggled = append(a.Straggled, *s)
		}
	}
}

// Broken says whether a rule of a roll-out was broken, as far as the records tell.
func (a *Audit) Broken() bool {
	return len(a.Below) > 0 || slices.ContainsFunc(a.Epochs, func(l EpochHistory) bool { return l.Conflict && l.InForce > 0 })
}

// Under returns the epoch under which each member acted at a time, in Unix milliseconds by the reference's clock; none where
// its record does not say.
func (a *Audit) Under(at int64) map[string]ID {
	under := make(map[string]ID)
	for _, m := range a.Members {
		for _, e := range a.records[m].Entries {
			switch {
			case e.When > at:
			case e.Kind == Start:
				under[m] = ID{}
			case e.Kind == Adopted:
				under[m] = *e.Epoch
			case e.Kind == Stop:
				delete(under, m)
			}
		}
	}
	return under
}
