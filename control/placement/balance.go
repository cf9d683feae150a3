package placement

import (
	"slices"
)

// trim drops the replicas that a partition does not need.
func (p *plan) trim() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.unavailable() {
			continue
		}
		for {
			s := p.excessReplica(partition)
			if s == nil {
				break
			}
			partition.replicas = without(partition.replicas, func(r *store) bool { return r == s })
			s.load--
		}
	}
}

// excessReplica returns the complete replica that the partition should drop next, or nil if it must keep all. At least
// Copies usable replicas must remain, so a retiring store keeps its replica as long as other replicas are missing or
// their stores are about to stop.
func (p *plan) excessReplica(partition *assignment) *store {
	var worst *store
	for _, s := range partition.replicas {
		if worst == nil || p.worseReplica(partition, s, worst) {
			worst = s
		}
	}
	if worst == nil || !worst.Retiring && len(partition.replicas) <= p.config.Copies {
		return nil
	}
	rest := without(partition.replicas, func(s *store) bool { return s == worst })
	if p.hasEnoughCopies(rest) || p.config.mutant.dropWithOneCopy && len(rest) > 0 {
		return worst
	}
	return nil
}

// worseReplica reports whether the replica on store a should be dropped rather than the one on store b.
func (p *plan) worseReplica(partition *assignment, a, b *store) bool {
	if a.Retiring != b.Retiring {
		return a.Retiring
	}
	if a.leaving != b.leaving {
		return a.leaving
	}
	if sa, sb := p.sharesDomain(partition.replicas, a), p.sharesDomain(partition.replicas, b); sa != sb && !partition.colocated() {
		return sa
	}
	if da, db := partition.distance(a), partition.distance(b); da != db {
		return da > db
	}
	if a.load != b.load {
		return a.load > b.load
	}
	return b == partition.replicas[0] // otherwise equal: keep the primary
}

// sharesDomain reports whether another of the replicas is in the same failure domain as the store.
func (p *plan) sharesDomain(replicas []*store, s *store) bool {
	return slices.ContainsFunc(replicas, func(other *store) bool { return other != s && p.failureDomain(other) == p.failureDomain(s) })
}

// balance moves replicas to their preferred region or zone, and from the most loaded stores to the least loaded ones.
// It starts only as many moves as maxConcurrentMoves allows.
func (p *plan) balance() {
	moves := 0
	for i := range p.partitions {
		moves += len(p.partitions[i].joining)
	}
	moves += p.moveToPreferred(maxConcurrentMoves - moves)
	p.projectLoads()
	for ; moves < maxConcurrentMoves; moves++ {
		if !p.startMove() {
			break
		}
	}
}

// projectLoads computes the loads as they will be once all joining stores are complete and the replicas that are then
// not needed are dropped.
func (p *plan) projectLoads() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		members := partition.members()
		for range max(0, len(members)-p.config.Copies) {
			projected := assignment{replicas: members, preferredRegion: partition.preferredRegion, preferredZone: partition.preferredZone}
			if s := p.excessReplica(&projected); s != nil {
				s.load--
				members = without(members, func(m *store) bool { return m == s })
			}
		}
	}
}

// startMove starts the move of one replica between the two stores whose loads differ most, and by at least two. It
// reports whether there was one.
func (p *plan) startMove() bool {
	var from, to *store
	var best *assignment
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.unavailable() || len(partition.joining) > 0 || len(partition.replicas) != p.config.Copies {
			continue
		}
		for _, source := range partition.replicas {
			target := p.moveTarget(partition, source)
			if target == nil || source.load-target.load < 2 {
				continue
			}
			if best == nil || source.load-target.load > from.load-to.load {
				from, to, best = source, target, partition
			}
		}
	}
	if best == nil {
		return false
	}
	best.joining = append(best.joining, to)
	from.load--
	to.load++
	return true
}

// moveTarget returns the best store to take over the replica on source, or nil if there is none. The replicas must not
// be in fewer failure domains afterwards, unless the partition's copies should all be in one zone.
func (p *plan) moveTarget(partition *assignment, source *store) *store {
	rest := without(partition.replicas, func(s *store) bool { return s == source })
	domainsBefore := p.countDomains(partition.replicas)
	var best *store
	for _, s := range p.stores {
		if !p.usable(s) || partition.hasMember(s) || partition.distance(s) > partition.distance(source) {
			continue
		}
		if best != nil && !partition.betterMoveTarget(s, best) {
			continue
		}
		if partition.colocated() || p.countDomains(append(slices.Clone(rest), s)) >= domainsBefore {
			best = s
		}
	}
	return best
}

// betterMoveTarget reports whether a replica should move to s rather than to other: to the closer store if all copies
// should be in one zone, else to the one with less load.
func (a *assignment) betterMoveTarget(s, other *store) bool {
	if a.colocated() && a.distance(s) != a.distance(other) {
		return a.distance(s) < a.distance(other)
	}
	return s.load < other.load
}
