package placement

import "slices"

// choosePrimaries spreads the primaries evenly, with as few changes as that takes, and off the stores that are to go.
func (p *plan) choosePrimaries() {
	primaries := make(map[*store]int)
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.unavailable() {
			continue
		}
		primaries[partition.replicas[0]]++
	}
	for i := range p.partitions {
		p.relieve(&p.partitions[i], primaries)
	}
	for p.even(primaries) {
	}
}

// relieve takes a partition's primary off a store that is to go, if another one holds all.
func (p *plan) relieve(partition *assignment, primaries map[*store]int) {
	if partition.unavailable() || partition.replicas[0].eligible() {
		return
	}
	var best *store
	for _, s := range partition.replicas {
		if s.eligible() && (best == nil || primaries[s] < primaries[best]) {
			best = s
		}
	}
	if best != nil {
		makePrimary(partition, best, primaries)
	}
}

func makePrimary(partition *assignment, s *store, primaries map[*store]int) {
	primaries[partition.replicas[0]]--
	primaries[s]++
	rest := without(partition.replicas, func(r *store) bool { return r == s })
	partition.replicas = slices.Concat([]*store{s}, rest)
}

// even makes one store the primary of one partition more, and one that has at least two more of one less, by a chain of
// changes. It says whether it could.
func (p *plan) even(primaries map[*store]int) bool {
	sources := without(p.stores, func(s *store) bool { return !s.eligible() })
	slices.SortStableFunc(sources, func(a, b *store) int { return primaries[b] - primaries[a] })
	for _, source := range sources {
		if chain := p.chain(source, primaries); chain != nil {
			for _, change := range chain {
				makePrimary(change.partition, change.to, primaries)
			}
			return true
		}
	}
	return false
}

type change struct {
	partition *assignment
	to        *store
}

// chain finds the shortest sequence of changes that takes a primary off the source and ends at a store with at least two less.
func (p *plan) chain(source *store, primaries map[*store]int) []change {
	reached := map[*store][]change{source: nil}
	queue := []*store{source}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		for i := range p.partitions {
			partition := &p.partitions[i]
			if partition.unavailable() || partition.replicas[0] != from {
				continue
			}
			for _, to := range partition.replicas[1:] {
				if _, seen := reached[to]; seen || !to.eligible() {
					continue
				}
				reached[to] = append(slices.Clone(reached[from]), change{partition: partition, to: to})
				if primaries[source]-primaries[to] >= 2 {
					return reached[to]
				}
				queue = append(queue, to)
			}
		}
	}
	return nil
}
