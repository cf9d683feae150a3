package status

import (
	"cmp"
	"slices"

	"ravendale/cluster/wire"
	"ravendale/control/core"
	"ravendale/control/state"
)

// Status is the complete answer, as one control process sees the system.
type Status struct {
	Node      string     `json:"node"` // the machine that answers
	Core      Core       `json:"core"`
	Config    Config     `json:"config"`
	Placement *Placement `json:"placement,omitempty"` // nil: the queue is not placed yet
	Members   *Members   `json:"members,omitempty"`   // nil: the process that answers does not lead
}

// Core is how the process sees the replicated core.
type Core struct {
	Disk           string   `json:"disk,omitempty"` // identity of this process's disk; empty if it has none
	Epoch          uint64   `json:"epoch"`
	Voters         []Voter  `json:"voters"`
	Chain          []string `json:"chain"`               // identities of disks, the head first
	RequiredVoters int      `json:"votersWanted"`        // voters that bear the losses which the settings name
	DiskFault      string   `json:"diskFault,omitempty"` // why the disk takes no writes, and this process is degraded; empty: it does
	Attached       bool     `json:"attached"`            // this process follows the chain
	Durable        bool     `json:"durable"`             // the chain has enough disks to commit
	Last           uint64   `json:"last"`                // number of the newest command that this process knows
	Committed      uint64   `json:"committed"`
	Term           uint64   `json:"term"`                  // of the newest leader
	Leader         string   `json:"leader,omitempty"`      // rpc address; empty if unknown
	LeaderAdmin    string   `json:"leaderAdmin,omitempty"` // admin address of another process that leads
	Leading        bool     `json:"leading"`               // this process leads
}

// Voter is a member of the core.
type Voter struct {
	Disk    string `json:"disk"`
	Address string `json:"address"` // rpc
	Zone    string `json:"zone"`
}

// Config is which configuration this process has applied.
type Config struct {
	Version  uint64 `json:"version"`
	Sequence uint64 `json:"sequence"` // how often the configuration has changed
}

// Placement is where the queue lies.
type Placement struct {
	Epoch         uint64  `json:"epoch"`
	Copies        int     `json:"copies"` // disks that hold a message before it is accepted
	Partitions    int     `json:"partitions"`
	UnderStrength int     `json:"underStrength"` // partitions with fewer replicas than copies
	Unheld        int     `json:"unheld"`        // partitions without any replica
	Stores        []Store `json:"stores"`
}

// Store is one store of the placement. The counts are of partitions.
type Store struct {
	Node      string `json:"node"`
	Zone      string `json:"zone"`
	Disk      string `json:"disk"`
	Retiring  bool   `json:"retiring"`
	Primaries int    `json:"primaries"`
	Replicas  int    `json:"replicas"` // complete ones, those as the primary included
	Joining   int    `json:"joining"`  // being filled
}

// Members are those that hold a lease, by zone.
type Members struct {
	Edges  []Edges  `json:"edges"`
	Stores []Stores `json:"stores"`
}

// Edges counts the edges of a zone.
type Edges struct {
	Zone     string `json:"zone"`
	Ready    int    `json:"ready"`
	NotReady int    `json:"notReady"`
}

// Stores counts the stores of a zone.
type Stores struct {
	Zone    string `json:"zone"`
	Live    int    `json:"live"`
	Leaving int    `json:"leaving"` // of those that live
	Behind  int    `json:"behind"`  // of those that live: act under an older placement
	Pending uint64 `json:"pending"` // messages that have not ended, each copy counted
}

// StoreLease is a store that holds a lease, as the leader knows it.
type StoreLease struct {
	Zone    string
	Leaving bool
	Epoch   uint64
	Pending uint64
}

// CoreOf returns the core's part of a status, from its state and the state machine's term.
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

// ConfigOf returns which configuration a state has.
func ConfigOf(s *state.Snapshot) Config { return Config{Version: s.Version, Sequence: s.Sequence} }

// PlacementOf counts the partitions of each store of a placement. It is nil if there is no placement.
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
		p.UnderStrength++
	}
	if len(partition.Replicas) == 0 {
		p.Unheld++
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

// MembersOf counts members by zone. Epoch is that of the placement.
func MembersOf(edges []wire.Edge, stores []StoreLease, epoch uint64) *Members {
	return &Members{Edges: countEdges(edges), Stores: countStores(stores, epoch)}
}

func countEdges(edges []wire.Edge) []Edges {
	zones := make(map[string]*Edges)
	for i := range edges {
		zone := at(zones, edges[i].Zone)
		if edges[i].Ready {
			zone.Ready++
		} else {
			zone.NotReady++
		}
	}
	return inOrder(zones, func(name string, count *Edges) { count.Zone = name })
}

func countStores(stores []StoreLease, epoch uint64) []Stores {
	zones := make(map[string]*Stores)
	for _, store := range stores {
		zone := at(zones, store.Zone)
		zone.Live++
		zone.Pending += store.Pending
		if store.Leaving {
			zone.Leaving++
		}
		if store.Epoch < epoch {
			zone.Behind++
		}
	}
	return inOrder(zones, func(name string, count *Stores) { count.Zone = name })
}

func at[T any](zones map[string]*T, name string) *T {
	if zones[name] == nil {
		zones[name] = new(T)
	}
	return zones[name]
}

// inOrder lists the counts by the names of their zones.
func inOrder[T any](zones map[string]*T, name func(zone string, count *T)) []T {
	names := make([]string, 0, len(zones))
	for zone := range zones {
		names = append(names, zone)
	}
	slices.SortFunc(names, cmp.Compare[string])
	list := make([]T, 0, len(names))
	for _, zone := range names {
		name(zone, zones[zone])
		list = append(list, *zones[zone])
	}
	return list
}
