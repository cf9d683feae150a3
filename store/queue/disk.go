package queue

import (
	"slices"
	"time"

	"ravendale/store/journal"
)

// diskState is the state of the journal's disk: the position up to which it is synced, and the operations and
// acknowledgements that wait for a sync.
//
// A store whose disk stalls keeps running: it refuses new messages, and reports the stall to the control plane, which
// assigns the store's partitions to other stores until everything that was appended is synced.
type diskState struct {
	journal        Journal        // nil before Start
	syncedPosition uint64         // position up to which the journal is synced
	unsyncedSince  time.Duration  // since when appended records have waited for a sync; never if none waits
	stalled        bool           // as reported to the control plane
	references     map[uint32]int // for each segment the number of entries whose record is in it
	epochSegment   uint32         // the segment that has the newest RecordEpoch
	awaitingSync   []syncWait     // operations that wait for this store's disk, by position
	pendingAcks    []pendingAck   // acknowledgements to send once the journal is synced, by position
}

// syncWait is an operation that waits until this store's journal is synced up to a position.
type syncWait struct {
	position uint64
	op       *op
}

// pendingAck is an acknowledgement that is sent to a primary once the journal is synced up to a position.
type pendingAck struct {
	position uint64
	remote   Remote
	number   uint64 // number of the Replicate to acknowledge
}

func newDiskState() diskState {
	return diskState{unsyncedSince: never, references: make(map[uint32]int)}
}

func (d *diskState) open(j Journal) {
	d.journal = j
	d.syncedPosition = j.Position()
}

// stallDue returns when the disk will count as stalled unless a sync completes earlier, or never if nothing waits or it
// is stalled already.
func (d *diskState) stallDue() time.Duration {
	if d.unsyncedSince == never || d.stalled {
		return never
	}
	return d.unsyncedSince + stallTimeout
}

// takeSynced removes and returns the operations that are on this store's disk now that it is synced up to a position.
func (d *diskState) takeSynced(position uint64) []syncWait {
	n := 0
	for n < len(d.awaitingSync) && d.awaitingSync[n].position <= position {
		n++
	}
	done := slices.Clone(d.awaitingSync[:n])
	d.awaitingSync = slices.Delete(d.awaitingSync, 0, n)
	return done
}

// sendAcks sends the acknowledgements whose position is synced. On each connection only the newest is sent, since it
// covers the earlier ones.
func (d *diskState) sendAcks() {
	n := 0
	for n < len(d.pendingAcks) && d.pendingAcks[n].position <= d.syncedPosition {
		n++
	}
	due := d.pendingAcks[:n]
	for i, ack := range due {
		later := func(other pendingAck) bool { return other.remote == ack.remote }
		if !slices.ContainsFunc(due[i+1:], later) {
			_ = ack.remote.Notify(MethodAcked, &Acked{Number: ack.number})
		}
	}
	d.pendingAcks = slices.Delete(d.pendingAcks, 0, n)
}

// addReference counts an entry whose record is in a segment.
func (d *diskState) addReference(segment uint32) { d.references[segment]++ }

// dropReference undoes an addReference. A segment without references can be removed.
func (d *diskState) dropReference(segment uint32) {
	if d.references[segment]--; d.references[segment] == 0 {
		delete(d.references, segment)
	}
}

// appendPayload appends an encoded record to the journal.
func (c *Core) appendPayload(payload []byte) (at journal.Location, position uint64) {
	if c.disk.unsyncedSince == never {
		c.disk.unsyncedSince = c.now.Steady
		c.wakeAt(c.disk.unsyncedSince + stallTimeout)
	}
	return c.disk.journal.Append(payload)
}

// updateSyncState records that a sync has completed. It restarts the stall timeout if more records wait, and ends a
// stall if none does.
func (c *Core) updateSyncState() {
	c.disk.unsyncedSince = never
	if c.disk.syncedPosition < c.disk.journal.Position() {
		c.disk.unsyncedSince = c.now.Steady
		c.wakeAt(c.disk.unsyncedSince + stallTimeout)
	}
	if c.disk.stalled && c.disk.unsyncedSince == never {
		c.disk.stalled = false
		c.host.StatusChanged()
	}
}

// checkStall marks the disk as stalled if the stall timeout is over.
func (c *Core) checkStall() {
	if c.disk.unsyncedSince != never && c.now.Steady >= c.disk.unsyncedSince+stallTimeout {
		c.markStalled()
	}
}

// DiskFull handles that the disk is full. It counts as stalled at once if appended records wait for it.
func (c *Core) DiskFull(now Time) {
	c.now = now
	if c.disk.unsyncedSince != never {
		c.markStalled()
	}
}

func (c *Core) markStalled() {
	if c.disk.stalled {
		return
	}
	c.disk.stalled = true
	c.config.Log.Warn("disk stalled: refusing new messages until it is synced", "disk", c.config.Disk)
	c.host.StatusChanged()
}

// JournalSynced handles that the journal is synced up to a position: it completes operations, and sends
// acknowledgements to primaries.
func (c *Core) JournalSynced(now Time, position uint64) {
	c.now = now
	c.disk.syncedPosition = max(c.disk.syncedPosition, position)
	c.updateSyncState()
	for _, wait := range c.disk.takeSynced(position) {
		wait.op.synced = true
		c.complete(wait.op)
	}
	c.disk.sendAcks()
	c.assignDue()
	c.flushPeers()
}
