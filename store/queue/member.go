package queue

import (
	"errors"

	"ravendale/cluster/wire"
)

// The events of this file come from the primaries of partitions that the store is a member of.

// raise refuses older epochs from now on.
func (c *Core) raise(epoch uint64) {
	if epoch <= c.fence {
		return
	}
	c.fence = epoch
	c.writeEpoch()
}

func (c *Core) writeEpoch() {
	_, at, _ := c.write(&Record{Kind: RecordEpoch, Sequence: c.fence})
	c.epochAt = at.Segment
}

// Replicate applies what a primary has changed, and acknowledges it once it is on disk.
func (c *Core) Replicate(now Time, from Remote, m *Replicate) {
	c.now = now
	if m.Epoch < c.fence {
		return
	}
	c.raise(m.Epoch)
	for _, payload := range m.Records {
		r, err := decodeRecord(payload)
		if err != nil {
			c.config.Log.Error("a primary sent a record that can't be read", "error", err)
			return
		}
		if c.changes(r) {
			at, _ := c.append(payload)
			c.apply(r, at, m.Old)
		}
	}
	c.acks = append(c.acks, ackWait{position: c.journal.Position(), remote: from, number: m.Number})
	c.acknowledge()
}

// Compare answers what of a partition differs from the primary's.
func (c *Core) Compare(now Time, from Remote, m *Compare) {
	c.now = now
	if m.Epoch < c.fence || len(m.Sums) != bucketCount {
		return
	}
	c.raise(m.Epoch)
	p := c.at(m.Partition)
	c.forgetUpTo(p, m.Horizon)
	last := -1
	for bucket := range bucketCount {
		if p.sums[bucket] != m.Sums[bucket] {
			last = bucket
		}
	}
	if last < 0 {
		_ = from.Notify(MethodDiffer, &Differ{Partition: m.Partition, Round: m.Round, Bucket: bucketCount, Last: true})
		return
	}
	lists := p.buckets(func(bucket int) bool { return p.sums[bucket] != m.Sums[bucket] })
	for bucket := range last + 1 {
		if p.sums[bucket] != m.Sums[bucket] {
			_ = from.Notify(MethodDiffer, p.differ(m.Round, bucket, bucket == last, lists[bucket]))
		}
	}
}

// differ lists one bucket.
func (p *partition) differ(round uint64, bucket int, last bool, list []*entry) *Differ {
	answer := &Differ{Partition: p.number, Round: round, Bucket: uint16(bucket), Last: last}
	for _, e := range list {
		answer.Entries = append(answer.Entries, Digest{ID: e.id, Sum: e.sum(hashOf(e.id)), State: e.state, Failed: e.failed, Bare: e.bare})
	}
	return answer
}

// buckets returns the entries of the buckets that are wanted, each in order.
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

// Fetch answers with all that is known of some messages.
func (c *Core) Fetch(now Time, from Remote, m *Fetch) {
	c.now = now
	if m.Epoch < c.fence {
		return
	}
	p := c.at(m.Partition)
	answer := &Fetched{Partition: m.Partition, Round: m.Round}
	size := 0
	for _, id := range m.IDs {
		e, _ := p.find(id)
		if e == nil {
			continue
		}
		payload := c.wholeBytes(p, e)
		if payload == nil {
			return
		}
		answer.Records = append(answer.Records, payload)
		if size += len(payload); size >= fillBytes {
			_ = from.Notify(MethodFetched, answer)
			answer = &Fetched{Partition: m.Partition, Round: m.Round}
			size = 0
		}
	}
	answer.Last = true
	_ = from.Notify(MethodFetched, answer)
}

// Filled notes that this store has a partition whole.
func (c *Core) Filled(now Time, m *Filled) {
	c.now = now
	if m.Epoch < c.fence {
		return
	}
	p := c.at(m.Partition)
	p.filledFor = m.Epoch
	if p.joining && m.Epoch == c.epoch() {
		c.host.StatusChanged()
	}
}

// Find answers a question about a message.
func (c *Core) Find(now Time, m *wire.Find, reply Replier) {
	c.now = now
	answer, err := c.lookUp(m)
	if errors.Is(err, errAbsence) {
		reply.Fail(err)
		return
	}
	if err != nil {
		c.host.Fail(err)
		reply.Fail(err)
		return
	}
	reply.Send(answer)
}

// errAbsence answers a question about a message that is not here, but may be elsewhere.
var errAbsence = errors.New("queue: the message is not here, under another placement than the asker's")

func (c *Core) lookUp(m *wire.Find) (*wire.FindReply, error) {
	number, _ := wire.PartitionOf(m.ID)
	p := c.known(number)
	if p == nil || !p.primary && !p.replica {
		return c.absent(m)
	}
	e, _ := p.find(m.ID)
	if e == nil {
		return c.absent(m)
	}
	if m.Body && (e.bare || e.state == wire.StateDropped) {
		return c.absent(m) // no body is here; of a dead message another replica has it
	}
	answer := &wire.FindReply{Found: true, State: e.state}
	kept := e.pending() || e.state == wire.StateDead
	if e.state != wire.StateDone && (!m.Body || !kept) {
		return answer, nil
	}
	r, err := c.whole(p, e)
	if err != nil {
		return nil, err
	}
	answer.Signature = r.Signature
	if m.Body && kept {
		answer.Body = r.Message.Body
	}
	return answer, nil
}

// absent says that a message is not here. If all stores say so under one placement, no replica of its partition has it.
func (c *Core) absent(m *wire.Find) (*wire.FindReply, error) {
	if c.view == nil || m.Epoch != c.view.Epoch || c.fence > c.view.Epoch {
		return nil, errAbsence
	}
	return &wire.FindReply{}, nil
}
