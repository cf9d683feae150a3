package lease

import (
	"time"

	"ravendale/control/view"
)

// Voter is the voter's side of the lease. Only PreviousGrant is kept on disk.
type Voter struct {
	timing          Timing
	previousGrant   PreviousGrant // the member granted last, in this process or before its start
	holder          view.ID
	incarnation     uint64
	electionRound   uint64
	expiresAt       time.Duration
	restrictedUntil time.Duration // until then only the holder in previousGrant can get a grant
}

// NewVoter returns a voter with the previous grant that was read from its disk.
func NewVoter(now time.Duration, timing Timing, previous PreviousGrant) *Voter {
	v := &Voter{timing: timing, previousGrant: previous}
	if previous != (PreviousGrant{}) {
		v.restrictedUntil = now + timing.Duration
	}
	return v
}

// PreviousGrant returns what has to be on disk before a reply is sent.
func (v *Voter) PreviousGrant() PreviousGrant { return v.previousGrant }

// Grant decides on a candidate's request. If changed is true, PreviousGrant must be on disk before the reply is sent.
func (v *Voter) Grant(now time.Duration, candidate view.ID, request *Request) (granted, changed bool) {
	if now < v.restrictedUntil {
		if candidate != v.previousGrant.Holder {
			return false, false
		}
	} else if now < v.expiresAt && candidate != v.holder {
		return false, false
	}
	v.holder, v.incarnation, v.electionRound, v.expiresAt = candidate, request.Incarnation, request.ElectionRound, now+v.timing.Duration
	previous := PreviousGrant{Holder: candidate}
	changed = v.previousGrant != previous
	v.previousGrant = previous
	return true, changed
}

// Holder returns the member to which this voter has granted the lease, zero if there is none. If unknown is true, the
// voter has restarted and can't tell.
func (v *Voter) Holder(now time.Duration) (holder view.ID, unknown bool) {
	if now < v.restrictedUntil {
		return v.previousGrant.Holder, v.previousGrant.Unknown
	}
	if now < v.expiresAt {
		return v.holder, false
	}
	return 0, false
}

// PreviousHolder returns the only candidate that can get a grant while the voter is restricted after a start; zero if
// there is no such candidate or no restriction.
func (v *Voter) PreviousHolder(now time.Duration) view.ID {
	if now < v.restrictedUntil {
		return v.previousGrant.Holder
	}
	return 0
}

// Release ends the current grant if it belongs to the same incarnation and to no later election round than the
// release.
func (v *Voter) Release(candidate view.ID, release *Release) {
	if v.holder == candidate && v.incarnation == release.Incarnation && v.electionRound <= release.ElectionRound {
		v.expiresAt = 0
	}
}

// Adopt switches to a decided view. PreviousGrant then follows from the view, and need not be written separately.
func (v *Voter) Adopt(now time.Duration, old, next *view.View) {
	if !majoritiesMayBeDisjoint(old, next) {
		return
	}
	v.previousGrant = v.previousGrant.Adopt(old, next)
	v.restrictedUntil = now
	if v.previousGrant != (PreviousGrant{}) {
		v.restrictedUntil += v.timing.Duration
	}
}

// Adopt returns the PreviousGrant that follows from a decided view. If majorities of the old and the new voters need
// not intersect, it is the member that can hold a lease granted by the old voters.
func (p PreviousGrant) Adopt(old, next *view.View) PreviousGrant {
	if !majoritiesMayBeDisjoint(old, next) {
		return p
	}
	if next.Vacant {
		return PreviousGrant{}
	}
	return PreviousGrant{Holder: next.Holder, Unknown: next.Holder == 0}
}

// majoritiesMayBeDisjoint reports whether a lease may be valid that was granted by old voters and that the new ones
// don't know of.
func majoritiesMayBeDisjoint(old, next *view.View) bool {
	isFirstView := old.Epoch == 0 && next.Epoch == 1 // no member holds a lease yet that this voter could violate
	return !isFirstView && (next.Epoch != old.Epoch+1 || !next.SameVoters(old))
}
