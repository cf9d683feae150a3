package queue

import (
	"slices"

	"ravendale/cluster/wire"
)

// SetView applies a newer placement of the partitions. It ignores a view that isn't newer than the current one.
func (c *Core) SetView(now Time, view *wire.StoreView) {
	c.now = now
	if c.view != nil && view.Epoch <= c.view.Epoch {
		return
	}
	// Other stores may have been the primaries of this store's partitions in an epoch whose view this store has missed.
	missedEpoch := c.view != nil && view.Epoch > c.view.Epoch+1 && c.newestEpoch > c.view.Epoch
	c.view = view
	c.raiseEpoch(view.Epoch)
	c.updatePeers()
	for _, to := range c.peers.list {
		to.awaitingAck = nil
		to.cancelComparisons()
	}
	for number := range view.Partitions {
		if p := c.partition(uint16(number)); missedEpoch && p.primary {
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

// Peers returns the other stores of the view.
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

// disks returns the disks of the stores with the given indices in the view.
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
		p.formerMembersAbsent = false
		if placement.Unsure {
			former := c.formerJoiners(p, placement)
			p.formerMembersAbsent = len(former) < len(placement.Former)
			sources = append(sources, former...)
		}
		c.actAsPrimary(p, wasPrimary, sources, oldMembers)
		return
	}
	if wasPrimary {
		c.stepDown(p)
	}
	c.scheduleWipe(p, len(joining) == 0 && len(placement.Former) == 0 && len(replicas) >= c.config.Copies)
}

// formerJoiners returns the joining members of a partition that are among its former members.
func (c *Core) formerJoiners(p *partition, placement *wire.Placement) []*peer {
	former := c.peersOf(c.disks(placement.Former))
	return slices.DeleteFunc(slices.Clone(p.joiners), func(to *peer) bool { return !slices.Contains(former, to) })
}

// actAsPrimary makes this store the primary of a partition, or continues as the primary under a new epoch. Sources are
// the members that may have messages or outcomes that this store lacks: the other replicas and, if the placement is
// unsure, the former members that join again. If this store was the primary before, it has merged the sources that
// were members already, except those still in p.unmerged.
func (c *Core) actAsPrimary(p *partition, wasPrimary bool, sources, oldMembers []*peer) {
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
		unchanged := wasPrimary && slices.Contains(oldMembers, to)
		if !unchanged || slices.Contains(p.unmerged, to) || slices.Contains(p.joiners, to) {
			c.compare(p, to)
		}
	}
}

// stepDown makes this store stop being the primary of a partition: it ends all leases, and drops all operations,
// refusing the requests that wait for them.
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
	for _, m := range p.deferred {
		if m.e.delivery != nil {
			m.e.delivery.queued = false
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
