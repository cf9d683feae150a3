package chain

import (
	"math"
	"time"
)

// defaultApplyBatch is how many entries are handed out to be applied in one step: between two steps a member that has many of them to
// apply goes on to speak to the others.
const defaultApplyBatch = 4

// MutateUnboundedApply has all entries handed out at once, which only tests of tests may ask for.
func (c *Chain) MutateUnboundedApply() { c.applyBatch = math.MaxUint32 }

// MutateEarlyCommit has commits learnt before the log follows the predecessor's, which only tests of tests may ask for.
func (c *Chain) MutateEarlyCommit() { c.earlyCommit = true }

// HasUnapplied reports whether committed entries were not handed out yet.
func (c *Chain) HasUnapplied() bool { return c.log.applied < c.log.committed }

// ApplyDue reports whether Apply is to be called at the end of the step: entries were committed while there was nothing to apply, or it is the
// next batch's turn by Tick. A member that is behind is not to apply with each message that it gets, or it would answer none in time.
func (c *Chain) ApplyDue() bool { return c.applyDue && c.HasUnapplied() }

// Unapplied returns how many entries the machine's snapshot does not cover.
func (c *Chain) Unapplied() int { return int(c.log.last() - c.log.applied) }

// LogOffset returns the offset that a write covers which holds all that the log has now.
func (c *Chain) LogOffset() LogOffset {
	offset := LogOffset{last: c.log.last(), truncations: c.log.truncations}
	if c.upstream.aligned {
		offset.alignedEpoch = c.configuration.epoch
	}
	return offset
}

// OnSynced handles that all that was written up to an offset is on disk: the member may then be attached, passes on, and as the tail
// commits. An offset from before a truncation is ignored.
func (c *Chain) OnSynced(now time.Duration, offset LogOffset) {
	if offset.truncations != c.log.truncations {
		return
	}
	c.log.synced = max(c.log.synced, offset.last)
	if offset.alignedEpoch == c.configuration.epoch && c.upstream.aligned && !c.upstream.attached {
		c.upstream.attached = true
		c.answerDeferredAttach(now)
	}
	c.forward()
	if c.upstream.attached && c.configuration.isTail() && c.configuration.durable {
		c.commit(c.log.synced)
	}
}

// OnAck handles the successor's report of what is committed.
func (c *Chain) OnAck(message *Ack) {
	if message.Epoch == c.configuration.epoch {
		c.learnCommit(message.Committed)
	}
}

// learnCommit takes what another member of the epoch says is committed.
func (c *Chain) learnCommit(committed uint64) {
	if c.upstream.attached || c.earlyCommit {
		c.commit(min(committed, c.log.synced))
	}
}

func (c *Chain) commit(to uint64) {
	if to = min(to, c.log.last()); to <= c.log.committed {
		return
	}
	c.applyDue = c.applyDue || !c.HasUnapplied()
	c.log.committed = to
	if c.applyBatch == math.MaxUint32 {
		c.Apply()
	}
	if predecessor, ok := c.configuration.predecessor(); ok {
		c.send(predecessor, &Ack{Epoch: c.configuration.epoch, Committed: to})
	}
}

// Apply hands out the next batch of committed entries to be applied. It is called once the actions of the step that committed them are carried
// out: the members before this one in the chain hear what is committed, and don't wait until it is applied here.
func (c *Chain) Apply() {
	c.applyDue = false
	to := min(c.log.committed, c.log.applied+c.applyBatch)
	if to <= c.log.applied {
		return
	}
	c.actions.Commits = append(c.actions.Commits, c.log.between(c.log.applied, to)...)
	c.log.applied = to
}
