package queue

import "container/heap"

// startBarrier sends an empty Replicate to all members. Once all members have acknowledged it, it is certain that none
// of them knew a newer epoch when it was sent, so this store was the primary then.
func (c *Core) startBarrier(p *partition) {
	if p.barrier != nil {
		return
	}
	o := &op{p: p, startedAt: c.now.Steady, synced: true, index: len(p.ops)}
	p.ops = append(p.ops, o)
	p.barrier = o
	for member := range p.members {
		o.unacked |= 1 << member
		c.resend(o, member)
	}
	c.complete(o)
}

// sendBarrier sends the empty Replicate of a barrier to one member.
func (c *Core) sendBarrier(o *op, member int) {
	to := o.p.members[member]
	to.flush(c.epoch())
	to.number++
	to.awaitingAck = append(to.awaitingAck, peerWait{number: to.number, op: o, member: member})
	_ = to.remote.Notify(MethodReplicate, &Replicate{Epoch: c.epoch(), Number: to.number})
}

// endBarrier ends the barrier, if there is one, and moves the messages deferred by it back to the heap of unowned
// messages.
func (c *Core) endBarrier(p *partition) {
	deferred := p.deferred
	p.deferred = nil
	if p.barrier != nil && p.barrier.index >= 0 {
		p.removeOp(p.barrier)
	}
	p.barrier = nil
	for _, m := range deferred {
		if m.e.delivery != nil {
			heap.Push(&c.unowned, m)
		}
	}
}
