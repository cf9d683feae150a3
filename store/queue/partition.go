package queue

import "time"

// partition is one partition as the store knows it.
type partition struct {
	table
	number            uint16
	primary           bool
	replica           bool
	joining           bool
	primarySince      time.Duration // from when the store has been primary
	claimWindow       time.Duration // nothing is granted for so long after, unless all edges have claimed
	ready             bool          // of a primary: it may grant messages
	members           []*peer       // the other replicas, and the joiners
	unmerged          []*peer       // replicas that may still know more than the new primary
	formerMembersAway bool          // of a primary that is unsure: former members that may know more are away
	joiners           []*peer       // joining members
	comparisons       []*comparison
	ops               []*op
	wipeAt            time.Duration    // when what is left of it is wiped; zero: not at all
	filledEpoch       uint64           // epoch under which the primary said that this store has it complete
	confirmedAt       time.Duration    // when the newest operation began that all members have acknowledged
	barrier           *op              // under way
	deferred          []unownedMessage // wait for the barrier
}

// partition returns a partition, made if need be.
func (c *Core) partition(number uint16) *partition {
	for int(number) >= len(c.partitions) {
		c.partitions = append(c.partitions, nil)
	}
	if c.partitions[number] == nil {
		c.partitions[number] = &partition{table: newTable(), number: number}
	}
	return c.partitions[number]
}

// lookUpPartition returns a partition, nil if there is none of the number.
func (c *Core) lookUpPartition(number uint16) *partition {
	if int(number) >= len(c.partitions) {
		return nil
	}
	return c.partitions[number]
}

// isMergePending says whether other stores may know more of a partition than its primary.
func (p *partition) isMergePending() bool { return p.formerMembersAway || len(p.unmerged) > 0 }

// openPartitions opens the partitions whose time has come.
func (c *Core) openPartitions() {
	for _, p := range c.partitions {
		if p != nil && p.primary && !p.ready {
			c.openPartition(p)
		}
	}
}

// openPartition has a primary grant messages of a partition, if all is known that the other replicas knew, and edges have claimed or had the
// time for it.
func (c *Core) openPartition(p *partition) {
	if p.isMergePending() {
		return
	}
	if c.now.Steady < p.primarySince+p.claimWindow && !c.edges.allClaimed(c.epoch()) {
		c.wakeAt(p.primarySince + p.claimWindow)
		return
	}
	p.ready = true
	for _, e := range p.sorted(func(_ uint64, e *entry) bool { return e.pending() }) {
		c.grantOrRequeue(p, e, false)
	}
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
