package core

import (
	"slices"
	"time"

	"ravendale/control/view"
)

// departure is the state of this member's stop or of its removal from the core.
type departure struct {
	stopping         bool          // its process is about to stop, and may start again
	decommissioning  bool          // it asks to be removed from the voters
	decommissionedAt time.Duration // when decommissioning was set
}

// leaseTransferTimeout is how long the removal of a decommissioned voter waits while nobody holds the leader lease. If
// a change of the voters names a holder, that holder keeps the lease; if it names none, all candidates have to wait
// until any lease that may be held has expired.
const leaseTransferTimeout = 2 * time.Second

// leaseAbstention is how long a member that gave up the leader lease does not request it.
const leaseAbstention = 10 * time.Second

// Resign gives up the leader lease, so that another member can obtain it at once, and does not request it for
// leaseAbstention: this member may be about to stop.
func (n *node) Resign(now time.Duration) {
	n.lease.abstainUntil = now + leaseAbstention
	if n.lease.holder.Valid(now) {
		n.dropLease(lossTransferred)
	}
	n.sendHeartbeats(now)
	n.finishStep(now)
}

// Leave asks the other members to remove this one from the voters.
func (n *node) Leave(now time.Duration) {
	if n.departure.decommissioning {
		return
	}
	n.departure.decommissioning, n.departure.decommissionedAt = true, now
	n.config.Candidate = false
	n.Resign(now)
}

// announceLeaving is called with each heartbeat, and sends a leaving message to all members if this one has resigned or
// is decommissioned. All members need it because each may propose a view, and two proposers that do not agree on who is
// leaving would undo one another's views.
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
	p.removalUntil = now + failureTimeout // not renewed after a restart: the next incarnation may stay
}

// abstains reports whether a member does not request the leader lease at present.
func (n *node) abstains(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return now < n.lease.abstainUntil
	}
	p := n.peers.byID(id)
	return p != nil && now < p.abstainUntil
}

// dispensable reports whether a member asks to leave and may be removed: the remaining voters are responsive and
// complete, all of them are in the chain, and they have enough disks.
func (n *node) dispensable(now time.Duration, id view.ID) bool {
	if !n.wantsRemoval(now, id) {
		return false
	}
	if !n.isVoter(id) || n.config.mutations.removesNeededVoter {
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
		if n.view.Position(member.ID) < 0 || !n.isResponsive(now, member.ID) || !n.seemsComplete(member.ID) {
			return false
		}
		rest.Voters = append(rest.Voters, member)
		rest.Chain = append(rest.Chain, member.ID)
	}
	return len(rest.Voters) > 0 && n.config.Durability.Met(&rest)
}

// replaceable reports whether a member asks to leave and does not hold the leader lease, so that its vote may go to
// another member.
func (n *node) replaceable(now time.Duration, id view.ID) bool {
	return n.wantsRemoval(now, id) && (!n.isVoter(id) || n.leaseTransferred(now, id))
}

// leaseTransferred reports whether another member than the one that leaves holds the leader lease, or whether nobody
// has obtained it within leaseTransferTimeout.
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

// wantsRemoval reports whether a member asks to be removed from the voters.
func (n *node) wantsRemoval(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return n.departure.decommissioning
	}
	p := n.peers.byID(id)
	return p != nil && now < p.removalUntil
}

// Removed reports whether, after Leave, the other members have decided a view in which this one is no voter.
func (n *node) Removed() bool {
	return n.departure.decommissioning && n.view.Epoch > 0 && !slices.ContainsFunc(n.view.Voters, func(member view.Member) bool { return member.ID == n.self.ID })
}
