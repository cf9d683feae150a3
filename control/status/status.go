package status

import (
	"cmp"
	"slices"

	"ravendale/cluster/wire"
	"ravendale/control/core"
	"ravendale/control/state"
)

// Status is the complete document, as one control process sees the system.
type Status struct {
	Node      string     `json:"node"` // name of the machine that answers
	Core      Core       `json:"core"`
	Config    Config     `json:"config"`
	Placement *Placement `json:"placement,omitempty"` // nil: the queue is not placed yet
	Members   *Members   `json:"members,omitempty"`   // nil: the process that answers is not the leader
}

// Core describes the replicated core as the answering process sees it.
type Core struct {
	Disk           string   `json:"disk,omitempty"` // identity of this process's disk; empty if it has none
	Epoch          uint64   `json:"epoch"`
	Voters         []Voter  `json:"voters"`
	Chain          []string `json:"chain"`               // identities of the disks in the replication chain, the head first
	RequiredVoters int      `json:"votersWanted"`        // voters needed to tolerate the failures that the settings name
	DiskFault      string   `json:"diskFault,omitempty"` // why writes to the disk fail, so that this process is degraded; empty: they succeed
	Attached       bool     `json:"attached"`            // this process is attached to the chain
	Durable        bool     `json:"durable"`             // the chain has enough disks to commit
	Last           uint64   `json:"last"`                // number of the newest command that this process has received
	Committed      uint64   `json:"committed"`
	Term           uint64   `json:"term"`                  // term of the newest leader
	Leader         string   `json:"leader,omitempty"`      // RPC address; empty if unknown
	LeaderAdmin    string   `json:"leaderAdmin,omitempty"` // admin address of the leader; empty if this process leads, or if none is known
	Leading        bool     `json:"leading"`               // this process is the leader
}

// Voter is a voting member of the core.
type Voter struct {
	Disk    string `json:"disk"`
	Address string `json:"address"` // RPC address
	Zone    string `json:"zone"`
}

// Config identifies the configuration that this process has applied.
type Config struct {
	Version  uint64 `json:"version"`
	Sequence uint64 `json:"sequence"` // number of changes of the configuration so far
}

// Placement describes how the partitions of the queue are placed on stores.
type Placement struct {
	Epoch           uint64  `json:"epoch"`
	Copies          int     `json:"copies"` // disks that hold a message before it is accepted
	Partitions      int     `json:"partitions"`
	UnderReplicated int     `json:"underStrength"` // partitions with fewer replicas than copies
	WithoutReplicas int     `json:"unheld"`        // partitions without any replica
	Stores          []Store `json:"stores"`
}

// Store is one store of the placement. The counts are of partitions.
type Store struct {
	Node      string `json:"node"`
	Zone      string `json:"zone"`
	Disk      string `json:"disk"`
	Retiring  bool   `json:"retiring"`
	Primaries int    `json:"primaries"`
	Replicas  int    `json:"replicas"` // complete replicas, including primaries
	Joining   int    `json:"joining"`  // replicas that are still being filled
}

// Members counts the members that hold a lease, by zone.
type Members struct {
	Edges  []ZoneEdges  `json:"edges"`
	Stores []ZoneStores `json:"stores"`
}

// ZoneEdges counts the edges of a zone.
type ZoneEdges struct {
	Zone     string `json:"zone"`
	Ready    int    `json:"ready"`
	NotReady int    `json:"notReady"`
}

// ZoneStores counts the stores of a zone.
type ZoneStores struct {
	Zone    string `json:"zone"`
	Live    int    `json:"live"`
	Leaving int    `json:"leaving"` // live stores that are shutting down
	Behind  int    `json:"behind"`  // live stores that still use an older placement
	Pending uint64 `json:"pending"` // messages that have not ended; each copy counts
}

// StoreLease is a store that holds a lease, with the state of its last renewal.
type StoreLease struct {
	Zone    string
	Leaving bool
	Epoch   uint64
	Pending uint64
}

// CoreOf builds the core part of a status from the core's status and the state machine's term.
func CoreOf(s core.Status, term uint64) Core {
	c := Core{
		Epoch: s.Epoch, Attached: s.Attached, Durable: s.Durable, Last: s.Last, Committed: s.Committed, Term: term, Leader: s.Leader,
		DiskFault: s.DiskFault, RequiredVoters: s.RequiredVoters,
		Voters: make([]Voter, len(s.Voters)), Chain: make([]string, len(s.Chain)),
	}
	if s.ID != 0 {
		c.Disk = s.ID.String()
	}
	for i, member := range s.Voters {
		c.Voters[i] = Voter{Disk: member.ID.String(), Address: member.Address, Zone: member.Zone}
	}
	for i, id := range s.Chain {
		c.Chain[i] = id.String()
	}
	return c
}

// ConfigOf returns the version and sequence of a snapshot's configuration.
func ConfigOf(s *state.Snapshot) Config { return Config{Version: s.Version, Sequence: s.Sequence} }

// PlacementOf counts the partitions of each store of a placement. It returns nil if there is no placement.
func PlacementOf(v *wire.StoreView) *Placement {
	if v == nil {
		return nil
	}
	p := &Placement{Epoch: v.Epoch, Copies: int(v.Copies), Partitions: len(v.Partitions), Stores: make([]Store, len(v.Stores))}
	for i, s := range v.Stores {
		p.Stores[i] = Store{Node: s.Node, Zone: s.Zone, Disk: s.Disk, Retiring: s.Retiring}
	}
	for i := range v.Partitions {
		p.countPartition(&v.Partitions[i])
	}
	return p
}

func (p *Placement) countPartition(partition *wire.Placement) {
	if len(partition.Replicas) < p.Copies {
		p.UnderReplicated++
	}
	if len(partition.Replicas) == 0 {
		p.WithoutReplicas++
	}
	for i, store := range partition.Replicas {
		p.Stores[store].Replicas++
		if i == 0 {
			p.Stores[store].Primaries++
		}
	}
	for _, store := range partition.Joining {
		p.Stores[store].Joining++
	}
}

// MembersOf counts members by zone. Epoch is the epoch of the newest placement.
func MembersOf(edges []wire.Edge, stores []StoreLease, epoch uint64) *Members {
	return &Members{Edges: countEdges(edges), Stores: countStores(stores, epoch)}
}

func countEdges(edges []wire.Edge) []ZoneEdges {
	zones := make(map[string]*ZoneEdges)
	for i := range edges {
		zone := countOf(zones, edges[i].Zone)
		if edges[i].Ready {
			zone.Ready++
		} else {
			zone.NotReady++
		}
	}
	return sortedByZone(zones, func(name string, count *ZoneEdges) { count.Zone = name })
}

func countStores(stores []StoreLease, epoch uint64) []ZoneStores {
	zones := make(map[string]*ZoneStores)
	for _, store := range stores {
		zone := countOf(zones, store.Zone)
		zone.Live++
		zone.Pending += store.Pending
		if store.Leaving {
			zone.Leaving++
		}
		if store.Epoch < epoch {
			zone.Behind++
		}
	}
	return sortedByZone(zones, func(name string, count *ZoneStores) { count.Zone = name })
}

// countOf returns the zone's count, which it creates if there is none yet.
func countOf[T any](zones map[string]*T, name string) *T {
	if zones[name] == nil {
		zones[name] = new(T)
	}
	return zones[name]
}

// sortedByZone returns the counts sorted by zone. setZone stores the zone's name in a count.
func sortedByZone[T any](zones map[string]*T, setZone func(zone string, count *T)) []T {
	names := make([]string, 0, len(zones))
	for zone := range zones {
		names = append(names, zone)
	}
	slices.SortFunc(names, cmp.Compare[string])
	list := make([]T, 0, len(names))
	for _, zone := range names {
		setZone(zone, zones[zone])
		list = append(list, *zones[zone])
	}
	return list
}
