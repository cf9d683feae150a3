package queue

import (
	"fmt"

	"ravendale/cluster/wire"
)

// admit says whether the store may decide on a partition under an epoch, and what to answer if not.
func (c *Core) admit(number uint16, epoch uint64) (p *partition, code wire.PutCode) {
	if c.view == nil || epoch != c.view.Epoch || c.fence > c.view.Epoch {
		return nil, wire.PutStale
	}
	p = c.known(number)
	if p == nil || !p.primary {
		return nil, wire.PutNotPrimary
	}
	return p, wire.PutKept
}

// Put keeps a message.
func (c *Core) Put(now Time, from Remote, m *wire.Put, reply Replier) {
	c.now = now
	number, ok := wire.PartitionOf(m.Message.ID)
	if !ok || number != m.Partition {
		reply.Fail(fmt.Errorf("queue: message %q does not lie in partition %d", m.Message.ID, m.Partition))
		return
	}
	p, code := c.admit(m.Partition, m.Epoch)
	if code != wire.PutKept {
		reply.Send(&wire.PutReply{Code: code, Epoch: c.fence})
		return
	}
	holder := c.edgeOf[from]
	e, taken := p.find(m.Message.ID)
	switch {
	case e != nil:
		c.putAgain(p, e, m, holder, reply)
	case m.Dispatch && holder == nil || taken || len(p.members)+1 < c.copies() || c.full():
		reply.Send(&wire.PutReply{Code: wire.PutRefused, Epoch: c.epoch()})
	default:
		c.putNew(p, m, holder, reply)
	}
	c.handOver()
	c.finish()
}

func (c *Core) copies() int { return max(c.config.Copies, int(c.view.Copies)) }

func (c *Core) full() bool {
	if c.stalled {
		return true
	}
	if c.config.DiskBytes > 0 && c.journal.Used()*100 > c.config.DiskBytes*refuseAbove {
		return true
	}
	return c.config.MaxMessages > 0 && c.messages >= c.config.MaxMessages
}

func (c *Core) putNew(p *partition, m *wire.Put, holder *edge, reply Replier) {
	r := &Record{Kind: RecordWhole, Partition: p.number, ID: m.Message.ID, Sequence: c.nextSequence(), Message: m.Message}
	r.Message.ID = ""
	if m.Dispatch && holder != nil {
		r.Holder = holder.id
	}
	payload, at, position := c.write(r)
	e := c.insert(p, r, at, false)
	e.live.putting = true
	if m.Dispatch && holder != nil {
		c.lease(e, holder)
	}
	o := c.begin(p, e, position, payload)
	o.put = true
	o.waiters = append(o.waiters, asks(reply, holder))
}

func (c *Core) putAgain(p *partition, e *entry, m *wire.Put, from *edge, reply Replier) {
	if e.live != nil && e.pending() && e.live.holder == nil && m.Dispatch && from != nil {
		c.lease(e, from)
		c.own(p, e, from)
		c.turn(p, e, true)
	}
	if e.live != nil && e.live.last != nil && (e.live.putting || e.live.last.put) {
		e.live.last.waiters = append(e.live.last.waiters, asks(reply, from))
		return
	}
	if e.pending() && !c.isEverywhere(p) {
		c.keepEverywhere(p, e, asks(reply, from))
		return
	}
	reply.Send(c.kept(e, from))
}

// isEverywhere says whether all that a primary has is at enough members. What one before it left unfinished may not be.
func (c *Core) isEverywhere(p *partition) bool {
	return !p.untold() && len(p.fillers) == 0 && len(p.members)+1 >= c.copies()
}

// keepEverywhere has all members take a message, and answers then.
func (c *Core) keepEverywhere(p *partition, e *entry, w waiter) {
	payload := c.wholeBytes(p, e)
	if payload == nil {
		return
	}
	position := c.journal.Position()
	o := c.begin(p, e, position, payload)
	o.put = true
	o.waiters = append(o.waiters, w)
	if c.durable >= position {
		o.local = true
		c.complete(o)
	}
}

// asks makes the waiter of a Put.
func asks(reply Replier, from *edge) waiter {
	w := waiter{reply: reply, put: true, edge: from}
	if from != nil {
		w.session = from.session
	}
	return w
}

// kept answers a Put of a message that is on disk at all members.
func (c *Core) kept(e *entry, from *edge) *wire.PutReply {
	granted := e.live != nil && e.live.granted && e.live.holder == from && from != nil
	return &wire.PutReply{Code: wire.PutKept, Epoch: c.epoch(), Granted: granted}
}

// Report records what became of a delivery.
func (c *Core) Report(now Time, from Remote, m *wire.Report, reply Replier) {
	c.now = now
	p, code := c.admit(m.Partition, m.Epoch)
	if code != wire.PutKept {
		reply.Send(&wire.ReportReply{Code: code, Epoch: c.fence})
		return
	}
	e, _ := p.find(m.ID)
	switch {
	case e == nil && p.untold(): // another store may know the message
		reply.Send(&wire.ReportReply{Code: wire.PutUnknown, Epoch: c.epoch()})
	case e == nil:
		reply.Send(&wire.ReportReply{Code: wire.PutKept, Epoch: c.epoch()})
	case !e.pending():
		c.afterLast(e, reply)
	default:
		c.report(p, e, from, m, reply)
	}
	c.handOver()
	c.finish()
}

// afterLast answers a report that changes nothing, once what is known is at all members.
func (c *Core) afterLast(e *entry, reply Replier) {
	if e.live != nil && e.live.last != nil {
		e.live.last.waiters = append(e.live.last.waiters, waiter{reply: reply})
		return
	}
	reply.Send(&wire.ReportReply{Code: wire.PutKept, Epoch: c.epoch()})
}

func (c *Core) report(p *partition, e *entry, from Remote, m *wire.Report, reply Replier) {
	switch m.Kind {
	case wire.ReportDone:
		c.end(p, e, wire.StateDone, m.Signature, reply)
	case wire.ReportDead, wire.ReportExpired:
		c.end(p, e, wire.StateDead, "", reply)
	case wire.ReportDropped:
		c.end(p, e, wire.StateDropped, "", reply)
	case wire.ReportFailed:
		c.failed(p, e, m.Failed, reply)
	case wire.ReportReleased:
		if holder := c.edgeOf[from]; holder != nil && e.live.holder == holder {
			e.live.returned = true
			c.orphan(p, e)
		}
		reply.Send(&wire.ReportReply{Code: wire.PutKept, Epoch: c.epoch()})
	default:
		reply.Fail(fmt.Errorf("queue: report of unknown kind %d for message %q", m.Kind, m.ID))
	}
}

// end records a message's end. Reply may be nil.
func (c *Core) end(p *partition, e *entry, state wire.State, signature string, reply Replier) {
	r := &Record{
		Kind: RecordEnd, Partition: p.number, ID: e.id, Sequence: c.nextSequence(), State: state, Failed: e.failed,
		Signature: signature,
	}
	payload, at, position := c.write(r)
	c.markEnded(p, e, r, at)
	o := c.begin(p, e, position, payload)
	o.end = true
	if reply != nil {
		o.waiters = append(o.waiters, waiter{reply: reply})
	}
}

func (c *Core) failed(p *partition, e *entry, failed uint16, reply Replier) {
	if failed <= e.failed {
		c.afterLast(e, reply)
		return
	}
	p.change(e, func() { e.failed = failed })
	payload, _, position := c.write(&Record{Kind: RecordFailed, Partition: p.number, ID: e.id, Failed: failed})
	o := c.begin(p, e, position, payload)
	o.put = e.live.putting
	o.waiters = append(o.waiters, waiter{reply: reply})
}
