package chain

import (
	"time"

	"ravendale/control/view"
)

// downstream is what the member knows of its successor's progress.
type downstream struct {
	attached         bool                // the successor is attached
	next             uint64              // sequence of the next entry to send it
	match            uint64              // what it last reported to have on disk
	matchAt          time.Duration       // since when it has not reported more
	deferredAttaches map[view.ID]*Attach // newest from each member, that could not be answered yet
}

// OnAttach answers a successor with a Fill. One that is early, as it knows a newer view or this member is not attached yet, is answered
// later.
func (c *Chain) OnAttach(now time.Duration, from view.ID, message *Attach) {
	if message.Epoch < c.configuration.epoch {
		return
	}
	to, ok := c.configuration.successor()
	if message.Epoch > c.configuration.epoch || !c.upstream.attached {
		c.downstream.deferredAttaches[from] = message
		return
	}
	delete(c.downstream.deferredAttaches, from)
	if !ok || to != from || c.configuration.sealed {
		return
	}
	fill := c.fill(message)
	c.downstream.attached, c.downstream.next = true, c.log.synced+1
	c.downstream.match, c.downstream.matchAt = fill.From, now
	c.send(from, fill)
}

func (c *Chain) answerDeferredAttach(now time.Duration) {
	if to, ok := c.configuration.successor(); ok && c.downstream.deferredAttaches[to] != nil {
		c.OnAttach(now, to, c.downstream.deferredAttaches[to])
	}
}

func (c *Chain) fill(message *Attach) *Fill {
	fill := &Fill{Epoch: c.configuration.epoch, Committed: c.log.committed}
	switch {
	case c.log.has(message.Last) && c.log.epochAt(message.Last) == message.LastEpoch:
		fill.From = message.Last
	case c.log.has(message.Committed):
		fill.From = message.Committed
	default:
		fill.HasSnapshot, fill.Snapshot, fill.From = true, c.machine.Snapshot(), c.log.applied
	}
	fill.FromEpoch = c.log.epochAt(fill.From)
	fill.Entries = c.log.between(fill.From, c.log.synced)
	return fill
}

// Heartbeat is what a member reports of itself to all others, at intervals.
type Heartbeat struct {
	Epoch     uint64
	Attached  bool
	Synced    uint64
	Committed uint64
}

// OnHeartbeat handles another member's report: what is committed, and if it is the successor, what it still lacks.
func (c *Chain) OnHeartbeat(now time.Duration, from view.ID, heartbeat Heartbeat) {
	if heartbeat.Epoch != c.configuration.epoch {
		return
	}
	c.learnCommit(heartbeat.Committed)
	to, ok := c.configuration.successor()
	if !ok || to != from || !heartbeat.Attached || !c.upstream.attached || c.configuration.sealed {
		return
	}
	if heartbeat.Synced > c.downstream.match || heartbeat.Synced+1 >= c.downstream.next {
		c.downstream.match, c.downstream.matchAt = heartbeat.Synced, now
	}
	if !c.downstream.attached || heartbeat.Synced+1 < c.downstream.next && now-c.downstream.matchAt >= AppendRetryInterval {
		c.resume(now, heartbeat.Synced)
	}
	c.forward()
}

// OnGap handles the successor's report that entries were lost on the way, and sends them again.
func (c *Chain) OnGap(now time.Duration, from view.ID, message *Gap) {
	to, ok := c.configuration.successor()
	if message.Epoch != c.configuration.epoch || !ok || to != from || !c.downstream.attached || message.Last+1 >= c.downstream.next {
		return
	}
	c.resume(now, message.Last)
	c.forward()
}

// resume goes on after what the successor has.
func (c *Chain) resume(now time.Duration, last uint64) {
	c.downstream.attached, c.downstream.next = true, min(last, c.log.synced)+1
	c.downstream.match, c.downstream.matchAt = last, now
}

// forward passes on to the successor what is synced here.
func (c *Chain) forward() {
	to, ok := c.configuration.successor()
	if !ok || !c.upstream.attached || !c.downstream.attached || c.configuration.sealed || c.downstream.next > c.log.synced {
		return
	}
	previous := c.downstream.next - 1
	if previous < c.log.state.Base { // it lies too far back
		c.downstream.attached = false
		return
	}
	c.send(to, &Append{
		Epoch: c.configuration.epoch, Previous: previous, Entries: c.log.between(previous, c.log.synced), Committed: c.log.committed,
	})
	c.downstream.next = c.log.synced + 1
}
