package queue

import (
	"slices"

	"ravendale/cluster/wire"
)

// View puts a newer placement of the partitions into force.
func (c *Core) View(now Time, view *wire.StoreView) {
	c.now = now
	if c.view != nil && view.Epoch <= c.view.Epoch {
		return
	}
	// Others may have led this store's partitions under an epoch that it was not told of.
	missed := c.view != nil && view.Epoch > c.view.Epoch+1 && c.fence > c.view.Epoch
	c.view = view
	c.raise(view.Epoch)
	c.updatePeers()
	for _, to := range c.peerList {
		to.waiting = nil
		to.dropFills()
	}
	for number := range view.Partitions {
		if p := c.at(uint16(number)); missed && p.primary {
			c.step(p)
			p.primary = false
		}
		c.assign(c.at(uint16(number)), &view.Partitions[number])
	}
	c.started = true
	c.openAll()
	c.handOver()
	c.finish()
	c.wakeAt(c.nextWake())
	if len(c.Status().Synced) > 0 {
		c.host.StatusChanged()
	}
}

// Peers are the other stores in the view.
func (c *Core) Peers() []wire.Store {
	if c.view == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(c.view.Stores), func(s wire.Store) bool { return s.Disk == c.config.Disk })
}

func (c *Core) updatePeers() {
	var list []*peer
	for _, store := range c.Peers() {
		to := c.peers[store.Disk]
		if to == nil {
			to = &peer{disk: store.Disk}
			c.peers[store.Disk] = to
		}
		list = append(list, to)
	}
	for _, to := range c.peerList {
		if !slices.Contains(list, to) {
			c.disconnect(to)
			delete(c.peers, to.disk)
		}
	}
	c.peerList = list
}

// disks resolves indices of stores.
func (c *Core) disks(indices []uint16) []string {
	var disks []string
	for _, i := range indices {
		if int(i) < len(c.view.Stores) {
			disks = append(disks, c.view.Stores[i].Disk)
		}
	}
	return disks
}

func (c *Core) others(disks []string) []*peer {
	var list []*peer
	for _, disk := range disks {
		if to := c.peers[disk]; to != nil {
			list = append(list, to)
		}
	}
	return list
}

// assign gives the store its part in a partition.
func (c *Core) assign(p *partition, place *wire.Placement) {
	replicas, joining := c.disks(place.Replicas), c.disks(place.Joining)
	wasPrimary := p.primary
	p.primary = len(replicas) > 0 && replicas[0] == c.config.Disk
	p.replica = slices.Contains(replicas, c.config.Disk)
	p.joining = !p.replica && slices.Contains(joining, c.config.Disk)
	oldMembers := p.members
	p.fillers = c.others(joining)
	p.members = append(c.others(replicas), p.fillers...)
	p.syncs = nil
	if p.primary {
		p.released = 0
		tellers := c.others(replicas)
		p.absent = false
		if place.Unsure {
			former := c.formerOf(p, place)
			p.absent = len(former) < len(place.Former)
			tellers = append(tellers, former...)
		}
		c.lead(p, wasPrimary, tellers, oldMembers)
		return
	}
	if wasPrimary {
		c.step(p)
	}
	c.release(p, len(joining) == 0 && len(place.Former) == 0 && len(replicas) >= c.config.Copies)
}

// formerOf are the joining members of a partition that were members before.
func (c *Core) formerOf(p *partition, place *wire.Placement) []*peer {
	former := c.others(c.disks(place.Former))
	return slices.DeleteFunc(slices.Clone(p.fillers), func(to *peer) bool { return !slices.Contains(former, to) })
}

// lead makes the store the primary of a partition, or goes on with it under a new epoch. Tellers are the members that may know more than
// this store: all replicas, if it has not led until now, and former members that join an unsure primary.
func (c *Core) lead(p *partition, wasPrimary bool, tellers, oldMembers []*peer) {
	if wasPrimary {
		untold := func(to *peer) bool { return slices.Contains(p.unmerged, to) || !slices.Contains(oldMembers, to) }
		p.unmerged = slices.DeleteFunc(slices.Clone(tellers), func(to *peer) bool { return !untold(to) })
	} else {
		p.unmerged = slices.Clone(tellers)
		p.ready = false
		p.since = c.now.Steady
		p.window = c.config.ClaimWindow
		if !c.started {
			p.window = c.config.RestartWindow
		}
	}
	c.unpark(p)
	for _, o := range slices.Clone(p.ops) {
		o.missing = 1<<len(p.members) - 1
		for member := range p.members {
			c.resend(o, member)
		}
		c.complete(o)
	}
	for _, to := range p.members {
		known := wasPrimary && slices.Contains(oldMembers, to)
		if !known || slices.Contains(p.unmerged, to) || slices.Contains(p.fillers, to) {
			c.compare(p, to)
		}
	}
}

// step ends the store's time as the primary of a partition.
func (c *Core) step(p *partition) {
	ops := p.ops
	p.ops = nil
	for _, o := range ops {
		o.index = -1
		for _, w := range o.waiters {
			w.refuse(wire.PutUnknown, c.epoch())
		}
		o.waiters = nil
		if o.end {
			c.settle(p, o.e)
		}
	}
	for _, o := range p.parked {
		if o.e.live != nil {
			o.e.live.waiting = false
		}
	}
	p.barrier, p.parked, p.confirmed = nil, nil, 0
	for _, e := range p.entries {
		if e.live != nil {
			c.unlease(e)
			e.live.last = nil
			e.live.putting = false
		}
	}
	p.ready = false
	p.unmerged = nil
}

// release lets go of a partition that others hold whole: not at once, for a store that was away for a moment is likely to be given it
// back, and then needs only what has changed.
func (c *Core) release(p *partition, whole bool) {
	switch {
	case p.replica || p.joining || !whole || len(p.entries) == 0:
		p.released = 0
	case p.released == 0:
		p.released = c.now.Steady + releasedFor
	}
}

// wipeReleased forgets partitions that were let go of, sooner if there is little room.
func (c *Core) wipeReleased() {
	for _, p := range c.partitions {
		if p == nil || p.released == 0 || c.now.Steady < p.released && !c.tight() {
			continue
		}
		c.write(&Record{Kind: RecordWipe, Partition: p.number})
		c.wipeTable(p)
		p.released = 0
	}
}

// tight says whether the store has half as much as it can hold.
func (c *Core) tight() bool {
	return c.crowded() || c.config.MaxMessages > 0 && c.messages*2 > c.config.MaxMessages
}

// crowded says whether the disk has so much that old segments are rewritten.
func (c *Core) crowded() bool {
	return c.config.DiskBytes > 0 && c.journal.Used()*100 > c.config.DiskBytes*rewriteAbove
}

func (w waiter) refuse(code wire.PutCode, epoch uint64) {
	if w.put {
		w.reply.Send(&wire.PutReply{Code: code, Epoch: epoch})
		return
	}
	w.reply.Send(&wire.ReportReply{Code: code, Epoch: epoch})
}
