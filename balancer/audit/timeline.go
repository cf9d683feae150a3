package audit

import (
	"cmp"
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

// judge holds what was done against the roll-outs' rules.
func (a *Audit) judge() {
	histories, loose := make(map[ID]*EpochHistory), make(map[*EpochHistory]bool)
	for _, e := range a.Timeline {
		if e.Epoch == nil || e.Kind != InForce && e.Kind != Adopted && e.Kind != Proposed {
			continue
		}
		l := histories[*e.Epoch]
		if l == nil {
			l = &EpochHistory{ID: *e.Epoch, Adopted: make(map[string]int64)}
			histories[*e.Epoch] = l
		}
		// What a disk held was in force before. A time that nothing was measured for counts only where there is no other.
		if e.Kind != Proposed && (l.InForce == 0 || loose[l] && !e.Unaligned || loose[l] == e.Unaligned && e.When < l.InForce) {
			l.InForce, loose[l] = e.When, e.Unaligned
		}
		if e.Within > 0 {
			l.Floor = e.Floor
			l.Date = e.Within // until InForce is known
		}
		if first, known := l.Adopted[e.Member]; e.Kind == Adopted && (!known || e.When < first) {
			l.Adopted[e.Member] = e.When
		}
	}
	a.date(histories)
	for _, l := range a.Epochs {
		if l.InForce > 0 && l.Floor > 0 {
			a.floor(&l)
		}
	}
}

// date sets from when each epoch's floor holds, finds numbers under which two contents were in force, and sorts the epochs.
func (a *Audit) date(histories map[ID]*EpochHistory) {
	trust := int64(0)
	for _, e := range a.Timeline {
		trust = max(trust, e.Trust)
	}
	byNumber := make(map[uint64]int)
	for _, l := range histories {
		if l.InForce > 0 {
			byNumber[l.ID.Number]++
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(histories), func(x, y ID) int {
		return cmp.Or(cmp.Compare(x.Number, y.Number), cmp.Compare(x.Digest, y.Digest))
	}) {
		l := histories[id]
		if l.InForce == 0 {
			l.Date = 0
		} else {
			l.Date += l.InForce + trust
		}
		l.Conflict = byNumber[id.Number] > 1
		a.Epochs = append(a.Epochs, *l)
	}
}

// floor looks for members that were below a floor at its date, and what they did then.
func (a *Audit) floor(l *EpochHistory) {
	for _, m := range a.Members {
		under, acts, lastSeen := uint64(0), false, false
		var s *Straggler
		for _, e := range a.Timeline {
			if e.Member != m || e.Unaligned {
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
