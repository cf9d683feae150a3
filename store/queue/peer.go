package queue

import "slices"

// peer is this store's state of another store.
type peer struct {
	disk         string
	remote       Remote // nil while there is no connection
	number       uint64 // number of the newest Replicate on the connection
	outbox       [][]byte
	outboxOld    bool // Replicate.Old of the records in the outbox
	awaitingAck  []peerWait
	unackedBatch *comparison   // the comparison whose batch is unacknowledged; only one batch is sent at a time, so that it doesn't delay new messages
	comparisons  []*comparison // comparisons that wait to send a batch
	stats        comparisonStats
}

// peerSet has the other stores of the view.
type peerSet struct {
	byDisk    map[string]*peer
	byRemote  map[Remote]*peer // connected stores
	list      []*peer          // in the order of the view
	unflushed []*peer          // stores whose outbox may have records
}

func newPeerSet() peerSet {
	return peerSet{byDisk: make(map[string]*peer), byRemote: make(map[Remote]*peer)}
}

// flush sends the records in all outboxes.
func (s *peerSet) flush(epoch uint64) {
	for _, to := range s.unflushed {
		to.flush(epoch)
	}
	s.unflushed = s.unflushed[:0]
}

// peerWait is an operation, or a comparison's batch, that waits until a peer has acknowledged a Replicate.
type peerWait struct {
	number     uint64
	op         *op
	member     int // the peer's index among the members of the partition
	comparison *comparison
}

func (to *peer) flush(epoch uint64) {
	if len(to.outbox) == 0 {
		return
	}
	if to.remote != nil {
		_ = to.remote.Notify(MethodReplicate, &Replicate{Epoch: epoch, Number: to.number, Old: to.outboxOld, Records: to.outbox})
	}
	clear(to.outbox)
	to.outbox = to.outbox[:0]
}

// enqueueRecord queues a record for a connected peer, and returns the number of the Replicate that will carry it.
func (c *Core) enqueueRecord(to *peer, payload []byte, old bool) uint64 {
	if len(to.outbox) > 0 && to.outboxOld != old {
		to.flush(c.epoch())
	}
	if len(to.outbox) == 0 {
		to.number++
		to.outboxOld = old
		c.peers.unflushed = append(c.peers.unflushed, to)
	}
	to.outbox = append(to.outbox, payload)
	return to.number
}

// PeerUp handles a new connection to a store that has confirmed the expected disk.
func (c *Core) PeerUp(now Time, disk string, remote Remote) {
	c.now = now
	to := c.peers.byDisk[disk]
	if to == nil {
		return
	}
	c.disconnectPeer(to)
	to.remote = remote
	c.peers.byRemote[remote] = to
	for _, p := range c.partitions {
		if p == nil || !p.primary {
			continue
		}
		member := slices.Index(p.members, to)
		if member < 0 {
			continue
		}
		for _, o := range p.ops {
			if o.unacked&(1<<member) != 0 {
				c.resend(o, member)
			}
		}
		c.compare(p, to)
	}
	c.flushPeers()
}

// PeerDown handles that the connection to a store is closed.
func (c *Core) PeerDown(now Time, remote Remote) {
	c.now = now
	if to := c.peers.byRemote[remote]; to != nil {
		c.disconnectPeer(to)
	}
}

func (c *Core) disconnectPeer(to *peer) {
	if to.remote == nil {
		return
	}
	delete(c.peers.byRemote, to.remote)
	to.remote = nil
	to.number = 0
	to.awaitingAck = nil
	to.cancelComparisons()
	clear(to.outbox)
	to.outbox = to.outbox[:0]
	for _, p := range c.partitions {
		if p != nil {
			p.comparisons = slices.DeleteFunc(p.comparisons, func(cmp *comparison) bool { return cmp.to == to })
		}
	}
}

// Acked handles a member's acknowledgement: it has synced all Replicates up to a number.
func (c *Core) Acked(now Time, from Remote, m *Acked) {
	c.now = now
	to := c.peers.byRemote[from]
	if to == nil {
		return
	}
	n := 0
	for n < len(to.awaitingAck) && to.awaitingAck[n].number <= m.Number {
		n++
	}
	done := slices.Clone(to.awaitingAck[:n])
	to.awaitingAck = slices.Delete(to.awaitingAck, 0, n)
	for _, wait := range done {
		if wait.comparison != nil {
			to.unackedBatch = nil
			c.advanceComparison(wait.comparison)
			c.sendNextBatch(to)
			continue
		}
		wait.op.unacked &^= 1 << wait.member
		c.complete(wait.op)
	}
	c.assignDue()
	c.flushPeers()
}
