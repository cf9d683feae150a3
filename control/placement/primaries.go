package placement

import "slices"

// choosePrimaries moves primaries off the stores that are not eligible, and spreads them evenly over the others with as
// few changes as possible.
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
		p.replaceIneligiblePrimary(&p.partitions[i], primaries)
	}
	for p.movePrimary(primaries) {
	}
}

// replaceIneligiblePrimary replaces a partition's primary if its store is not eligible and the store of another
// complete replica is.
func (p *plan) replaceIneligiblePrimary(partition *assignment, primaries map[*store]int) {
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

// movePrimary moves one primary from a store to one that has at least two fewer, directly or through a chain of
// changes. It reports whether it found such a pair of stores.
func (p *plan) movePrimary(primaries map[*store]int) bool {
	sources := without(p.stores, func(s *store) bool { return !s.eligible() })
	slices.SortStableFunc(sources, func(a, b *store) int { return primaries[b] - primaries[a] })
	for _, source := range sources {
		if chain := p.primaryChain(source, primaries); chain != nil {
			for _, change := range chain {
				makePrimary(change.partition, change.to, primaries)
			}
			return true
		}
	}
	return false
}

type primaryChange struct {
	partition *assignment
	to        *store
}

// primaryChain returns the shortest sequence of changes that takes one primary off the source and gives one to a store
// with at least two fewer. The stores in between keep their number of primaries.
func (p *plan) primaryChain(source *store, primaries map[*store]int) []primaryChange {
	reached := map[*store][]primaryChange{source: nil}
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
				reached[to] = append(slices.Clone(reached[from]), primaryChange{partition: partition, to: to})
				if primaries[source]-primaries[to] >= 2 {
					return reached[to]
				}
				queue = append(queue, to)
			}
		}
	}
	return nil
}
