package placement

import (
	"cmp"
	"slices"

	"ravendale/cluster/wire"
)

// DefaultPartitions is how many partitions a system is bootstrapped with. The number never changes afterwards.
const DefaultPartitions = 64

// movesAtOnce bounds the partitions that are moved for balance alone at a time. Lost copies are made up for without a bound.
const movesAtOnce = 8

// Config says how copies must be spread.
type Config struct {
	Copies     int  // complete replicas of each partition
	Partitions int  // of a new system
	Zones      bool // zones may be lost: two copies in one zone count as one
	Regions    bool // the same of regions
	// GatherZones puts all copies of a partition into one zone where that has enough stores. It has no effect where zones or regions may be lost.
	GatherZones bool

	mutant mutant
}

// mutant takes guards out. Only tests of this package can.
type mutant struct {
	countUncertain bool // stores that are about to stop, or were not heard of, are counted on and given replicas
	emptyAtFirst   bool // a store is emptied once one other holds all
	forgetFormer   bool // what dropped members have is not asked for

	ignoreWipedJoining bool // a joining store whose disk was lost still counts as covering its partition
}

// Store is a store that lives.
type Store struct {
	Disk    string
	Node    string
	Address string
	Zone    string
	Region  string
	Leaving bool // it is being stopped in order, and will come back
	Stalled bool // its disk takes nothing
	Assumed bool // it has not been heard of since the leader began
	Epoch   uint64
	Synced  []uint16 // partitions that it is joining and holds completely, as of Epoch
}

// canBootstrap says whether the stores that live suffice for a first view.
func canBootstrap(live []Store, config Config) bool {
	p := newPlan(nil, live, config)
	domains := make(map[string]bool)
	eligible := 0
	for _, s := range p.stores {
		if s.eligible() {
			eligible++
			domains[p.domain(s)] = true
		}
	}
	enough := config.Copies
	return eligible >= enough && (!p.strict() || len(domains) >= enough)
}

// Plan returns the view that should follow the current one, and whether it differs. Without a current view it founds one, which
// takes enough stores: see Founding. The current view is not changed.
func Plan(current *wire.StoreView, live []Store, config Config) (*wire.StoreView, bool) {
	if current == nil || len(current.Partitions) == 0 {
		return bootstrap(live, config)
	}
	p := newPlan(current, live, config)
	p.dropWiped()
	p.promote(current.Epoch)
	p.dropDead()
	p.forgetFormer()
	p.rejoin()
	p.refill()
	p.spread()
	p.uncover()
	p.trim()
	p.balance()
	p.choosePrimaries()
	next := p.view()
	next.Epoch = current.Epoch
	if same(current, next) {
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
			if s := p.candidate(&p.partitions[i], p.strict()); s != nil {
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

// Retire marks a node's store as one to be emptied. It says whether there is such a store, and whether enough others would
// remain; without both the view is not changed, and nil is returned.
func Retire(current *wire.StoreView, live []Store, config Config, node string) (next *wire.StoreView, known, enough bool) {
	at := indexOfNode(current, node)
	if at < 0 {
		return nil, false, false
	}
	marked := *current
	marked.Stores = slices.Clone(current.Stores)
	marked.Stores[at].Retiring = true
	if !remain(&marked, live, config) {
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

// remain says whether the stores that live and are not to be emptied can hold all copies. Those that are about to stop, or whose disks
// take nothing, will be back: until then nothing is given up for them.
func remain(view *wire.StoreView, live []Store, config Config) bool {
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

// Retirement says how far the emptying of a node's store is.
func Retirement(view *wire.StoreView, node string) (known, retiring, done bool) {
	at := indexOfNode(view, node)
	if at < 0 {
		return false, false, false
	}
	return true, view.Stores[at].Retiring, view.Stores[at].Retiring && !Holds(view, at) && !former(view, at)
}

// Holds says whether a store of the view, by its index, is a member of any partition.
func Holds(view *wire.StoreView, store int) bool {
	index := uint16(store)
	for _, p := range view.Partitions {
		if slices.Contains(p.Replicas, index) || slices.Contains(p.Joining, index) {
			return true
		}
	}
	return false
}

// former says whether a store of the view, by its index, has what others may lack.
func former(view *wire.StoreView, store int) bool {
	return slices.ContainsFunc(view.Partitions, func(p wire.Placement) bool { return slices.Contains(p.Former, uint16(store)) })
}

func same(a, b *wire.StoreView) bool {
	samePlacement := func(a, b wire.Placement) bool {
		return slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Joining, b.Joining) && slices.Equal(a.Former, b.Former) &&
			a.Covered == b.Covered && a.Unsure == b.Unsure
	}
	return a.Copies == b.Copies && slices.Equal(a.Stores, b.Stores) && slices.EqualFunc(a.Partitions, b.Partitions, samePlacement)
}

// byZoneAndNode orders stores that nothing else tells apart.
func byZoneAndNode(a, b Store) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Disk, b.Disk))
}
