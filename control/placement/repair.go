package placement

import (
	"slices"
)

// dropFailed removes stores that are down from the partitions. A partition without a live complete replica waits for
// one to return, unless all of them were wiped or live stores are known to hold all accepted writes.
func (p *plan) dropFailed() {
	dropStalled := p.canDropStalled()
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.needsRebuild() {
			p.rebuild(partition)
		}
		if partition.unavailable() {
			continue
		}
		partition.dropFailed(dropStalled)
	}
	p.countLoads()
}

// promote turns joining stores that report that they hold the partition completely into complete replicas. It must run
// before stores that are down are removed: a joining store that the primary filled just before it failed is complete.
func (p *plan) promote(epoch uint64) {
	for i := range p.partitions {
		partition := &p.partitions[i]
		caughtUp := func(s *store) bool {
			return s.live && s.epoch == epoch && slices.Contains(s.synced, uint16(i))
		}
		for _, s := range partition.joining {
			if caughtUp(s) {
				partition.replicas = append(partition.replicas, s)
			}
		}
		partition.joining = without(partition.joining, caughtUp)
		partition.clearRejoined()
	}
}

// nonRetiringMembers returns the members of a partition that are not retiring.
func nonRetiringMembers(partition *assignment) []*store {
	return without(partition.members(), func(s *store) bool { return s.Retiring })
}

// refill adds joining stores to the partitions that have fewer than Copies members, not counting retiring ones.
func (p *plan) refill() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.unavailable() {
			continue
		}
		for len(nonRetiringMembers(partition)) < p.config.Copies {
			s := p.candidate(partition, p.mustSpread())
			if s == nil {
				break
			}
			partition.joining = append(partition.joining, s)
			s.load++
		}
	}
}

// spread adds a joining store to the partitions whose members share a failure domain although a store in another domain
// is available.
func (p *plan) spread() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		retained := nonRetiringMembers(partition)
		if partition.unavailable() || partition.colocated() || len(partition.joining) > 0 || p.countDomains(retained) >= p.config.Copies {
			continue
		}
		s := p.candidate(partition, true)
		if s != nil {
			partition.joining = append(partition.joining, s)
			s.load++
		}
	}
}

// candidate returns the best usable store for a new replica of the partition, or nil if there is none: see
// betterCandidate. With otherDomain, the store must be in a failure domain that the partition has no members in, not
// counting retiring ones.
func (p *plan) candidate(partition *assignment, otherDomain bool) *store {
	usedDomains := make(map[string]bool)
	for _, s := range partition.members() {
		if !s.Retiring {
			usedDomains[p.failureDomain(s)] = true
		}
	}
	var best *store
	for _, s := range p.stores {
		if !p.usable(s) || partition.hasMember(s) || otherDomain && usedDomains[p.failureDomain(s)] {
			continue
		}
		if best == nil || p.betterCandidate(partition, s, best, usedDomains) {
			best = s
		}
	}
	return best
}

// betterCandidate reports whether a new replica of the partition should be placed on store a rather than on b. Former
// members are preferred to other stores of an equally suitable domain because they already hold most of the partition.
func (p *plan) betterCandidate(partition *assignment, a, b *store, usedDomains map[string]bool) bool {
	if ta, tb := usedDomains[p.failureDomain(a)], usedDomains[p.failureDomain(b)]; ta != tb && !partition.colocated() {
		return !ta
	}
	if fa, fb := slices.Contains(partition.former, a), slices.Contains(partition.former, b); fa != fb {
		return fa
	}
	if da, db := partition.distance(a), partition.distance(b); da != db {
		return da < db
	}
	return a.load < b.load
}
