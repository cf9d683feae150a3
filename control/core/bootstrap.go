package core

import (
	"cmp"
	"slices"
	"time"

	"ravendale/control/view"
)

// bootstrap proposes the first view, once all seeds are there, at the one with the lowest address. Since only that one ever proposes
// it, and has it on disk before it sends it, it is decided.
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
		if p == nil || !p.contacted || now-p.heardAt > failureTimeout || p.refused || p.degraded() {
			return
		}
		if p.member.ID == 0 {
			continue // without a disk
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

// firstView has all members vote and stand in the chain, the first of them as its head.
func firstView(members []view.Member) view.View {
	first := view.View{Epoch: 1, Voters: members, Complete: len(members)}
	for _, member := range members {
		first.Chain = append(first.Chain, member.ID)
	}
	return first
}

func byAddress(a, b view.Member) int { return cmp.Compare(a.Address, b.Address) }
