package core

import (
	"slices"
	"time"

	"ravendale/control/view"
)

// Refused reports that a connection to an address was refused.
func (n *node) Refused(now time.Duration, address string) {
	n.peers.recordRefusal(now, address, now-n.started < startupWindow)
	n.updateResponsiveness(now)
	n.finishStep(now)
}

// isResponsive reports whether this node receives heartbeats from a member. While the node has not run for long enough
// to tell, it assumes so.
func (n *node) isResponsive(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return true
	}
	p := n.peers.byID(id)
	if p == nil {
		member, _ := n.view.Member(id)
		refused := n.peers.byAddress[member.Address] != nil && (n.peers.byAddress[member.Address].refused || n.peers.byAddress[member.Address].seen)
		return now < n.peers.suspectFrom && !refused
	}
	return !p.refused && !p.degraded() && (now-p.lastHeartbeatAt < failureTimeout || now < n.peers.suspectFrom)
}

// alive reports whether a member is responsive to this node, or to another member of the chain that is responsive to
// this node.
func (n *node) alive(now time.Duration, id view.ID) bool {
	if n.isResponsive(now, id) {
		return true
	}
	if member, ok := n.view.Member(id); ok {
		if p := n.peers.byAddress[member.Address]; p != nil && (p.refused || p.hasOtherDisk(id)) {
			return false // its process has ended
		}
		if p := n.peers.byID(id); p != nil && p.degraded() && now-p.lastHeartbeatAt < failureTimeout {
			return false // its own heartbeats say that it is degraded
		}
	}
	for _, p := range n.peers.byAddress {
		if p.heartbeat.Epoch == n.view.Epoch && p.member.ID != 0 && p.member.ID != id && n.isResponsive(now, p.member.ID) &&
			n.view.Position(p.member.ID) >= 0 && !slices.Contains(p.heartbeat.Unresponsive, id) {
			return true
		}
	}
	return false
}

// connected reports whether messages pass between two members in both directions, as far as this node knows.
func (n *node) connected(now time.Duration, a, b view.ID) bool {
	return n.receivesFrom(now, a, b) && n.receivesFrom(now, b, a)
}

func (n *node) receivesFrom(now time.Duration, from, to view.ID) bool {
	if to == n.self.ID {
		return n.isResponsive(now, from)
	}
	p := n.peers.byID(to)
	return p == nil || !n.isResponsive(now, to) || !slices.Contains(p.heartbeat.Unresponsive, from)
}

func (n *node) joinable(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return true
	}
	inChain := n.view.Position(id) >= 0 // other members have judged it joinable already
	if inChain && n.alive(now, id) {
		return true // its neighbours receive its heartbeats, even if this node does not
	}
	p := n.peers.byID(id)
	if id == 0 || p == nil || p.refused || p.degraded() || now-p.lastHeartbeatAt >= failureTimeout {
		return false
	}
	starting := now-n.started < failureTimeout // perhaps of the whole core: a member that starts slightly later need not wait
	return inChain || starting || now-p.responsiveSince >= joinDelay
}

// unresponsiveFor returns for how long a member has been unresponsive or degraded; zero if it is alive.
func (n *node) unresponsiveFor(now time.Duration, id view.ID) time.Duration {
	if id == n.self.ID || n.alive(now, id) {
		return 0
	}
	last := n.started
	if p := n.peers.byID(id); p != nil {
		last = max(last, p.healthyAt)
	}
	return now - max(last, n.peers.suspectFrom-failureTimeout)
}

// isStopping reports whether a member has announced that its process is about to stop.
func (n *node) isStopping(id view.ID) bool {
	if id == n.self.ID {
		return n.departure.stopping
	}
	p := n.peers.byID(id)
	return p != nil && p.heartbeat.Stopping
}

// updateResponsiveness records which members are unresponsive, and schedules a heartbeat at once if that changes. It
// also removes unknown peers that were unresponsive for too long.
func (n *node) updateResponsiveness(now time.Duration) {
	var unresponsive []view.ID
	for _, member := range n.view.Members() {
		if !n.isResponsive(now, member.ID) {
			unresponsive = append(unresponsive, member.ID)
		}
	}
	if !slices.Equal(unresponsive, n.peers.unresponsive) {
		n.peers.unresponsive = unresponsive
		n.peers.heartbeatDue = now
	}
	for address, p := range n.peers.byAddress {
		if now-p.lastHeartbeatAt > n.forgetAfter(p) && !n.isMember(p.member.ID) {
			delete(n.peers.byAddress, address)
		}
	}
	n.lease.expireLeader(now)
}

// forgetAfter returns for how long an unknown peer may be unresponsive before it is removed. The control processes
// without a disk get longer: after a restart they may know no other process than this one, which has to send them
// heartbeats.
func (n *node) forgetAfter(p *peer) time.Duration {
	if n.config.Storage && p.member.ID == 0 && p.seen {
		return disklessPeerTimeout
	}
	return unknownPeerTimeout
}

func (n *node) isVoter(id view.ID) bool {
	_, ok := n.view.Voter(id)
	return ok
}

func (n *node) isMember(id view.ID) bool {
	_, ok := n.view.Member(id)
	return ok
}
