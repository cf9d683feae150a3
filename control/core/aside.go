package core

import (
	"slices"
	"time"

	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

// Why a member steps aside whose disk has not said so itself.
const faultStalled = "a write takes too long"

// aside is the state of a member that can't write. It holds no lease, orders and takes nothing, promises nothing, passes on only what is on
// its disk already, and says so in its beats, so that the others go on without it. All that it knows stays in memory: it comes back once the whole of that has been
// written as one image, which does not need whatever became of the writes that failed.
type aside struct {
	from   string        // the fault; empty: the member takes part
	tryAt  time.Duration // when the image is to be written
	trying uint64        // the batch of the image that was tried last
	failed uint64        // the newest batch that the disk did not take
}

// diskChange tells that the disk fails, or with an empty fault that it works again.
type diskChange struct {
	Fault string
}

// aside says whether the sender can't write: it then names itself among those that are missing.
func (b *beat) aside() bool { return b.Member.ID != 0 && slices.Contains(b.Missing, b.Member.ID) }

// writing says whether the disk has not answered yet.
func (n *node) writing() bool { return n.batch > max(n.lasting, n.aside.failed) }

// watchDisk steps aside when a write takes too long.
func (n *node) watchDisk(now time.Duration) {
	if n.aside.from == "" && n.writing() && now-n.busySince >= stuckAfter {
		n.stepAside(now, faultStalled)
	}
}

// DiskFailed tells that the disk did not take a write. All writes that were given to it and not done are void.
func (n *node) DiskFailed(now time.Duration, cause string) {
	n.aside.failed = n.batch
	n.marks = nil // the mark of the image covers them
	n.stepAside(now, cause)
	n.whole, n.records = true, nil
	n.aside.tryAt = now + diskRetry
	n.finish(now)
}

func (n *node) stepAside(now time.Duration, fault string) {
	if n.aside.from != "" {
		n.aside.from = fault
		return
	}
	n.aside.from, n.aside.tryAt, n.aside.trying = fault, now, 0
	n.out.Disk = append(n.out.Disk, diskChange{Fault: fault})
	n.whole, n.records, n.held = true, nil, nil
	n.proposer, n.wanted = nil, -1
	if n.leads(now) || n.holder.Seeking() {
		n.drop(lossDisk)
	}
	for _, pending := range n.pending {
		if pending.epoch == 0 {
			n.end(pending, nil, ErrUnavailable)
		} else {
			n.end(pending, nil, ErrUnknown)
		}
	}
	n.beatAt = now
}

// mayTry says whether the image may be written now, and notes that it is.
func (n *node) mayTry(now time.Duration) bool {
	if n.writing() || now < n.aside.tryAt {
		return false
	}
	n.whole, n.aside.trying = true, n.batch+1
	return true
}

// diskAnswers comes back once the image is on disk. What was written before it does not count: a stalled disk has to take one write more.
func (n *node) diskAnswers(now time.Duration, batch uint64) {
	if n.aside.trying == 0 || batch < n.aside.trying {
		n.aside.tryAt = now
		return
	}
	n.aside = aside{failed: n.aside.failed}
	n.out.Disk = append(n.out.Disk, diskChange{})
	n.beatAt = now
}

// workAside is all that a member does on its own while it is aside.
func (n *node) workAside(now time.Duration) {
	n.watch(now)
	if n.ready() && now >= n.beatAt {
		n.sendBeats(now)
	} else if !n.ready() {
		n.beatAt = now + beatEvery
	}
}

// dispatchAside is all that a member takes in while it is aside: nothing that it would have to write before it may answer.
func (n *node) dispatchAside(now time.Duration, from view.Member, message any) {
	switch m := message.(type) {
	case *beat:
		n.onBeat(now, m)
	case *decided:
		n.adopt(now, &m.View)
	case *chain.Ack:
		n.chain.OnAck(m)
	case *lease.Request:
		if from.ID == n.voter.PreviousGrant().Holder {
			n.onLeaseRequest(now, from, m) // a renewal changes nothing on disk
		}
	case *lease.Release:
		n.voter.Release(from.ID, m)
	}
}

// overhearUnborn lets a process whose first write fails know who leads.
func (n *node) overhearUnborn(now time.Duration, message any) {
	if m, ok := message.(*beat); ok && n.aside.from != "" {
		n.hear(now, m)
	}
}
