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
	position int  // in Registry.deadlines
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

// Registry is the table. What an event costs follows from the entries that it concerns, not from how many there are.
type Registry struct {
	config    Config
	entries   map[string]*entry   // by member ID
	byAddress map[string][]*entry // more than one only until the renewal ends that brings the second
	byLink    map[uint64][]*entry // a connection may carry the renewals of several members
	deadlines deadlines           // all entries
	adopted   int                 // entries that are known from before this leader
	replaced  map[string]bool     // members whose address another one has taken
}

// New makes an empty table.
func New(config Config) *Registry {
	return &Registry{
		config: config, entries: make(map[string]*entry), byAddress: make(map[string][]*entry), byLink: make(map[uint64][]*entry),
		replaced: make(map[string]bool),
	}
}

// Adopt takes over schedulers that an earlier leader knew. Those who don't renew within a lease expire.
func (r *Registry) Adopt(now time.Duration, members *wire.Members) Changes {
	var changes Changes
	for _, edge := range members.Edges {
		if r.entries[edge.ID] != nil || r.replaced[edge.ID] || len(r.byAddress[edge.Address]) > 0 {
			continue
		}
		r.add(&entry{
			member: wire.Member{
				ID: edge.ID, Node: edge.Node, Address: edge.Address, Zone: edge.Zone, Region: edge.Region, Edge: true, Ready: edge.Ready,
			},
			deadline: now + r.config.EdgeLease, adopted: true,
		})
		changes.Members = true
	}
	return changes
}

// add adds an entry to the table.
func (r *Registry) add(e *entry) {
	r.entries[e.member.ID] = e
	r.byAddress[e.member.Address] = append(r.byAddress[e.member.Address], e)
	r.deadlines.add(e)
	if e.adopted {
		r.adopted++
	}
}

// remove removes an entry from the table.
func (r *Registry) remove(e *entry) {
	delete(r.entries, e.member.ID)
	removeFrom(r.byAddress, e.member.Address, e)
	r.setLink(e, 0)
	r.deadlines.remove(e)
	r.setHeard(e)
}

// removeFrom removes an entry from an index.
func removeFrom[K comparable](index map[K][]*entry, key K, e *entry) {
	left := slices.DeleteFunc(index[key], func(other *entry) bool { return other == e })
	if len(left) == 0 {
		delete(index, key)
		return
	}
	index[key] = left
}

// setLink notes the connection of an entry's last renewal; 0: it has ended.
func (r *Registry) setLink(e *entry, link uint64) {
	if e.link == link {
		return
	}
	if e.link != 0 {
		removeFrom(r.byLink, e.link, e)
	}
	if e.link = link; link != 0 {
		r.byLink[link] = append(r.byLink[link], e)
	}
}

// setAddress notes the address of an entry, which is another after a renewal that says so.
func (r *Registry) setAddress(e *entry, address string) {
	if e.member.Address != address {
		removeFrom(r.byAddress, e.member.Address, e)
		r.byAddress[address] = append(r.byAddress[address], e)
	}
}

// setHeard notes that an entry is not only known from before this leader, or not any more.
func (r *Registry) setHeard(e *entry) {
	if e.adopted {
		e.adopted = false
		r.adopted--
	}
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
		changes.add(difference(&entry{}, renew))
		known = &entry{member: renew.Member, deadline: now + lease}
		r.add(known)
	} else {
		changes.add(difference(known, renew))
		r.setAddress(known, renew.Member.Address)
		r.deadlines.set(known, now+lease)
	}
	known.member, known.status = renew.Member, renew.Store
	r.setLink(known, link)
	r.setHeard(known)
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
	for _, known := range slices.Clone(r.byAddress[member.Address]) {
		if known.member.ID == member.ID {
			continue
		}
		changes.add(r.drop(known))
		if len(r.replaced) >= maxReplaced {
			clear(r.replaced)
		}
		r.replaced[known.member.ID] = true
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
	for _, known := range slices.Clone(r.byLink[link]) {
		r.setLink(known, 0)
		if known.member.Leaving {
			changes.add(r.drop(known))
			continue
		}
		if known.member.Storage {
			r.deadlines.set(known, min(known.deadline, now+r.config.Reconnect))
		}
	}
	return changes
}

// Tick drops who did not renew in time.
func (r *Registry) Tick(now time.Duration) Changes {
	r.shiftDeadlines(now)
	var changes Changes
	for first := r.deadlines.first(); first != nil && now >= first.deadline; first = r.deadlines.first() {
		changes.add(r.drop(first))
	}
	return changes
}

func (r *Registry) drop(known *entry) Changes {
	r.remove(known)
	member := &known.member
	return Changes{Members: member.Edge, Stores: member.Storage, Urgent: member.Storage}
}

// shiftDeadlines gives all the time back during which the leader itself stood still: renewals may lie unread.
func (r *Registry) shiftDeadlines(now time.Duration) {
	next, some := r.Next()
	if some && now > next+maxLateness {
		r.deadlines.shift(now-next, now+r.config.Reconnect)
	}
}

// Next is when Tick must be called; false: not before the next event.
func (r *Registry) Next() (time.Duration, bool) {
	first := r.deadlines.first()
	if first == nil {
		return 0, false
	}
	return first.deadline, true
}

// Heard says whether all members adopted from an earlier leader have renewed or expired.
func (r *Registry) Heard() bool { return r.adopted == 0 }

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
