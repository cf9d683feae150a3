package queue

import (
	"slices"
	"time"

	"ravendale/cluster/wire"
)

// edge is a scheduler that delivers messages.
type edge struct {
	id             string
	zone           string
	remote         Remote // nil while there is no connection
	draining       bool
	session        uint16           // raised with each connection
	claimedEpoch   uint64           // epoch under which it has claimed, on this connection
	assigned       int              // messages that it was assigned, sent with their body, and has not finished
	reserved       []unownedMessage // unowned messages that wait for this edge, while it is connected
	lastAssignment uint64           // when it was assigned one last, as a count
	mustClaim      bool             // it leases messages since an earlier connection, and has not claimed them yet
	mustClaimSince time.Duration
}

// edgeSet are the schedulers that are connected, or have been a moment ago.
type edgeSet struct {
	byID     map[string]*edge
	byRemote map[Remote]*edge // those that are connected
	list     []*edge          // in the order in which they came
	expected []string         // identities of all that the control plane names
}

func newEdgeSet() edgeSet {
	return edgeSet{byID: make(map[string]*edge), byRemote: make(map[Remote]*edge)}
}

// claimsDue is when the first edge loses what it has not claimed; never, if none has to claim.
func (s *edgeSet) claimsDue(timeout time.Duration) time.Duration {
	due := never
	for _, e := range s.list {
		if e.mustClaim {
			due = min(due, e.mustClaimSince+timeout)
		}
	}
	return due
}

// allClaimed says whether every scheduler there is has said what it leases under an epoch.
func (s *edgeSet) allClaimed(epoch uint64) bool {
	for _, id := range s.expected {
		if e := s.byID[id]; e == nil || e.claimedEpoch != epoch {
			return false
		}
	}
	return len(s.expected) > 0
}

func (s *edgeSet) remove(e *edge) {
	delete(s.byID, e.id)
	s.list = slices.DeleteFunc(s.list, func(other *edge) bool { return other == e })
}

// grant notifies an edge, if it is connected, that it may deliver a message that it has.
func (e *edge) grant(epoch uint64, p *partition, m *entry) {
	if e.remote != nil {
		_ = e.remote.Notify(wire.MethodGrant, &wire.Grant{Partition: p.number, Epoch: epoch, ID: m.id, Failed: m.failed})
	}
}

// AttachEdge handles that an edge says who it is, on its connection.
func (c *Core) AttachEdge(now Time, from Remote, m *wire.Attach, reply Replier) {
	c.now = now
	e := c.edges.byID[m.Edge]
	if e == nil {
		e = &edge{id: m.Edge}
		c.edges.byID[m.Edge] = e
		c.edges.list = append(c.edges.list, e)
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
	if old := c.edges.byRemote[from]; old != nil { // the connection was another's
		c.disconnectEdge(old)
	}
	if e.remote != nil {
		delete(c.edges.byRemote, e.remote)
	}
	if e.session > 0 {
		c.startClaimTimeout(e)
	}
	e.remote = from
	e.session++
	e.claimedEpoch = 0
	c.edges.byRemote[from] = e
}

// startClaimTimeout starts the time in which an edge must claim what it leases.
func (c *Core) startClaimTimeout(e *edge) {
	if !e.mustClaim {
		e.mustClaim = true
		e.mustClaimSince = c.now.Steady
		c.wakeAt(e.mustClaimSince + c.config.ReconnectTimeout)
	}
}

// EdgeDown handles that an edge's connection is closed.
func (c *Core) EdgeDown(now Time, remote Remote) {
	c.now = now
	if e := c.edges.byRemote[remote]; e != nil {
		c.disconnectEdge(e)
	}
}

func (c *Core) disconnectEdge(e *edge) {
	delete(c.edges.byRemote, e.remote)
	e.remote = nil
	e.claimedEpoch = 0
	c.startClaimTimeout(e)
}

// expireEdges requeues what edges lease that have not come back or claimed in time, and drops those that are away.
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

// requeueLeases requeues what an edge has leased on earlier connections, but for what it claims.
func (c *Core) requeueLeases(e *edge, claimed map[string]struct{}) {
	for _, p := range c.partitions {
		if p == nil || !p.primary {
			continue
		}
		for _, leased := range p.sorted(func(_ uint64, x *entry) bool { return x.delivery != nil && x.delivery.leaseholder == e }) {
			if _, ok := claimed[leased.id]; ok || leased.delivery.session == e.session && e.remote != nil {
				continue
			}
			c.requeueMessage(p, leased)
		}
	}
}

// SetEdges takes the list of edges from the control plane: once all of them have claimed, a new primary need not wait any longer.
func (c *Core) SetEdges(now Time, edges []wire.Edge) {
	c.now = now
	c.edges.expected = c.edges.expected[:0]
	for i := range edges {
		c.edges.expected = append(c.edges.expected, edges[i].ID)
	}
	c.openPartitions()
	c.assignDue()
	c.flushPeers()
}
