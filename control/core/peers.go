package core

import (
	"math"
	"slices"
	"time"

	"ravendale/control/chain"
	"ravendale/control/view"
)

func (n *node) onHeartbeat(now time.Duration, m *heartbeat) {
	known := n.observe(now, m)
	if m.Epoch < n.view.Epoch {
		n.sendWhenDurable(m.Member.Address, &decided{View: n.view})
	}
	if !known {
		n.deliver(outboundMessage{m.Member.Address, n.heartbeat(now)})
	}
	n.prepareLate(m.Member)
	if m.Member.ID != 0 {
		n.chain.OnBeat(now, m.Member.ID, chain.Beat{Epoch: m.Epoch, Attached: m.Attached, Synced: m.Synced, Committed: m.Committed})
	}
}

// observe notes a beat, and says whether its sender was known.
func (n *node) observe(now time.Duration, m *heartbeat) (known bool) {
	p := n.peers[m.Member.Address]
	known = p != nil && p.contacted && p.member.ID == m.Member.ID
	if !known {
		p = &peer{heardSince: now, healthyAt: now, contacted: true}
		n.peers[m.Member.Address] = p
	} else if now-p.heardAt > failureTimeout || p.refused || p.heartbeat.degraded() {
		p.heardSince = now
	}
	if !m.degraded() {
		p.healthyAt = now
	}
	p.member, p.heartbeat, p.heardAt, p.refused = m.Member, *m, now, false
	n.observeLeader(now, m)
	return known
}

func (n *node) observeLeader(now time.Duration, m *heartbeat) {
	switch {
	case m.Leading:
		n.knownLeader, n.knownLeaderUntil = m.Member.Address, now+failureTimeout
	case !n.config.Disk && m.Leader != "" && now >= n.knownLeaderUntil:
		n.knownLeader, n.knownLeaderUntil = m.Leader, now+failureTimeout // by hearsay, which is not passed on
	case m.Member.Address == n.knownLeader:
		n.knownLeaderUntil = min(n.knownLeaderUntil, now) // it holds the lease no more
	}
}

// Refused tells that an address was found to have nobody listening.
func (n *node) Refused(now time.Duration, address string) {
	p := n.peers[address]
	if p == nil {
		p = &peer{heardAt: now}
		n.peers[address] = p
	}
	p.refused = now-n.started >= startupWindow
	n.updateResponsiveness(now)
	n.finish(now)
}

// peerByID returns the peer with an identity.
func (n *node) peerByID(id view.ID) *peer {
	for _, p := range n.peers {
		if p.member.ID == id && p.contacted {
			return p
		}
	}
	return nil
}

// hears says whether this node hears a member itself, given the benefit of the doubt while it can't know yet.
func (n *node) hears(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return true
	}
	p := n.peerByID(id)
	if p == nil {
		member, _ := n.view.Member(id)
		refused := n.peers[member.Address] != nil && (n.peers[member.Address].refused || n.peers[member.Address].contacted)
		return now < n.suspectFrom && !refused
	}
	return !p.refused && !p.heartbeat.degraded() && (now-p.heardAt < failureTimeout || now < n.suspectFrom)
}

// alive says whether a member is heard by this node, or by another that this node hears.
func (n *node) alive(now time.Duration, id view.ID) bool {
	if n.hears(now, id) {
		return true
	}
	if member, ok := n.view.Member(id); ok {
		if p := n.peers[member.Address]; p != nil && (p.refused || p.contacted && p.member.ID != id) {
			return false // its process has ended
		}
		if p := n.peerByID(id); p != nil && p.heartbeat.degraded() && now-p.heardAt < failureTimeout {
			return false // it says so itself
		}
	}
	for _, p := range n.peers {
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
	p := n.peerByID(to)
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
	p := n.peerByID(id)
	if id == 0 || p == nil || p.refused || p.heartbeat.degraded() || now-p.heardAt >= failureTimeout {
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
	if p := n.peerByID(id); p != nil {
		last = max(last, p.healthyAt)
	}
	return now - max(last, n.suspectFrom-failureTimeout)
}

// isStopping says whether a member has said that it is about to end.
func (n *node) isStopping(id view.ID) bool {
	if id == n.self.ID {
		return n.stopping
	}
	p := n.peerByID(id)
	return p != nil && p.heartbeat.Stopping
}

// updateResponsiveness notes whom the node does not hear, and tells the others at once if that changes.
func (n *node) updateResponsiveness(now time.Duration) {
	var missing []view.ID
	for _, member := range n.view.Members() {
		if !n.hears(now, member.ID) {
			missing = append(missing, member.ID)
		}
	}
	if !slices.Equal(missing, n.unresponsive) {
		n.unresponsive = missing
		n.heartbeatDue = now
	}
	for address, p := range n.peers {
		if now-p.heardAt > n.forgetAfter(p) && !n.isMember(p.member.ID) {
			delete(n.peers, address)
		}
	}
	if n.knownLeader != "" && now >= n.knownLeaderUntil && !n.leads(now) {
		n.knownLeader, n.leaderlessSince = "", now
	}
}

// forgetAfter is how long a stranger may be silent before it is forgotten. The control processes without a disk may know nobody else after
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

func (n *node) heartbeat(now time.Duration) *heartbeat {
	missing := n.unresponsive
	if n.degradation.fault != "" {
		missing = append(slices.Clone(missing), n.self.ID)
	}
	return &heartbeat{
		Member: n.self, Epoch: n.view.Epoch, Bootstrap: len(n.bootstrapMembers) > 0, CannotOrder: n.cannotOrder, Whole: n.chain.Whole(),
		Attached: n.chain.Attached(), Synced: n.chain.Synced(), Committed: n.chain.Committed(),
		Unresponsive: missing, Leading: n.leads(now), Leader: n.leaderAddress(now), Stopping: n.stopping,
	}
}

func (n *node) sendHeartbeats(now time.Duration) {
	n.heartbeatDue = now + heartbeatInterval
	message := n.heartbeat(now)
	for _, address := range n.heartbeatTargets() {
		if address != n.self.Address {
			n.deliver(outboundMessage{address, message})
		}
	}
	n.announceLeaving(now)
}

// heartbeatTargets is whom the node's beats go to: all whom it knows. Processes without a disk, of which there may be many, spare one another those, but
// for the seeds.
func (n *node) heartbeatTargets() []string {
	addresses := n.Addresses()
	if n.config.Disk {
		return addresses
	}
	return slices.DeleteFunc(addresses, func(address string) bool {
		p := n.peers[address]
		return p != nil && p.contacted && p.member.ID == 0 && !slices.Contains(n.config.Seeds, address)
	})
}

// Addresses are those of all core processes that are known; the seeds count as long as nobody better is.
func (n *node) Addresses() []string {
	var addresses []string
	add := func(address string) {
		if address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, member := range n.view.Members() {
		add(member.Address)
	}
	for _, p := range n.peers {
		if p.contacted {
			add(p.member.Address)
		}
	}
	if n.view.Epoch == 0 || !n.chain.Attached() {
		for _, seed := range n.config.Seeds {
			add(seed)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// submitTargets lists the members of the core that are known, those first that most likely get a command committed: the leader, then who was heard lately,
// follows the chain, misses few others and knows the newest view. One that is cut off from the others comes late.
func (n *node) submitTargets(now time.Duration) []string {
	leader := n.leaderAddress(now)
	rank := func(address string) [5]uint64 {
		p := n.peers[address]
		if p == nil || !p.contacted {
			return [5]uint64{1, 1}
		}
		unheard := now-p.heardAt >= failureTimeout || p.refused || p.heartbeat.degraded()
		return [5]uint64{
			bit(unheard), bit(address != leader), bit(!p.heartbeat.Attached), uint64(len(p.heartbeat.Unresponsive)), math.MaxUint64 - p.heartbeat.Epoch,
		}
	}
	addresses := n.otherMembers()
	slices.SortStableFunc(addresses, func(a, b string) int {
		first, second := rank(a), rank(b)
		return slices.Compare(first[:], second[:])
	})
	return addresses
}

func bit(condition bool) uint64 {
	if condition {
		return 1
	}
	return 0
}

// otherMembers are the addresses of the others with a disk that are known: only they can submit a command.
func (n *node) otherMembers() []string {
	var addresses []string
	for _, member := range n.view.Voters {
		addresses = append(addresses, member.Address)
	}
	for address, p := range n.peers {
		if p.contacted && p.member.ID != 0 && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == n.self.Address })
	slices.Sort(addresses)
	return addresses
}
