package core

import (
	"slices"
	"time"

	"ravendale/control/view"
)

// handOver is how long a member that leaves waits for another to hold the leader lease: a change of the voters that names a holder lets
// that one go on, while one without a holder has all wait for the end of a lease that may be held.
const handOver = 2 * time.Second

// Leave has this member ask the others to go on without it, once it has given up the leader lease and another has it.
func (n *node) Leave(now time.Duration) {
	if n.leaveAt >= 0 {
		return
	}
	n.leaveAt = now
	n.config.Candidate = false
	if n.holder.Valid(now) {
		n.drop(lossLeave)
		n.sendBeats(now)
	}
	n.depart(now)
	n.finish(now)
}

// depart tells the others that this member leaves, as soon as it may.
func (n *node) depart(now time.Duration) {
	if n.departing || n.leaveAt < 0 || n.leaderAddress(now) == "" && now < n.leaveAt+handOver {
		return
	}
	n.departing = true
	n.beatAt = now
}

func (n *node) onLeaving(m *leaving) {
	if m.ID == n.self.ID {
		return
	}
	if p := n.find(m.ID); p != nil {
		p.leaving = true
	}
}

// spared says whether a member wishes to leave and may: those that stay are a chain that lasts, each of them whole and heard by this one.
func (n *node) spared(now time.Duration, id view.ID) bool {
	if !n.asksToLeave(id) {
		return false
	}
	if !n.isVoter(id) {
		return true
	}
	rest := view.View{}
	for _, member := range n.view.Voters {
		if member.ID == id || n.asksToLeave(member.ID) {
			continue
		}
		if n.view.Position(member.ID) < 0 || !n.hears(now, member.ID) || !n.seemsWhole(member.ID) {
			return false
		}
		rest.Voters = append(rest.Voters, member)
		rest.Chain = append(rest.Chain, member.ID)
	}
	return len(rest.Voters) > 0 && n.config.Durability.Met(&rest)
}

func (n *node) asksToLeave(id view.ID) bool {
	if id == n.self.ID {
		return n.departing
	}
	p := n.find(id)
	return p != nil && p.leaving
}

// LeftOut says whether this member belongs to a view that others decided without it, after it has asked to leave.
func (n *node) LeftOut() bool {
	return n.departing && n.view.Epoch > 0 && !slices.ContainsFunc(n.view.Voters, func(member view.Member) bool { return member.ID == n.self.ID })
}
