package placement

import (
	"slices"

	"ravendale/cluster/wire"
)

// store is a store that the current view lists, a live store, or both.
type store struct {
	wire.Store
	index   int
	live    bool
	wiped   bool // its machine came back with another disk: the data on the old one is lost
	leaving bool
	stalled bool // its disk accepts no writes: its replica is used only if no other complete replica is live
	assumed bool // it has not renewed its lease with the current leader yet
	epoch   uint64
	synced  []uint16
	load    int // number of partitions of which it has, or will have, a replica
}

// eligible reports whether a store may be a primary: it is live, accepts writes, and is neither retiring nor about to stop.
func (s *store) eligible() bool { return s.live && !s.Retiring && !s.leaving && !s.stalled }

// usable reports whether a store's replicas count towards Copies, and whether it may be given new replicas: it is
// eligible, and has renewed its lease with the current leader.
func (p *plan) usable(s *store) bool {
	return s.eligible() && !s.assumed || p.config.mutant.countUnusable && s.live && !s.Retiring
}

// assignment holds the stores of one partition while the plan is computed.
type assignment struct {
	replicas        []*store
	joining         []*store
	former          []*store // see wire.Placement
	covered         bool     // see wire.Placement
	unsure          bool     // see wire.Placement
	preferredRegion string   // the region that all copies should be in; empty if there is no preference
	preferredZone   string   // the zone in preferredRegion that all copies should be in; empty if they should be spread over zones
}

func (a *assignment) members() []*store { return slices.Concat(a.replicas, a.joining) }

func (a *assignment) hasMember(s *store) bool {
	return slices.Contains(a.replicas, s) || slices.Contains(a.joining, s)
}

// unavailable reports whether no complete replica is live. Most steps of the plan skip such a partition: it waits for
// one to return.
func (a *assignment) unavailable() bool {
	return !slices.ContainsFunc(a.replicas, func(s *store) bool { return s.live })
}

// plan is the working state from which the next view is built.
type plan struct {
	config     Config
	stores     []*store
	partitions []assignment
}

func newPlan(current *wire.StoreView, live []Store, config Config) *plan {
	p := &plan{config: config}
	if current != nil {
		for _, s := range current.Stores {
			p.stores = append(p.stores, &store{Store: s})
		}
		p.partitions = make([]assignment, len(current.Partitions))
		for i, placed := range current.Partitions {
			p.partitions[i] = assignment{
				replicas: p.storesAt(placed.Replicas), joining: p.storesAt(placed.Joining), former: p.storesAt(placed.Former),
				covered: placed.Covered, unsure: placed.Unsure,
			}
		}
	}
	p.countLoads()
	sorted := slices.Clone(live)
	slices.SortStableFunc(sorted, byZoneAndNode)
	for _, s := range sorted {
		p.addLive(s)
	}
	p.countLoads()
	p.assignPreferredRegions()
	p.assignPreferredZones()
	return p
}

func (p *plan) storesAt(indices []uint16) []*store {
	var picked []*store
	for _, i := range indices {
		if int(i) < len(p.stores) {
			picked = append(picked, p.stores[i])
		}
	}
	return picked
}

// addLive adds a live store to the plan. Stores of the view that are not live and have the same node name or address
// are marked as wiped; if such a store was retiring and still had replicas, the live one is retiring instead.
func (p *plan) addLive(s Store) {
	index := slices.IndexFunc(p.stores, func(known *store) bool { return known.Disk == s.Disk })
	if index < 0 {
		index = len(p.stores)
		p.stores = append(p.stores, &store{Store: wire.Store{Disk: s.Disk}})
	}
	for i, known := range p.stores {
		if i != index && !known.live && (known.Node == s.Node || known.Address == s.Address) {
			known.wiped = true
			p.stores[index].Retiring = p.stores[index].Retiring || known.Retiring && known.load > 0
		}
	}
	known := p.stores[index]
	known.Node, known.Address, known.Zone, known.Region = s.Node, s.Address, s.Zone, s.Region
	known.live, known.wiped = true, false
	known.leaving, known.stalled, known.assumed = s.Leaving, s.Stalled, s.Assumed
	known.epoch, known.synced = s.Epoch, s.Synced
}

func (p *plan) countLoads() {
	for _, s := range p.stores {
		s.load = 0
	}
	for i := range p.partitions {
		for _, s := range p.partitions[i].members() {
			s.load++
		}
	}
}

func (p *plan) mustSpread() bool { return p.config.TolerateZoneLoss || p.config.TolerateRegionLoss }

// failureDomain returns the failure domain of a store: its region if the loss of a region must be tolerated, else its zone.
func (p *plan) failureDomain(s *store) string {
	if p.config.TolerateRegionLoss {
		return s.Region
	}
	return s.Zone
}

func (p *plan) countDomains(members []*store) int {
	seen := make(map[string]bool, len(members))
	for _, s := range members {
		seen[p.failureDomain(s)] = true
	}
	return len(seen)
}

func without(list []*store, excluded func(*store) bool) []*store {
	return slices.DeleteFunc(slices.Clone(list), excluded)
}

// view converts the plan to the form that the control plane agrees on. It omits stores whose disks were wiped.
func (p *plan) view() *wire.StoreView {
	view := &wire.StoreView{Copies: uint16(p.config.Copies)}
	for _, s := range p.stores {
		if s.wiped {
			continue
		}
		s.index = len(view.Stores)
		view.Stores = append(view.Stores, s.Store)
	}
	view.Partitions = make([]wire.Placement, len(p.partitions))
	for i := range p.partitions {
		partition := &p.partitions[i]
		view.Partitions[i] = wire.Placement{
			Replicas: indices(partition.replicas), Joining: indices(partition.joining), Former: indices(partition.former),
			Covered: partition.covered, Unsure: partition.unsure,
		}
	}
	return view
}

func indices(stores []*store) []uint16 {
	var list []uint16
	for _, s := range stores {
		list = append(list, uint16(s.index))
	}
	return list
}
