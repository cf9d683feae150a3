package core

import (
	"math"
	"slices"
	"time"
)

// submitTargets lists the members of the core that are known, those first that most likely get a command committed: the leader, then who was heard lately,
// is attached to the chain, hears most others and knows the newest view. One that is partitioned from the others comes late.
func (n *node) submitTargets(now time.Duration) []string {
	leader := n.leaderAddress(now)
	rank := func(address string) [5]uint64 {
		p := n.peers.byAddress[address]
		if p == nil || !p.contacted {
			return [5]uint64{1, 1}
		}
		unheard := now-p.heardAt >= failureTimeout || p.refused || p.degraded()
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
	for address, p := range n.peers.byAddress {
		if p.contacted && p.member.ID != 0 && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == n.self.Address })
	slices.Sort(addresses)
	return addresses
}
