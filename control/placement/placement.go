package placement

import (
	"cmp"
	"slices"

	"ravendale/cluster/wire"
)

// DefaultPartitions is the number of partitions that a system is bootstrapped with. The number never changes afterwards.
const DefaultPartitions = 64

// maxConcurrentMoves bounds how many partitions are moved at a time only to balance the load or to reach their
// preferred zone or region. Replacing lost replicas has no such bound.
const maxConcurrentMoves = 8

// Config configures how many copies a partition has and how they are spread.
type Config struct {
	Copies             int  // complete replicas of each partition
	Partitions         int  // number of partitions of a new system
	TolerateZoneLoss   bool // the loss of a zone must be tolerated: two copies in one zone count as one
	TolerateRegionLoss bool // the loss of a region must be tolerated: two copies in one region count as one
	// ColocateInZone puts all copies of a partition into one zone if that zone has enough stores. It has no effect if
	// TolerateZoneLoss or TolerateRegionLoss is set.
	ColocateInZone bool

	mutant mutant
}

// mutant disables safety checks of the plan. Only tests of this package set it, to verify that they detect the
// resulting faults.
type mutant struct {
	countUnusable   bool // stores that are about to stop, or have not renewed their lease yet, count as usable
	dropWithOneCopy bool // a replica may be dropped as soon as one other complete replica remains
	forgetFormer    bool // former members are forgotten while their writes may still be needed

	ignoreWipedJoining bool // a joining store whose disk was wiped still counts as covering its partition
}

// Store is a live store.
type Store struct {
	Disk    string
	Node    string
	Address string
	Zone    string
	Region  string
	Leaving bool // it is shutting down as planned, and will come back
	Stalled bool // its disk accepts no writes
	Assumed bool // it has not renewed its lease with the current leader yet, and is presumed to be live
	Epoch   uint64
	Synced  []uint16 // indices of the partitions that it is joining and holds completely, as of Epoch
}

// canBootstrap reports whether the live stores suffice for a first view.
func canBootstrap(live []Store, config Config) bool {
	p := newPlan(nil, live, config)
	domains := make(map[string]bool)
	eligible := 0
	for _, s := range p.stores {
		if s.eligible() {
			eligible++
			domains[p.failureDomain(s)] = true
		}
	}
	required := config.Copies
	return eligible >= required && (!p.mustSpread() || len(domains) >= required)
}

// Plan returns the view that should follow the current one, and whether it differs. If there is no current view, it
// bootstraps the first one, or returns nil if there are too few live stores: see canBootstrap. The current view is not
// modified.
func Plan(current *wire.StoreView, live []Store, config Config) (*wire.StoreView, bool) {
	if current == nil || len(current.Partitions) == 0 {
		return bootstrap(live, config)
	}
	p := newPlan(current, live, config)
	p.dropWiped()
	p.promote(current.Epoch)
	p.dropFailed()
	p.forgetFormer()
	p.rejoin()
	p.refill()
	p.spread()
	p.clearCovered()
	p.trim()
	p.balance()
	p.choosePrimaries()
	next := p.view()
	next.Epoch = current.Epoch
	if equalViews(current, next) {
		return current, false
	}
	next.Epoch++
	return next, true
}

func bootstrap(live []Store, config Config) (*wire.StoreView, bool) {
	if !canBootstrap(live, config) {
		return nil, false
	}
	p := newPlan(nil, live, config)
	p.partitions = make([]assignment, config.Partitions)
	p.assignPreferredRegions()
	p.assignPreferredZones()
	for i := range p.partitions {
		for range config.Copies {
			if s := p.candidate(&p.partitions[i], p.mustSpread()); s != nil {
				p.partitions[i].replicas = append(p.partitions[i].replicas, s)
				s.load++
			}
		}
	}
	p.choosePrimaries()
	view := p.view()
	view.Epoch = 1
	return view, true
}

// Retire returns a copy of the view in which a node's store is marked as retiring, so that Plan moves all its replicas
// away. It also returns whether the view lists a store of this node, and whether enough other stores would remain. If
// either is false, it returns a nil view.
func Retire(current *wire.StoreView, live []Store, config Config, node string) (next *wire.StoreView, found, enough bool) {
	index := indexOfNode(current, node)
	if index < 0 {
		return nil, false, false
	}
	marked := *current
	marked.Stores = slices.Clone(current.Stores)
	marked.Stores[index].Retiring = true
	if !enoughWouldRemain(&marked, live, config) {
		return nil, true, false
	}
	marked.Epoch++
	return &marked, true, true
}

func indexOfNode(view *wire.StoreView, node string) int {
	if view == nil {
		return -1
	}
	return slices.IndexFunc(view.Stores, func(s wire.Store) bool { return s.Node == node })
}

// enoughWouldRemain reports whether the live stores that are not retiring can hold all copies. Stores that are about to
// stop or whose disks accept no writes count as well, because they are expected to recover: until then, no replica is
// dropped in reliance on them.
func enoughWouldRemain(view *wire.StoreView, live []Store, config Config) bool {
	retiring := make(map[string]bool)
	for _, s := range view.Stores {
		if s.Retiring {
			retiring[s.Disk] = true
		}
	}
	var rest []Store
	for _, s := range live {
		if !retiring[s.Disk] {
			s.Leaving, s.Stalled = false, false
			rest = append(rest, s)
		}
	}
	return canBootstrap(rest, config)
}

// Retirement reports the progress of retiring a node's store: whether the view lists such a store, whether it is
// retiring, and whether no partition has it as a member or former member any more.
func Retirement(view *wire.StoreView, node string) (found, retiring, done bool) {
	index := indexOfNode(view, node)
	if index < 0 {
		return false, false, false
	}
	return true, view.Stores[index].Retiring, view.Stores[index].Retiring && !IsMember(view, index) && !isFormer(view, index)
}

// IsMember reports whether any partition of the view has the store with this index as a complete replica or as a joining
// store.
func IsMember(view *wire.StoreView, store int) bool {
	index := uint16(store)
	for _, p := range view.Partitions {
		if slices.Contains(p.Replicas, index) || slices.Contains(p.Joining, index) {
			return true
		}
	}
	return false
}

// isFormer reports whether the store with this index is a former member of any partition, and so may hold writes that
// its members lack.
func isFormer(view *wire.StoreView, store int) bool {
	return slices.ContainsFunc(view.Partitions, func(p wire.Placement) bool { return slices.Contains(p.Former, uint16(store)) })
}

func equalViews(a, b *wire.StoreView) bool {
	samePlacement := func(a, b wire.Placement) bool {
		return slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Joining, b.Joining) && slices.Equal(a.Former, b.Former) &&
			a.Covered == b.Covered && a.Unsure == b.Unsure
	}
	return a.Copies == b.Copies && slices.Equal(a.Stores, b.Stores) && slices.EqualFunc(a.Partitions, b.Partitions, samePlacement)
}

// byZoneAndNode orders stores by zone, node and disk, so that the plan does not depend on the order in which they are
// passed.
func byZoneAndNode(a, b Store) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Disk, b.Disk))
}
