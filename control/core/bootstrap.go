package core

import (
	"cmp"
	"slices"
	"time"

	"ravendale/control/view"
)

// bootstrap adopts the first view at the seed with the lowest address, once it has received heartbeats of all seeds,
// and sends the view to them. No other process ever proposes a first view, and this one writes it to disk before it
// sends it, so that it needs no vote.
func (n *node) bootstrap(now time.Duration) {
	if n.view.Epoch != 0 || len(n.bootstrapMembers) == 0 {
		return
	}
	members := []view.Member{n.self}
	for _, address := range n.bootstrapMembers {
		if address == n.self.Address {
			continue
		}
		p := n.peers.byAddress[address]
		if p == nil || !p.seen || now-p.lastHeartbeatAt > failureTimeout || p.refused || p.degraded() {
			return
		}
		if p.member.ID == 0 {
			continue // it has no disk
		}
		if !p.heartbeat.Bootstrap || p.heartbeat.Epoch != 0 || address < n.self.Address {
			return
		}
		members = append(members, p.member)
	}
	slices.SortFunc(members[1:], byAddress)
	first := firstView(members)
	n.adopt(now, &first)
	for _, member := range members[1:] {
		n.sendWhenDurable(member.Address, &decided{View: first})
	}
}

// firstView returns a view in which all members vote and are in the chain, the first of them as its head.
func firstView(members []view.Member) view.View {
	first := view.View{Epoch: 1, Voters: members, Complete: len(members)}
	for _, member := range members {
		first.Chain = append(first.Chain, member.ID)
	}
	return first
}

func byAddress(a, b view.Member) int { return cmp.Compare(a.Address, b.Address) }
