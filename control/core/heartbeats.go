package core

import (
	"slices"
	"time"

	"ravendale/control/chain"
)

// onHeartbeat takes a heartbeat. Its sender is told of a later view, and is answered if it was not known.
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
		n.chain.OnHeartbeat(now, m.Member.ID, chain.Heartbeat{Epoch: m.Epoch, Attached: m.Attached, Synced: m.Synced, Committed: m.Committed})
	}
}

// observe records a heartbeat and who leads by it, and says whether its sender was known.
func (n *node) observe(now time.Duration, m *heartbeat) (known bool) {
	known = n.peers.observe(now, m)
	n.lease.observeLeader(now, m, !n.config.Disk)
	return known
}

func (n *node) heartbeat(now time.Duration) *heartbeat {
	unresponsive := n.peers.unresponsive
	if n.degraded() {
		unresponsive = append(slices.Clone(unresponsive), n.self.ID)
	}
	return &heartbeat{
		Member: n.self, Epoch: n.view.Epoch, Bootstrap: len(n.bootstrapMembers) > 0, CannotOrder: n.cannotOrder, Complete: n.chain.Complete(),
		Attached: n.chain.Attached(), Synced: n.chain.Synced(), Committed: n.chain.Committed(),
		Unresponsive: unresponsive, Leading: n.leads(now), Leader: n.leaderAddress(now), Stopping: n.departure.stopping,
	}
}

func (n *node) sendHeartbeats(now time.Duration) {
	n.peers.heartbeatDue = now + heartbeatInterval
	message := n.heartbeat(now)
	for _, address := range n.heartbeatTargets() {
		if address != n.self.Address {
			n.deliver(outboundMessage{address, message})
		}
	}
	n.announceLeaving(now)
}

// heartbeatTargets are the rpc addresses that heartbeats go to: all that are known. Processes without a disk, of which there may be many, send one
// another none, but for the seeds.
func (n *node) heartbeatTargets() []string {
	addresses := n.Addresses()
	if n.config.Disk {
		return addresses
	}
	return slices.DeleteFunc(addresses, func(address string) bool {
		p := n.peers.byAddress[address]
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
	for _, p := range n.peers.byAddress {
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
