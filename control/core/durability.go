package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/chain"
	"ravendale/control/view"
)

// load decodes what is on disk, and restores the machine. On an empty disk it draws an identity.
func (n *node) load(snapshot []byte, records [][]byte) (*Image, error) {
	if snapshot == nil {
		kept := &Image{ID: view.ID(n.config.Random() | 1)}
		if n.config.Bootstrap && slices.Contains(n.config.Seeds, n.config.Address) {
			kept.BootstrapMembers = n.config.Seeds
		}
		return kept, nil
	}
	kept, err := ReadImage(snapshot, records)
	if err != nil {
		return nil, err
	}
	n.durability.logRecords = max(len(records), len(kept.Chain.Entries))
	n.durability.stateBytes = len(kept.Machine)
	for _, data := range records {
		n.durability.logBytes += len(data)
	}
	if len(kept.Machine) > 0 {
		if err := n.config.Machine.Restore(kept.Machine); err != nil {
			return nil, fmt.Errorf("core: machine's snapshot on disk: %w", err)
		}
	}
	return kept, nil
}

// durability is what the member has given to its disk, what it has still to give, and what waits until that is synced. Batches number the writes from
// one; each write makes all before it durable too.
type durability struct {
	uninitialized bool          // its identity is not on disk yet, so that it may not speak
	lastBatch     uint64        // newest that was given to the disk
	durableBatch  uint64        // newest that is known to be synced
	writingSince  time.Duration // since when a write is under way
	records       [][]byte      // for the next write
	snapshotDue   bool          // the next write is a whole image, and records are not needed
	logBytes      int           // since the snapshot
	logRecords    int           // the same
	stateBytes    int           // of the machine's newest snapshot
	offsets       []writeOffset
	deferred      []deferredMessage
	degradation   degradation
}

// writeOffset is the log offset that a write makes durable.
type writeOffset struct {
	batch  uint64
	offset chain.LogOffset
}

// deferredMessage waits for a batch to be durable.
type deferredMessage struct {
	batch   uint64
	message outboundMessage
}

// append has a change of the image written. A snapshot that is due will have it anyway.
func (d *durability) append(change *record) {
	if d.snapshotDue {
		return
	}
	data, err := change.MarshalMsg(nil)
	if err != nil {
		panic(err) // the generated code only fails on types that a record has not
	}
	d.records = append(d.records, data)
	d.logBytes += len(data)
	d.logRecords++
}

// requireSnapshot has the next write be a whole image.
func (d *durability) requireSnapshot() { d.snapshotDue, d.records = true, nil }

// dirty says whether there is something to write.
func (d *durability) dirty() bool { return d.snapshotDue || len(d.records) > 0 }

// writing says whether the disk has not answered yet.
func (d *durability) writing() bool {
	return d.lastBatch > max(d.durableBatch, d.degradation.failedBatch)
}

// awaited is the batch with which all is durable that was recorded so far.
func (d *durability) awaited() uint64 {
	if d.dirty() {
		return d.lastBatch + 1
	}
	return d.lastBatch
}

// logFull says whether the log is so long that a snapshot is due. Its bound follows the state's size and not the image's, in which the entries that
// are not known to be committed would let it grow from start to start. Entries that an image has to carry, the unapplied, count as records, and for the
// number of records alone an image is only made when it drops half of them: else each start would carry more.
func (d *durability) logFull(config *nodeConfig, unapplied int) bool {
	return d.logBytes > min(max(config.MinLogBytes, 2*d.stateBytes), maxLogBytes) || d.logRecords > config.MaxLogRecords && 2*unapplied <= d.logRecords
}

// beginWrite numbers the next write.
func (d *durability) beginWrite(now time.Duration) (batch uint64) {
	if d.lastBatch == d.durableBatch {
		d.writingSince = now
	}
	d.lastBatch++
	return d.lastBatch
}

// flush gives the changes of this step to the disk.
func (n *node) flush(now time.Duration) {
	d := &n.durability
	if !d.dirty() || d.degraded() && !d.beginRecovery(now) {
		return
	}
	if d.logFull(&n.config, n.chain.Unapplied()) {
		d.snapshotDue = true
	}
	write := diskWrite{Batch: d.beginWrite(now), Records: d.records}
	if d.snapshotDue {
		write.Records, write.Image = nil, n.image()
		d.logBytes, d.logRecords = 0, n.chain.Unapplied()
	}
	d.snapshotDue, d.records = false, nil
	n.output.Writes = append(n.output.Writes, write)
	d.offsets = append(d.offsets, writeOffset{write.Batch, n.chain.LogOffset()})
}

// image is all that the member keeps on disk, encoded.
func (n *node) image() []byte {
	kept := Image{
		ID: n.self.ID, BootstrapMembers: n.bootstrapMembers, View: n.view, Vote: n.vote,
		Chain: n.chain.State(), Machine: n.config.Machine.Snapshot(), Lease: n.lease.voter.PreviousGrant(),
	}
	n.durability.stateBytes = len(kept.Machine)
	data, err := kept.MarshalMsg(nil)
	if err != nil {
		panic(err) // as for a record
	}
	return data
}

// OnDisk tells that a write, and all before it, is durable.
func (n *node) OnDisk(now time.Duration, batch uint64) {
	d := &n.durability
	d.durableBatch = max(d.durableBatch, batch)
	d.uninitialized = false
	d.writingSince = now
	if d.degraded() {
		n.onRecoveryWrite(now, batch)
	}
	for len(d.offsets) > 0 && d.offsets[0].batch <= batch {
		n.chain.OnSynced(now, d.offsets[0].offset)
		n.drain()
		d.offsets = d.offsets[1:]
	}
	if n.config.mutations.commitsAlone {
		n.chain.OnAck(&chain.Ack{Epoch: n.view.Epoch, Committed: n.chain.Synced()})
	}
	for len(d.deferred) > 0 && d.deferred[0].batch <= batch {
		n.deliver(d.deferred[0].message)
		d.deferred = d.deferred[1:]
	}
	n.submitAll(now)
	n.finish(now)
}

// sendWhenDurable sends a message once all that was recorded so far is durable. A degraded member does not send it: it is asked again when it has
// recovered.
func (n *node) sendWhenDurable(to string, message msgp.Marshaler) {
	d := &n.durability
	if d.degraded() {
		return
	}
	awaited := d.awaited()
	if awaited == d.durableBatch || n.config.mutations.skipsSync {
		n.deliver(outboundMessage{to, message})
		return
	}
	d.deferred = append(d.deferred, deferredMessage{awaited, outboundMessage{to, message}})
}
