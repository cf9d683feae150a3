package placement

import (
	"slices"
)

// dropDead takes out the stores that are lost. A partition of which no complete replica lives waits for them, unless their disks are
// wiped, or all that they had is known to be elsewhere.
func (p *plan) dropDead() {
	spares := p.sparesStalled()
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.mayRebuild() {
			p.rebuild(partition)
		}
		if partition.unavailable() {
			continue
		}
		partition.dropDead(spares)
	}
	p.count()
}

// promote makes complete replicas of those that are joining and say that they hold all. It comes before those that are lost are made up
// for: one that has just been filled by a primary that is lost is complete.
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

// keepers are the members of a partition that are not to be emptied.
func keepers(partition *assignment) []*store {
	return without(partition.members(), func(s *store) bool { return s.Retiring })
}

// refill gives joining stores to the partitions that have too few members.
func (p *plan) refill() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.unavailable() {
			continue
		}
		for len(keepers(partition)) < p.config.Copies {
			s := p.candidate(partition, p.strict())
			if s == nil {
				break
			}
			partition.joining = append(partition.joining, s)
			s.load++
		}
	}
}

// spread gives a joining store to the partitions whose members share a domain though another one could be had.
func (p *plan) spread() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		kept := keepers(partition)
		if partition.unavailable() || partition.gathers() || len(partition.joining) > 0 || p.domains(kept) >= p.config.Copies {
			continue
		}
		s := p.candidate(partition, true)
		if s != nil {
			partition.joining = append(partition.joining, s)
			s.load++
		}
	}
}

// candidate is the eligible store with the least load, of a domain that the partition does not have yet; or if there is none
// and it need not be, of another.
func (p *plan) candidate(partition *assignment, otherDomain bool) *store {
	taken := make(map[string]bool)
	for _, s := range partition.members() {
		if !s.Retiring {
			taken[p.domain(s)] = true
		}
	}
	var best *store
	for _, s := range p.stores {
		if !p.certain(s) || partition.has(s) || otherDomain && taken[p.domain(s)] {
			continue
		}
		if best == nil || p.better(partition, s, best, taken) {
			best = s
		}
	}
	return best
}

// better says whether a should be given a replica of a partition rather than b. A former member has most of it.
func (p *plan) better(partition *assignment, a, b *store, taken map[string]bool) bool {
	if ta, tb := taken[p.domain(a)], taken[p.domain(b)]; ta != tb && !partition.gathers() {
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
