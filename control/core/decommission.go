package core

import (
	"slices"
	"time"

	"ravendale/control/view"
)

// departure is whether this member is to leave the core, for a while or for good.
type departure struct {
	stopping         bool          // its process is about to stop, and may be back
	decommissioning  bool          // it asks to be no voter any more
	decommissionedAt time.Duration // since when
}

// leaseTransferTimeout is how long a member that is decommissioned is kept while nobody holds the leader lease: a change of the voters that names a holder lets
// that one go on, while one without a holder has all wait for the end of a lease that may be held.
const leaseTransferTimeout = 2 * time.Second

// leaseAbstention is how long a member that gave the leader lease up does not seek it.
const leaseAbstention = 10 * time.Second

// Abdicate gives the leader lease back and has others take it at once: this member may be about to go.
func (n *node) Abdicate(now time.Duration) {
	n.lease.abstainUntil = now + leaseAbstention
	if n.lease.holder.Valid(now) {
		n.dropLease(lossTransferred)
	}
	n.sendHeartbeats(now)
	n.finish(now)
}

// Leave has this member ask the others to go on without it.
func (n *node) Leave(now time.Duration) {
	if n.departure.decommissioning {
		return
	}
	n.departure.decommissioning, n.departure.decommissionedAt = true, now
	n.config.Candidate = false
	n.Abdicate(now)
}

// announceLeaving goes along with each heartbeat of a member that has abdicated or is decommissioned. All members hear it: each may propose a view, and
// two that plan by different wishes undo one another's views.
func (n *node) announceLeaving(now time.Duration) {
	if n.departure.decommissioning || now < n.lease.abstainUntil {
		n.sendMembers(&leaving{ID: n.self.ID, Vote: n.departure.decommissioning})
	}
}

func (n *node) onLeaving(now time.Duration, m *leaving) {
	p := n.peers.byID(m.ID)
	if m.ID == n.self.ID || p == nil {
		return
	}
	p.abstainUntil = now + failureTimeout
	if !m.Vote {
		return
	}
	if now >= p.removalUntil {
		p.removalSince = now
	}
	p.removalUntil = now + failureTimeout // its next incarnation may stay: a wish holds as long as it is repeated
}

// abstains says whether a member leaves the leader lease to others.
func (n *node) abstains(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return now < n.lease.abstainUntil
	}
	p := n.peers.byID(id)
	return p != nil && now < p.abstainUntil
}

// removable says whether a member wishes to leave and may: those that stay are a chain with enough disks, each of them complete and heard by this one.
func (n *node) removable(now time.Duration, id view.ID) bool {
	if !n.wantsRemoval(now, id) {
		return false
	}
	if !n.isVoter(id) || n.config.mutations.sparesNobody {
		return true
	}
	if !n.leaseTransferred(now, id) {
		return false
	}
	rest := view.View{}
	for _, member := range n.view.Voters {
		if member.ID == id || n.wantsRemoval(now, member.ID) {
			continue
		}
		if n.view.Position(member.ID) < 0 || !n.hears(now, member.ID) || !n.seemsComplete(member.ID) {
			return false
		}
		rest.Voters = append(rest.Voters, member)
		rest.Chain = append(rest.Chain, member.ID)
	}
	return len(rest.Voters) > 0 && n.config.Durability.Met(&rest)
}

// replaceable says whether a member wishes to leave and holds the leader lease no more: its vote may be another's.
func (n *node) replaceable(now time.Duration, id view.ID) bool {
	return n.wantsRemoval(now, id) && (!n.isVoter(id) || n.leaseTransferred(now, id))
}

// leaseTransferred says whether another than a member that leaves holds the leader lease, or nobody takes it.
func (n *node) leaseTransferred(now time.Duration, id view.ID) bool {
	leader := n.leaderAddress(now)
	if leader != "" {
		member, _ := n.view.Voter(id)
		return leader != member.Address
	}
	since := n.departure.decommissionedAt
	if id != n.self.ID {
		since = n.peers.byID(id).removalSince
	}
	return now >= since+leaseTransferTimeout
}

// wantsRemoval says whether a member wishes to be no voter any more.
func (n *node) wantsRemoval(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return n.departure.decommissioning
	}
	p := n.peers.byID(id)
	return p != nil && now < p.removalUntil
}

// Removed says whether this member belongs to a view that others decided without it, after it has asked to leave.
func (n *node) Removed() bool {
	return n.departure.decommissioning && n.view.Epoch > 0 && !slices.ContainsFunc(n.view.Voters, func(member view.Member) bool { return member.ID == n.self.ID })
}
