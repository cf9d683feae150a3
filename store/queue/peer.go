package queue

import "slices"

// peer is another store.
type peer struct {
	disk         string
	remote       Remote // nil while there is no connection
	number       uint64 // of the newest Replicate on the connection
	outbox       [][]byte
	old          bool // of the records in the outbox
	awaitingAck  []peerWait
	unackedBatch *comparison   // whose batch it has yet to acknowledge: one at a time, so that new messages find the way free
	comparisons  []*comparison // that have something to send
	stats        comparisonStats
}

// peerSet are the other stores of the view.
type peerSet struct {
	byDisk    map[string]*peer
	byRemote  map[Remote]*peer // those that are connected
	list      []*peer          // in the order of the view
	unflushed []*peer          // with records that wait to be sent
}

func newPeerSet() peerSet {
	return peerSet{byDisk: make(map[string]*peer), byRemote: make(map[Remote]*peer)}
}

// flush sends all records that wait.
func (s *peerSet) flush(epoch uint64) {
	for _, p := range s.unflushed {
		p.flush(epoch)
	}
	s.unflushed = s.unflushed[:0]
}

// peerWait is something that waits until a peer has synced a Replicate.
type peerWait struct {
	number     uint64
	op         *op
	member     int // the peer's index among the members of the partition
	comparison *comparison
}

func (p *peer) flush(epoch uint64) {
	if len(p.outbox) == 0 {
		return
	}
	if p.remote != nil {
		_ = p.remote.Notify(MethodReplicate, &Replicate{Epoch: epoch, Number: p.number, Old: p.old, Records: p.outbox})
	}
	clear(p.outbox)
	p.outbox = p.outbox[:0]
}

// enqueueRecord queues a record for a peer that is connected, and returns the number of the Replicate that it goes in.
func (c *Core) enqueueRecord(to *peer, payload []byte, old bool) uint64 {
	if len(to.outbox) > 0 && to.old != old {
		to.flush(c.epoch())
	}
	if len(to.outbox) == 0 {
		to.number++
		to.old = old
		c.peers.unflushed = append(c.peers.unflushed, to)
	}
	to.outbox = append(to.outbox, payload)
	return to.number
}

// PeerUp handles that a store is connected, and has said that it has the disk that was meant.
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

// PeerDown handles that a connection to a store is closed.
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

// Acked handles that a member has synced what it was sent, up to a number.
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
