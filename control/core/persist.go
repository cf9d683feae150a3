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
			kept.Founders = n.config.Seeds
		}
		return kept, nil
	}
	kept, err := ReadImage(snapshot, records)
	if err != nil {
		return nil, err
	}
	n.logged = max(len(records), len(kept.Chain.Entries))
	n.stateSize = len(kept.Machine)
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

func (n *node) log(change *record) {
	if n.whole {
		return // the image will have it
	}
	data, err := change.MarshalMsg(nil)
	if err != nil {
		panic(err) // the generated code only fails on types that a record has not
	}
	n.records = append(n.records, data)
	n.logBytes += len(data)
	n.logged++
}

// flush gives the changes of this step to the disk. The log's bound follows the state's size and not the image's, in which the entries that
// are not known to be committed would let it grow from start to start. Entries that an image has to carry count as records, and for the number of
// records alone an image is only made when it drops half of them: else each start would carry more.
func (n *node) flush(now time.Duration) {
	if !n.whole && len(n.records) == 0 || n.aside.from != "" && !n.mayTry(now) {
		return
	}
	if n.logBytes > min(max(n.config.LeastLog, 2*n.stateSize), mostLog) || n.logged > n.config.MostRecords && 2*n.chain.Unapplied() <= n.logged {
		n.whole = true
	}
	if n.batch == n.lasting {
		n.busySince = now
	}
	n.batch++
	write := diskWrite{Batch: n.batch, Records: n.records}
	if n.whole {
		write.Records, write.Image = nil, n.image()
		n.logBytes, n.logged = 0, n.chain.Unapplied()
	}
	n.whole, n.records = false, nil
	n.out.Writes = append(n.out.Writes, write)
	n.marks = append(n.marks, batchMark{n.batch, n.chain.LogOffset()})
}

func (n *node) image() []byte {
	kept := Image{
		ID: n.self.ID, Founders: n.founder, View: n.view, Vote: n.vote,
		Chain: n.chain.State(), Machine: n.config.Machine.Snapshot(), Lease: n.voter.PreviousGrant(),
	}
	n.stateSize = len(kept.Machine)
	data, err := kept.MarshalMsg(nil)
	if err != nil {
		panic(err) // as for a record
	}
	return data
}

// OnDisk tells that a write, and all before it, is lasting.
func (n *node) OnDisk(now time.Duration, batch uint64) {
	n.lasting = max(n.lasting, batch)
	n.unborn = false
	n.busySince = now
	if n.aside.from != "" {
		n.diskAnswers(now, batch)
	}
	for len(n.marks) > 0 && n.marks[0].batch <= batch {
		n.chain.OnSynced(now, n.marks[0].mark)
		n.drain()
		n.marks = n.marks[1:]
	}
	if n.config.faults.alone {
		n.chain.OnAck(&chain.Ack{Epoch: n.view.Epoch, Committed: n.chain.Synced()})
	}
	for len(n.held) > 0 && n.held[0].batch <= batch {
		n.deliver(n.held[0].post)
		n.held = n.held[1:]
	}
	n.submitAll(now)
	n.finish(now)
}

// sendLasting posts a message once all that was written so far is on disk.
func (n *node) sendLasting(to string, message msgp.Marshaler) {
	if n.aside.from != "" {
		return // it is asked again when this member is back
	}
	pending := n.batch
	if n.whole || len(n.records) > 0 {
		pending++
	}
	if pending == n.lasting || n.config.faults.unsyncedOK {
		n.deliver(post{to, message})
		return
	}
	n.held = append(n.held, heldPost{pending, post{to, message}})
}
