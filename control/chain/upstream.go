package chain

import (
	"time"

	"ravendale/control/view"
)

// upstream is how far the member follows its predecessor in the epoch. The head, which has none, follows from the start.
type upstream struct {
	aligned      bool // the log follows the predecessor's, in memory
	attached     bool // and on disk
	attachSentAt time.Duration
	gapSentAt    time.Duration // zero: none was sent yet
}

func (c *Chain) sendAttach(now time.Duration) {
	c.upstream.attachSentAt = now
	to, _ := c.configuration.predecessor()
	c.send(to, &Attach{
		Epoch: c.configuration.epoch, Last: c.log.last(), LastEpoch: c.log.epochAt(c.log.last()), Committed: c.log.committed,
	})
}

// fromPredecessor says whether a message is the predecessor's and of the current epoch, which is not sealed.
func (c *Chain) fromPredecessor(from view.ID, epoch uint64) bool {
	predecessor, ok := c.configuration.predecessor()
	return ok && predecessor == from && epoch == c.configuration.epoch && !c.configuration.sealed
}

// OnFill handles the predecessor's answer to Attach: the log is made to follow the predecessor's.
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
	c.commit(min(message.Committed, c.log.synced)) // of the rest it hears once that is on its own disk, too
}

// align replaces what follows the entry from which on the predecessor fills.
func (c *Chain) align(message *Fill) bool {
	if message.From < c.log.committed || message.From > c.log.last() || c.log.epochAt(message.From) != message.FromEpoch {
		return false // an answer to an older Attach
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
		c.sendGap(now) // something between was lost
		return
	}
	if known := c.log.last() - message.Previous; known < uint64(len(message.Entries)) {
		write := Write{Entries: message.Entries[known:]}
		c.log.replay(&write)
		c.write(write)
	}
	c.learnCommit(message.Committed)
}

func (c *Chain) sendGap(now time.Duration) {
	if c.upstream.gapSentAt != 0 && now-c.upstream.gapSentAt < gapRetryInterval {
		return
	}
	c.upstream.gapSentAt = now
	to, _ := c.configuration.predecessor()
	c.send(to, &Gap{Epoch: c.configuration.epoch, Last: c.log.last()})
}
