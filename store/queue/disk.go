package queue

import (
	"slices"
	"time"

	"ravendale/store/journal"
)

// diskState is what the core knows of its journal: how far it is synced, and what waits for that.
//
// A store whose disk stalls stays up: it refuses new messages, and reports to the control plane, which has others replace it until all that
// waits is synced.
type diskState struct {
	journal       Journal        // nil before Start
	durable       uint64         // position up to which the journal is synced
	unsyncedSince time.Duration  // since when what was appended waits for the disk; never: nothing does
	stalled       bool           // as it was reported last
	references    map[uint32]int // by segment: entries whose record lies in it
	epochSegment  uint32         // the segment that holds the newest epoch
	awaitingSync  []localWait    // in order: operations that wait for the own disk
	pendingAcks   []ackWait      // in order: what is acknowledged once it is synced
}

// localWait is an operation that waits until the own journal is synced up to a position.
type localWait struct {
	position uint64
	op       *op
}

// ackWait is an acknowledgement that a primary gets once the journal is synced up to a position.
type ackWait struct {
	position uint64
	remote   Remote
	number   uint64 // of the Replicate
}

func newDiskState() diskState {
	return diskState{unsyncedSince: never, references: make(map[uint32]int)}
}

func (d *diskState) open(j Journal) {
	d.journal = j
	d.durable = j.Position()
}

// stallDue is when the disk counts as stalled, unless it syncs something before; never, if nothing waits.
func (d *diskState) stallDue() time.Duration {
	if d.unsyncedSince == never || d.stalled {
		return never
	}
	return d.unsyncedSince + stallTimeout
}

// takeSynced removes and returns the operations that are on the own disk once it is synced up to a position.
func (d *diskState) takeSynced(position uint64) []localWait {
	n := 0
	for n < len(d.awaitingSync) && d.awaitingSync[n].position <= position {
		n++
	}
	done := slices.Clone(d.awaitingSync[:n])
	d.awaitingSync = slices.Delete(d.awaitingSync, 0, n)
	return done
}

// sendAcks acknowledges to primaries what has become durable here, once for each connection.
func (d *diskState) sendAcks() {
	n := 0
	for n < len(d.pendingAcks) && d.pendingAcks[n].position <= d.durable {
		n++
	}
	due := d.pendingAcks[:n]
	for i, ack := range due {
		later := func(other ackWait) bool { return other.remote == ack.remote }
		if !slices.ContainsFunc(due[i+1:], later) {
			_ = ack.remote.Notify(MethodAcked, &Acked{Number: ack.number})
		}
	}
	d.pendingAcks = slices.Delete(d.pendingAcks, 0, n)
}

// addReference counts an entry whose record lies in a segment.
func (d *diskState) addReference(segment uint32) { d.references[segment]++ }

// dropReference takes back addReference. A segment without references can be removed.
func (d *diskState) dropReference(segment uint32) {
	if d.references[segment]--; d.references[segment] == 0 {
		delete(d.references, segment)
	}
}

// appendPayload puts a record into the journal.
func (c *Core) appendPayload(payload []byte) (at journal.Location, position uint64) {
	if c.disk.unsyncedSince == never {
		c.disk.unsyncedSince = c.now.Steady
		c.wakeAt(c.disk.unsyncedSince + stallTimeout)
	}
	return c.disk.journal.Append(payload)
}

// noteSync records that the disk has synced something, and whether more waits.
func (c *Core) noteSync() {
	c.disk.unsyncedSince = never
	if c.disk.durable < c.disk.journal.Position() {
		c.disk.unsyncedSince = c.now.Steady
		c.wakeAt(c.disk.unsyncedSince + stallTimeout)
	}
	if c.disk.stalled && c.disk.unsyncedSince == never {
		c.disk.stalled = false
		c.host.StatusChanged()
	}
}

// checkStall finds out whether the disk has stalled.
func (c *Core) checkStall() {
	if c.disk.unsyncedSince != never && c.now.Steady >= c.disk.unsyncedSince+stallTimeout {
		c.markStalled()
	}
}

// DiskFull handles that the disk has no capacity for what was appended: it counts as stalled at once.
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
	c.config.Log.Warn("disk stalled: new messages are refused until it syncs", "disk", c.config.Disk)
	c.host.StatusChanged()
}

// JournalSynced handles that the journal is synced up to a position: operations may complete, and primaries get their acknowledgements.
func (c *Core) JournalSynced(now Time, position uint64) {
	c.now = now
	c.disk.durable = max(c.disk.durable, position)
	c.noteSync()
	for _, wait := range c.disk.takeSynced(position) {
		wait.op.synced = true
		c.complete(wait.op)
	}
	c.disk.sendAcks()
	c.assignDue()
	c.flushPeers()
}
