package chain

import (
	"time"

	"ravendale/control/view"
)

// downstream is the successor's progress as this member knows it.
type downstream struct {
	attached         bool                // the successor is attached
	next             uint64              // sequence number of the next entry to send to the successor
	match            uint64              // sequence number that the successor last reported as synced
	matchUpdatedAt   time.Duration       // when match last advanced, or the successor last lacked nothing
	deferredAttaches map[view.ID]*Attach // the newest Attach of each member that could not be answered yet
}

// OnAttach answers the successor's Attach with a Fill. If the sender is in a newer epoch, or this member is not
// attached yet, the answer is deferred.
func (c *Chain) OnAttach(now time.Duration, from view.ID, message *Attach) {
	if message.Epoch < c.configuration.epoch {
		return
	}
	successor, ok := c.configuration.successor()
	if message.Epoch > c.configuration.epoch || !c.upstream.attached {
		c.downstream.deferredAttaches[from] = message
		return
	}
	delete(c.downstream.deferredAttaches, from)
	if !ok || successor != from || c.configuration.sealed {
		return
	}
	fill := c.newFill(message)
	c.downstream.attached, c.downstream.next = true, c.log.synced+1
	c.downstream.match, c.downstream.matchUpdatedAt = fill.From, now
	c.send(from, fill)
}

func (c *Chain) answerDeferredAttach(now time.Duration) {
	if successor, ok := c.configuration.successor(); ok && c.downstream.deferredAttaches[successor] != nil {
		c.OnAttach(now, successor, c.downstream.deferredAttaches[successor])
	}
}

// newFill returns the answer to an Attach. It continues after the sender's last entry if both logs agree there, else
// after its committed entries, else after a snapshot.
func (c *Chain) newFill(message *Attach) *Fill {
	fill := &Fill{Epoch: c.configuration.epoch, Committed: c.log.committed}
	switch {
	case c.log.canResumeAfter(message.Last) && c.log.epochAt(message.Last) == message.LastEpoch:
		fill.From = message.Last
	case c.log.canResumeAfter(message.Committed):
		fill.From = message.Committed
	default:
		fill.HasSnapshot, fill.Snapshot, fill.From = true, c.machine.Snapshot(), c.log.applied
	}
	fill.FromEpoch = c.log.epochAt(fill.From)
	fill.Entries = c.log.between(fill.From, c.log.synced)
	return fill
}

// Heartbeat is the state that a member reports to all others at intervals.
type Heartbeat struct {
	Epoch     uint64
	Attached  bool
	Synced    uint64
	Committed uint64
}

// OnHeartbeat handles another member's report. It advances the commit sequence, and if the report is the successor's,
// sends the entries that the successor lacks.
func (c *Chain) OnHeartbeat(now time.Duration, from view.ID, heartbeat Heartbeat) {
	if heartbeat.Epoch != c.configuration.epoch {
		return
	}
	c.commitReported(heartbeat.Committed)
	successor, ok := c.configuration.successor()
	if !ok || successor != from || !heartbeat.Attached || !c.upstream.attached || c.configuration.sealed {
		return
	}
	if heartbeat.Synced > c.downstream.match || heartbeat.Synced+1 >= c.downstream.next {
		c.downstream.match, c.downstream.matchUpdatedAt = heartbeat.Synced, now
	}
	if !c.downstream.attached || heartbeat.Synced+1 < c.downstream.next && now-c.downstream.matchUpdatedAt >= AppendRetryInterval {
		c.resume(now, heartbeat.Synced)
	}
	c.forward()
}

// OnGap handles the successor's report that entries were lost in transit, and sends them again.
func (c *Chain) OnGap(now time.Duration, from view.ID, message *Gap) {
	successor, ok := c.configuration.successor()
	if message.Epoch != c.configuration.epoch || !ok || successor != from || !c.downstream.attached || message.Last+1 >= c.downstream.next {
		return
	}
	c.resume(now, message.Last)
	c.forward()
}

// resume makes the next Append start after the last entry that the successor has.
func (c *Chain) resume(now time.Duration, last uint64) {
	c.downstream.attached, c.downstream.next = true, min(last, c.log.synced)+1
	c.downstream.match, c.downstream.matchUpdatedAt = last, now
}

// forward sends the successor the entries that are synced here and were not sent yet.
func (c *Chain) forward() {
	successor, ok := c.configuration.successor()
	if !ok || !c.upstream.attached || !c.downstream.attached || c.configuration.sealed || c.downstream.next > c.log.synced {
		return
	}
	previous := c.downstream.next - 1
	if previous < c.log.state.Base { // compacted already; the successor's next heartbeat sets where to continue
		c.downstream.attached = false
		return
	}
	c.send(successor, &Append{
		Epoch: c.configuration.epoch, Previous: previous, Entries: c.log.between(previous, c.log.synced), Committed: c.log.committed,
	})
	c.downstream.next = c.log.synced + 1
}
