package core

import (
	"slices"
	"time"

	"ravendale/control/view"
)

// Refused tells that an address was found to have nobody listening.
func (n *node) Refused(now time.Duration, address string) {
	n.peers.refuse(now, address, now-n.started < startupWindow)
	n.updateResponsiveness(now)
	n.finish(now)
}

// hears says whether this node hears a member itself, which is taken to be so while the node has not listened for long enough.
func (n *node) hears(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return true
	}
	p := n.peers.byID(id)
	if p == nil {
		member, _ := n.view.Member(id)
		refused := n.peers.byAddress[member.Address] != nil && (n.peers.byAddress[member.Address].refused || n.peers.byAddress[member.Address].contacted)
		return now < n.peers.suspectFrom && !refused
	}
	return !p.refused && !p.degraded() && (now-p.heardAt < failureTimeout || now < n.peers.suspectFrom)
}

// alive says whether a member is heard by this node, or by another that this node hears.
func (n *node) alive(now time.Duration, id view.ID) bool {
	if n.hears(now, id) {
		return true
	}
	if member, ok := n.view.Member(id); ok {
		if p := n.peers.byAddress[member.Address]; p != nil && (p.refused || p.replaces(id)) {
			return false // its process has ended
		}
		if p := n.peers.byID(id); p != nil && p.degraded() && now-p.heardAt < failureTimeout {
			return false // it says so itself
		}
	}
	for _, p := range n.peers.byAddress {
		if p.heartbeat.Epoch == n.view.Epoch && p.member.ID != 0 && p.member.ID != id && n.hears(now, p.member.ID) &&
			n.view.Position(p.member.ID) >= 0 && !slices.Contains(p.heartbeat.Unresponsive, id) {
			return true
		}
	}
	return false
}

// connected says whether messages pass between two members, as far as is known.
func (n *node) connected(now time.Duration, a, b view.ID) bool {
	return n.hearsFrom(now, a, b) && n.hearsFrom(now, b, a)
}

func (n *node) hearsFrom(now time.Duration, from, to view.ID) bool {
	if to == n.self.ID {
		return n.hears(now, from)
	}
	p := n.peers.byID(to)
	return p == nil || !n.hears(now, to) || !slices.Contains(p.heartbeat.Unresponsive, from)
}

func (n *node) joinable(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return true
	}
	taken := n.view.Position(id) >= 0 // others judged it sooner
	if taken && n.alive(now, id) {
		return true // its neighbours hear it, though this node may not
	}
	p := n.peers.byID(id)
	if id == 0 || p == nil || p.refused || p.degraded() || now-p.heardAt >= failureTimeout {
		return false
	}
	starting := now-n.started < failureTimeout // of all perhaps: who comes a little late need not wait
	return taken || starting || now-p.heardSince >= joinDelay
}

// unheardFor is how long a member has not been heard, zero if it is.
func (n *node) unheardFor(now time.Duration, id view.ID) time.Duration {
	if id == n.self.ID || n.alive(now, id) {
		return 0
	}
	last := n.started
	if p := n.peers.byID(id); p != nil {
		last = max(last, p.healthyAt)
	}
	return now - max(last, n.peers.suspectFrom-failureTimeout)
}

// isStopping says whether a member has said that its process is about to stop.
func (n *node) isStopping(id view.ID) bool {
	if id == n.self.ID {
		return n.departure.stopping
	}
	p := n.peers.byID(id)
	return p != nil && p.heartbeat.Stopping
}

// updateResponsiveness records whom the node does not hear, and has the others told at once if that changes. Unknown peers are forgotten in time.
func (n *node) updateResponsiveness(now time.Duration) {
	var missing []view.ID
	for _, member := range n.view.Members() {
		if !n.hears(now, member.ID) {
			missing = append(missing, member.ID)
		}
	}
	if !slices.Equal(missing, n.peers.unresponsive) {
		n.peers.unresponsive = missing
		n.peers.heartbeatDue = now
	}
	for address, p := range n.peers.byAddress {
		if now-p.heardAt > n.forgetAfter(p) && !n.isMember(p.member.ID) {
			delete(n.peers.byAddress, address)
		}
	}
	n.lease.expireLeader(now)
}

// forgetAfter is how long an unknown peer may be unresponsive before it is forgotten. The control processes without a disk may know nobody else after
// a restart.
func (n *node) forgetAfter(p *peer) time.Duration {
	if n.config.Storage && p.member.ID == 0 && p.contacted {
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
