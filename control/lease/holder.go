package lease

import (
	"time"

	"ravendale/control/view"
)

// Holder is the candidate's side of the lease: it requests, renews and releases it.
type Holder struct {
	timing        Timing
	incarnation   uint64
	electionRound uint64
	requestedAt   time.Duration // when the request of the current round was sent
	epoch         uint64
	grants        map[view.ID]bool
	refusals      map[view.ID]bool
	granted       bool // a majority has granted the current round
	expiresAt     time.Duration
}

// NewHolder returns a candidate that holds no lease. Incarnation is drawn at random at each start of the process.
func NewHolder(timing Timing, incarnation uint64) *Holder {
	return &Holder{timing: timing, incarnation: incarnation}
}

// StartRound starts an election round to acquire or renew the lease. The caller sends the request to all voters.
func (h *Holder) StartRound(now time.Duration, epoch uint64) *Request {
	h.electionRound++
	h.requestedAt, h.epoch, h.granted = now, epoch, false
	h.grants, h.refusals = make(map[view.ID]bool), make(map[view.ID]bool)
	return &Request{Epoch: epoch, Incarnation: h.incarnation, ElectionRound: h.electionRound}
}

// OnReply handles a voter's reply, and reports whether it has extended the lease.
func (h *Holder) OnReply(current *view.View, from view.ID, reply *Reply) bool {
	if h.grants == nil || reply.Incarnation != h.incarnation || reply.ElectionRound != h.electionRound || reply.Epoch != h.epoch || current.Epoch != h.epoch || h.granted {
		return false
	}
	if _, ok := current.Voter(from); !ok {
		return false
	}
	if !reply.Granted {
		h.refusals[from] = true
		return false
	}
	h.grants[from] = true
	if len(h.grants) < current.Majority() {
		return false
	}
	h.granted = true
	h.expiresAt = h.requestedAt + h.timing.Duration - h.timing.Margin
	return true
}

// Refused reports whether so many voters have refused the current round that no majority is left to grant it.
func (h *Holder) Refused(current *view.View) bool {
	return h.grants != nil && !h.granted && len(h.refusals) > len(current.Voters)-current.Majority()
}

// ExpiresAt returns the end of the lease on the clock that is passed to StartRound. It may be in the past.
func (h *Holder) ExpiresAt() time.Duration { return h.expiresAt }

// Valid reports whether the lease is held.
func (h *Holder) Valid(now time.Duration) bool { return now < h.expiresAt }

// LastRequest returns when the current round was started, and whether a majority has granted it.
func (h *Holder) LastRequest() (at time.Duration, granted bool) { return h.requestedAt, h.granted }

// Outdated reports whether the current round was started in another epoch and has no majority. Voters no longer
// answer such a round.
func (h *Holder) Outdated(epoch uint64) bool { return !h.granted && h.epoch != epoch }

// Seeking reports whether a round was started whose replies still count.
func (h *Holder) Seeking() bool { return h.grants != nil }

// Drop ends the lease or the current round; later replies to the round are ignored. The caller sends the release to
// all voters.
func (h *Holder) Drop() *Release {
	h.expiresAt = 0
	release := &Release{Incarnation: h.incarnation, ElectionRound: h.electionRound}
	h.electionRound++
	h.grants, h.granted = nil, false
	return release
}
