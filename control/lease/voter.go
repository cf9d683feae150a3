package lease

import (
	"time"

	"ravendale/control/view"
)

// Voter is a grantor's memory, of which PreviousGrant is on disk.
type Voter struct {
	timing          Timing
	previous        PreviousGrant // names holder, or whom it granted the lease before it started
	holder          view.ID
	incarnation     uint64
	electionRound   uint64
	expiresAt       time.Duration
	restrictedUntil time.Duration // until then it only grants to the holder that previous names
}

// NewVoter makes a voter from the previous grant on its disk.
func NewVoter(now time.Duration, timing Timing, previous PreviousGrant) *Voter {
	v := &Voter{timing: timing, previous: previous}
	if previous != (PreviousGrant{}) {
		v.restrictedUntil = now + timing.Duration
	}
	return v
}

// PreviousGrant returns what has to be on disk before an answer is sent.
func (v *Voter) PreviousGrant() PreviousGrant { return v.previous }

// Grant decides on a request of a candidate. Changed says that PreviousGrant must be written before the answer is sent.
func (v *Voter) Grant(now time.Duration, candidate view.ID, request *Request) (granted, changed bool) {
	if now < v.restrictedUntil {
		if candidate != v.previous.Holder {
			return false, false
		}
	} else if now < v.expiresAt && candidate != v.holder {
		return false, false
	}
	v.holder, v.incarnation, v.electionRound, v.expiresAt = candidate, request.Incarnation, request.ElectionRound, now+v.timing.Duration
	previous := PreviousGrant{Holder: candidate}
	changed = v.previous != previous
	v.previous = previous
	return true, changed
}

// Holder returns whom this voter has granted the lease, zero if nobody. Unknown: it has restarted, and can't know.
func (v *Voter) Holder(now time.Duration) (holder view.ID, unknown bool) {
	if now < v.restrictedUntil {
		return v.previous.Holder, v.previous.Unknown
	}
	if now < v.expiresAt {
		return v.holder, false
	}
	return 0, false
}

// PreviousHolder returns the only candidate that may be granted the lease while the voter is restricted after a start; zero if there is
// none, or no restriction.
func (v *Voter) PreviousHolder(now time.Duration) view.ID {
	if now < v.restrictedUntil {
		return v.previous.Holder
	}
	return 0
}

// Release ends a grant, if it is of the same incarnation and not of a later election round.
func (v *Voter) Release(candidate view.ID, release *Release) {
	if v.holder == candidate && v.incarnation == release.Incarnation && v.electionRound <= release.ElectionRound {
		v.expiresAt = 0
	}
}

// Adopt moves to a decided view. PreviousGrant then follows from the view: it need not be written apart from that.
func (v *Voter) Adopt(now time.Duration, old, next *view.View) {
	if !majoritiesMayBeDisjoint(old, next) {
		return
	}
	v.previous = v.previous.Adopt(old, next)
	v.restrictedUntil = now
	if v.previous != (PreviousGrant{}) {
		v.restrictedUntil += v.timing.Duration
	}
}

// Adopt returns the PreviousGrant that follows from a decided view. Where majorities of old and new voters need not meet, the
// one to reckon with is whoever can hold a lease given by the old ones.
func (p PreviousGrant) Adopt(old, next *view.View) PreviousGrant {
	if !majoritiesMayBeDisjoint(old, next) {
		return p
	}
	if next.Vacant {
		return PreviousGrant{}
	}
	return PreviousGrant{Holder: next.Holder, Unknown: next.Holder == 0}
}

// majoritiesMayBeDisjoint reports whether a lease may be valid that was granted by voters of which the new ones know nothing.
func majoritiesMayBeDisjoint(old, next *view.View) bool {
	founded := old.Epoch == 0 && next.Epoch == 1 // nobody can hold a lease yet that this voter could break
	return !founded && (next.Epoch != old.Epoch+1 || !next.SameVoters(old))
}
