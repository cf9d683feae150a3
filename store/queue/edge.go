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
	claimedEpoch   uint64           // epoch for which it has said what it holds, on this connection
	assigned       int              // messages that it was given whole and that have not ended
	reserved       []unownedMessage // messages that only it is to be given, while it lives
	lastAssignment uint64           // when it was given one last
	mustClaim      bool             // it holds messages from before it went, which it has not claimed
	mustClaimSince time.Duration
}

// AttachEdge tells who is at the other end of a connection.
func (c *Core) AttachEdge(now Time, from Remote, m *wire.Attach, reply Replier) {
	c.now = now
	e := c.edges[m.Edge]
	if e == nil {
		e = &edge{id: m.Edge}
		c.edges[m.Edge] = e
		c.edgeList = append(c.edgeList, e)
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
	if old := c.edgeOf[from]; old != nil { // the connection was another's
		c.disconnectEdge(old)
	}
	if e.remote != nil {
		delete(c.edgeOf, e.remote)
	}
	if e.session > 0 {
		c.startClaimTimeout(e)
	}
	e.remote = from
	e.session++
	e.claimedEpoch = 0
	c.edgeOf[from] = e
}

// startClaimTimeout starts the time in which an edge must claim what it holds.
func (c *Core) startClaimTimeout(e *edge) {
	if !e.mustClaim {
		e.mustClaim = true
		e.mustClaimSince = c.now.Steady
		c.wakeAt(e.mustClaimSince + c.config.ReconnectTimeout)
	}
}

// EdgeDown tells that an edge's connection is lost.
func (c *Core) EdgeDown(now Time, remote Remote) {
	c.now = now
	if e := c.edgeOf[remote]; e != nil {
		c.disconnectEdge(e)
	}
}

func (c *Core) disconnectEdge(e *edge) {
	delete(c.edgeOf, e.remote)
	e.remote = nil
	e.claimedEpoch = 0
	c.startClaimTimeout(e)
}

// expireEdges takes back what edges hold that have gone for too long.
func (c *Core) expireEdges() {
	for _, e := range slices.Clone(c.edgeList) {
		if !e.mustClaim || c.now.Steady < e.mustClaimSince+c.config.ReconnectTimeout {
			continue
		}
		e.mustClaim = false
		c.requeueLeases(e, nil)
		if e.remote == nil {
			delete(c.edges, e.id)
			c.edgeList = slices.DeleteFunc(c.edgeList, func(other *edge) bool { return other == e })
			c.unreserve(e)
		}
	}
}

// requeueLeases makes orphans of what an edge was given on earlier connections, but for what it claims.
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

// SetEdges tells which schedulers there are.
func (c *Core) SetEdges(now Time, edges []wire.Edge) {
	c.now = now
	c.expectedEdges = c.expectedEdges[:0]
	for i := range edges {
		c.expectedEdges = append(c.expectedEdges, edges[i].ID)
	}
	c.openPartitions()
	c.assignDue()
	c.flushPeers()
}

// allClaimed says whether every scheduler there is has said what it holds.
func (c *Core) allClaimed() bool {
	for _, id := range c.expectedEdges {
		if e := c.edges[id]; e == nil || e.claimedEpoch != c.epoch() {
			return false
		}
	}
	return len(c.expectedEdges) > 0
}

// ClaimMessages notes what an edge holds.
func (c *Core) ClaimMessages(now Time, from Remote, m *wire.Claim, reply Replier) {
	c.now = now
	e := c.edgeOf[from]
	if e == nil || c.view == nil || m.Epoch != c.view.Epoch || c.newestEpoch > c.view.Epoch {
		reply.Send(&wire.ClaimReply{Code: wire.PutStale, Epoch: c.newestEpoch})
		return
	}
	answer := &wire.ClaimReply{Code: wire.PutKept, Epoch: c.epoch()}
	claimed := make(map[string]struct{}, len(m.IDs))
	for _, id := range m.IDs {
		if c.claimMessage(e, id) {
			claimed[id] = struct{}{}
		} else {
			answer.Unknown = append(answer.Unknown, id)
		}
	}
	if e.mustClaim {
		e.mustClaim = false
		c.requeueLeases(e, claimed)
	}
	e.claimedEpoch = c.epoch()
	c.unreserve(e)
	reply.Send(answer)
	c.openPartitions()
	c.assignDue()
	c.flushPeers()
}

// claimMessage says whether an edge may keep a message.
func (c *Core) claimMessage(by *edge, id string) bool {
	number, ok := wire.PartitionOf(id)
	p := c.lookUpPartition(number)
	if !ok {
		return false
	}
	if p == nil || !p.primary {
		return true // not this store's to say
	}
	e, _ := p.find(id)
	if e == nil || !e.pending() || e.delivery.leaseholder != nil && e.delivery.leaseholder != by {
		return false
	}
	assigned := e.delivery.assigned && e.delivery.leaseholder == by
	if e.delivery.leaseholder == nil {
		c.scheduleRegrant(p, e)
	}
	c.startLease(e, by)
	c.recordLeaseholder(p, e, by)
	if assigned {
		e.delivery.assigned = true
		by.assigned++
	}
	e.delivery.granted = false
	c.grantOrRequeue(p, e, false)
	return true
}

// startLease gives an edge the right to deliver a message.
func (c *Core) startLease(e *entry, to *edge) {
	c.releaseLease(e)
	e.delivery.leaseholder = to
	e.delivery.session = to.session
}

func (c *Core) releaseLease(e *entry) {
	if e.delivery == nil || e.delivery.leaseholder == nil {
		return
	}
	c.unassign(e.delivery)
	e.delivery.leaseholder = nil
	e.delivery.granted = false
	e.delivery.grantPending = false
}

// recordLeaseholder has all members note who may deliver a message.
func (c *Core) recordLeaseholder(p *partition, e *entry, by *edge) {
	if e.delivery.lastLeaseholder == by.id {
		return
	}
	p.change(e, func() { e.delivery.lastLeaseholder = by.id })
	payload, _, position := c.appendRecord(&Record{Kind: RecordLeaseholder, Partition: p.number, ID: e.id, Leaseholder: by.id})
	c.beginOp(p, e, position, payload).put = e.delivery.accepting
}

// isDeliverable says whether a message may be delivered now as far as its order goes.
func (c *Core) isDeliverable(p *partition, e *entry) bool {
	if !p.primary || !p.ready || !e.pending() || e.delivery.accepting {
		return false
	}
	return e.delivery.key == nil || e.delivery.key.head() == e
}

// grantOrRequeue grants a message to its holder if it may run, or makes an orphan of it. Quiet: the holder hears of it by a reply.
func (c *Core) grantOrRequeue(p *partition, e *entry, quiet bool) {
	if !e.pending() || !c.isDeliverable(p, e) {
		return
	}
	if e.delivery.leaseholder == nil {
		c.requeueMessage(p, e)
		return
	}
	if e.delivery.key == nil || e.delivery.granted {
		return
	}
	e.delivery.granted = true
	if !quiet && e.delivery.leaseholder.remote != nil {
		_ = e.delivery.leaseholder.remote.Notify(wire.MethodGrant, &wire.Grant{Partition: p.number, Epoch: c.epoch(), ID: e.id, Failed: e.failed})
	}
}

// openPartitions lets partitions hand out whose time has come.
func (c *Core) openPartitions() {
	for _, p := range c.partitions {
		if p != nil && p.primary && !p.ready {
			c.openPartition(p)
		}
	}
}

// isMergePending says whether other stores may know more of a partition than its primary.
func (p *partition) isMergePending() bool { return p.formerMembersAway || len(p.unmerged) > 0 }

// openPartition lets a partition hand out messages, if all is known that the other replicas knew, and edges have claimed.
func (c *Core) openPartition(p *partition) {
	if p.isMergePending() {
		return
	}
	if c.now.Steady < p.primarySince+p.claimWindow && !c.allClaimed() {
		c.wakeAt(p.primarySince + p.claimWindow)
		return
	}
	p.ready = true
	for _, e := range p.sorted(func(_ uint64, e *entry) bool { return e.pending() }) {
		c.grantOrRequeue(p, e, false)
	}
}
