package chain

import (
	"math"
	"time"
)

// defaultApplyBatch is the maximum number of entries handed out to be applied in one step. Between two steps, a
// member with many entries to apply can process messages of other members.
const defaultApplyBatch = 4

// MutateUnboundedApply makes Apply hand out all committed entries at once. Only tests that check whether other tests
// detect this fault may call it.
func (c *Chain) MutateUnboundedApply() { c.applyBatch = math.MaxUint32 }

// MutateEarlyCommit makes the member accept reported commits before it is attached. Only tests that check whether
// other tests detect this fault may call it.
func (c *Chain) MutateEarlyCommit() { c.earlyCommit = true }

// HasUnapplied reports whether there are committed entries that were not yet handed out to be applied.
func (c *Chain) HasUnapplied() bool { return c.log.applied < c.log.committed }

// ApplyDue reports whether the caller should call Apply at the end of the step: either entries were committed while
// none were waiting to be applied, or Tick has made the next batch due. A member that lags must not apply a batch for
// every message it receives, or it would answer none of them in time.
func (c *Chain) ApplyDue() bool { return c.applyDue && c.HasUnapplied() }

// Unapplied returns the number of entries that the machine's snapshot does not cover.
func (c *Chain) Unapplied() int { return int(c.log.last() - c.log.applied) }

// LogOffset returns the offset to pass to OnSynced once everything that is in the log now is on disk.
func (c *Chain) LogOffset() LogOffset {
	offset := LogOffset{last: c.log.last(), truncations: c.log.truncations}
	if c.upstream.aligned {
		offset.alignedEpoch = c.configuration.epoch
	}
	return offset
}

// OnSynced records that the log is on disk up to an offset. The member may become attached by it, forwards the synced
// entries, and commits them if it is the tail. OnSynced ignores an offset that was taken before a truncation.
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
		c.commitTo(c.log.synced)
	}
}

// OnAck handles the successor's report of what is committed.
func (c *Chain) OnAck(message *Ack) {
	if message.Epoch == c.configuration.epoch {
		c.commitReported(message.Committed)
	}
}

// commitReported advances the commit sequence to what another member of the epoch has reported, as far as it is
// synced here.
func (c *Chain) commitReported(committed uint64) {
	if c.upstream.attached || c.earlyCommit {
		c.commitTo(min(committed, c.log.synced))
	}
}

func (c *Chain) commitTo(to uint64) {
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

// Apply hands out the next batch of committed entries to be applied. The caller calls it after it has carried out the
// actions of the step that committed them, so that the members before this one learn of the commit without waiting
// for the entries to be applied here.
func (c *Chain) Apply() {
	c.applyDue = false
	to := min(c.log.committed, c.log.applied+c.applyBatch)
	if to <= c.log.applied {
		return
	}
	c.actions.Commits = append(c.actions.Commits, c.log.between(c.log.applied, to)...)
	c.log.applied = to
}
