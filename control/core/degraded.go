package core

import (
	"slices"
	"time"

	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

// faultStalled is the fault of a disk that has not reported an error itself.
const faultStalled = "a write takes too long"

// degradation is the state of a member that can't write. It holds no lease, does not order, accept or promise anything,
// passes on only what is already durable, and reports its state in its heartbeats, so that the others proceed without
// it. Its state remains in memory. It recovers by writing that as one complete image, which does not depend on the
// outcome of the failed writes.
type degradation struct {
	fault       string        // empty if the member is not degraded
	retryAt     time.Duration // when the image is to be written
	attempt     uint64        // batch of the last image that was to end the degradation
	failedBatch uint64        // newest batch that was given to the disk when a write failed
}

// degraded reports whether the member can't write.
func (d *durability) degraded() bool { return d.degradation.fault != "" }

// beginRecovery reports whether the image may be written now, and if so requests it.
func (d *durability) beginRecovery(now time.Duration) bool {
	if d.writing() || now < d.degradation.retryAt {
		return false
	}
	d.snapshotDue, d.degradation.attempt = true, d.lastBatch+1
	return true
}

// recover reports whether the member ceases to be degraded now that a batch is durable. Only the image counts, so that
// a stalled disk has to complete one more write.
func (d *durability) recover(now time.Duration, batch uint64) bool {
	if d.degradation.attempt == 0 || batch < d.degradation.attempt {
		d.degradation.retryAt = now
		return false
	}
	d.degradation = degradation{failedBatch: d.degradation.failedBatch}
	return true
}

// diskChange reports that the disk failed, or with an empty fault that it works again.
type diskChange struct {
	Fault string
}

// degraded reports whether the sender can't write: it then lists itself among the unresponsive members.
func (b *heartbeat) degraded() bool {
	return b.Member.ID != 0 && slices.Contains(b.Unresponsive, b.Member.ID)
}

// degraded reports whether this member can't write.
func (n *node) degraded() bool { return n.durability.degraded() }

// checkDiskStall makes the member degraded when a write takes too long.
func (n *node) checkDiskStall(now time.Duration) {
	if !n.degraded() && n.durability.writing() && now-n.durability.writingSince >= diskStallTimeout {
		n.degrade(now, faultStalled)
	}
}

// DiskFailed reports that a write failed. All writes that were given to the disk and have not completed are discarded.
func (n *node) DiskFailed(now time.Duration, cause string) {
	n.durability.degradation.failedBatch = n.durability.lastBatch
	n.durability.offsets = nil // covered by the offset of the image
	n.degrade(now, cause)
	n.durability.requireSnapshot()
	n.durability.degradation.retryAt = now + diskRetryInterval
	n.finishStep(now)
}

// degrade makes the member degraded: it gives up the lease and its ballot, and ends the pending commands.
func (n *node) degrade(now time.Duration, fault string) {
	d := &n.durability
	if d.degraded() {
		d.degradation.fault = fault
		return
	}
	d.degradation.fault, d.degradation.retryAt, d.degradation.attempt = fault, now, 0
	n.output.DiskChanges = append(n.output.DiskChanges, diskChange{Fault: fault})
	d.requireSnapshot()
	d.deferred = nil
	n.viewChange.reset()
	if n.leads(now) || n.lease.holder.Seeking() {
		n.dropLease(lossDisk)
	}
	for _, pending := range n.commands.pending {
		n.complete(pending, nil, pending.abandonError())
	}
	n.peers.heartbeatDue = now
}

// onRecoveryWrite ends the degradation once the image is durable.
func (n *node) onRecoveryWrite(now time.Duration, batch uint64) {
	if n.durability.recover(now, batch) {
		n.output.DiskChanges = append(n.output.DiskChanges, diskChange{})
		n.peers.heartbeatDue = now
	}
}

// tickDegraded is tickMember for a degraded member.
func (n *node) tickDegraded(now time.Duration) {
	n.updateResponsiveness(now)
	if n.ready() && now >= n.peers.heartbeatDue {
		n.sendHeartbeats(now)
	} else if !n.ready() {
		n.peers.heartbeatDue = now + heartbeatInterval
	}
}

// dispatchDegraded is dispatch for a degraded member: it ignores messages that could only be answered after a write.
func (n *node) dispatchDegraded(now time.Duration, from view.Member, message any) {
	switch m := message.(type) {
	case *heartbeat:
		n.onHeartbeat(now, m)
	case *decided:
		n.adopt(now, &m.View)
	case *chain.Ack:
		n.chain.OnAck(m)
	case *lease.Request:
		if from.ID == n.lease.voter.PreviousGrant().Holder {
			n.onLeaseRequest(now, from, m) // a renewal changes nothing on disk
		}
	case *lease.Release:
		n.lease.voter.Release(from.ID, m)
	}
}

// observeUninitialized records heartbeats at a process whose first write failed, so that it knows the leader.
func (n *node) observeUninitialized(now time.Duration, message any) {
	if m, ok := message.(*heartbeat); ok && n.degraded() {
		n.recordHeartbeat(now, m)
	}
}
