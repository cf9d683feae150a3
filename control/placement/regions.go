package placement

import (
	"cmp"
	"slices"
)

// How far a store lies from where all copies of a partition should lie.
const (
	inPlace = iota
	inAnotherZone
	inAnotherRegion
)

// distance says how far a store lies from where all copies of the partition should lie.
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

// assignPreferredRegions gives each partition a preferred region, in proportion to the stores of each region, so that its copies need not wait for a
// region far away. It counts the stores that are down too: a loss alone moves no partition. Where the loss of a region is to be borne,
// copies must lie in several, and no partition has a preferred region.
func (p *plan) assignPreferredRegions() {
	if p.config.Regions {
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

// preferredRegionCandidates lists the stores that are to stay, sorted by region.
func (p *plan) preferredRegionCandidates() []*store {
	stores := without(p.stores, func(s *store) bool { return s.wiped || s.Retiring })
	slices.SortStableFunc(stores, func(a, b *store) int { return cmp.Compare(a.Region, b.Region) })
	return stores
}

// moveToPreferred gives a joining store of the preferred region or zone to at most limit partitions of which a complete replica lies elsewhere, as long
// as that brings no copies closer together than they may be. It returns how many.
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

// preferredTarget is a store that could take the place of a replica outside the preferred region or zone.
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
