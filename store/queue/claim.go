package queue

import "ravendale/cluster/wire"

// ClaimMessages leases to an edge the messages that it claims to have, under the current epoch. After a reconnection,
// messages that the edge leased before and doesn't claim are requeued. The reply lists the claimed messages that the
// edge must not continue with.
func (c *Core) ClaimMessages(now Time, from Remote, m *wire.Claim, reply Replier) {
	c.now = now
	e := c.edges.on(from)
	if e == nil || c.view == nil || m.Epoch != c.view.Epoch || c.newestEpoch > c.view.Epoch {
		reply.Send(&wire.ClaimReply{Code: wire.PutStale, Epoch: c.newestEpoch})
		return
	}
	answer := &wire.ClaimReply{Code: wire.PutAccepted, Epoch: c.epoch()}
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
	c.retryAwaitingConfig()
	reply.Send(answer)
	c.openPartitions()
	c.assignDue()
	c.flushPeers()
}

// claimMessage leases a message to an edge that claims it, and reports whether the edge may continue with it.
func (c *Core) claimMessage(by *edge, id string) bool {
	number, ok := wire.PartitionOf(id)
	p := c.lookUpPartition(number)
	if !ok {
		return false
	}
	if p == nil || !p.primary {
		return true // only the primary of the partition can refuse the claim
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
