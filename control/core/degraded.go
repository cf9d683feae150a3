package core

import (
	"slices"
	"time"

	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

// faultStalled is the fault of a disk that has not reported one itself.
const faultStalled = "a write takes too long"

// degradation is the state of a member that can't write. It holds no lease, orders and accepts nothing, promises nothing, passes on only what is
// durable already, and says so in its heartbeats, so that the others go on without it. All that it knows stays in memory: it takes part again once all of
// that has been written as one image, which does not need whatever became of the writes that failed.
type degradation struct {
	fault       string        // empty: the member takes part
	retryAt     time.Duration // when the image is to be written
	attempt     uint64        // the batch of the image that was attempted last
	failedBatch uint64        // the newest batch that the disk did not take
}

// degraded says whether the member can't write.
func (d *durability) degraded() bool { return d.degradation.fault != "" }

// beginRecovery says whether the image may be written now, and records that it is.
func (d *durability) beginRecovery(now time.Duration) bool {
	if d.writing() || now < d.degradation.retryAt {
		return false
	}
	d.snapshotDue, d.degradation.attempt = true, d.lastBatch+1
	return true
}

// recover says whether a member is degraded no more now that a batch is durable: only the image counts, so a stalled disk has to take one write more.
func (d *durability) recover(now time.Duration, batch uint64) bool {
	if d.degradation.attempt == 0 || batch < d.degradation.attempt {
		d.degradation.retryAt = now
		return false
	}
	d.degradation = degradation{failedBatch: d.degradation.failedBatch}
	return true
}

// diskChange tells that the disk fails, or with an empty fault that it works again.
type diskChange struct {
	Fault string
}

// degraded says whether the sender can't write: it then names itself among those that do not respond.
func (b *heartbeat) degraded() bool {
	return b.Member.ID != 0 && slices.Contains(b.Unresponsive, b.Member.ID)
}

// degraded says whether this member can't write.
func (n *node) degraded() bool { return n.durability.degraded() }

// checkDiskStall has the member degrade when a write takes too long.
func (n *node) checkDiskStall(now time.Duration) {
	if !n.degraded() && n.durability.writing() && now-n.durability.writingSince >= diskStallTimeout {
		n.degrade(now, faultStalled)
	}
}

// DiskFailed tells that the disk did not take a write. All writes that were given to it and not done are void.
func (n *node) DiskFailed(now time.Duration, cause string) {
	n.durability.degradation.failedBatch = n.durability.lastBatch
	n.durability.offsets = nil // the offset of the image covers them
	n.degrade(now, cause)
	n.durability.requireSnapshot()
	n.durability.degradation.retryAt = now + diskRetryInterval
	n.finish(now)
}

// degrade has the member stop all that needs its disk, and end the commands in flight.
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
		n.end(pending, nil, pending.fate())
	}
	n.peers.heartbeatDue = now
}

// onRecoveryWrite has the member take part again once its image is durable.
func (n *node) onRecoveryWrite(now time.Duration, batch uint64) {
	if n.durability.recover(now, batch) {
		n.output.DiskChanges = append(n.output.DiskChanges, diskChange{})
		n.peers.heartbeatDue = now
	}
}

// tickDegraded is all that a degraded member does on its own.
func (n *node) tickDegraded(now time.Duration) {
	n.updateResponsiveness(now)
	if n.ready() && now >= n.peers.heartbeatDue {
		n.sendHeartbeats(now)
	} else if !n.ready() {
		n.peers.heartbeatDue = now + heartbeatInterval
	}
}

// dispatchDegraded is all that a degraded member takes in: nothing that it would have to write before it may answer.
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

// observeUninitialized lets a process whose first write fails know who leads.
func (n *node) observeUninitialized(now time.Duration, message any) {
	if m, ok := message.(*heartbeat); ok && n.degraded() {
		n.observe(now, m)
	}
}
