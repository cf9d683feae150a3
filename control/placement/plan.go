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

type assignment struct {
	replicas        []*store
	joining         []*store
	former          []*store // see wire.Placement
	covered         bool     // see wire.Placement
	unsure          bool     // see wire.Placement
	preferredRegion string   // the region where all copies should lie; empty where it does not matter
}

func (p *assignment) members() []*store { return slices.Concat(p.replicas, p.joining) }

func (p *assignment) has(s *store) bool {
	return slices.Contains(p.replicas, s) || slices.Contains(p.joining, s)
}

// unavailable says that no complete replica lives: there is nothing to be done but wait.
func (p *assignment) unavailable() bool {
	return !slices.ContainsFunc(p.replicas, func(s *store) bool { return s.live })
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

func without(list []*store, excluded func(*store) bool) []*store {
	return slices.DeleteFunc(slices.Clone(list), excluded)
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
		if partition.unavailable() || len(partition.joining) > 0 || p.domains(kept) >= p.config.Copies {
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
	if ta, tb := taken[p.domain(a)], taken[p.domain(b)]; ta != tb {
		return !ta
	}
	if fa, fb := slices.Contains(partition.former, a), slices.Contains(partition.former, b); fa != fb {
		return fa
	}
	if fa, fb := partition.foreign(a), partition.foreign(b); fa != fb {
		return !fa
	}
	return a.load < b.load
}

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
	if da, db := p.shared(partition.replicas, a), p.shared(partition.replicas, b); da != db {
		return da
	}
	if fa, fb := partition.foreign(a), partition.foreign(b); fa != fb {
		return fa
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
	moves += p.moveToPreferredRegion(movesAtOnce - moves)
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
			projected := assignment{replicas: members, preferredRegion: partition.preferredRegion}
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

// moveTarget is the store with the least load that could take a replica's place without bringing the others closer together.
func (p *plan) moveTarget(partition *assignment, source *store) *store {
	rest := without(partition.replicas, func(s *store) bool { return s == source })
	before := p.domains(partition.replicas)
	var best *store
	for _, s := range p.stores {
		if !p.certain(s) || partition.has(s) || best != nil && s.load >= best.load {
			continue
		}
		if partition.foreign(s) && !partition.foreign(source) {
			continue
		}
		if p.domains(append(slices.Clone(rest), s)) >= before {
			best = s
		}
	}
	return best
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
