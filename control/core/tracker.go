package core

import (
	"time"

	"ravendale/control/view"
)

// peerTracker holds what the node knows about the other processes of the core, like raft's tracker.
type peerTracker struct {
	byAddress    map[string]*peer // by rpc address
	unresponsive []view.ID        // members of the view from which the node receives no heartbeats
	heartbeatDue time.Duration    // when the next heartbeats are to be sent
	suspectFrom  time.Duration    // nobody is taken for failed before, since the node has not run for long enough
}

func newPeerTracker(now time.Duration) peerTracker {
	return peerTracker{byAddress: make(map[string]*peer), heartbeatDue: now, suspectFrom: now + failureTimeout}
}

// peer is another process of the core.
type peer struct {
	member          view.Member
	heartbeat       heartbeat     // newest heartbeat
	lastHeartbeatAt time.Duration // when it was received
	healthyAt       time.Duration // when the last heartbeat was received that did not report a degraded member
	responsiveSince time.Duration // since when heartbeats have arrived without a gap
	refused         bool          // a connection was refused after the last heartbeat: the process has ended
	seen            bool          // at least one heartbeat was received
	removalSince    time.Duration // since when it asks to be removed from the voters
	removalUntil    time.Duration // when that request ends unless it is repeated
	abstainUntil    time.Duration // it does not request the leader lease before
}

// degraded reports whether the peer was degraded as of its last heartbeat.
func (p *peer) degraded() bool { return p.heartbeat.degraded() }

// hasOtherDisk reports whether the process at the peer's address has another disk than the member with an identity.
func (p *peer) hasOtherDisk(id view.ID) bool { return p.seen && p.member.ID != id }

// byID returns the peer with an identity, or nil if no heartbeat of it was received.
func (t *peerTracker) byID(id view.ID) *peer {
	for _, p := range t.byAddress {
		if p.member.ID == id && p.seen {
			return p
		}
	}
	return nil
}

// recordHeartbeat records a heartbeat, and reports whether its sender was known.
func (t *peerTracker) recordHeartbeat(now time.Duration, m *heartbeat) (known bool) {
	p := t.byAddress[m.Member.Address]
	known = p != nil && p.seen && p.member.ID == m.Member.ID
	if !known {
		p = &peer{responsiveSince: now, healthyAt: now, seen: true}
		t.byAddress[m.Member.Address] = p
	} else if now-p.lastHeartbeatAt > failureTimeout || p.refused || p.degraded() {
		p.responsiveSince = now
	}
	if !m.degraded() {
		p.healthyAt = now
	}
	p.member, p.heartbeat, p.lastHeartbeatAt, p.refused = m.Member, *m, now, false
	return known
}

// recordRefusal records that a connection to an address was refused. That is ignored shortly after a start, since the
// process may not have started yet.
func (t *peerTracker) recordRefusal(now time.Duration, address string, starting bool) {
	p := t.byAddress[address]
	if p == nil {
		p = &peer{lastHeartbeatAt: now}
		t.byAddress[address] = p
	}
	p.refused = !starting
}
