package queue

import "time"

// partition is this store's state of one partition.
type partition struct {
	table
	number              uint16
	primary             bool
	replica             bool
	joining             bool
	primarySince        time.Duration // when the store became the primary
	claimWindow         time.Duration // nothing is granted for this long after primarySince, unless all edges have claimed earlier
	ready               bool          // the store is the primary, and may grant messages
	members             []*peer       // the other replicas, followed by the joining members
	unmerged            []*peer       // members that may have messages or outcomes that this primary lacks: their comparison isn't finished
	formerMembersAbsent bool          // the placement is marked unsure, and not all former members are among the joining ones
	joiners             []*peer       // members that don't have the complete partition yet
	comparisons         []*comparison
	ops                 []*op
	wipeAt              time.Duration    // when the store wipes its copy, which it isn't a member for any more; zero if it keeps it
	filledEpoch         uint64           // epoch in which the primary notified this store that it has the complete partition
	confirmedAt         time.Duration    // start time of the newest operation that all members have acknowledged
	barrier             *op              // the barrier in progress, if any
	deferred            []unownedMessage // messages to be assigned once the barrier is acknowledged
}

// partition returns the partition with a number, and creates it if necessary.
func (c *Core) partition(number uint16) *partition {
	for int(number) >= len(c.partitions) {
		c.partitions = append(c.partitions, nil)
	}
	if c.partitions[number] == nil {
		c.partitions[number] = &partition{table: newTable(), number: number}
	}
	return c.partitions[number]
}

// lookUpPartition returns the partition with a number, or nil if this store has none.
func (c *Core) lookUpPartition(number uint16) *partition {
	if int(number) >= len(c.partitions) {
		return nil
	}
	return c.partitions[number]
}

// isMergePending reports whether other stores may have messages or outcomes of the partition that its primary lacks.
func (p *partition) isMergePending() bool { return p.formerMembersAbsent || len(p.unmerged) > 0 }

// openPartitions calls openPartition for each partition of this primary that isn't ready.
func (c *Core) openPartitions() {
	for _, p := range c.partitions {
		if p != nil && p.primary && !p.ready {
			c.openPartition(p)
		}
	}
}

// openPartition lets the primary grant messages of a partition, once all messages and outcomes of the other replicas
// are merged, and all edges have claimed their messages or the claim window is over. The list of edges may be older than
// a lease in the partition: the window isn't cut short while a leaseholder may be an edge that the list lacks.
func (c *Core) openPartition(p *partition) {
	if p.isMergePending() {
		return
	}
	claimsMissing := !c.edges.allClaimed(c.epoch()) || !c.knowsLeaseholders(p)
	if claimsMissing && c.now.Steady < p.primarySince+p.claimWindow {
		c.wakeAt(p.primarySince + p.claimWindow)
		return
	}
	p.ready = true
	for _, e := range p.sortedEntries(func(_ uint64, e *entry) bool { return e.pending() }) {
		c.grantOrRequeue(p, e, false)
	}
}

// knowsLeaseholders reports whether each edge that leased a pending message of a partition last is known: it has claimed,
// or was listed by the control plane, which lists it no more if it is gone.
func (c *Core) knowsLeaseholders(p *partition) bool {
	if c.mutations.trustsEdgeList {
		return true
	}
	for _, e := range p.entries {
		if e.pending() && c.edges.mayBeUnlisted(e.lastLeaseholder(), c.epoch()) {
			return false
		}
	}
	return true
}

func (c *Core) wipeTable(p *partition) {
	for _, e := range p.entries {
		c.releaseLease(e)
		c.clearLocation(e)
		c.messageCount--
	}
	horizon := p.horizon
	p.table = newTable()
	p.horizon = horizon
}
