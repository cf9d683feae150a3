package queue

import (
	"container/heap"
	"slices"
	"time"

	"ravendale/cluster/wire"
)

// peer is another store.
type peer struct {
	disk         string
	remote       Remote // nil while there is no connection
	number       uint64 // of the newest Replicate on the connection
	outbox       [][]byte
	old          bool // of the records in the outbox
	awaitingAck  []peerWait
	unackedBatch *comparison   // whose batch it has yet to acknowledge: one at a time, so that new messages find the way free
	comparisons  []*comparison // that have something to send
	stats        comparisonStats
}

// peerWait is something that waits until a peer has synced a Replicate.
type peerWait struct {
	number     uint64
	op         *op
	member     int // the peer's place among the members of the partition
	comparison *comparison
}

// op is a change that is not on disk at all members yet.
type op struct {
	p       *partition
	e       *entry // nil: a barrier
	since   time.Duration
	put     bool
	finish  bool
	synced  bool   // it is on the own disk
	unacked uint64 // bit by member
	waiters []waiter
	index   int // in the partition's list
}

// waiter is a request that is answered once a change is at all members.
type waiter struct {
	reply   Replier
	put     bool
	edge    *edge
	session uint16 // of the edge, when it asked
}

type localWait struct {
	position uint64
	op       *op
}

type ackWait struct {
	position uint64
	remote   Remote
	number   uint64
}

func (p *peer) flush(epoch uint64) {
	if len(p.outbox) == 0 {
		return
	}
	if p.remote != nil {
		_ = p.remote.Notify(MethodReplicate, &Replicate{Epoch: epoch, Number: p.number, Old: p.old, Records: p.outbox})
	}
	clear(p.outbox)
	p.outbox = p.outbox[:0]
}

// enqueueRecord queues a record for a peer that is connected, and returns the number of the Replicate that it goes in.
func (c *Core) enqueueRecord(to *peer, payload []byte, old bool) uint64 {
	if len(to.outbox) > 0 && to.old != old {
		to.flush(c.epoch())
	}
	if len(to.outbox) == 0 {
		to.number++
		to.old = old
		c.unflushed = append(c.unflushed, to)
	}
	to.outbox = append(to.outbox, payload)
	return to.number
}

// beginOp starts a change of an entry that is in the journal up to a position.
func (c *Core) beginOp(p *partition, e *entry, position uint64, payload []byte) *op {
	o := &op{p: p, e: e, since: c.now.Steady, index: len(p.ops)}
	p.ops = append(p.ops, o)
	if e.delivery != nil {
		e.delivery.lastChange = o
	}
	c.awaitingSync = append(c.awaitingSync, localWait{position: position, op: o})
	for i, member := range p.members {
		o.unacked |= 1 << i
		if member.remote != nil {
			number := c.enqueueRecord(member, payload, false)
			member.awaitingAck = append(member.awaitingAck, peerWait{number: number, op: o, member: i})
		}
	}
	return o
}

// resend sends the newest state of a change's message to one member.
func (c *Core) resend(o *op, member int) {
	to := o.p.members[member]
	if to.remote == nil {
		return
	}
	if o.e == nil {
		c.sendBarrier(o, member)
		return
	}
	payload := c.messagePayload(o.p, o.e)
	if payload == nil {
		return
	}
	number := c.enqueueRecord(to, payload, true)
	to.awaitingAck = append(to.awaitingAck, peerWait{number: number, op: o, member: member})
}

// PeerUp tells that a store is connected, and that it has the disk that was meant.
func (c *Core) PeerUp(now Time, disk string, remote Remote) {
	c.now = now
	to := c.peers[disk]
	if to == nil {
		return
	}
	c.disconnectPeer(to)
	to.remote = remote
	c.byRemote[remote] = to
	for _, p := range c.partitions {
		if p == nil || !p.primary {
			continue
		}
		member := slices.Index(p.members, to)
		if member < 0 {
			continue
		}
		for _, o := range p.ops {
			if o.unacked&(1<<member) != 0 {
				c.resend(o, member)
			}
		}
		c.compare(p, to)
	}
	c.flushPeers()
}

// PeerDown tells that a connection to a store is lost.
func (c *Core) PeerDown(now Time, remote Remote) {
	c.now = now
	if to := c.byRemote[remote]; to != nil {
		c.disconnectPeer(to)
	}
}

func (c *Core) disconnectPeer(to *peer) {
	if to.remote == nil {
		return
	}
	delete(c.byRemote, to.remote)
	to.remote = nil
	to.number = 0
	to.awaitingAck = nil
	to.cancelComparisons()
	clear(to.outbox)
	to.outbox = to.outbox[:0]
	for _, p := range c.partitions {
		if p != nil {
			p.comparisons = slices.DeleteFunc(p.comparisons, func(f *comparison) bool { return f.to == to })
		}
	}
}

// Acked tells that a member has synced what it was sent.
func (c *Core) Acked(now Time, from Remote, m *Acked) {
	c.now = now
	to := c.byRemote[from]
	if to == nil {
		return
	}
	n := 0
	for n < len(to.awaitingAck) && to.awaitingAck[n].number <= m.Number {
		n++
	}
	done := slices.Clone(to.awaitingAck[:n])
	to.awaitingAck = slices.Delete(to.awaitingAck, 0, n)
	for _, wait := range done {
		if wait.comparison != nil {
			to.unackedBatch = nil
			c.advanceComparison(wait.comparison)
			c.sendNextBatch(to)
			continue
		}
		wait.op.unacked &^= 1 << wait.member
		c.complete(wait.op)
	}
	c.assignDue()
	c.flushPeers()
}

// JournalSynced tells that the journal is on disk up to a position.
func (c *Core) JournalSynced(now Time, position uint64) {
	c.now = now
	c.durable = max(c.durable, position)
	c.noteSync()
	n := 0
	for n < len(c.awaitingSync) && c.awaitingSync[n].position <= position {
		n++
	}
	done := slices.Clone(c.awaitingSync[:n])
	c.awaitingSync = slices.Delete(c.awaitingSync, 0, n)
	for _, wait := range done {
		wait.op.synced = true
		c.complete(wait.op)
	}
	c.sendAcks()
	c.assignDue()
	c.flushPeers()
}

// sendAcks tells primaries what has become durable here, once for each connection.
func (c *Core) sendAcks() {
	n := 0
	for n < len(c.pendingAcks) && c.pendingAcks[n].position <= c.durable {
		n++
	}
	for i := range n {
		if !c.ackedLater(i, n) {
			_ = c.pendingAcks[i].remote.Notify(MethodAcked, &Acked{Number: c.pendingAcks[i].number})
		}
	}
	c.pendingAcks = slices.Delete(c.pendingAcks, 0, n)
}

func (c *Core) ackedLater(i, n int) bool {
	for _, other := range c.pendingAcks[i+1 : n] {
		if other.remote == c.pendingAcks[i].remote {
			return true
		}
	}
	return false
}

// complete ends a change if it is on disk everywhere.
func (c *Core) complete(o *op) {
	if !o.synced || o.unacked != 0 || o.index < 0 || o.put && len(o.p.members)+1 < c.requiredCopies() {
		return // with too few members a message is not accepted; the next placement goes on with it
	}
	o.p.removeOp(o)
	o.p.confirmedAt = max(o.p.confirmedAt, o.since)
	if o.e == nil {
		c.endBarrier(o.p)
		return
	}
	e := o.e
	if e.delivery != nil && e.delivery.lastChange == o {
		e.delivery.lastChange = nil
	}
	if o.put && e.delivery != nil {
		e.delivery.accepting = false
	}
	var next *entry
	if o.finish {
		next = c.dropDelivery(o.p, e)
	}
	if o.put && e.pending() {
		c.grantOrRequeue(o.p, e, o.notifiesByReply(e.delivery.leaseholder))
	}
	if e.delivery != nil && e.delivery.lastChange == nil && e.delivery.grantPending {
		c.grantWithBody(o.p, e)
	}
	for _, w := range o.waiters {
		c.replyTo(o, w)
	}
	if next != nil {
		c.grantOrRequeue(o.p, next, false)
	}
}

// notifiesByReply says whether an edge hears of the change by a reply on its present connection.
func (o *op) notifiesByReply(leaseholder *edge) bool {
	return slices.ContainsFunc(o.waiters, func(w waiter) bool {
		return w.put && leaseholder != nil && w.edge == leaseholder && w.session == leaseholder.session && leaseholder.remote != nil
	})
}

func (c *Core) replyTo(o *op, w waiter) {
	if !w.put {
		w.reply.Send(&wire.ReportReply{Code: wire.PutKept, Epoch: c.epoch()})
		return
	}
	w.reply.Send(c.putReply(o.p, o.e, w.edge))
}

func (p *partition) removeOp(o *op) {
	last := len(p.ops) - 1
	p.ops[o.index] = p.ops[last]
	p.ops[o.index].index = o.index
	p.ops[last] = nil
	p.ops = p.ops[:last]
	o.index = -1
}

// startBarrier begins a barrier: once all members have answered, none of them knew a newer epoch when it began.
func (c *Core) startBarrier(p *partition) {
	if p.barrier != nil {
		return
	}
	o := &op{p: p, since: c.now.Steady, synced: true, index: len(p.ops)}
	p.ops = append(p.ops, o)
	p.barrier = o
	for member := range p.members {
		o.unacked |= 1 << member
		c.resend(o, member)
	}
	c.complete(o)
}

func (c *Core) sendBarrier(o *op, member int) {
	to := o.p.members[member]
	to.flush(c.epoch())
	to.number++
	to.awaitingAck = append(to.awaitingAck, peerWait{number: to.number, op: o, member: member})
	_ = to.remote.Notify(MethodReplicate, &Replicate{Epoch: c.epoch(), Number: to.number})
}

// endBarrier puts the messages that waited for a barrier back among the orphans.
func (c *Core) endBarrier(p *partition) {
	parked := p.deferred
	p.deferred = nil
	if p.barrier != nil && p.barrier.index >= 0 {
		p.removeOp(p.barrier)
	}
	p.barrier = nil
	for _, o := range parked {
		if o.e.delivery != nil {
			heap.Push(&c.unowned, o)
		}
	}
}
