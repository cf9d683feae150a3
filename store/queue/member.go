package queue

// This file handles notifications from the primaries of partitions that this store is a member of.

// raiseEpoch records a newer epoch in the journal. Notifications of older epochs are ignored from then on.
func (c *Core) raiseEpoch(epoch uint64) {
	if epoch <= c.newestEpoch {
		return
	}
	c.newestEpoch = epoch
	c.writeEpoch()
}

func (c *Core) writeEpoch() {
	_, at, _ := c.appendRecord(&Record{Kind: RecordEpoch, Sequence: c.newestEpoch})
	c.disk.epochSegment = at.Segment
}

// Replicate applies changes of a primary, and acknowledges them once they are on disk.
func (c *Core) Replicate(now Time, from Remote, m *Replicate) {
	c.now = now
	if c.refusesPrimary(from, m.Epoch) {
		return
	}
	c.raiseEpoch(m.Epoch)
	for _, payload := range m.Records {
		r, err := decodeRecord(payload)
		if err != nil {
			c.config.Log.Error("can't decode a record from a primary; not acknowledging its notification", "error", err)
			return
		}
		if c.wouldChange(r) {
			at, _ := c.appendPayload(payload)
			c.apply(r, at, m.Old)
		}
	}
	c.disk.pendingAcks = append(c.disk.pendingAcks, pendingAck{position: c.disk.journal.Position(), remote: from, number: m.Number})
	c.disk.sendAcks()
}

// Compare answers with the lists of all buckets of a partition that differ from the primary's.
func (c *Core) Compare(now Time, from Remote, m *Compare) {
	c.now = now
	if c.refusesPrimary(from, m.Epoch) || len(m.Sums) != bucketCount {
		return
	}
	c.raiseEpoch(m.Epoch)
	p := c.partition(m.Partition)
	c.trimFinished(p, m.Horizon)
	last := -1
	for bucket := range bucketCount {
		if p.sums[bucket] != m.Sums[bucket] {
			last = bucket
		}
	}
	if last < 0 {
		_ = from.Notify(MethodDiffer, &Differ{Partition: m.Partition, ComparisonID: m.ComparisonID, Bucket: bucketCount, Last: true})
		return
	}
	lists := p.buckets(func(bucket int) bool { return p.sums[bucket] != m.Sums[bucket] })
	for bucket := range last + 1 {
		if p.sums[bucket] != m.Sums[bucket] {
			_ = from.Notify(MethodDiffer, p.differ(m.ComparisonID, bucket, bucket == last, lists[bucket]))
		}
	}
}

// differ returns the list of one bucket.
func (p *partition) differ(id uint64, bucket int, last bool, list []*entry) *Differ {
	answer := &Differ{Partition: p.number, ComparisonID: id, Bucket: uint16(bucket), Last: last}
	for _, e := range list {
		answer.Entries = append(answer.Entries, Digest{ID: e.id, Sum: e.sum(hashOf(e.id)), State: e.state, Failed: e.failed, NoBody: e.noBody})
	}
	return answer
}

// buckets returns the entries of the buckets for which want returns true, each in the order of their sequence numbers.
func (p *partition) buckets(want func(bucket int) bool) *[bucketCount][]*entry {
	lists := new([bucketCount][]*entry)
	for hash, e := range p.entries {
		if bucket := bucketOf(hash); want(bucket) {
			lists[bucket] = append(lists[bucket], e)
		}
	}
	for _, list := range lists {
		sortEntries(list)
	}
	return lists
}

// Fetch answers with the full state of some messages, in one or more Fetched notifications.
func (c *Core) Fetch(now Time, from Remote, m *Fetch) {
	c.now = now
	if c.refusesPrimary(from, m.Epoch) {
		return
	}
	p := c.partition(m.Partition)
	answer := &Fetched{Partition: m.Partition, ComparisonID: m.ComparisonID}
	size := 0
	for _, id := range m.IDs {
		e, _ := p.find(id)
		if e == nil {
			continue
		}
		payload := c.messagePayload(p, e)
		if payload == nil {
			return
		}
		answer.Records = append(answer.Records, payload)
		if size += len(payload); size >= batchBytes {
			_ = from.Notify(MethodFetched, answer)
			answer = &Fetched{Partition: m.Partition, ComparisonID: m.ComparisonID}
			size = 0
		}
	}
	answer.Last = true
	_ = from.Notify(MethodFetched, answer)
}

// Filled handles the primary's notification that this store has the complete partition. Status lists the partition as
// synced from then on, as long as the epoch stays the same.
func (c *Core) Filled(now Time, from Remote, m *Filled) {
	c.now = now
	if c.refusesPrimary(from, m.Epoch) {
		return
	}
	p := c.partition(m.Partition)
	p.filledEpoch = m.Epoch
	if p.joining && m.Epoch == c.epoch() {
		c.host.StatusChanged()
	}
}
