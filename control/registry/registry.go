package registry

import (
	"cmp"
	"slices"
	"time"

	"ravendale/cluster/wire"
)

const (
	// maxLateness of a call beyond the time that Next named that means the leader itself stood still. Others don't expire for it.
	maxLateness = 200 * time.Millisecond
	// maxReplaced bounds how many replaced processes are remembered.
	maxReplaced = 512
)

// Config has the times after which members expire. All are counted from the last renewal.
type Config struct {
	EdgeLease  time.Duration
	StoreLease time.Duration
	Reconnect  time.Duration // of a store whose connection broke, if that is sooner
}

// Leases that the leader grants: a store is suspected before its clients' patience ends, an edge after two heartbeats.
const (
	storeLease         = 700 * time.Millisecond
	reconnectTimeout   = 150 * time.Millisecond
	heartbeatsPerLease = 2
)

// DefaultConfig follows from the heartbeat in the settings.
func DefaultConfig(heartbeat time.Duration) Config {
	return Config{EdgeLease: heartbeatsPerLease * heartbeat, StoreLease: storeLease, Reconnect: reconnectTimeout}
}

// Suspicion is the longest time after which a member expires.
func (c Config) Suspicion() time.Duration { return max(c.EdgeLease, c.StoreLease) }

// Store is a store that holds a lease.
type Store struct {
	Member wire.Member
	Status wire.StoreStatus
}

type entry struct {
	member   wire.Member
	status   wire.StoreStatus
	link     uint64 // the connection that its last renewal came over; 0: none
	deadline time.Duration
	adopted  bool // known from before this leader, and not heard of since
}

// Changes says what an event changed.
type Changes struct {
	Members bool // the topic of members
	Stores  bool // which stores live, or what they say
	Urgent  bool // a store expired, is leaving, or has a disk that takes nothing
}

func (c *Changes) add(other Changes) {
	c.Members = c.Members || other.Members
	c.Stores = c.Stores || other.Stores
	c.Urgent = c.Urgent || other.Urgent
}

// Registry is the table.
type Registry struct {
	config   Config
	entries  map[string]*entry // by member ID
	replaced map[string]bool   // members whose address another one has taken
	next     time.Duration     // the first deadline
}

// New makes an empty table.
func New(config Config) *Registry {
	return &Registry{config: config, entries: make(map[string]*entry), replaced: make(map[string]bool)}
}

// Adopt takes over schedulers that an earlier leader knew. Those who don't renew within a lease expire.
func (r *Registry) Adopt(now time.Duration, members *wire.Members) Changes {
	var changes Changes
	for _, edge := range members.Edges {
		if r.entries[edge.ID] != nil || r.replaced[edge.ID] || r.addressTaken(edge.Address) {
			continue
		}
		r.entries[edge.ID] = &entry{
			member: wire.Member{
				ID: edge.ID, Node: edge.Node, Address: edge.Address, Zone: edge.Zone, Region: edge.Region, Edge: true, Ready: edge.Ready,
			},
			deadline: now + r.config.EdgeLease, adopted: true,
		}
		changes.Members = true
	}
	r.schedule()
	return changes
}

func (r *Registry) addressTaken(address string) bool {
	for _, known := range r.entries {
		if known.member.Address == address {
			return true
		}
	}
	return false
}

// Renew takes a renewal that came over a connection, and returns the lease granted; zero if none is.
func (r *Registry) Renew(now time.Duration, link uint64, renew *wire.Renew) (time.Duration, Changes) {
	r.shiftDeadlines(now)
	var changes Changes
	id := renew.Member.ID
	if id == "" || r.replaced[id] {
		return 0, changes
	}
	changes.add(r.replace(renew.Member))
	lease := r.lease(renew.Member)
	known := r.entries[id]
	if known == nil {
		known = &entry{}
		r.entries[id] = known
	}
	changes.add(difference(known, renew))
	*known = entry{member: renew.Member, status: renew.Store, link: link, deadline: now + lease}
	r.schedule()
	return lease, changes
}

func (r *Registry) lease(member wire.Member) time.Duration {
	if member.Storage {
		return r.config.StoreLease
	}
	return r.config.EdgeLease
}

// replace drops the processes that had a member's address before it.
func (r *Registry) replace(member wire.Member) Changes {
	var changes Changes
	for id, known := range r.entries {
		if id == member.ID || known.member.Address != member.Address {
			continue
		}
		changes.add(r.drop(id))
		if len(r.replaced) >= maxReplaced {
			clear(r.replaced)
		}
		r.replaced[id] = true
	}
	return changes
}

func difference(known *entry, renew *wire.Renew) Changes {
	var changes Changes
	if renew.Member.Edge {
		changes.Members = edgeOf(known.member) != edgeOf(renew.Member) || !known.member.Edge
	}
	if renew.Member.Storage {
		changes.Stores = known.member != renew.Member || !sameStatus(known.status, renew.Store)
		changes.Urgent = renew.Member.Leaving && !known.member.Leaving || renew.Store.Stalled && !known.status.Stalled
	}
	return changes
}

// sameStatus compares what the placement goes by.
func sameStatus(a, b wire.StoreStatus) bool {
	return a.Epoch == b.Epoch && a.Stalled == b.Stalled && slices.Equal(a.Synced, b.Synced)
}

// Disconnected tells that a connection ended. A store whose last renewal came over it must renew soon. A scheduler has its lease, by which
// it may act, to the end.
func (r *Registry) Disconnected(now time.Duration, link uint64) Changes {
	r.shiftDeadlines(now)
	var changes Changes
	for id, known := range r.entries {
		if known.link != link || link == 0 {
			continue
		}
		known.link = 0
		if known.member.Leaving {
			changes.add(r.drop(id))
			continue
		}
		if known.member.Storage {
			known.deadline = min(known.deadline, now+r.config.Reconnect)
		}
	}
	r.schedule()
	return changes
}

// Tick drops who did not renew in time.
func (r *Registry) Tick(now time.Duration) Changes {
	r.shiftDeadlines(now)
	var changes Changes
	for id, known := range r.entries {
		if now >= known.deadline {
			changes.add(r.drop(id))
		}
	}
	r.schedule()
	return changes
}

func (r *Registry) drop(id string) Changes {
	member := r.entries[id].member
	delete(r.entries, id)
	return Changes{Members: member.Edge, Stores: member.Storage, Urgent: member.Storage}
}

// shiftDeadlines gives all the time back during which the leader itself stood still: renewals may lie unread.
func (r *Registry) shiftDeadlines(now time.Duration) {
	if len(r.entries) == 0 || now <= r.next+maxLateness {
		return
	}
	late := now - r.next
	for _, known := range r.entries {
		known.deadline += late
		known.deadline = max(known.deadline, now+r.config.Reconnect)
	}
	r.schedule()
}

func (r *Registry) schedule() {
	first := true
	for _, known := range r.entries {
		if first || known.deadline < r.next {
			r.next, first = known.deadline, false
		}
	}
}

// Next is when Tick must be called; false: not before the next event.
func (r *Registry) Next() (time.Duration, bool) { return r.next, len(r.entries) > 0 }

// Heard says whether all members adopted from an earlier leader have renewed or expired.
func (r *Registry) Heard() bool {
	for _, known := range r.entries {
		if known.adopted {
			return false
		}
	}
	return true
}

// Edges lists the schedulers that hold a lease, by zone and node.
func (r *Registry) Edges() []wire.Edge {
	var edges []wire.Edge
	for _, known := range r.entries {
		if known.member.Edge {
			edges = append(edges, edgeOf(known.member))
		}
	}
	slices.SortFunc(edges, func(a, b wire.Edge) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node), cmp.Compare(a.ID, b.ID))
	})
	return edges
}

func edgeOf(member wire.Member) wire.Edge {
	return wire.Edge{
		ID: member.ID, Node: member.Node, Address: member.Address, Zone: member.Zone, Region: member.Region,
		Ready: member.Ready && !member.Leaving,
	}
}

// Stores lists the stores that hold a lease, by zone and node.
func (r *Registry) Stores() []Store {
	var stores []Store
	for _, known := range r.entries {
		if known.member.Storage {
			stores = append(stores, Store{Member: known.member, Status: known.status})
		}
	}
	slices.SortFunc(stores, func(a, b Store) int {
		return cmp.Or(cmp.Compare(a.Member.Zone, b.Member.Zone), cmp.Compare(a.Member.Node, b.Member.Node), cmp.Compare(a.Member.ID, b.Member.ID))
	})
	return stores
}
