package queue

import (
	"fmt"
	"time"

	"ravendale/cluster/wire"
)

// ReportDelivery handles an edge's report on a delivery: an outcome, a number of failed attempts, or that it releases
// the message. Only the first outcome of a message counts.
func (c *Core) ReportDelivery(now Time, from Remote, m *wire.Report, reply Replier) {
	c.now = now
	p, code := c.checkPrimary(m.Partition, m.Epoch)
	if code != wire.PutAccepted {
		reply.Send(&wire.ReportReply{Code: code, Epoch: c.newestEpoch})
		return
	}
	e, _ := p.find(m.ID)
	switch {
	case e == nil && p.isMergePending(): // another store may have the message
		reply.Send(&wire.ReportReply{Code: wire.PutUnknown, Epoch: c.epoch()})
	case e == nil:
		reply.Send(&wire.ReportReply{Code: wire.PutAccepted, Epoch: c.epoch()})
	case !e.pending():
		c.replyAfterLastChange(e, reply)
	default:
		c.applyReport(p, e, from, m, reply)
	}
	c.assignDue()
	c.flushPeers()
}

// replyAfterLastChange answers a report that changes nothing, once all members have the message's last change.
func (c *Core) replyAfterLastChange(e *entry, reply Replier) {
	if e.delivery != nil && e.delivery.lastChange != nil {
		e.delivery.lastChange.waiters = append(e.delivery.lastChange.waiters, waiter{reply: reply})
		return
	}
	reply.Send(&wire.ReportReply{Code: wire.PutAccepted, Epoch: c.epoch()})
}

func (c *Core) applyReport(p *partition, e *entry, from Remote, m *wire.Report, reply Replier) {
	switch m.Kind {
	case wire.ReportDone:
		c.finishMessage(p, e, wire.StateDone, m.Signature, reply)
	case wire.ReportDead, wire.ReportExpired:
		c.finishMessage(p, e, wire.StateDead, "", reply)
	case wire.ReportDropped:
		if !acceptsDrop(m) && !c.mutations.dropsForAnyReport {
			c.refuseDrop(p, e, from, m, reply)
			return
		}
		c.finishMessage(p, e, wire.StateDropped, "", reply)
	case wire.ReportFailed:
		c.countFailures(p, e, m.Failed, reply)
	case wire.ReportReleased:
		c.releaseMessage(p, e, from, reply)
	default:
		reply.Fail(fmt.Errorf("queue: report of unknown kind %d for message %q", m.Kind, m.ID))
	}
}

// refuseDrop keeps a message that an edge wants to drop by an outdated configuration, and has it assigned again after a
// pause.
func (c *Core) refuseDrop(p *partition, e *entry, from Remote, m *wire.Report, reply Replier) {
	sender := ""
	if by := c.edges.on(from); by != nil {
		sender = by.id
	}
	c.config.Log.Warn("refused to drop a message by an outdated configuration", "message", m.ID, "edge", sender, "reason", m.Signature)
	e.delivery.due = max(e.delivery.due, c.millis()+uint32(refusedDropPause/time.Millisecond))
	c.releaseMessage(p, e, from, reply)
}

// releaseMessage ends the lease of the edge that reports. The edge must be the leaseholder: the report may be a repeat.
func (c *Core) releaseMessage(p *partition, e *entry, from Remote, reply Replier) {
	if sender := c.edges.on(from); sender != nil && e.delivery.leaseholder == sender {
		e.delivery.released = true
		c.requeueMessage(p, e)
	}
	reply.Send(&wire.ReportReply{Code: wire.PutAccepted, Epoch: c.epoch()})
}

// finishMessage starts the operation that sets a message's outcome. Reply may be nil.
func (c *Core) finishMessage(p *partition, e *entry, state wire.State, signature string, reply Replier) {
	r := &Record{
		Kind: RecordFinish, Partition: p.number, ID: e.id, Sequence: c.nextSequence(), State: state, Failed: e.failed,
		Signature: signature,
	}
	payload, at, position := c.appendRecord(r)
	c.markFinished(p, e, r, at)
	o := c.beginOp(p, e, position, payload)
	o.finish = true
	if reply != nil {
		o.waiters = append(o.waiters, waiter{reply: reply})
	}
}

// countFailures records the number of failed attempts of a message, if it is larger than the recorded one.
func (c *Core) countFailures(p *partition, e *entry, failed uint16, reply Replier) {
	if failed <= e.failed {
		c.replyAfterLastChange(e, reply)
		return
	}
	p.update(e, func() { e.failed = failed })
	payload, _, position := c.appendRecord(&Record{Kind: RecordFailed, Partition: p.number, ID: e.id, Failed: failed})
	o := c.beginOp(p, e, position, payload)
	o.put = e.delivery.accepting
	o.waiters = append(o.waiters, waiter{reply: reply})
}
