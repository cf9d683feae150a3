package chain

import (
	"time"

	"ravendale/control/view"
)

// upstream is the member's progress in following its predecessor in the epoch. The head has no predecessor, and is
// aligned from the start.
type upstream struct {
	aligned      bool // the log in memory follows the predecessor's
	attached     bool // the log on disk does, too
	attachSentAt time.Duration
	gapSentAt    time.Duration // zero if none was sent yet
}

func (c *Chain) sendAttach(now time.Duration) {
	c.upstream.attachSentAt = now
	predecessor, _ := c.configuration.predecessor()
	c.send(predecessor, &Attach{
		Epoch: c.configuration.epoch, Last: c.log.last(), LastEpoch: c.log.epochAt(c.log.last()), Committed: c.log.committed,
	})
}

// fromPredecessor reports whether a message comes from the predecessor and belongs to the current epoch, and the
// epoch is not sealed.
func (c *Chain) fromPredecessor(from view.ID, epoch uint64) bool {
	predecessor, ok := c.configuration.predecessor()
	return ok && predecessor == from && epoch == c.configuration.epoch && !c.configuration.sealed
}

// OnFill handles the predecessor's answer to Attach, and makes the log follow the predecessor's.
func (c *Chain) OnFill(now time.Duration, from view.ID, message *Fill) {
	if c.upstream.aligned || !c.fromPredecessor(from, message.Epoch) {
		return
	}
	if message.HasSnapshot {
		c.log.install(message)
		c.actions = Actions{Install: message}
	} else if !c.align(message) {
		return
	}
	c.upstream.aligned = true
	c.log.state.CompleteEpoch = c.configuration.epoch
	c.commitTo(min(message.Committed, c.log.synced)) // a later report commits the rest, once it is on this member's disk
}

// align replaces the entries after message.From by those of the predecessor. It returns false if the message does not
// fit the log.
func (c *Chain) align(message *Fill) bool {
	if message.From < c.log.committed || message.From > c.log.last() || c.log.epochAt(message.From) != message.FromEpoch {
		return false // the message answers an earlier Attach
	}
	write := Write{Entries: message.Entries, CompleteEpoch: c.configuration.epoch}
	if message.From < c.log.last() {
		write.Truncate, write.TruncateAfter = true, message.From
	}
	c.log.replay(&write)
	c.write(write)
	return true
}

// OnAppend handles entries from the predecessor.
func (c *Chain) OnAppend(now time.Duration, from view.ID, message *Append) {
	if !c.upstream.aligned || !c.fromPredecessor(from, message.Epoch) {
		return
	}
	if message.Previous > c.log.last() {
		c.sendGap(now) // an earlier Append was lost
		return
	}
	if known := c.log.last() - message.Previous; known < uint64(len(message.Entries)) {
		write := Write{Entries: message.Entries[known:]}
		c.log.replay(&write)
		c.write(write)
	}
	c.commitReported(message.Committed)
}

func (c *Chain) sendGap(now time.Duration) {
	if c.upstream.gapSentAt != 0 && now-c.upstream.gapSentAt < gapRetryInterval {
		return
	}
	c.upstream.gapSentAt = now
	predecessor, _ := c.configuration.predecessor()
	c.send(predecessor, &Gap{Epoch: c.configuration.epoch, Last: c.log.last()})
}
