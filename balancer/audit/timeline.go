package audit

import (
	"cmp"
	"maps"
	"slices"
)

// Audit is the joint evaluation of many records.
type Audit struct {
	Members   []string
	Findings  []Finding
	Timeline  []PlacedEntry // causes before effects, each member's entries in its own order
	Epochs    []EpochHistory
	Straggled []Straggler
	Below     []Act // spans with requests under an epoch below the floor after its deadline: a violation of the roll-out's rule
	records   map[string]*Record
}

// EpochHistory is the history of one epoch. Times are in Unix milliseconds by the reference clock.
type EpochHistory struct {
	ID       ID
	Floor    uint64
	InForce  int64 // when the first member knew that it was in force
	Date     int64 // deadline: from then on no member may run under an epoch below Floor
	Adopted  map[string]int64
	Conflict bool // another content was in force under the same number
}

// Straggler is a member that ran under an epoch below a floor at the floor's deadline.
type Straggler struct {
	Member  string
	Epoch   ID
	End     string // "brought up" if it adopted a newer epoch, "shut out" if it stopped taking requests, "" if the record does not say
	AfterMs int64  // milliseconds from the deadline until End
	From    string // the peer that had the epoch
}

// Act is a span in which a member took requests under an epoch below a floor.
type Act struct {
	PlacedEntry
	Floor uint64
	Date  int64
	Taken int
}

// evaluate evaluates the timeline by the rules of a roll-out.
func (a *Audit) evaluate() {
	histories, unaligned := make(map[ID]*EpochHistory), make(map[*EpochHistory]bool)
	for _, e := range a.Timeline {
		if e.Epoch == nil || e.Kind != InForce && e.Kind != Adopted && e.Kind != Proposed {
			continue
		}
		history := histories[*e.Epoch]
		if history == nil {
			history = &EpochHistory{ID: *e.Epoch, Adopted: make(map[string]int64)}
			histories[*e.Epoch] = history
		}
		// An epoch adopted from disk was in force before. The time of an unaligned entry counts only if there is no other.
		if e.Kind != Proposed && (history.InForce == 0 || unaligned[history] && !e.Unaligned || unaligned[history] == e.Unaligned && e.When < history.InForce) {
			history.InForce, unaligned[history] = e.When, e.Unaligned
		}
		if e.Within > 0 {
			history.Floor = e.Floor
			history.Date = e.Within // holds Within until date adds InForce
		}
		if first, known := history.Adopted[e.Member]; e.Kind == Adopted && (!known || e.When < first) {
			history.Adopted[e.Member] = e.When
		}
	}
	a.setDeadlines(histories)
	for _, history := range a.Epochs {
		if history.InForce > 0 && history.Floor > 0 {
			a.checkFloor(&history)
		}
	}
}

// setDeadlines computes each epoch's deadline, detects numbers under which two contents were in force, and sorts the
// epochs.
func (a *Audit) setDeadlines(histories map[ID]*EpochHistory) {
	trust := int64(0)
	for _, e := range a.Timeline {
		trust = max(trust, e.Trust)
	}
	byNumber := make(map[uint64]int)
	for _, history := range histories {
		if history.InForce > 0 {
			byNumber[history.ID.Number]++
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(histories), func(x, y ID) int {
		return cmp.Or(cmp.Compare(x.Number, y.Number), cmp.Compare(x.Digest, y.Digest))
	}) {
		history := histories[id]
		if history.InForce == 0 {
			history.Date = 0
		} else {
			history.Date += history.InForce + trust
		}
		history.Conflict = byNumber[id.Number] > 1
		a.Epochs = append(a.Epochs, *history)
	}
}

// checkFloor finds the members that ran under an epoch below a floor at its deadline, and their spans with requests
// after it.
func (a *Audit) checkFloor(history *EpochHistory) {
	for _, m := range a.Members {
		epochNumber, acts, hasEntries := uint64(0), false, false
		var s *Straggler
		for _, e := range a.Timeline {
			if e.Member != m || e.Unaligned {
				continue
			}
			if s == nil && e.When > history.Date && hasEntries && epochNumber < history.Floor && acts {
				s = &Straggler{Member: m, Epoch: history.ID}
			}
			switch e.Kind {
			case Adopted:
				if epochNumber = e.Epoch.Number; s != nil && s.End == "" && epochNumber >= history.Floor {
					s.End, s.AfterMs, s.From = "brought up", e.When-history.Date, e.From
				}
			case Standing:
				if acts = *e.Acts; s != nil && s.End == "" && !acts {
					s.End, s.AfterMs = "shut out", e.When-history.Date
				}
			case Start:
				epochNumber, acts = 0, false
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
				if number < history.Floor && began > history.Date+slackMs && taken > 0 {
					a.Below = append(a.Below, Act{e, history.Floor, history.Date, taken})
				}
			}
			hasEntries = true
		}
		if s != nil {
			a.Straggled = append(a.Straggled, *s)
		}
	}
}

// Broken reports whether the records show a violation of a roll-out's rules.
func (a *Audit) Broken() bool {
	return len(a.Below) > 0 || slices.ContainsFunc(a.Epochs, func(history EpochHistory) bool { return history.Conflict && history.InForce > 0 })
}

// EpochsAt returns the epoch under which each member ran at a time, in Unix milliseconds by the reference clock.
// Members whose record does not say are omitted.
func (a *Audit) EpochsAt(at int64) map[string]ID {
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
