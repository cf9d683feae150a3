package queue

import (
	"container/heap"
	"slices"
	"time"

	"ravendale/cluster/wire"
)

// peer is another store.
type peer struct {
	disk    string
	remote  Remote // nil while there is no connection
	number  uint64 // of the newest Replicate on the connection
	outbox  [][]byte
	old     bool // of the records in the outbox
	waiting []peerWait
	filling *filling   // whose batch it has yet to acknowledge: one at a time, so that new messages find the way free
	queued  []*filling // that have something to send
	tally   tally
}

// peerWait is something that waits until a peer has synced a Replicate.
type peerWait struct {
	number uint64
	op     *op
	member int // the peer's place among the members of the partition
	fill   *filling
}

// op is a change that is not on disk at all members yet.
type op struct {
	p       *partition
	e       *entry // nil: a barrier
	since   time.Duration
	put     bool
	end     bool
	local   bool   // it is on the own disk
	missing uint64 // bit by member
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

// post queues a record for a peer that is connected, and returns the number of the Replicate that it goes in.
func (c *Core) post(to *peer, payload []byte, old bool) uint64 {
	if len(to.outbox) > 0 && to.old != old {
		to.flush(c.epoch())
	}
	if len(to.outbox) == 0 {
		to.number++
		to.old = old
		c.dirty = append(c.dirty, to)
	}
	to.outbox = append(to.outbox, payload)
	return to.number
}

// begin starts a change of an entry that is in the journal up to a position.
func (c *Core) begin(p *partition, e *entry, position uint64, payload []byte) *op {
	o := &op{p: p, e: e, since: c.now.Steady, index: len(p.ops)}
	p.ops = append(p.ops, o)
	if e.live != nil {
		e.live.last = o
	}
	c.local = append(c.local, localWait{position: position, op: o})
	for i, member := range p.members {
		o.missing |= 1 << i
		if member.remote != nil {
			number := c.post(member, payload, false)
			member.waiting = append(member.waiting, peerWait{number: number, op: o, member: i})
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
		c.postBarrier(o, member)
		return
	}
	payload := c.wholeBytes(o.p, o.e)
	if payload == nil {
		return
	}
	number := c.post(to, payload, true)
	to.waiting = append(to.waiting, peerWait{number: number, op: o, member: member})
}

// PeerUp tells that a store is connected, and that it has the disk that was meant.
func (c *Core) PeerUp(now Time, disk string, remote Remote) {
	c.now = now
	to := c.peers[disk]
	if to == nil {
		return
	}
	c.disconnect(to)
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
			if o.missing&(1<<member) != 0 {
				c.resend(o, member)
			}
		}
		c.compare(p, to)
	}
	c.finish()
}

// PeerDown tells that a connection to a store is lost.
func (c *Core) PeerDown(now Time, remote Remote) {
	c.now = now
	if to := c.byRemote[remote]; to != nil {
		c.disconnect(to)
	}
}

func (c *Core) disconnect(to *peer) {
	if to.remote == nil {
		return
	}
	delete(c.byRemote, to.remote)
	to.remote = nil
	to.number = 0
	to.waiting = nil
	to.dropFills()
	clear(to.outbox)
	to.outbox = to.outbox[:0]
	for _, p := range c.partitions {
		if p != nil {
			p.syncs = slices.DeleteFunc(p.syncs, func(f *filling) bool { return f.to == to })
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
	for n < len(to.waiting) && to.waiting[n].number <= m.Number {
		n++
	}
	done := slices.Clone(to.waiting[:n])
	to.waiting = slices.Delete(to.waiting, 0, n)
	for _, wait := range done {
		if wait.fill != nil {
			to.filling = nil
			c.pump(wait.fill)
			c.fillNext(to)
			continue
		}
		wait.op.missing &^= 1 << wait.member
		c.complete(wait.op)
	}
	c.handOver()
	c.finish()
}

// Durable tells that the journal is on disk up to a position.
func (c *Core) Durable(now Time, position uint64) {
	c.now = now
	c.durable = max(c.durable, position)
	c.synced()
	n := 0
	for n < len(c.local) && c.local[n].position <= position {
		n++
	}
	done := slices.Clone(c.local[:n])
	c.local = slices.Delete(c.local, 0, n)
	for _, wait := range done {
		wait.op.local = true
		c.complete(wait.op)
	}
	c.acknowledge()
	c.handOver()
	c.finish()
}

// acknowledge tells primaries what has become durable here, once for each connection.
func (c *Core) acknowledge() {
	n := 0
	for n < len(c.acks) && c.acks[n].position <= c.durable {
		n++
	}
	for i := range n {
		if !c.ackedLater(i, n) {
			_ = c.acks[i].remote.Notify(MethodAcked, &Acked{Number: c.acks[i].number})
		}
	}
	c.acks = slices.Delete(c.acks, 0, n)
}

func (c *Core) ackedLater(i, n int) bool {
	for _, other := range c.acks[i+1 : n] {
		if other.remote == c.acks[i].remote {
			return true
		}
	}
	return false
}

// complete ends a change if it is on disk everywhere.
func (c *Core) complete(o *op) {
	if !o.local || o.missing != 0 || o.index < 0 || o.put && len(o.p.members)+1 < c.copies() {
		return // with too few members a message is not accepted; the next placement goes on with it
	}
	o.p.removeOp(o)
	o.p.confirmed = max(o.p.confirmed, o.since)
	if o.e == nil {
		c.unpark(o.p)
		return
	}
	e := o.e
	if e.live != nil && e.live.last == o {
		e.live.last = nil
	}
	if o.put && e.live != nil {
		e.live.putting = false
	}
	var next *entry
	if o.end {
		next = c.settle(o.p, e)
	}
	if o.put && e.pending() {
		c.turn(o.p, e, o.told(e.live.holder))
	}
	if e.live != nil && e.live.last == nil && e.live.owed {
		c.grantWhole(o.p, e)
	}
	for _, w := range o.waiters {
		c.answer(o, w)
	}
	if next != nil {
		c.turn(o.p, next, false)
	}
}

// told says whether an edge hears of the change by a reply on its present connection.
func (o *op) told(holder *edge) bool {
	return slices.ContainsFunc(o.waiters, func(w waiter) bool {
		return w.put && holder != nil && w.edge == holder && w.session == holder.session && holder.remote != nil
	})
}

func (c *Core) answer(o *op, w waiter) {
	if !w.put {
		w.reply.Send(&wire.ReportReply{Code: wire.PutKept, Epoch: c.epoch()})
		return
	}
	w.reply.Send(c.kept(o.e, w.edge))
}

func (p *partition) removeOp(o *op) {
	last := len(p.ops) - 1
	p.ops[o.index] = p.ops[last]
	p.ops[o.index].index = o.index
	p.ops[last] = nil
	p.ops = p.ops[:last]
	o.index = -1
}

// askMembers begins a barrier: once all members have answered, none of them knew a newer epoch when it began.
func (c *Core) askMembers(p *partition) {
	if p.barrier != nil {
		return
	}
	o := &op{p: p, since: c.now.Steady, local: true, index: len(p.ops)}
	p.ops = append(p.ops, o)
	p.barrier = o
	for member := range p.members {
		o.missing |= 1 << member
		c.resend(o, member)
	}
	c.complete(o)
}

func (c *Core) postBarrier(o *op, member int) {
	to := o.p.members[member]
	to.flush(c.epoch())
	to.number++
	to.waiting = append(to.waiting, peerWait{number: to.number, op: o, member: member})
	_ = to.remote.Notify(MethodReplicate, &Replicate{Epoch: c.epoch(), Number: to.number})
}

// unpark puts the messages that waited for a barrier back among the orphans.
func (c *Core) unpark(p *partition) {
	parked := p.parked
	p.parked = nil
	if p.barrier != nil && p.barrier.index >= 0 {
		p.removeOp(p.barrier)
	}
	p.barrier = nil
	for _, o := range parked {
		if o.e.live != nil {
			heap.Push(&c.orphans, o)
		}
	}
}
