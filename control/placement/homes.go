package placement

import (
	"cmp"
	"slices"
)

// foreign says whether a store lies outside the region where all copies of the partition should lie.
func (p *partition) foreign(s *store) bool { return p.home != "" && s.Region != p.home }

// assignHomes gives each partition a home region, in proportion to the stores of each region, so that its copies need not wait for a
// region far away. It counts the stores that are down too: a loss alone moves no partition. Where the loss of a region is to be borne,
// copies must lie in several, and no partition has a home.
func (p *plan) assignHomes() {
	if p.config.Regions {
		return
	}
	owners := p.homeCandidates()
	if len(owners) == 0 {
		return
	}
	for i := range p.partitions {
		p.partitions[i].home = owners[i*len(owners)/len(p.partitions)].Region
	}
}

// homeCandidates lists the stores that are to stay, sorted by region.
func (p *plan) homeCandidates() []*store {
	stores := without(p.stores, func(s *store) bool { return s.gone || s.Retiring })
	slices.SortStableFunc(stores, func(a, b *store) int { return cmp.Compare(a.Region, b.Region) })
	return stores
}

// bringHome gives a joining store of the home region to at most limit partitions of which a whole copy lies elsewhere, as long as that
// brings no copies closer together. It returns how many.
func (p *plan) bringHome(limit int) int {
	moves := 0
	for i := range p.partitions {
		part := &p.partitions[i]
		if moves >= limit {
			break
		}
		if part.stuck() || len(part.joining) > 0 || len(part.replicas) != p.config.Copies {
			continue
		}
		if s := p.homeTaker(part); s != nil {
			part.joining = append(part.joining, s)
			s.load++
			moves++
		}
	}
	return moves
}

// homeTaker is a store that could take the place of a replica outside the home region.
func (p *plan) homeTaker(part *partition) *store {
	for _, giver := range part.replicas {
		if !part.foreign(giver) {
			continue
		}
		if s := p.taker(part, giver); s != nil && !part.foreign(s) {
			return s
		}
	}
	return nil
}
