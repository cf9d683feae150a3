package registry

import (
	"cmp"
	"slices"
	"time"

	"ravendale/cluster/wire"
)

const (
	// maxTickDelay is how much later than the time that Next returned the registry may be called. If a call is later
	// than that, the leader itself was paused, and members must not expire because of that.
	maxTickDelay = 200 * time.Millisecond
	// maxReplaced is the maximum number of replaced processes that are remembered.
	maxReplaced = 512
)

// Config has the durations after which members expire.
type Config struct {
	EdgeLease  time.Duration // since the last renewal
	StoreLease time.Duration // since the last renewal
	Reconnect  time.Duration // of a store since its connection ended, unless StoreLease ends sooner
}

// The leases that the leader grants: a store's lease ends before its clients time out, and an edge's after two heartbeats.
const (
	storeLease         = 700 * time.Millisecond
	reconnectTimeout   = 150 * time.Millisecond
	heartbeatsPerLease = 2
)

// DefaultConfig returns the configuration for the heartbeat interval in the settings.
func DefaultConfig(heartbeat time.Duration) Config {
	return Config{EdgeLease: heartbeatsPerLease * heartbeat, StoreLease: storeLease, Reconnect: reconnectTimeout}
}

// MaxLease returns the longest lease of any member.
func (c Config) MaxLease() time.Duration { return max(c.EdgeLease, c.StoreLease) }

// Store is a store that holds a lease.
type Store struct {
	Member wire.Member
	Status wire.StoreStatus
}

type entry struct {
	member     wire.Member
	status     wire.StoreStatus
	connection uint64 // the connection that its last renewal came over; 0 if that has ended or there was none
	newest     uint64 // the newest connection that a renewal of it came over; 0 if there was none
	deadline   time.Duration
	position   int  // in Registry.deadlines
	adopted    bool // taken over from an earlier leader, and not renewed since
}

// Changes describes what an event changed.
type Changes struct {
	Members bool // the list of schedulers that is published on the topic of members
	Stores  bool // which stores are live, or what they report
	Urgent  bool // a store expired or was replaced, is leaving, or its disk accepts no writes any more
}

func (c *Changes) add(other Changes) {
	c.Members = c.Members || other.Members
	c.Stores = c.Stores || other.Stores
	c.Urgent = c.Urgent || other.Urgent
}

// Registry is the table of members. The cost of an event depends on how many entries it affects, not on the size of the
// table, except that changing a deadline takes logarithmic time.
type Registry struct {
	config       Config
	entries      map[string]*entry   // by member ID
	byAddress    map[string][]*entry // more than one for an address only while a renewal is handled that brings the second
	byConnection map[uint64][]*entry // a connection may carry the renewals of several members
	deadlines    deadlines           // all entries
	adopted      int                 // number of entries that are marked adopted
	replaced     map[string]bool     // IDs of members whose address was taken over by another member
}

// New returns an empty table.
func New(config Config) *Registry {
	return &Registry{
		config: config, entries: make(map[string]*entry), byAddress: make(map[string][]*entry), byConnection: make(map[uint64][]*entry),
		replaced: make(map[string]bool),
	}
}

// Adopt adds the schedulers on an earlier leader's list, except those that are in the table already, have been replaced
// or share their address with another member. They expire unless they renew within the duration of a lease.
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
	r.setConnection(e, 0)
	r.deadlines.remove(e)
	r.clearAdopted(e)
}

// removeFrom removes an entry from an index.
func removeFrom[K comparable](index map[K][]*entry, key K, e *entry) {
	remaining := slices.DeleteFunc(index[key], func(other *entry) bool { return other == e })
	if len(remaining) == 0 {
		delete(index, key)
		return
	}
	index[key] = remaining
}

// setConnection sets the connection of an entry's last renewal; 0 means that it has ended.
func (r *Registry) setConnection(e *entry, connection uint64) {
	if e.connection == connection {
		return
	}
	if e.connection != 0 {
		removeFrom(r.byConnection, e.connection, e)
	}
	if e.connection = connection; connection != 0 {
		r.byConnection[connection] = append(r.byConnection[connection], e)
	}
}

// setAddress moves an entry to another address in the index, if its address has changed. The caller updates the entry's
// member itself.
func (r *Registry) setAddress(e *entry, address string) {
	if e.member.Address != address {
		removeFrom(r.byAddress, e.member.Address, e)
		r.byAddress[address] = append(r.byAddress[address], e)
	}
}

// clearAdopted clears the adopted mark of an entry: its member has renewed, or the entry is removed.
func (r *Registry) clearAdopted(e *entry) {
	if e.adopted {
		e.adopted = false
		r.adopted--
	}
}

// Renew handles a renewal that was received over a connection. Connections are numbered in the order in which they were
// accepted. Renew returns the duration of the granted lease, zero if the lease is refused: the member has no ID, another
// one has taken over its address, or the renewal is outdated.
func (r *Registry) Renew(now time.Duration, connection uint64, renew *wire.Renew) (time.Duration, Changes) {
	r.postponeAfterPause(now)
	var changes Changes
	id := renew.Member.ID
	if id == "" || r.replaced[id] || r.isOutdated(connection, &renew.Member) {
		return 0, changes
	}
	changes.add(r.dropReplaced(renew.Member))
	lease := r.leaseFor(renew.Member)
	e := r.entries[id]
	if e == nil {
		changes.add(changesBy(&entry{}, renew))
		e = &entry{member: renew.Member, deadline: now + lease}
		r.add(e)
	} else {
		changes.add(changesBy(e, renew))
		r.setAddress(e, renew.Member.Address)
		r.deadlines.set(e, now+lease)
	}
	e.member, e.status = renew.Member, renew.Store
	e.newest = connection
	r.setConnection(e, connection)
	r.clearAdopted(e)
	return lease, changes
}

// isOutdated reports whether a renewal came over a connection that its sender had closed, or had lost with an earlier
// process at its address, before the newest one was opened. A leader that was paused reads such renewals in any order.
func (r *Registry) isOutdated(connection uint64, member *wire.Member) bool {
	if e := r.entries[member.ID]; e != nil && connection < e.newest {
		return true
	}
	return slices.ContainsFunc(r.byAddress[member.Address], func(e *entry) bool { return connection < e.newest })
}

func (r *Registry) leaseFor(member wire.Member) time.Duration {
	if member.Storage {
		return r.config.StoreLease
	}
	return r.config.EdgeLease
}

// dropReplaced drops other members with a member's address: they are earlier processes at that address. Their later
// renewals are refused.
func (r *Registry) dropReplaced(member wire.Member) Changes {
	var changes Changes
	for _, e := range slices.Clone(r.byAddress[member.Address]) {
		if e.member.ID == member.ID {
			continue
		}
		changes.add(r.drop(e))
		if len(r.replaced) >= maxReplaced {
			clear(r.replaced)
		}
		r.replaced[e.member.ID] = true
	}
	return changes
}

func changesBy(e *entry, renew *wire.Renew) Changes {
	var changes Changes
	if renew.Member.Edge {
		changes.Members = edgeOf(e.member) != edgeOf(renew.Member) || !e.member.Edge
	}
	if renew.Member.Storage {
		changes.Stores = e.member != renew.Member || !sameStatus(e.status, renew.Store)
		changes.Urgent = renew.Member.Leaving && !e.member.Leaving || renew.Store.Stalled && !e.status.Stalled
	}
	return changes
}

// sameStatus compares the fields that the placement depends on.
func sameStatus(a, b wire.StoreStatus) bool {
	return a.Epoch == b.Epoch && a.Stalled == b.Stalled && slices.Equal(a.Synced, b.Synced)
}

// Disconnected handles the end of a connection. Of the members that last renewed over it, those that are leaving are
// dropped, and other stores expire unless they renew within Reconnect. Other schedulers keep their lease until it ends,
// because they may act on it until then.
func (r *Registry) Disconnected(now time.Duration, connection uint64) Changes {
	r.postponeAfterPause(now)
	var changes Changes
	for _, e := range slices.Clone(r.byConnection[connection]) {
		r.setConnection(e, 0)
		if e.member.Leaving {
			changes.add(r.drop(e))
			continue
		}
		if e.member.Storage {
			r.deadlines.set(e, min(e.deadline, now+r.config.Reconnect))
		}
	}
	return changes
}

// Tick drops the members that did not renew in time.
func (r *Registry) Tick(now time.Duration) Changes {
	r.postponeAfterPause(now)
	var changes Changes
	for first := r.deadlines.first(); first != nil && now >= first.deadline; first = r.deadlines.first() {
		changes.add(r.drop(first))
	}
	return changes
}

func (r *Registry) drop(e *entry) Changes {
	r.remove(e)
	member := &e.member
	return Changes{Members: member.Edge, Stores: member.Storage, Urgent: member.Storage}
}

// postponeAfterPause postpones all deadlines by the time that the leader itself was paused, because renewals may have
// arrived that it has not read yet.
func (r *Registry) postponeAfterPause(now time.Duration) {
	next, ok := r.Next()
	if ok && now > next+maxTickDelay {
		r.deadlines.postpone(now-next, now+r.config.Reconnect)
	}
}

// Next returns the time at which Tick must be called, and false if the table is empty and Tick need not be called
// before the next event.
func (r *Registry) Next() (time.Duration, bool) {
	first := r.deadlines.first()
	if first == nil {
		return 0, false
	}
	return first.deadline, true
}

// AdoptionComplete reports whether all members adopted from an earlier leader have renewed or been dropped.
func (r *Registry) AdoptionComplete() bool { return r.adopted == 0 }

// Edges returns the schedulers that hold a lease, ordered by zone and node.
func (r *Registry) Edges() []wire.Edge {
	var edges []wire.Edge
	for _, e := range r.entries {
		if e.member.Edge {
			edges = append(edges, edgeOf(e.member))
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

// Stores returns the stores that hold a lease, ordered by zone and node.
func (r *Registry) Stores() []Store {
	var stores []Store
	for _, e := range r.entries {
		if e.member.Storage {
			stores = append(stores, Store{Member: e.member, Status: e.status})
		}
	}
	slices.SortFunc(stores, func(a, b Store) int {
		return cmp.Or(cmp.Compare(a.Member.Zone, b.Member.Zone), cmp.Compare(a.Member.Node, b.Member.Node), cmp.Compare(a.Member.ID, b.Member.ID))
	})
	return stores
}
