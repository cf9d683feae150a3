package audit

import (
	"fmt"
	"slices"
)

// checkWitnesses compares each record with the heads that its peers' records contain. This detects records that were
// completely rewritten, truncated or restored to an older state: the hash chain of such a record is intact.
func (a *Audit) checkWitnesses() {
	type witnessed struct {
		head Head
		by   string
	}
	worst := make(map[string]map[uint64]witnessed)
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
					a.addFinding(Altered, peer, fmt.Sprintf("incarnation %d, entry %d", h.Incarnation, h.Seq), "%s was told another one", by)
				case !there || h.Seq > end:
					if worst[peer] == nil {
						worst[peer] = make(map[uint64]witnessed)
					}
					if h.Seq > worst[peer][h.Incarnation].head.Seq {
						worst[peer][h.Incarnation] = witnessed{h, by}
					}
				}
			}
		}
	}
	for _, peer := range a.Members {
		for incarnation, t := range worst[peer] {
			kind, end := Missing, a.records[peer].ends[incarnation]
			if a.records[peer].head.Incarnation > incarnation {
				kind = RolledBack // a later process continued from an older state of the disk
			}
			a.addFinding(kind, peer, fmt.Sprintf("incarnation %d", incarnation), "entries %d to %d are not there; %s was told of them", end+1, t.head.Seq, t.by)
		}
	}
	a.Findings = slices.Compact(a.Findings)
}

// AdoptionWitnessed reports whether a record contains a witnessed head of the member's record that is at or after the
// member's adoption of the epoch.
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

func (a *Audit) addFinding(kind FindingKind, member, position, text string, args ...any) {
	f := Finding{kind, member, position, fmt.Sprintf(text, args...)}
	if !slices.Contains(a.Findings, f) {
		a.Findings = append(a.Findings, f)
	}
}
