package queue

import (
	"slices"
	"time"

	"ravendale/cluster/wire"
)

// edge is this store's state of an edge, a scheduler that puts messages and delivers them to workers.
type edge struct {
	id             string
	zone           string
	remote         Remote // its newest connection; nil while that is closed
	acceptOrder    uint64 // of its newest connection
	draining       bool
	configVersion  uint64           // newest version of the configuration that it has announced; 0: none
	session        uint16           // incremented with each connection
	claimedEpoch   uint64           // epoch in which it has claimed its messages on this connection; zero if it hasn't
	assigned       int              // number of messages assigned to it that still count, at most maxAssigned
	reserved       []unownedMessage // unowned messages that can go only to this edge, as their last leaseholder, and wait until it can be assigned more
	lastAssignment uint64           // number, from Core.lastID, of its last assignment
	mustClaim      bool             // its connection was replaced or closed, and it hasn't claimed its messages since
	mustClaimSince time.Duration
}

// edgeSet has the edges that are connected, or were within the reconnect timeout.
type edgeSet struct {
	byID     map[string]*edge
	byRemote map[Remote]*edge // by open connection on which the edge has attached, outdated ones included
	list     []*edge          // in the order in which they first attached
	expected []string         // identities of all edges that the control plane has listed
	listed   map[string]bool  // identities of all edges that were ever listed, or that have leased messages before this store started
}

func newEdgeSet() edgeSet {
	return edgeSet{byID: make(map[string]*edge), byRemote: make(map[Remote]*edge), listed: make(map[string]bool)}
}

// on returns the edge whose newest connection this is, or nil if there is none.
func (s *edgeSet) on(remote Remote) *edge {
	if e := s.byRemote[remote]; e != nil && e.remote == remote {
		return e
	}
	return nil
}

// isOutdated reports whether an edge has attached on a connection, and has another one that is newer.
func (s *edgeSet) isOutdated(remote Remote) bool {
	return s.byRemote[remote] != nil && s.on(remote) == nil
}

// claimsDue returns when the first edge loses the leases that it hasn't claimed, or never if no edge has to claim.
func (s *edgeSet) claimsDue(timeout time.Duration) time.Duration {
	due := never
	for _, e := range s.list {
		if e.mustClaim {
			due = min(due, e.mustClaimSince+timeout)
		}
	}
	return due
}

// allClaimed reports whether all edges listed by the control plane have claimed their messages under an epoch. It is
// false if none is listed.
func (s *edgeSet) allClaimed(epoch uint64) bool {
	for _, id := range s.expected {
		if e := s.byID[id]; e == nil || e.claimedEpoch != epoch {
			return false
		}
	}
	return len(s.expected) > 0
}

// setExpected replaces the list of the control plane. If listed has grown too large, only the current list is kept in it,
// which is safe: the leaseholders that it forgets are waited for.
func (s *edgeSet) setExpected(edges []wire.Edge) {
	s.expected = s.expected[:0]
	if len(s.listed) > maxListed {
		clear(s.listed)
	}
	for i := range edges {
		s.expected = append(s.expected, edges[i].ID)
		s.listed[edges[i].ID] = true
	}
}

// mayBeUnlisted reports whether an edge may be a member that the newest list lacks, because the list is older than the
// edge: it has never been listed, and hasn't claimed its messages under an epoch.
func (s *edgeSet) mayBeUnlisted(id string, epoch uint64) bool {
	if id == "" || s.listed[id] {
		return false
	}
	e := s.byID[id]
	return e == nil || e.claimedEpoch != epoch
}

func (s *edgeSet) remove(e *edge) {
	delete(s.byID, e.id)
	s.list = slices.DeleteFunc(s.list, func(other *edge) bool { return other == e })
}

// grant notifies an edge, if it is connected, that it may deliver a message whose body it has.
func (e *edge) grant(epoch uint64, p *partition, m *entry) {
	if e.remote != nil {
		_ = e.remote.Notify(wire.MethodGrant, &wire.Grant{Partition: p.number, Epoch: epoch, ID: m.id, Failed: m.failed})
	}
}

// AttachEdge handles the first request of an edge on a connection, in which it sends its identity. The edge may repeat it.
// On an outdated connection it fails, and the connection is closed.
func (c *Core) AttachEdge(now Time, from Remote, m *wire.Attach, reply Replier) {
	c.now = now
	e := c.edges.byID[m.Edge]
	if e == nil {
		e = &edge{id: m.Edge}
		c.edges.byID[m.Edge] = e
		c.edges.list = append(c.edges.list, e)
	}
	if acceptOrder(from) < e.acceptOrder && !c.mutations.ignoresAcceptOrder {
		c.edges.byRemote[from] = e
		c.config.Log.Info("refused to attach an edge on an outdated connection", "edge", m.Edge)
		reply.Fail(errOutdatedConnection)
		closeOutdated(from)
		return
	}
	e.zone, e.draining = m.Zone, m.Draining
	if e.remote != from {
		c.connectEdge(e, from)
	}
	reply.Send(&wire.AttachReply{Epoch: c.epoch()})
	c.assignDue()
	c.flushPeers()
}

func (c *Core) connectEdge(e *edge, from Remote) {
	if old := c.edges.on(from); old != nil { // the connection belonged to another edge
		c.disconnectEdge(old)
	}
	if e.session > 0 {
		c.startClaimTimeout(e)
	}
	replaced := e.remote
	e.remote, e.acceptOrder = from, acceptOrder(from)
	e.session++
	e.claimedEpoch = 0
	c.edges.byRemote[from] = e
	if replaced != nil && !c.mutations.ignoresAcceptOrder {
		closeOutdated(replaced)
	}
}

// startClaimTimeout starts the time within which an edge must claim the messages that it leases.
func (c *Core) startClaimTimeout(e *edge) {
	if !e.mustClaim {
		e.mustClaim = true
		e.mustClaimSince = c.now.Steady
		c.wakeAt(e.mustClaimSince + c.config.ReconnectTimeout)
	}
}

// edgeDown handles that a connection is closed, which may be an edge's.
func (c *Core) edgeDown(remote Remote) {
	e := c.edges.on(remote)
	delete(c.edges.byRemote, remote)
	if e != nil {
		c.disconnectEdge(e)
	}
}

// disconnectEdge records that an edge has no connection. The edge keeps its leases if it reconnects and claims in time.
func (c *Core) disconnectEdge(e *edge) {
	e.remote = nil
	e.claimedEpoch = 0
	c.startClaimTimeout(e)
}

// expireEdges requeues the messages of edges that haven't reconnected or claimed in time, and removes those of the
// edges that are disconnected.
func (c *Core) expireEdges() {
	for _, e := range slices.Clone(c.edges.list) {
		if !e.mustClaim || c.now.Steady < e.mustClaimSince+c.config.ReconnectTimeout {
			continue
		}
		e.mustClaim = false
		c.requeueLeases(e, nil)
		if e.remote == nil {
			c.edges.remove(e)
			c.unreserve(e)
		}
	}
}

// requeueLeases requeues the messages that an edge has leased on earlier connections and doesn't claim.
func (c *Core) requeueLeases(e *edge, claimed map[string]struct{}) {
	for _, p := range c.partitions {
		if p == nil || !p.primary {
			continue
		}
		for _, leased := range p.sortedEntries(func(_ uint64, x *entry) bool { return x.delivery != nil && x.delivery.leaseholder == e }) {
			if _, ok := claimed[leased.id]; ok || leased.delivery.session == e.session && e.remote != nil {
				continue
			}
			c.requeueMessage(p, leased)
		}
	}
}

// ConnectedEdges returns the identities of the edges that are connected and have claimed their messages under the current
// epoch, in the order in which they first attached.
func (c *Core) ConnectedEdges() []string {
	var connected []string
	for _, e := range c.edges.list {
		if e.remote != nil && e.claimedEpoch == c.epoch() {
			connected = append(connected, e.id)
		}
	}
	return connected
}

// SetEdges sets the list of edges from the control plane. Once all of them have claimed, a new primary doesn't wait for
// the rest of its claim window.
func (c *Core) SetEdges(now Time, edges []wire.Edge) {
	c.now = now
	c.edges.setExpected(edges)
	c.openPartitions()
	c.assignDue()
	c.flushPeers()
}
