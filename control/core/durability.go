package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/chain"
	"ravendale/control/view"
)

// load decodes what is on disk and restores the machine. On an empty disk it draws an identity.
func (n *node) load(snapshot []byte, records [][]byte) (*Image, error) {
	if snapshot == nil {
		image := &Image{ID: view.ID(n.config.Random() | 1)}
		if n.config.Bootstrap && slices.Contains(n.config.Seeds, n.config.Address) {
			image.BootstrapMembers = n.config.Seeds
		}
		return image, nil
	}
	image, err := ReadImage(snapshot, records)
	if err != nil {
		return nil, err
	}
	n.durability.logRecords = max(len(records), len(image.Chain.Entries))
	n.durability.stateBytes = len(image.Machine)
	for _, data := range records {
		n.durability.logBytes += len(data)
	}
	if len(image.Machine) > 0 {
		if err := n.config.Machine.Restore(image.Machine); err != nil {
			return nil, fmt.Errorf("core: restoring the machine from the snapshot on disk: %w", err)
		}
	}
	return image, nil
}

// durability tracks the member's writes: which records are to be written next, which writes are under way, and which
// messages wait for them. Writes are numbered as batches from one; when one is durable, so are all before it.
type durability struct {
	uninitialized bool          // the identity is not on disk yet, so that the node must not send anything
	lastBatch     uint64        // newest batch that was given to the disk
	durableBatch  uint64        // newest batch that is known to be synced
	writingSince  time.Duration // when the current write was started, or the previous one ended
	records       [][]byte      // to be appended by the next write
	snapshotDue   bool          // the next write is a complete image, so that records need not be appended
	logBytes      int           // bytes of log since the last snapshot
	logRecords    int           // records of log since the last snapshot
	stateBytes    int           // size of the machine's newest snapshot
	offsets       []writeOffset
	deferred      []deferredMessage
	degradation   degradation
}

// writeOffset is the log offset that a write makes durable.
type writeOffset struct {
	batch  uint64
	offset chain.LogOffset
}

// deferredMessage is a message that is sent once a batch is durable.
type deferredMessage struct {
	batch   uint64
	message outboundMessage
}

// append adds a record to the next write, unless that is an image, which contains the change anyway.
func (d *durability) append(change *record) {
	if d.snapshotDue {
		return
	}
	data, err := change.MarshalMsg(nil)
	if err != nil {
		panic(err) // the generated code fails only for types that a record does not contain
	}
	d.records = append(d.records, data)
	d.logBytes += len(data)
	d.logRecords++
}

// requireSnapshot makes the next write a complete image.
func (d *durability) requireSnapshot() { d.snapshotDue, d.records = true, nil }

// dirty reports whether there is something to write.
func (d *durability) dirty() bool { return d.snapshotDue || len(d.records) > 0 }

// writing reports whether a write is under way.
func (d *durability) writing() bool {
	return d.lastBatch > max(d.durableBatch, d.degradation.failedBatch)
}

// requiredBatch returns the batch that makes all changes so far durable.
func (d *durability) requiredBatch() uint64 {
	if d.dirty() {
		return d.lastBatch + 1
	}
	return d.lastBatch
}

// logFull reports whether the log is so long that a snapshot is due. The limit depends on the size of the machine's
// state and not on that of the image: an image includes the entries that are not known to be committed, so that the
// limit would grow with each restart. Unapplied entries, which an image has to carry, count as records. The number of
// records alone causes an image only if that drops at least half of them; otherwise each start would carry more.
func (d *durability) logFull(config *nodeConfig, unapplied int) bool {
	return d.logBytes > min(max(config.MinLogBytes, 2*d.stateBytes), maxLogBytes) || d.logRecords > config.MaxLogRecords && 2*unapplied <= d.logRecords
}

// beginWrite returns the batch number of the next write.
func (d *durability) beginWrite(now time.Duration) (batch uint64) {
	if d.lastBatch == d.durableBatch {
		d.writingSince = now
	}
	d.lastBatch++
	return d.lastBatch
}

// flush adds a write with the changes of this step to the output.
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

// image returns the encoded image of all that the member keeps on disk.
func (n *node) image() []byte {
	state := Image{
		ID: n.self.ID, BootstrapMembers: n.bootstrapMembers, View: n.view, Vote: n.vote,
		Chain: n.chain.State(), Machine: n.config.Machine.Snapshot(), Lease: n.lease.voter.PreviousGrant(),
	}
	n.durability.stateBytes = len(state.Machine)
	data, err := state.MarshalMsg(nil)
	if err != nil {
		panic(err) // as in durability.append
	}
	return data
}

// OnDisk reports that a batch and all before it are durable.
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
		n.drainChain()
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
	n.finishStep(now)
}

// sendWhenDurable sends a message once all changes so far are durable. A degraded member drops the message: the
// recipient asks again, and gets an answer once this member has recovered.
func (n *node) sendWhenDurable(to string, message msgp.Marshaler) {
	d := &n.durability
	if d.degraded() {
		return
	}
	awaited := d.requiredBatch()
	if awaited == d.durableBatch || n.config.mutations.skipsSync {
		n.deliver(outboundMessage{to, message})
		return
	}
	d.deferred = append(d.deferred, deferredMessage{awaited, outboundMessage{to, message}})
}
