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

// degradation is the state of a member that can't write. It holds no lease, orders and takes nothing, promises nothing, passes on only what is on
// its disk already, and says so in its beats, so that the others go on without it. All that it knows stays in memory: it comes back once the whole of that has been
// written as one image, which does not need whatever became of the writes that failed.
type degradation struct {
	fault       string        // the fault; empty: the member takes part
	retryAt     time.Duration // when the image is to be written
	attempt     uint64        // the batch of the image that was tried last
	failedBatch uint64        // the newest batch that the disk did not take
}

// diskChange tells that the disk fails, or with an empty fault that it works again.
type diskChange struct {
	Fault string
}

// degraded says whether the sender can't write: it then names itself among those that are missing.
func (b *heartbeat) degraded() bool {
	return b.Member.ID != 0 && slices.Contains(b.Unresponsive, b.Member.ID)
}

// writing says whether the disk has not answered yet.
func (n *node) writing() bool { return n.lastBatch > max(n.durableBatch, n.degradation.failedBatch) }

// checkDiskStall steps aside when a write takes too long.
func (n *node) checkDiskStall(now time.Duration) {
	if n.degradation.fault == "" && n.writing() && now-n.writingSince >= diskStallTimeout {
		n.degrade(now, faultStalled)
	}
}

// DiskFailed tells that the disk did not take a write. All writes that were given to it and not done are void.
func (n *node) DiskFailed(now time.Duration, cause string) {
	n.degradation.failedBatch = n.lastBatch
	n.writeOffsets = nil // the mark of the image covers them
	n.degrade(now, cause)
	n.snapshotDue, n.pendingRecords = true, nil
	n.degradation.retryAt = now + diskRetryInterval
	n.finish(now)
}

func (n *node) degrade(now time.Duration, fault string) {
	if n.degradation.fault != "" {
		n.degradation.fault = fault
		return
	}
	n.degradation.fault, n.degradation.retryAt, n.degradation.attempt = fault, now, 0
	n.output.DiskChanges = append(n.output.DiskChanges, diskChange{Fault: fault})
	n.snapshotDue, n.pendingRecords, n.deferred = true, nil, nil
	n.proposer, n.changePendingSince = nil, -1
	if n.leads(now) || n.holder.Asking() {
		n.dropLease(lossDisk)
	}
	for _, pending := range n.pending {
		if pending.epoch == 0 {
			n.end(pending, nil, ErrUnavailable)
		} else {
			n.end(pending, nil, ErrUnknown)
		}
	}
	n.heartbeatDue = now
}

// beginRecovery says whether the image may be written now, and notes that it is.
func (n *node) beginRecovery(now time.Duration) bool {
	if n.writing() || now < n.degradation.retryAt {
		return false
	}
	n.snapshotDue, n.degradation.attempt = true, n.lastBatch+1
	return true
}

// onRecoveryWrite comes back once the image is on disk. What was written before it does not count: a stalled disk has to take one write more.
func (n *node) onRecoveryWrite(now time.Duration, batch uint64) {
	if n.degradation.attempt == 0 || batch < n.degradation.attempt {
		n.degradation.retryAt = now
		return
	}
	n.degradation = degradation{failedBatch: n.degradation.failedBatch}
	n.output.DiskChanges = append(n.output.DiskChanges, diskChange{})
	n.heartbeatDue = now
}

// tickDegraded is all that a member does on its own while it is aside.
func (n *node) tickDegraded(now time.Duration) {
	n.updateResponsiveness(now)
	if n.ready() && now >= n.heartbeatDue {
		n.sendHeartbeats(now)
	} else if !n.ready() {
		n.heartbeatDue = now + heartbeatInterval
	}
}

// dispatchDegraded is all that a member takes in while it is aside: nothing that it would have to write before it may answer.
func (n *node) dispatchDegraded(now time.Duration, from view.Member, message any) {
	switch m := message.(type) {
	case *heartbeat:
		n.onHeartbeat(now, m)
	case *decided:
		n.adopt(now, &m.View)
	case *chain.Ack:
		n.chain.OnAck(m)
	case *lease.Request:
		if from.ID == n.voter.Past().Holder {
			n.onLeaseRequest(now, from, m) // a renewal changes nothing on disk
		}
	case *lease.Release:
		n.voter.Release(from.ID, m)
	}
}

// observeUninitialized lets a process whose first write fails know who leads.
func (n *node) observeUninitialized(now time.Duration, message any) {
	if m, ok := message.(*heartbeat); ok && n.degradation.fault != "" {
		n.observe(now, m)
	}
}
