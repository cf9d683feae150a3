package placement

import (
	"cmp"
	"slices"
)

// Distances of a store from the preferred location of a partition, see assignment.distance.
const (
	inPlace = iota
	inAnotherZone
	inAnotherRegion
)

// distance returns how far a store is from the region and zone that all copies of the partition should be in.
func (a *assignment) distance(s *store) int {
	switch {
	case a.preferredRegion != "" && s.Region != a.preferredRegion:
		return inAnotherRegion
	case a.preferredZone != "" && s.Zone != a.preferredZone:
		return inAnotherZone
	default:
		return inPlace
	}
}

// assignPreferredRegions gives each partition a preferred region, in proportion to the number of stores in each region,
// so that a write does not wait for copies in a distant region. Stores that are down count too, so that the loss of a
// store alone moves no partition. If the loss of a region must be tolerated, copies must be in several regions, and no
// partition has a preferred one.
func (p *plan) assignPreferredRegions() {
	if p.config.TolerateRegionLoss {
		return
	}
	owners := p.preferredRegionCandidates()
	if len(owners) == 0 {
		return
	}
	for i := range p.partitions {
		p.partitions[i].preferredRegion = owners[i*len(owners)/len(p.partitions)].Region
	}
}

// preferredRegionCandidates returns the stores that are neither wiped nor retiring, sorted by region.
func (p *plan) preferredRegionCandidates() []*store {
	stores := without(p.stores, func(s *store) bool { return s.wiped || s.Retiring })
	slices.SortStableFunc(stores, func(a, b *store) int { return cmp.Compare(a.Region, b.Region) })
	return stores
}

// moveToPreferred starts moving replicas that are outside their preferred region or zone into it: it adds a joining
// store there to at most limit partitions. It skips moves that moveTarget does not allow. It returns the number of
// moves.
func (p *plan) moveToPreferred(limit int) int {
	moves := 0
	for i := range p.partitions {
		partition := &p.partitions[i]
		if moves >= limit {
			break
		}
		if partition.unavailable() || len(partition.joining) > 0 || len(partition.replicas) != p.config.Copies {
			continue
		}
		if s := p.preferredTarget(partition); s != nil {
			partition.joining = append(partition.joining, s)
			s.load++
			moves++
		}
	}
	return moves
}

// preferredTarget returns a store that is closer to the preferred region or zone than one of the partition's replicas
// and can take over that replica, or nil if there is none.
func (p *plan) preferredTarget(partition *assignment) *store {
	for _, source := range partition.replicas {
		distance := partition.distance(source)
		if distance == inPlace {
			continue
		}
		if s := p.moveTarget(partition, source); s != nil && partition.distance(s) < distance {
			return s
		}
	}
	return nil
}
