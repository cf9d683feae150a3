package core

import (
	"math"
	"slices"
	"time"

	"ravendale/control/chain"
	"ravendale/control/view"
)

func (n *node) onBeat(now time.Duration, m *beat) {
	known := n.hear(now, m)
	if m.Epoch < n.view.Epoch {
		n.sendLasting(m.Member.Address, &decided{View: n.view})
	}
	if !known {
		n.deliver(post{m.Member.Address, n.beat(now)})
	}
	n.prepareLate(m.Member)
	if m.Member.ID != 0 {
		n.chain.OnHeartbeat(now, m.Member.ID, chain.Heartbeat{Epoch: m.Epoch, Attached: m.Attached, Synced: m.Synced, Committed: m.Committed})
	}
}

// hear notes a beat, and says whether its sender was known.
func (n *node) hear(now time.Duration, m *beat) (known bool) {
	p := n.peers[m.Member.Address]
	known = p != nil && p.contacted && p.member.ID == m.Member.ID
	if !known {
		p = &peer{since: now, well: now, contacted: true}
		n.peers[m.Member.Address] = p
	} else if now-p.heard > silentAfter || p.refused || p.beat.aside() {
		p.since = now
	}
	if !m.aside() {
		p.well = now
	}
	p.member, p.beat, p.heard, p.refused = m.Member, *m, now, false
	n.noteLeader(now, m)
	return known
}

func (n *node) noteLeader(now time.Duration, m *beat) {
	switch {
	case m.Leading:
		n.leader, n.leaderTill = m.Member.Address, now+silentAfter
	case !n.config.Disk && m.Leader != "" && now >= n.leaderTill:
		n.leader, n.leaderTill = m.Leader, now+silentAfter // by hearsay, which is not passed on
	case m.Member.Address == n.leader:
		n.leaderTill = min(n.leaderTill, now) // it holds the lease no more
	}
}

// Refused tells that an address was found to have nobody listening.
func (n *node) Refused(now time.Duration, address string) {
	p := n.peers[address]
	if p == nil {
		p = &peer{heard: now}
		n.peers[address] = p
	}
	p.refused = now-n.started >= startWithin
	n.watch(now)
	n.finish(now)
}

// find returns the peer with an identity.
func (n *node) find(id view.ID) *peer {
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
	p := n.find(id)
	if p == nil {
		member, _ := n.view.Member(id)
		refused := n.peers[member.Address] != nil && (n.peers[member.Address].refused || n.peers[member.Address].contacted)
		return now < n.grace && !refused
	}
	return !p.refused && !p.beat.aside() && (now-p.heard < silentAfter || now < n.grace)
}

// lives says whether a member is heard by this node, or by another that this node hears.
func (n *node) lives(now time.Duration, id view.ID) bool {
	if n.hears(now, id) {
		return true
	}
	if member, ok := n.view.Member(id); ok {
		if p := n.peers[member.Address]; p != nil && (p.refused || p.contacted && p.member.ID != id) {
			return false // its process has ended
		}
		if p := n.find(id); p != nil && p.beat.aside() && now-p.heard < silentAfter {
			return false // it says so itself
		}
	}
	for _, p := range n.peers {
		if p.beat.Epoch == n.view.Epoch && p.member.ID != 0 && p.member.ID != id && n.hears(now, p.member.ID) &&
			n.view.Position(p.member.ID) >= 0 && !slices.Contains(p.beat.Missing, id) {
			return true
		}
	}
	return false
}

// touch says whether messages pass between two members, as far as is known.
func (n *node) touch(now time.Duration, a, b view.ID) bool {
	return n.reaches(now, a, b) && n.reaches(now, b, a)
}

func (n *node) reaches(now time.Duration, from, to view.ID) bool {
	if to == n.self.ID {
		return n.hears(now, from)
	}
	p := n.find(to)
	return p == nil || !n.hears(now, to) || !slices.Contains(p.beat.Missing, from)
}

func (n *node) joinable(now time.Duration, id view.ID) bool {
	if id == n.self.ID {
		return true
	}
	taken := n.view.Position(id) >= 0 // others judged it sooner
	if taken && n.lives(now, id) {
		return true // its neighbours hear it, though this node may not
	}
	p := n.find(id)
	if id == 0 || p == nil || p.refused || p.beat.aside() || now-p.heard >= silentAfter {
		return false
	}
	starting := now-n.started < silentAfter // of all perhaps: who comes a little late need not wait
	return taken || starting || now-p.since >= joinAfter
}

// silence is how long a member has not been heard, zero if it is.
func (n *node) silence(now time.Duration, id view.ID) time.Duration {
	if id == n.self.ID || n.lives(now, id) {
		return 0
	}
	last := n.started
	if p := n.find(id); p != nil {
		last = max(last, p.well)
	}
	return now - max(last, n.grace-silentAfter)
}

// leaves says whether a member has said that it is about to end.
func (n *node) leaves(id view.ID) bool {
	if id == n.self.ID {
		return n.leaving
	}
	p := n.find(id)
	return p != nil && p.beat.Leaving
}

// watch notes whom the node does not hear, and tells the others at once if that changes.
func (n *node) watch(now time.Duration) {
	var missing []view.ID
	for _, member := range n.view.Members() {
		if !n.hears(now, member.ID) {
			missing = append(missing, member.ID)
		}
	}
	if !slices.Equal(missing, n.missing) {
		n.missing = missing
		n.beatAt = now
	}
	for address, p := range n.peers {
		if now-p.heard > n.remembers(p) && !n.isMember(p.member.ID) {
			delete(n.peers, address)
		}
	}
	if n.leader != "" && now >= n.leaderTill && !n.leads(now) {
		n.leader, n.leaderLost = "", now
	}
}

// remembers is how long a stranger may be silent before it is forgotten. The control processes without a disk may know nobody else after
// a restart.
func (n *node) remembers(p *peer) time.Duration {
	if n.config.Storage && p.member.ID == 0 && p.contacted {
		return forgetDisklessAfter
	}
	return forgetAfter
}

func (n *node) isVoter(id view.ID) bool {
	_, ok := n.view.Voter(id)
	return ok
}

func (n *node) isMember(id view.ID) bool {
	_, ok := n.view.Member(id)
	return ok
}

func (n *node) beat(now time.Duration) *beat {
	missing := n.missing
	if n.aside.from != "" {
		missing = append(slices.Clone(missing), n.self.ID)
	}
	return &beat{
		Member: n.self, Epoch: n.view.Epoch, Founder: len(n.founder) > 0, Idle: n.idle, Whole: n.chain.Complete(),
		Attached: n.chain.Attached(), Synced: n.chain.Synced(), Committed: n.chain.Committed(),
		Missing: missing, Leading: n.leads(now), Leader: n.leaderAddress(now), Leaving: n.leaving,
	}
}

func (n *node) sendBeats(now time.Duration) {
	n.beatAt = now + beatEvery
	message := n.beat(now)
	for _, address := range n.audience() {
		if address != n.self.Address {
			n.deliver(post{address, message})
		}
	}
	n.tellLeaving(now)
}

// audience is whom the node's beats go to: all whom it knows. Processes without a disk, of which there may be many, spare one another those, but
// for the seeds.
func (n *node) audience() []string {
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

// takers lists the members of the core that are known, those first that most likely get a command committed: the leader, then who was heard lately,
// follows the chain, misses few others and knows the newest view. One that is cut off from the others comes late.
func (n *node) takers(now time.Duration) []string {
	leader := n.leaderAddress(now)
	rank := func(address string) [5]uint64 {
		p := n.peers[address]
		if p == nil || !p.contacted {
			return [5]uint64{1, 1}
		}
		silent := now-p.heard >= silentAfter || p.refused || p.beat.aside()
		return [5]uint64{
			bit(silent), bit(address != leader), bit(!p.beat.Attached), uint64(len(p.beat.Missing)), math.MaxUint64 - p.beat.Epoch,
		}
	}
	addresses := n.members()
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

// members are the addresses of the others with a disk that are known: only they can submit a command.
func (n *node) members() []string {
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
