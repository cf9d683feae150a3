package core

import (
	"slices"
	"time"

	"ravendale/control/view"
)

// handOver is how long a member that leaves is kept while nobody holds the leader lease: a change of the voters that names a holder lets
// that one go on, while one without a holder has all wait for the end of a lease that may be held.
const handOver = 2 * time.Second

// abstainFor is how long a member that gave the leader lease up does not seek it.
const abstainFor = 10 * time.Second

// Abdicate gives the leader lease back and has others take it at once: this member may be about to go.
func (n *node) Abdicate(now time.Duration) {
	n.abstainTill = now + abstainFor
	if n.holder.Valid(now) {
		n.drop(lossLeave)
	}
	n.sendBeats(now)
	n.finish(now)
}

// Leave has this member ask the others to go on without it.
func (n *node) Leave(now time.Duration) {
	if n.departing {
		return
	}
	n.departing, n.leaveAt = true, now
	n.config.Candidate = false
	n.Abdicate(now)
}

// tellLeaving goes along with each beat of a member that has abdicated or leaves.
func (n *node) tellLeaving(now time.Duration) {
	if n.departing || now < n.abstainTill {
		n.sendVoters(&leaving{ID: n.self.ID, Vote: n.departing})
	}
}

func (n *node) onLeaving(now time.Duration, m *leaving) {
	p := n.find(m.ID)
	if m.ID == n.self.ID || p == nil {
		return
	}
	p.abstainTill = now + silentAfter
	if m.Vote && !p.leaving {
		p.leaving, p.leavingSince = true, now
	}
}

// abstains says whether a member leaves the leader lease to others.
func (n *node) abstains(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return now < n.abstainTill
	}
	p := n.find(id)
	return p != nil && now < p.abstainTill
}

// spared says whether a member wishes to leave and may: those that stay are a chain that lasts, each of them whole and heard by this one.
func (n *node) spared(now time.Duration, id view.ID) bool {
	if !n.asksToLeave(id) {
		return false
	}
	if !n.isVoter(id) {
		return true
	}
	if !n.handedOver(now, id) {
		return false
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

// mayDepart says whether a member wishes to leave and holds the leader lease no more: its vote may be another's.
func (n *node) mayDepart(now time.Duration, id view.ID) bool {
	return n.asksToLeave(id) && (!n.isVoter(id) || n.handedOver(now, id))
}

// handedOver says whether another than a member that leaves holds the leader lease, or nobody takes it.
func (n *node) handedOver(now time.Duration, id view.ID) bool {
	leader := n.leaderAddress(now)
	if leader != "" {
		member, _ := n.view.Voter(id)
		return leader != member.Address
	}
	since := n.leaveAt
	if id != n.self.ID {
		since = n.find(id).leavingSince
	}
	return now >= since+handOver
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
