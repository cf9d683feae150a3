package placement

import (
	"slices"
)

// trim drops the replicas that are too many.
func (p *plan) trim() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.unavailable() {
			continue
		}
		for {
			s := p.excess(partition)
			if s == nil {
				break
			}
			partition.replicas = without(partition.replicas, func(r *store) bool { return r == s })
			s.load--
		}
	}
}

// excess is the complete replica that a partition can do without, if there is one. Fewer than Copies that may be counted on must never be
// left: a store that is to be emptied stays until then, also if another one of those that would be left is about to stop.
func (p *plan) excess(partition *assignment) *store {
	var worst *store
	for _, s := range partition.replicas {
		if worst == nil || p.worse(partition, s, worst) {
			worst = s
		}
	}
	if worst == nil || !worst.Retiring && len(partition.replicas) <= p.config.Copies {
		return nil
	}
	rest := without(partition.replicas, func(s *store) bool { return s == worst })
	if p.enough(rest) || p.config.mutant.emptyAtFirst && len(rest) > 0 {
		return worst
	}
	return nil
}

// worse says whether a should be dropped rather than b.
func (p *plan) worse(partition *assignment, a, b *store) bool {
	if a.Retiring != b.Retiring {
		return a.Retiring
	}
	if a.leaving != b.leaving {
		return a.leaving
	}
	if sa, sb := p.shared(partition.replicas, a), p.shared(partition.replicas, b); sa != sb && !partition.gathers() {
		return sa
	}
	if da, db := partition.distance(a), partition.distance(b); da != db {
		return da > db
	}
	if a.load != b.load {
		return a.load > b.load
	}
	return b == partition.replicas[0] // leave the primary where it is
}

// shared says whether another of the replicas is in a store's domain.
func (p *plan) shared(replicas []*store, s *store) bool {
	return slices.ContainsFunc(replicas, func(other *store) bool { return other != s && p.domain(other) == p.domain(s) })
}

// balance moves replicas from the stores that have the most to those that have the least.
func (p *plan) balance() {
	moves := 0
	for i := range p.partitions {
		moves += len(p.partitions[i].joining)
	}
	moves += p.moveToPreferred(movesAtOnce - moves)
	p.projectLoads()
	for ; moves < movesAtOnce; moves++ {
		if !p.move() {
			break
		}
	}
}

// projectLoads reckons the loads as they will be once all that are joining hold all, and the replicas too many are dropped.
func (p *plan) projectLoads() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		members := partition.members()
		for range max(0, len(members)-p.config.Copies) {
			projected := assignment{replicas: members, preferredRegion: partition.preferredRegion, preferredZone: partition.preferredZone}
			if s := p.excess(&projected); s != nil {
				s.load--
				members = without(members, func(m *store) bool { return m == s })
			}
		}
	}
}

// move starts the one move that evens the loads most.
func (p *plan) move() bool {
	var from, to *store
	var where *assignment
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
			if where == nil || source.load-target.load > from.load-to.load {
				from, to, where = source, target, partition
			}
		}
	}
	if where == nil {
		return false
	}
	where.joining = append(where.joining, to)
	from.load--
	to.load++
	return true
}

// moveTarget is the store with the least load that could take a replica's place, without bringing the others closer together unless they are to
// lie together.
func (p *plan) moveTarget(partition *assignment, source *store) *store {
	rest := without(partition.replicas, func(s *store) bool { return s == source })
	before := p.domains(partition.replicas)
	var best *store
	for _, s := range p.stores {
		if !p.certain(s) || partition.has(s) || partition.distance(s) > partition.distance(source) {
			continue
		}
		if best != nil && !partition.nearer(s, best) {
			continue
		}
		if partition.gathers() || p.domains(append(slices.Clone(rest), s)) >= before {
			best = s
		}
	}
	return best
}

// nearer says whether a replica should rather move to one store than to another: in the preferred zone first, then to the one with the least load.
func (a *assignment) nearer(s, other *store) bool {
	if a.gathers() && a.distance(s) != a.distance(other) {
		return a.distance(s) < a.distance(other)
	}
	return s.load < other.load
}
