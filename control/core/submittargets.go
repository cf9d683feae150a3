package core

import (
	"math"
	"slices"
	"time"
)

// submitTargets returns the addresses of the known members of the core, sorted by how likely they get a command
// committed: first the leader, then members that are responsive, attached to the chain, receive heartbeats from most
// others and have the newest view. A partitioned member comes late.
func (n *node) submitTargets(now time.Duration) []string {
	leader := n.leaderAddress(now)
	rank := func(address string) [5]uint64 {
		p := n.peers.byAddress[address]
		if p == nil || !p.seen {
			return [5]uint64{1, 1}
		}
		unresponsive := now-p.lastHeartbeatAt >= failureTimeout || p.refused || p.degraded()
		return [5]uint64{
			rankBit(unresponsive), rankBit(address != leader), rankBit(!p.heartbeat.Attached), uint64(len(p.heartbeat.Unresponsive)), math.MaxUint64 - p.heartbeat.Epoch,
		}
	}
	addresses := n.otherMembers()
	slices.SortStableFunc(addresses, func(a, b string) int {
		first, second := rank(a), rank(b)
		return slices.Compare(first[:], second[:])
	})
	return addresses
}

func rankBit(condition bool) uint64 {
	if condition {
		return 1
	}
	return 0
}

// otherMembers returns the addresses of the other known processes with a disk: only those can submit a command.
func (n *node) otherMembers() []string {
	var addresses []string
	for _, member := range n.view.Voters {
		addresses = append(addresses, member.Address)
	}
	for address, p := range n.peers.byAddress {
		if p.seen && p.member.ID != 0 && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == n.self.Address })
	slices.Sort(addresses)
	return addresses
}
