package queue

import (
	"slices"
	"sort"

	"ravendale/cluster/wire"
)

// comparison is the state of comparing a partition with one member and making the member equal to the primary.
type comparison struct {
	p       *partition
	to      *peer
	id      uint64
	merge   bool                   // messages and outcomes that only the member has are adopted; otherwise the member drops them
	listed  bool                   // the member has sent its lists of all buckets that differ
	fetches int                    // number of Fetch notifications that aren't fully answered
	buckets *[bucketCount][]*entry // the primary's entries by bucket when the member's first list arrived
	toSend  []*entry
	toDrop  []string
}

// compare starts a comparison with a member, which makes the member equal to the primary. It replaces an earlier
// comparison of the same partition with the member.
func (c *Core) compare(p *partition, to *peer) {
	if to.remote == nil {
		return
	}
	p.comparisons = slices.DeleteFunc(p.comparisons, func(cmp *comparison) bool { return cmp.to == to })
	if !c.isComparing(to) {
		to.stats = comparisonStats{since: c.now.Steady}
	}
	c.lastID++
	cmp := &comparison{p: p, to: to, id: c.lastID, merge: slices.Contains(p.unmerged, to)}
	p.comparisons = append(p.comparisons, cmp)
	to.flush(c.epoch())
	_ = to.remote.Notify(MethodCompare, &Compare{
		Epoch: c.epoch(), Partition: p.number, ComparisonID: cmp.id, Horizon: p.horizon, Sums: p.sums[:],
	})
}

func (c *Core) findComparison(number uint16, from Remote, id uint64) *comparison {
	p := c.lookUpPartition(number)
	if p == nil || !p.primary {
		return nil
	}
	for _, cmp := range p.comparisons {
		if cmp.id == id && cmp.to.remote == from {
			return cmp
		}
	}
	return nil
}

// Differ handles a member's list of one bucket.
func (c *Core) Differ(now Time, from Remote, m *Differ) {
	c.now = now
	cmp := c.findComparison(m.Partition, from, m.ComparisonID)
	if cmp == nil {
		return
	}
	if m.Bucket < bucketCount {
		c.compareBucket(cmp, m)
	}
	if m.Last {
		cmp.listed = true
		cmp.buckets = nil
	}
	c.advanceComparison(cmp)
	c.assignDue()
	c.flushPeers()
}

// compareBucket decides for each message of a bucket that differs whether to send it to the member, fetch it from
// there, or drop it there.
func (c *Core) compareBucket(cmp *comparison, m *Differ) {
	cmp.to.stats.listed += len(m.Entries)
	if cmp.buckets == nil {
		cmp.buckets = cmp.p.buckets(func(int) bool { return true })
	}
	memberDigests := make(map[string]*Digest, len(m.Entries))
	for i := range m.Entries {
		memberDigests[m.Entries[i].ID] = &m.Entries[i]
	}
	var fetch []string
	decide := func(e *entry, digest *Digest) {
		switch {
		case digest != nil && digest.Sum == e.sum(hashOf(e.id)):
		case digest != nil && (digest.suppliesBody(e) || cmp.merge && digest.isAheadOf(e)):
			fetch = append(fetch, e.id)
		default:
			cmp.toSend = append(cmp.toSend, e)
		}
	}
	for _, e := range cmp.buckets[m.Bucket] {
		if current, _ := cmp.p.find(e.id); current != e {
			continue // the entry was replaced or removed in the meantime
		}
		decide(e, memberDigests[e.id])
		delete(memberDigests, e.id)
	}
	for id, digest := range memberDigests {
		e, _ := cmp.p.find(id)
		switch {
		case e != nil:
			decide(e, digest)
		case cmp.merge:
			fetch = append(fetch, id)
		default:
			cmp.toDrop = append(cmp.toDrop, id)
		}
	}
	sort.Strings(fetch)
	sort.Strings(cmp.toDrop)
	for batch := range slices.Chunk(fetch, fetchBatch) {
		cmp.fetches++
		_ = cmp.to.remote.Notify(MethodFetch, &Fetch{Epoch: c.epoch(), Partition: cmp.p.number, ComparisonID: cmp.id, IDs: batch})
	}
}

// suppliesBody reports whether the member has the body of a dead message and this store lacks it.
func (d *Digest) suppliesBody(e *entry) bool {
	return e.noBody && d.State == wire.StateDead && !d.NoBody
}

// isAheadOf reports whether the member has a newer state of a pending message than this store: an outcome, or more
// failed attempts.
func (d *Digest) isAheadOf(e *entry) bool {
	if !e.pending() {
		return false
	}
	return d.State != e.state || d.Failed > e.failed
}

// Fetched handles records that a member sends as the answer to a Fetch, and adopts them.
func (c *Core) Fetched(now Time, from Remote, m *Fetched) {
	c.now = now
	cmp := c.findComparison(m.Partition, from, m.ComparisonID)
	if cmp == nil {
		return
	}
	for _, payload := range m.Records {
		r, err := decodeRecord(payload)
		if err != nil {
			c.config.Log.Error("can't decode a record fetched from a member; ignoring the rest of its notification", "error", err)
			return
		}
		cmp.to.stats.fetched++
		cmp.to.stats.bytes += len(payload)
		c.adoptRecord(cmp.p, r)
	}
	if m.Last {
		cmp.fetches--
	}
	c.advanceComparison(cmp)
	c.assignDue()
	c.flushPeers()
}

// adoptRecord applies a record fetched from a member and sends it to all members, unless this store has newer state of
// the message by now.
func (c *Core) adoptRecord(p *partition, r *Record) {
	e, collides := p.find(r.ID)
	digest := Digest{State: r.State, Failed: r.Failed, NoBody: r.NoBody}
	if collides || e != nil && !digest.isAheadOf(e) && !digest.suppliesBody(e) {
		return
	}
	if e != nil && !e.pending() { // only the body of the dead message is adopted; the outcome stays
		r.Sequence = e.sequence
	}
	var leaseholder *edge
	var waiters []waiter
	accepting := false
	if e != nil && e.delivery != nil {
		leaseholder, accepting = e.delivery.leaseholder, e.delivery.accepting
		r.Leaseholder = e.delivery.lastLeaseholder
		waiters = p.supersede(e)
	}
	payload, at, position := c.appendRecord(r)
	c.apply(r, at, true)
	e, _ = p.find(r.ID)
	if e.delivery != nil {
		e.delivery.accepting = accepting
		if leaseholder != nil {
			c.startLease(e, leaseholder)
		}
	}
	o := c.beginOp(p, e, position, payload)
	o.put = accepting
	o.waiters = waiters
}

// advanceComparison queues the next batch of records that the member lacks, and ends the comparison once the member has
// all of them on disk.
func (c *Core) advanceComparison(cmp *comparison) {
	if cmp.to.unackedBatch == cmp {
		return
	}
	if len(cmp.toSend) == 0 && len(cmp.toDrop) == 0 {
		if cmp.listed && cmp.fetches == 0 {
			c.finishComparison(cmp)
		}
		return
	}
	if !slices.Contains(cmp.to.comparisons, cmp) {
		cmp.to.enqueueComparison(cmp)
	}
	c.sendNextBatch(cmp.to)
}

// enqueueComparison queues a comparison that has something to send. Comparisons that a takeover waits for go before the
// others.
func (to *peer) enqueueComparison(cmp *comparison) {
	i := len(to.comparisons)
	if cmp.merge {
		i = slices.IndexFunc(to.comparisons, func(other *comparison) bool { return !other.merge })
		if i < 0 {
			i = len(to.comparisons)
		}
	}
	to.comparisons = slices.Insert(to.comparisons, i, cmp)
}

// cancelComparisons cancels the sending of all comparisons with a peer.
func (to *peer) cancelComparisons() {
	to.unackedBatch, to.comparisons, to.stats = nil, nil, comparisonStats{}
}

// sendNextBatch sends the next batch to a peer, unless a batch is unacknowledged.
func (c *Core) sendNextBatch(to *peer) {
	for to.unackedBatch == nil && len(to.comparisons) > 0 {
		cmp := to.comparisons[0]
		to.comparisons = to.comparisons[1:]
		c.sendBatch(cmp)
	}
}

func (c *Core) sendBatch(cmp *comparison) {
	cmp.to.flush(c.epoch())
	var number uint64
	size := 0
	for size < batchBytes && len(cmp.toDrop) > 0 {
		payload := (&Record{Kind: RecordDrop, Partition: cmp.p.number, ID: cmp.toDrop[0]}).encode()
		cmp.toDrop = cmp.toDrop[1:]
		number = c.enqueueRecord(cmp.to, payload, true)
		size += len(payload)
	}
	for size < batchBytes && len(cmp.toSend) > 0 {
		e := cmp.toSend[0]
		cmp.toSend = cmp.toSend[1:]
		if current, _ := cmp.p.find(e.id); current != e {
			continue
		}
		payload := c.messagePayload(cmp.p, e)
		if payload == nil {
			return
		}
		number = c.enqueueRecord(cmp.to, payload, true)
		size += len(payload)
		cmp.to.stats.sent++
	}
	cmp.to.stats.bytes += size
	if number == 0 { // all entries of the batch were removed in the meantime
		c.advanceComparison(cmp)
		return
	}
	cmp.to.unackedBatch = cmp
	cmp.to.awaitingAck = append(cmp.to.awaitingAck, peerWait{number: number, comparison: cmp})
}

// finishComparison ends a comparison: the member has everything that the primary has.
func (c *Core) finishComparison(cmp *comparison) {
	p := cmp.p
	p.comparisons = slices.DeleteFunc(p.comparisons, func(other *comparison) bool { return other == cmp })
	c.countComparison(cmp.to)
	if slices.Contains(p.joiners, cmp.to) {
		cmp.to.flush(c.epoch())
		_ = cmp.to.remote.Notify(MethodFilled, &Filled{Epoch: c.epoch(), Partition: p.number})
	}
	unmergedBefore := len(p.unmerged)
	p.unmerged = slices.DeleteFunc(p.unmerged, func(other *peer) bool { return other == cmp.to })
	if unmergedBefore > 0 && len(p.unmerged) == 0 {
		c.openPartition(p)
	}
}

func (p *partition) isComparing(to *peer) bool {
	for _, cmp := range p.comparisons {
		if cmp.to == to {
			return true
		}
	}
	return false
}

func (c *Core) isComparing(to *peer) bool {
	return slices.ContainsFunc(c.partitions, func(p *partition) bool { return p != nil && p.isComparing(to) })
}
