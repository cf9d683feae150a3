package core

import (
	"slices"
	"time"

	"ravendale/control/chain"
)

// onHeartbeat handles a heartbeat. If its sender has an older view, it is sent this node's; if it was not known, it is
// sent a heartbeat in return.
func (n *node) onHeartbeat(now time.Duration, m *heartbeat) {
	known := n.recordHeartbeat(now, m)
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

// recordHeartbeat records a heartbeat and the leader that it names, and reports whether its sender was known.
func (n *node) recordHeartbeat(now time.Duration, m *heartbeat) (known bool) {
	known = n.peers.recordHeartbeat(now, m)
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

// heartbeatTargets returns the rpc addresses that heartbeats are sent to: all that are known. Processes without a disk,
// of which there may be many, do not send heartbeats to one another, except to seeds.
func (n *node) heartbeatTargets() []string {
	addresses := n.Addresses()
	if n.config.Disk {
		return addresses
	}
	return slices.DeleteFunc(addresses, func(address string) bool {
		p := n.peers.byAddress[address]
		return p != nil && p.seen && p.member.ID == 0 && !slices.Contains(n.config.Seeds, address)
	})
}

// Addresses returns the rpc addresses of all known processes of the core. The seeds are among them while this node has
// no view or is not attached to the chain.
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
		if p.seen {
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
