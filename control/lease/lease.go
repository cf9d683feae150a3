// Package lease grants one member of the core at a time the leader lease. Voters grant it for a time on their own steady clocks; its
// holder counts from when it asked, and stops a margin early, so that clocks may run apart by a few hundredths.
package lease

import (
	"time"

	"ravendale/control/view"
)

//go:generate go run github.com/tinylib/msgp -file lease.go -o lease_gen.go -tests=false
//msgp:tuple Request Reply Release
//msgp:ignore Voter Holder Terms

// Request asks a voter for the lease, or for its renewal.
type Request struct {
	Epoch uint64
	Round uint64 // of the candidate's requests in one life, climbing
}

// Reply answers a Request.
type Reply struct {
	Epoch   uint64
	Round   uint64
	Granted bool
}

// Release gives back what a voter granted up to a round, by a candidate that got no majority or stops.
type Release struct {
	Round uint64
}

// Terms are the times of a lease.
type Terms struct {
	Length time.Duration // for which a voter grants it
	Margin time.Duration // by which the holder stops earlier
	Renew  time.Duration // between renewals
}

// DefaultTerms are those of docs/system.md.
var DefaultTerms = Terms{Length: Length, Margin: Length / 10, Renew: Length / 4}

// Length is how long a voter grants the lease by default.
const Length = 1500 * time.Millisecond

// Voter is a grantor's memory. It is not on disk: after a start it is quiet until all it may have granted has ended.
type Voter struct {
	terms  Terms
	holder view.ID
	round  uint64
	until  time.Duration
	quiet  time.Duration // until then it only grants to heir
	heir   view.ID
}

// NewVoter makes a voter. Unless it is sure that it never granted anything, it is quiet at first.
func NewVoter(now time.Duration, terms Terms, first bool) *Voter {
	v := &Voter{terms: terms}
	if !first {
		v.quiet = now + terms.Length
	}
	return v
}

// Grant answers a request of a candidate.
func (v *Voter) Grant(now time.Duration, candidate view.ID, round uint64) bool {
	if now < v.quiet {
		if candidate != v.heir || candidate == 0 {
			return false
		}
	} else if now < v.until && candidate != v.holder {
		return false
	}
	v.holder, v.round, v.until = candidate, round, now+v.terms.Length
	return true
}

// Holder is whom it has granted the lease, zero if nobody; quiet if it can't know.
func (v *Voter) Holder(now time.Duration) (holder view.ID, quiet bool) {
	if now < v.until {
		holder = v.holder
	}
	return holder, now < v.quiet
}

// Release forgets a grant.
func (v *Voter) Release(candidate view.ID, round uint64) {
	if v.holder == candidate && v.round <= round {
		v.until = 0
	}
}

// Adopt tells of a new view. Where majorities of old and new voters need not meet, it is quiet for a while, except for the only
// one that can hold a lease given by the old ones.
func (v *Voter) Adopt(now time.Duration, old, next *view.View) {
	if old.Epoch == 0 && next.Epoch == 1 {
		return // nobody can hold a lease yet that this voter could break
	}
	if next.Epoch == old.Epoch+1 && next.SameVoters(old) {
		return
	}
	v.quiet, v.heir = now+v.terms.Length, next.Holder
}

// Holder is a candidate's side.
type Holder struct {
	terms Terms
	self  view.ID
	round uint64
	asked time.Duration // when the current round was sent
	epoch uint64
	given map[view.ID]bool
	taken map[view.ID]bool // refused
	done  bool             // the current round has a majority
	until time.Duration
}

// NewHolder makes a candidate that holds nothing.
func NewHolder(terms Terms, self view.ID) *Holder { return &Holder{terms: terms, self: self} }

// Ask begins a round. The caller sends the request to all voters.
func (h *Holder) Ask(now time.Duration, epoch uint64) *Request {
	h.round++
	h.asked, h.epoch, h.done = now, epoch, false
	h.given, h.taken = make(map[view.ID]bool), make(map[view.ID]bool)
	return &Request{Epoch: epoch, Round: h.round}
}

// Granted takes an answer, and says whether the lease now lasts longer.
func (h *Holder) Granted(current *view.View, from view.ID, reply *Reply) bool {
	if h.given == nil || reply.Round != h.round || reply.Epoch != h.epoch || current.Epoch != h.epoch || h.done {
		return false
	}
	if _, ok := current.Voter(from); !ok {
		return false
	}
	if !reply.Granted {
		h.taken[from] = true
		return false
	}
	h.given[from] = true
	if len(h.given) < current.Majority() {
		return false
	}
	h.done = true
	h.until = h.asked + h.terms.Length - h.terms.Margin
	return true
}

// Lost says whether so many voters refused the current round that it can't get a majority.
func (h *Holder) Lost(current *view.View) bool {
	return h.given != nil && !h.done && len(h.taken) > len(current.Voters)-current.Majority()
}

// Until is when the lease ends, which may lie in the past.
func (h *Holder) Until() time.Duration { return h.until }

// Valid says whether the lease is held.
func (h *Holder) Valid(now time.Duration) bool { return now < h.until }

// Asked is when the current round was begun, and whether it got a majority.
func (h *Holder) Asked() (at time.Duration, granted bool) { return h.asked, h.done }

// Asking says whether a round has been begun whose answers still count.
func (h *Holder) Asking() bool { return h.given != nil }

// Drop ends the lease, or the round in which it is sought: no answer to it counts any more. The caller sends the release to all voters.
func (h *Holder) Drop() *Release {
	h.until = 0
	release := &Release{Round: h.round}
	h.round++
	h.given, h.done = nil, false
	return release
}
