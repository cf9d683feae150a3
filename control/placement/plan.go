package placement

import (
	"slices"

	"ravendale/cluster/wire"
)

// store is one of the view or of those that live, or both.
type store struct {
	wire.Store
	index   int
	live    bool
	wiped   bool // its machine came back with another disk: what it had is lost
	leaving bool
	stalled bool // its disk takes nothing: it counts only where no other holds all
	assumed bool // it has not been heard of by this leader
	epoch   uint64
	synced  []uint16
	load    int // partitions in which it has, or is to have, a replica
}

// eligible says whether a store is to keep what it has.
func (s *store) eligible() bool { return s.live && !s.Retiring && !s.leaving && !s.stalled }

// certain says whether a store's copies may be counted on, and new replicas be given to it.
func (p *plan) certain(s *store) bool {
	return s.eligible() && !s.assumed || p.config.mutant.countUncertain && s.live && !s.Retiring
}

// assignment is the stores of one partition while the plan is made.
type assignment struct {
	replicas        []*store
	joining         []*store
	former          []*store // see wire.Placement
	covered         bool     // see wire.Placement
	unsure          bool     // see wire.Placement
	preferredRegion string   // the region where all copies should lie; empty where it does not matter
	preferredZone   string   // the zone of it where all copies should lie; empty where they are to be spread
}

func (a *assignment) members() []*store { return slices.Concat(a.replicas, a.joining) }

func (a *assignment) has(s *store) bool {
	return slices.Contains(a.replicas, s) || slices.Contains(a.joining, s)
}

// unavailable says that no complete replica lives: there is nothing to be done but wait.
func (a *assignment) unavailable() bool {
	return !slices.ContainsFunc(a.replicas, func(s *store) bool { return s.live })
}

// plan is a view being changed.
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
				replicas: p.pick(placed.Replicas), joining: p.pick(placed.Joining), former: p.pick(placed.Former),
				covered: placed.Covered, unsure: placed.Unsure,
			}
		}
	}
	p.count()
	sorted := slices.Clone(live)
	slices.SortStableFunc(sorted, byZoneAndNode)
	for _, s := range sorted {
		p.addLive(s)
	}
	p.count()
	p.assignPreferredRegions()
	p.assignPreferredZones()
	return p
}

func (p *plan) pick(indices []uint16) []*store {
	var picked []*store
	for _, i := range indices {
		if int(i) < len(p.stores) {
			picked = append(picked, p.stores[i])
		}
	}
	return picked
}

// addLive takes note of a store that lives.
func (p *plan) addLive(s Store) {
	at := slices.IndexFunc(p.stores, func(known *store) bool { return known.Disk == s.Disk })
	if at < 0 {
		at = len(p.stores)
		p.stores = append(p.stores, &store{Store: wire.Store{Disk: s.Disk}})
	}
	for i, known := range p.stores {
		if i != at && !known.live && (known.Node == s.Node || known.Address == s.Address) {
			known.wiped = true
			p.stores[at].Retiring = p.stores[at].Retiring || known.Retiring && known.load > 0
		}
	}
	known := p.stores[at]
	known.Node, known.Address, known.Zone, known.Region = s.Node, s.Address, s.Zone, s.Region
	known.live, known.wiped = true, false
	known.leaving, known.stalled, known.assumed = s.Leaving, s.Stalled, s.Assumed
	known.epoch, known.synced = s.Epoch, s.Synced
}

func (p *plan) count() {
	for _, s := range p.stores {
		s.load = 0
	}
	for i := range p.partitions {
		for _, s := range p.partitions[i].members() {
			s.load++
		}
	}
}

func (p *plan) strict() bool { return p.config.Zones || p.config.Regions }

// domain names what a store may be lost together with.
func (p *plan) domain(s *store) string {
	if p.config.Regions {
		return s.Region
	}
	return s.Zone
}

func (p *plan) domains(members []*store) int {
	seen := make(map[string]bool, len(members))
	for _, s := range members {
		seen[p.domain(s)] = true
	}
	return len(seen)
}

func without(list []*store, excluded func(*store) bool) []*store {
	return slices.DeleteFunc(slices.Clone(list), excluded)
}

// view is the plan in the form that is agreed on. Stores whose disks were wiped are left out.
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
