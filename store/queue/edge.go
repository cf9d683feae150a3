package queue

import (
	"slices"
	"time"

	"ravendale/cluster/wire"
)

// edge is a scheduler that delivers messages.
type edge struct {
	id       string
	zone     string
	remote   Remote // nil while there is no connection
	draining bool
	session  uint16        // raised with each connection
	claimed  uint64        // epoch for which it has said what it holds, on this connection
	given    int           // messages that it was given whole and that have not ended
	waiting  []orphanEntry // messages that only it is to be given, while it lives
	turn     uint64        // when it was given one last
	stale    bool          // it holds messages from before it went, which it has not claimed
	since    time.Duration
}

// Attach tells who is at the other end of a connection.
func (c *Core) Attach(now Time, from Remote, m *wire.Attach, reply Replier) {
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
	c.handOver()
	c.finish()
}

func (c *Core) connectEdge(e *edge, from Remote) {
	if old := c.edgeOf[from]; old != nil { // the connection was another's
		c.lose(old)
	}
	if e.remote != nil {
		delete(c.edgeOf, e.remote)
	}
	if e.session > 0 {
		c.suspect(e)
	}
	e.remote = from
	e.session++
	e.claimed = 0
	c.edgeOf[from] = e
}

// suspect starts the time in which an edge must claim what it holds.
func (c *Core) suspect(e *edge) {
	if !e.stale {
		e.stale = true
		e.since = c.now.Steady
		c.wakeAt(e.since + c.config.EdgeGrace)
	}
}

// EdgeDown tells that an edge's connection is lost.
func (c *Core) EdgeDown(now Time, remote Remote) {
	c.now = now
	if e := c.edgeOf[remote]; e != nil {
		c.lose(e)
	}
}

func (c *Core) lose(e *edge) {
	delete(c.edgeOf, e.remote)
	e.remote = nil
	e.claimed = 0
	c.suspect(e)
}

// dropEdges takes back what edges hold that have gone for too long.
func (c *Core) dropEdges() {
	for _, e := range slices.Clone(c.edgeList) {
		if !e.stale || c.now.Steady < e.since+c.config.EdgeGrace {
			continue
		}
		e.stale = false
		c.takeBack(e, nil)
		if e.remote == nil {
			delete(c.edges, e.id)
			c.edgeList = slices.DeleteFunc(c.edgeList, func(other *edge) bool { return other == e })
			c.unqueue(e)
		}
	}
}

// takeBack makes orphans of what an edge was given on earlier connections, but for what it claims.
func (c *Core) takeBack(e *edge, claimed map[string]struct{}) {
	for _, p := range c.partitions {
		if p == nil || !p.primary {
			continue
		}
		for _, held := range p.sorted(func(_ uint64, x *entry) bool { return x.live != nil && x.live.holder == e }) {
			if _, ok := claimed[held.id]; ok || held.live.session == e.session && e.remote != nil {
				continue
			}
			c.orphan(p, held)
		}
	}
}

// Edges tells which schedulers there are.
func (c *Core) Edges(now Time, edges []wire.Edge) {
	c.now = now
	c.listed = c.listed[:0]
	for i := range edges {
		c.listed = append(c.listed, edges[i].ID)
	}
	c.openAll()
	c.handOver()
	c.finish()
}

// allClaimed says whether every scheduler there is has said what it holds.
func (c *Core) allClaimed() bool {
	for _, id := range c.listed {
		if e := c.edges[id]; e == nil || e.claimed != c.epoch() {
			return false
		}
	}
	return len(c.listed) > 0
}

// Claim notes what an edge holds.
func (c *Core) Claim(now Time, from Remote, m *wire.Claim, reply Replier) {
	c.now = now
	e := c.edgeOf[from]
	if e == nil || c.view == nil || m.Epoch != c.view.Epoch || c.fence > c.view.Epoch {
		reply.Send(&wire.ClaimReply{Code: wire.PutStale, Epoch: c.fence})
		return
	}
	answer := &wire.ClaimReply{Code: wire.PutKept, Epoch: c.epoch()}
	claimed := make(map[string]struct{}, len(m.IDs))
	for _, id := range m.IDs {
		if c.claim(e, id) {
			claimed[id] = struct{}{}
		} else {
			answer.Unknown = append(answer.Unknown, id)
		}
	}
	if e.stale {
		e.stale = false
		c.takeBack(e, claimed)
	}
	e.claimed = c.epoch()
	c.unqueue(e)
	reply.Send(answer)
	c.openAll()
	c.handOver()
	c.finish()
}

// claim says whether an edge may keep a message.
func (c *Core) claim(by *edge, id string) bool {
	number, ok := wire.PartitionOf(id)
	p := c.known(number)
	if !ok {
		return false
	}
	if p == nil || !p.primary {
		return true // not this store's to say
	}
	e, _ := p.find(id)
	if e == nil || !e.pending() || e.live.holder != nil && e.live.holder != by {
		return false
	}
	whole := e.live.whole && e.live.holder == by
	if e.live.holder == nil {
		c.remindLater(p, e)
	}
	c.lease(e, by)
	c.own(p, e, by)
	if whole {
		e.live.whole = true
		by.given++
	}
	e.live.granted = false
	c.turn(p, e, false)
	return true
}

// lease gives an edge the right to deliver a message.
func (c *Core) lease(e *entry, to *edge) {
	c.unlease(e)
	e.live.holder = to
	e.live.session = to.session
}

func (c *Core) unlease(e *entry) {
	if e.live == nil || e.live.holder == nil {
		return
	}
	c.uncount(e.live)
	e.live.holder = nil
	e.live.granted = false
	e.live.owed = false
}

// own has all members note who may deliver a message.
func (c *Core) own(p *partition, e *entry, by *edge) {
	if e.live.owner == by.id {
		return
	}
	p.change(e, func() { e.live.owner = by.id })
	payload, _, position := c.write(&Record{Kind: RecordHolder, Partition: p.number, ID: e.id, Holder: by.id})
	c.begin(p, e, position, payload).put = e.live.putting
}

// mayRun says whether a message may be delivered now as far as its order goes.
func (c *Core) mayRun(p *partition, e *entry) bool {
	if !p.primary || !p.ready || !e.pending() || e.live.putting {
		return false
	}
	return e.live.key == nil || e.live.key.head() == e
}

// turn grants a message to its holder if it may run, or makes an orphan of it. Quiet: the holder hears of it by a reply.
func (c *Core) turn(p *partition, e *entry, quiet bool) {
	if !e.pending() || !c.mayRun(p, e) {
		return
	}
	if e.live.holder == nil {
		c.orphan(p, e)
		return
	}
	if e.live.key == nil || e.live.granted {
		return
	}
	e.live.granted = true
	if !quiet && e.live.holder.remote != nil {
		_ = e.live.holder.remote.Notify(wire.MethodGrant, &wire.Grant{Partition: p.number, Epoch: c.epoch(), ID: e.id, Failed: e.failed})
	}
}

// openAll lets partitions hand out whose time has come.
func (c *Core) openAll() {
	for _, p := range c.partitions {
		if p != nil && p.primary && !p.ready {
			c.open(p)
		}
	}
}

// untold says whether other stores may know more of a partition than its primary.
func (p *partition) untold() bool { return p.absent || len(p.unmerged) > 0 }

// open lets a partition hand out messages, if all is known that the other replicas knew, and edges have claimed.
func (c *Core) open(p *partition) {
	if p.untold() {
		return
	}
	if c.now.Steady < p.since+p.window && !c.allClaimed() {
		c.wakeAt(p.since + p.window)
		return
	}
	p.ready = true
	for _, e := range p.sorted(func(_ uint64, e *entry) bool { return e.pending() }) {
		c.turn(p, e, false)
	}
}
