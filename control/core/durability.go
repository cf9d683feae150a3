package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/chain"
	"ravendale/control/view"
)

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
	n.logRecords = max(len(records), len(kept.Chain.Entries))
	n.stateBytes = len(kept.Machine)
	for _, data := range records {
		n.logBytes += len(data)
	}
	if len(kept.Machine) > 0 {
		if err := n.config.Machine.Restore(kept.Machine); err != nil {
			return nil, fmt.Errorf("core: machine's snapshot on disk: %w", err)
		}
	}
	return kept, nil
}

func (n *node) appendRecord(change *record) {
	if n.snapshotDue {
		return // the image will have it
	}
	data, err := change.MarshalMsg(nil)
	if err != nil {
		panic(err) // the generated code only fails on types that a record has not
	}
	n.pendingRecords = append(n.pendingRecords, data)
	n.logBytes += len(data)
	n.logRecords++
}

// flush gives the changes of this step to the disk. The log's bound follows the state's size and not the image's, in which the entries that
// are not known to be committed would let it grow from start to start. Entries that an image has to carry count as records, and for the number of
// records alone an image is only made when it drops half of them: else each start would carry more.
func (n *node) flush(now time.Duration) {
	if !n.snapshotDue && len(n.pendingRecords) == 0 || n.degradation.fault != "" && !n.beginRecovery(now) {
		return
	}
	if n.logBytes > min(max(n.config.MinLogBytes, 2*n.stateBytes), maxLogBytes) || n.logRecords > n.config.MaxLogRecords && 2*n.chain.Unapplied() <= n.logRecords {
		n.snapshotDue = true
	}
	if n.lastBatch == n.durableBatch {
		n.writingSince = now
	}
	n.lastBatch++
	write := diskWrite{Batch: n.lastBatch, Records: n.pendingRecords}
	if n.snapshotDue {
		write.Records, write.Image = nil, n.image()
		n.logBytes, n.logRecords = 0, n.chain.Unapplied()
	}
	n.snapshotDue, n.pendingRecords = false, nil
	n.output.Writes = append(n.output.Writes, write)
	n.writeOffsets = append(n.writeOffsets, writeOffset{n.lastBatch, n.chain.Mark()})
}

func (n *node) image() []byte {
	kept := Image{
		ID: n.self.ID, BootstrapMembers: n.bootstrapMembers, View: n.view, Vote: n.vote,
		Chain: n.chain.State(), Machine: n.config.Machine.Snapshot(), Lease: n.voter.Past(),
	}
	n.stateBytes = len(kept.Machine)
	data, err := kept.MarshalMsg(nil)
	if err != nil {
		panic(err) // as for a record
	}
	return data
}

// OnDisk tells that a write, and all before it, is lasting.
func (n *node) OnDisk(now time.Duration, batch uint64) {
	n.durableBatch = max(n.durableBatch, batch)
	n.uninitialized = false
	n.writingSince = now
	if n.degradation.fault != "" {
		n.onRecoveryWrite(now, batch)
	}
	for len(n.writeOffsets) > 0 && n.writeOffsets[0].batch <= batch {
		n.chain.OnDisk(now, n.writeOffsets[0].offset)
		n.drain(now)
		n.writeOffsets = n.writeOffsets[1:]
	}
	if n.config.mutations.commitsAlone {
		n.chain.OnAck(&chain.Ack{Epoch: n.view.Epoch, Committed: n.chain.Synced()})
	}
	for len(n.deferred) > 0 && n.deferred[0].batch <= batch {
		n.deliver(n.deferred[0].message)
		n.deferred = n.deferred[1:]
	}
	n.submitAll(now)
	n.finish(now)
}

// sendWhenDurable posts a message once all that was written so far is on disk.
func (n *node) sendWhenDurable(to string, message msgp.Marshaler) {
	if n.degradation.fault != "" {
		return // it is asked again when this member is back
	}
	pending := n.lastBatch
	if n.snapshotDue || len(n.pendingRecords) > 0 {
		pending++
	}
	if pending == n.durableBatch || n.config.mutations.skipsSync {
		n.deliver(outboundMessage{to, message})
		return
	}
	n.deferred = append(n.deferred, deferredMessage{pending, outboundMessage{to, message}})
}
