package core

import (
	"time"

	"ravendale/control/view"
)

// peerTracker holds what the node knows of the other processes of the core, as raft's tracker does.
type peerTracker struct {
	byAddress    map[string]*peer // by rpc address
	unresponsive []view.ID        // members of the view that the node does not hear
	heartbeatDue time.Duration    // when the next heartbeat is to be sent
	suspectFrom  time.Duration    // until then nobody is taken for failed, since the node has not listened for long enough
}

func newPeerTracker(now time.Duration) peerTracker {
	return peerTracker{byAddress: make(map[string]*peer), heartbeatDue: now, suspectFrom: now + failureTimeout}
}

// peer is another process of the core.
type peer struct {
	member       view.Member
	heartbeat    heartbeat     // the newest
	heardAt      time.Duration // when that came
	healthyAt    time.Duration // heard last while it was not degraded
	heardSince   time.Duration // heard without a gap since
	refused      bool          // its address refused a connection since: its process has ended
	contacted    bool          // was heard at least once
	removalSince time.Duration // since when it wishes to be no voter any more
	removalUntil time.Duration // until then it does, without another message that says so
	abstainUntil time.Duration // until then it does not seek the leader lease
}

// degraded says whether the peer's disk fails, as it said last.
func (p *peer) degraded() bool { return p.heartbeat.degraded() }

// replaces says whether another disk than a member's answers at its address.
func (p *peer) replaces(id view.ID) bool { return p.contacted && p.member.ID != id }

// byID returns the peer with an identity, nil if it was never heard.
func (t *peerTracker) byID(id view.ID) *peer {
	for _, p := range t.byAddress {
		if p.member.ID == id && p.contacted {
			return p
		}
	}
	return nil
}

// observe records a heartbeat, and says whether its sender was known.
func (t *peerTracker) observe(now time.Duration, m *heartbeat) (known bool) {
	p := t.byAddress[m.Member.Address]
	known = p != nil && p.contacted && p.member.ID == m.Member.ID
	if !known {
		p = &peer{heardSince: now, healthyAt: now, contacted: true}
		t.byAddress[m.Member.Address] = p
	} else if now-p.heardAt > failureTimeout || p.refused || p.degraded() {
		p.heardSince = now
	}
	if !m.degraded() {
		p.healthyAt = now
	}
	p.member, p.heartbeat, p.heardAt, p.refused = m.Member, *m, now, false
	return known
}

// refuse records that nobody listens at an address. Shortly after a start that says nothing: the process may not have started yet.
func (t *peerTracker) refuse(now time.Duration, address string, starting bool) {
	p := t.byAddress[address]
	if p == nil {
		p = &peer{heardAt: now}
		t.byAddress[address] = p
	}
	p.refused = !starting
}
