package core

import (
	"cmp"
	"slices"
	"time"

	"ravendale/control/view"
)

// found proposes the first view, once all seeds are there, at the one with the lowest address. Since only that one ever proposes
// it, and has it on disk before it tells, it is decided.
func (n *node) found(now time.Duration) {
	if n.view.Epoch != 0 || len(n.founder) == 0 {
		return
	}
	members := []view.Member{n.self}
	for _, address := range n.founder {
		if address == n.self.Address {
			continue
		}
		p := n.peers[address]
		if p == nil || !p.contacted || now-p.heard > silentAfter || p.refused || p.beat.aside() {
			return
		}
		if p.member.ID == 0 {
			continue // without a disk
		}
		if !p.beat.Founder || p.beat.Epoch != 0 || address < n.self.Address {
			return
		}
		members = append(members, p.member)
	}
	slices.SortFunc(members[1:], byAddress)
	first := firstView(members)
	n.adopt(now, &first)
	for _, member := range members[1:] {
		n.sendLasting(member.Address, &decided{View: first})
	}
}

func firstView(members []view.Member) view.View {
	first := view.View{Epoch: 1, Voters: members, Complete: len(members)}
	for _, member := range members {
		first.Chain = append(first.Chain, member.ID)
	}
	return first
}

func byAddress(a, b view.Member) int { return cmp.Compare(a.Address, b.Address) }
