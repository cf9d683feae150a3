package queue

import (
	"slices"

	"ravendale/cluster/wire"
)

// SetView puts a newer placement of the partitions into force.
func (c *Core) SetView(now Time, view *wire.StoreView) {
	c.now = now
	if c.view != nil && view.Epoch <= c.view.Epoch {
		return
	}
	// Others may have led this store's partitions under an epoch that it has not seen.
	missed := c.view != nil && view.Epoch > c.view.Epoch+1 && c.newestEpoch > c.view.Epoch
	c.view = view
	c.raiseEpoch(view.Epoch)
	c.updatePeers()
	for _, to := range c.peers.list {
		to.awaitingAck = nil
		to.cancelComparisons()
	}
	for number := range view.Partitions {
		if p := c.partition(uint16(number)); missed && p.primary {
			c.stepDown(p)
			p.primary = false
		}
		c.applyPlacement(c.partition(uint16(number)), &view.Partitions[number])
	}
	c.viewSeen = true
	c.openPartitions()
	c.assignDue()
	c.flushPeers()
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
		to := c.peers.byDisk[store.Disk]
		if to == nil {
			to = &peer{disk: store.Disk}
			c.peers.byDisk[store.Disk] = to
		}
		list = append(list, to)
	}
	for _, to := range c.peers.list {
		if !slices.Contains(list, to) {
			c.disconnectPeer(to)
			delete(c.peers.byDisk, to.disk)
		}
	}
	c.peers.list = list
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

func (c *Core) peersOf(disks []string) []*peer {
	var list []*peer
	for _, disk := range disks {
		if to := c.peers.byDisk[disk]; to != nil {
			list = append(list, to)
		}
	}
	return list
}

// applyPlacement gives the store its role in a partition.
func (c *Core) applyPlacement(p *partition, placement *wire.Placement) {
	replicas, joining := c.disks(placement.Replicas), c.disks(placement.Joining)
	wasPrimary := p.primary
	p.primary = len(replicas) > 0 && replicas[0] == c.config.Disk
	p.replica = slices.Contains(replicas, c.config.Disk)
	p.joining = !p.replica && slices.Contains(joining, c.config.Disk)
	oldMembers := p.members
	p.joiners = c.peersOf(joining)
	p.members = append(c.peersOf(replicas), p.joiners...)
	p.comparisons = nil
	if p.primary {
		p.wipeAt = 0
		sources := c.peersOf(replicas)
		p.formerMembersAway = false
		if placement.Unsure {
			former := c.formerJoiners(p, placement)
			p.formerMembersAway = len(former) < len(placement.Former)
			sources = append(sources, former...)
		}
		c.lead(p, wasPrimary, sources, oldMembers)
		return
	}
	if wasPrimary {
		c.stepDown(p)
	}
	c.scheduleWipe(p, len(joining) == 0 && len(placement.Former) == 0 && len(replicas) >= c.config.Copies)
}

// formerJoiners are the joining members of a partition that were members before.
func (c *Core) formerJoiners(p *partition, placement *wire.Placement) []*peer {
	former := c.peersOf(c.disks(placement.Former))
	return slices.DeleteFunc(slices.Clone(p.joiners), func(to *peer) bool { return !slices.Contains(former, to) })
}

// lead makes the store the primary of a partition, or goes on with it under a new epoch. Sources are the members that may know more than
// this store: all replicas, if it has not led until now, and former members that join an unsure primary.
func (c *Core) lead(p *partition, wasPrimary bool, sources, oldMembers []*peer) {
	if wasPrimary {
		isUnmerged := func(to *peer) bool { return slices.Contains(p.unmerged, to) || !slices.Contains(oldMembers, to) }
		p.unmerged = slices.DeleteFunc(slices.Clone(sources), func(to *peer) bool { return !isUnmerged(to) })
	} else {
		p.unmerged = slices.Clone(sources)
		p.ready = false
		p.primarySince = c.now.Steady
		p.claimWindow = c.config.ClaimWindow
		if !c.viewSeen {
			p.claimWindow = c.config.RestartWindow
		}
	}
	c.endBarrier(p)
	for _, o := range slices.Clone(p.ops) {
		o.unacked = 1<<len(p.members) - 1
		for member := range p.members {
			c.resend(o, member)
		}
		c.complete(o)
	}
	for _, to := range p.members {
		known := wasPrimary && slices.Contains(oldMembers, to)
		if !known || slices.Contains(p.unmerged, to) || slices.Contains(p.joiners, to) {
			c.compare(p, to)
		}
	}
}

// stepDown ends the store's time as the primary of a partition: operations are given up, and all leases end.
func (c *Core) stepDown(p *partition) {
	ops := p.ops
	p.ops = nil
	for _, o := range ops {
		o.index = -1
		for _, w := range o.waiters {
			w.refuse(wire.PutUnknown, c.epoch())
		}
		o.waiters = nil
		if o.finish {
			c.dropDelivery(p, o.e)
		}
	}
	for _, o := range p.deferred {
		if o.e.delivery != nil {
			o.e.delivery.queued = false
		}
	}
	p.barrier, p.deferred, p.confirmedAt = nil, nil, 0
	for _, e := range p.entries {
		if e.delivery != nil {
			c.releaseLease(e)
			e.delivery.lastChange = nil
			e.delivery.accepting = false
		}
	}
	p.ready = false
	p.unmerged = nil
}
