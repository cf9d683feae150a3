// Package lease grants one member of the core at a time the leader lease. Voters grant it for a time on their own steady clocks; its
// holder counts from when it asked, and stops a margin early, so that clocks may run apart by a few hundredths.
//
// A voter that has just started has forgotten when its last grant ends. It keeps on disk, written before the answer that gives it, the
// one disk that it granted last (Past), and for the length of a lease grants only to that one. So the leader of a core that was
// restarted whole leads again at once, and any other waits. There are never two holders:
//
//   - Of different disks. Two holders have a majority each, so some voter granted to both, and to the second only when the grant to the
//     first had ended or had been given back. If it was not restarted in between, it knew that. If it was, the first is not what its
//     Past names, or else the second got its grant a whole lease after the start, hence after the end of what was granted
//     before the start. Past names the first as soon as that has an answer; it names another only once that other may be granted too.
//   - Of one disk. A process takes its disk over only when the process that had it before has ended, and with it its lease: the
//     address on which all listen before they speak is held by one. Each life has a number, which requests, replies and releases carry, so that
//     what is still on its way from or to an earlier life neither prolongs nor ends a lease of this one.
//   - A frozen process that is woken finds by its steady clock that its lease is over, and asks before it acts.
//   - A disk that was wiped, or is new, has another identity: it never was granted anything, and as a voter it is of another view.
//   - Where voters change, majorities of old and new need not meet. Then Past becomes the one that can hold a lease of the old voters, as
//     the view names it, or unknown; a voter that starts derives the same from the view on its disk.
//   - Two processes on copies of one disk are beyond this, as they are beyond the promises of package view.
package lease

import (
	"time"

	"ravendale/control/view"
)

//go:generate go run github.com/tinylib/msgp -file lease.go -o lease_gen.go -tests=false
//msgp:tuple Request Reply Release Past
//msgp:ignore Voter Holder Terms

// Request asks a voter for the lease, or for its renewal.
type Request struct {
	Epoch uint64
	Life  uint64 // of the candidate, drawn at its start
	Round uint64 // of its requests in that life, climbing
}

// Reply answers a Request.
type Reply struct {
	Epoch   uint64
	Life    uint64
	Round   uint64
	Granted bool
}

// Release gives back what a voter granted up to a round, by a candidate that got no majority or stops.
type Release struct {
	Life  uint64
	Round uint64
}

// Past is what a voter keeps on disk. The zero Past has granted nothing that may still hold.
type Past struct {
	Holder  view.ID // the only one that may hold a lease, zero if nobody may
	Unknown bool    // anybody may hold one
}

// Adopt tells of a new view, and returns the Past that follows. Where majorities of old and new voters need not meet, the one to be
// feared is whoever can hold a lease given by the old ones.
func (p Past) Adopt(old, next *view.View) Past {
	if !feared(old, next) {
		return p
	}
	return Past{Holder: next.Holder, Unknown: next.Holder == 0}
}

// feared says whether a lease may hold that was granted by voters of which the new ones know nothing.
func feared(old, next *view.View) bool {
	founded := old.Epoch == 0 && next.Epoch == 1 // nobody can hold a lease yet that this voter could break
	return !founded && (next.Epoch != old.Epoch+1 || !next.SameVoters(old))
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
const Length = 1200 * time.Millisecond

// Voter is a grantor's memory, of which Past is on disk.
type Voter struct {
	terms  Terms
	past   Past
	holder view.ID
	life   uint64
	round  uint64
	until  time.Duration
	quiet  time.Duration // until then it only grants to the holder that past names
}

// NewVoter makes a voter from what is on its disk.
func NewVoter(now time.Duration, terms Terms, past Past) *Voter {
	v := &Voter{terms: terms, past: past}
	if past != (Past{}) {
		v.quiet = now + terms.Length
	}
	return v
}

// Past is what has to be on disk before an answer is sent.
func (v *Voter) Past() Past { return v.past }

// Grant answers a request of a candidate. Changed says that Past must be written before the answer is sent.
func (v *Voter) Grant(now time.Duration, candidate view.ID, request *Request) (granted, changed bool) {
	if now < v.quiet {
		if candidate != v.past.Holder {
			return false, false
		}
	} else if now < v.until && candidate != v.holder {
		return false, false
	}
	v.holder, v.life, v.round, v.until = candidate, request.Life, request.Round, now+v.terms.Length
	past := Past{Holder: candidate}
	changed = v.past != past
	v.past = past
	return true, changed
}

// Holder is whom it has granted the lease, zero if nobody; quiet if it can't know.
func (v *Voter) Holder(now time.Duration) (holder view.ID, quiet bool) {
	if now < v.quiet {
		return v.past.Holder, v.past.Unknown
	}
	if now < v.until {
		return v.holder, false
	}
	return 0, false
}

// Heir is the only one that it grants the lease, for as long as there is such a one; zero if there is none.
func (v *Voter) Heir(now time.Duration) view.ID {
	if now < v.quiet {
		return v.past.Holder
	}
	return 0
}

// Release forgets a grant.
func (v *Voter) Release(candidate view.ID, release *Release) {
	if v.holder == candidate && v.life == release.Life && v.round <= release.Round {
		v.until = 0
	}
}

// Adopt tells of a new view. Past then changes as the view has it: that needs no writing apart from the view.
func (v *Voter) Adopt(now time.Duration, old, next *view.View) {
	if feared(old, next) {
		v.past, v.quiet = v.past.Adopt(old, next), now+v.terms.Length
	}
}

// Holder is a candidate's side.
type Holder struct {
	terms Terms
	life  uint64
	round uint64
	asked time.Duration // when the current round was sent
	epoch uint64
	given map[view.ID]bool
	taken map[view.ID]bool // refused
	done  bool             // the current round has a majority
	until time.Duration
}

// NewHolder makes a candidate that holds nothing, in a life of that number.
func NewHolder(terms Terms, life uint64) *Holder { return &Holder{terms: terms, life: life} }

// Ask begins a round. The caller sends the request to all voters.
func (h *Holder) Ask(now time.Duration, epoch uint64) *Request {
	h.round++
	h.asked, h.epoch, h.done = now, epoch, false
	h.given, h.taken = make(map[view.ID]bool), make(map[view.ID]bool)
	return &Request{Epoch: epoch, Life: h.life, Round: h.round}
}

// Granted takes an answer, and says whether the lease now lasts longer.
func (h *Holder) Granted(current *view.View, from view.ID, reply *Reply) bool {
	if h.given == nil || reply.Life != h.life || reply.Round != h.round || reply.Epoch != h.epoch || current.Epoch != h.epoch || h.done {
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

// Outdated says whether the current round was begun in another epoch and has no majority: nobody will answer it any more.
func (h *Holder) Outdated(epoch uint64) bool { return !h.done && h.epoch != epoch }

// Asking says whether a round has been begun whose answers still count.
func (h *Holder) Asking() bool { return h.given != nil }

// Drop ends the lease, or the round in which it is sought: no answer to it counts any more. The caller sends the release to all voters.
func (h *Holder) Drop() *Release {
	h.until = 0
	release := &Release{Life: h.life, Round: h.round}
	h.round++
	h.given, h.done = nil, false
	return release
}
