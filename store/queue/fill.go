package queue

import (
	"slices"
	"sort"
	"time"

	"ravendale/cluster/wire"
)

// filling is a comparison of a partition with one member, and what comes of it.
type filling struct {
	p       *partition
	to      *peer
	round   uint64
	merge   bool                   // what only the member knows is taken over; else it is dropped there
	listed  bool                   // the member has listed all that differs
	fetches int                    // unanswered
	lists   *[bucketCount][]*entry // what the store has, as it was when the member began to list
	push    []*entry
	drop    []string
}

// compare starts to make a member equal to the primary.
func (c *Core) compare(p *partition, to *peer) {
	if to.remote == nil {
		return
	}
	p.syncs = slices.DeleteFunc(p.syncs, func(f *filling) bool { return f.to == to })
	if !c.isComparing(to) {
		to.tally = tally{since: c.now.Steady}
	}
	c.round++
	f := &filling{p: p, to: to, round: c.round, merge: slices.Contains(p.unmerged, to)}
	p.syncs = append(p.syncs, f)
	to.flush(c.epoch())
	_ = to.remote.Notify(MethodCompare, &Compare{
		Epoch: c.epoch(), Partition: p.number, Round: f.round, Horizon: p.horizon, Sums: p.sums[:],
	})
}

func (c *Core) filling(number uint16, from Remote, round uint64) *filling {
	p := c.known(number)
	if p == nil || !p.primary {
		return nil
	}
	for _, f := range p.syncs {
		if f.round == round && f.to.remote == from {
			return f
		}
	}
	return nil
}

// Differ takes a member's list of one bucket.
func (c *Core) Differ(now Time, from Remote, m *Differ) {
	c.now = now
	f := c.filling(m.Partition, from, m.Round)
	if f == nil {
		return
	}
	if m.Bucket < bucketCount {
		c.weigh(f, m)
	}
	if m.Last {
		f.listed = true
		f.lists = nil
	}
	c.pump(f)
	c.handOver()
	c.finish()
}

// weigh decides what to do about each message of a bucket.
func (c *Core) weigh(f *filling, m *Differ) {
	f.to.tally.listed += len(m.Entries)
	if f.lists == nil {
		f.lists = f.p.buckets(func(int) bool { return true })
	}
	theirs := make(map[string]*Digest, len(m.Entries))
	for i := range m.Entries {
		theirs[m.Entries[i].ID] = &m.Entries[i]
	}
	var fetch []string
	judge := func(e *entry, digest *Digest) {
		switch {
		case digest != nil && digest.Sum == e.sum(hashOf(e.id)):
		case digest != nil && (digest.whole(e) || f.merge && digest.ahead(e)):
			fetch = append(fetch, e.id)
		default:
			f.push = append(f.push, e)
		}
	}
	for _, e := range f.lists[m.Bucket] {
		if current, _ := f.p.find(e.id); current != e {
			continue // it was replaced, or forgotten, since
		}
		judge(e, theirs[e.id])
		delete(theirs, e.id)
	}
	for id, digest := range theirs {
		e, _ := f.p.find(id)
		switch {
		case e != nil:
			judge(e, digest)
		case f.merge:
			fetch = append(fetch, id)
		default:
			f.drop = append(f.drop, id)
		}
	}
	sort.Strings(fetch)
	sort.Strings(f.drop)
	for part := range slices.Chunk(fetch, fetchCount) {
		f.fetches++
		_ = f.to.remote.Notify(MethodFetch, &Fetch{Epoch: c.epoch(), Partition: f.p.number, Round: f.round, IDs: part})
	}
}

// whole says whether a member has the body of a dead message that this store lacks.
func (d *Digest) whole(e *entry) bool { return e.bare && d.State == wire.StateDead && !d.Bare }

// ahead says whether a member knows more of a message than this store.
func (d *Digest) ahead(e *entry) bool {
	if !e.pending() {
		return false
	}
	return d.State != e.state || d.Failed > e.failed
}

// Fetched takes over what only a member knew.
func (c *Core) Fetched(now Time, from Remote, m *Fetched) {
	c.now = now
	f := c.filling(m.Partition, from, m.Round)
	if f == nil {
		return
	}
	for _, payload := range m.Records {
		r, err := decodeRecord(payload)
		if err != nil {
			c.config.Log.Error("a store sent a record that can't be read", "error", err)
			return
		}
		f.to.tally.fetched++
		f.to.tally.bytes += len(payload)
		c.takeOver(f.p, r)
	}
	if m.Last {
		f.fetches--
	}
	c.pump(f)
	c.handOver()
	c.finish()
}

// takeOver applies a record of a member, unless it is known better by now, and gives it to all members.
func (c *Core) takeOver(p *partition, r *Record) {
	e, taken := p.find(r.ID)
	digest := Digest{State: r.State, Failed: r.Failed, Bare: r.Bare}
	if taken || e != nil && !digest.ahead(e) && !digest.whole(e) {
		return
	}
	if e != nil && !e.pending() { // the body of a dead message
		r.Sequence = e.sequence
	}
	var holder *edge
	var waiters []waiter
	putting := false
	if e != nil && e.live != nil {
		holder, putting = e.live.holder, e.live.putting
		r.Holder = e.live.owner
		waiters = p.supersede(e)
	}
	payload, at, position := c.write(r)
	c.apply(r, at, true)
	e, _ = p.find(r.ID)
	if e.live != nil {
		e.live.putting = putting
		if holder != nil {
			c.lease(e, holder)
		}
	}
	o := c.begin(p, e, position, payload)
	o.put = putting
	o.waiters = waiters
}

// pump sends a member what it lacks, a batch at a time, and ends the comparison once it has all on disk.
func (c *Core) pump(f *filling) {
	if f.to.filling == f {
		return
	}
	if len(f.push) == 0 && len(f.drop) == 0 {
		if f.listed && f.fetches == 0 {
			c.filled(f)
		}
		return
	}
	if !slices.Contains(f.to.queued, f) {
		f.to.queue(f)
	}
	c.fillNext(f.to)
}

// queue has a comparison wait for its turn. What a takeover waits for comes first.
func (to *peer) queue(f *filling) {
	i := len(to.queued)
	if f.merge {
		i = slices.IndexFunc(to.queued, func(other *filling) bool { return !other.merge })
		if i < 0 {
			i = len(to.queued)
		}
	}
	to.queued = slices.Insert(to.queued, i, f)
}

// dropFills forgets what was on its way to a peer.
func (to *peer) dropFills() {
	to.filling, to.queued, to.tally = nil, nil, tally{}
}

// fillNext sends the next batch to a peer that has taken the one before.
func (c *Core) fillNext(to *peer) {
	for to.filling == nil && len(to.queued) > 0 {
		f := to.queued[0]
		to.queued = to.queued[1:]
		c.sendBatch(f)
	}
}

func (c *Core) sendBatch(f *filling) {
	f.to.flush(c.epoch())
	var number uint64
	size := 0
	for size < fillBytes && len(f.drop) > 0 {
		payload := (&Record{Kind: RecordDrop, Partition: f.p.number, ID: f.drop[0]}).encode()
		f.drop = f.drop[1:]
		number = c.post(f.to, payload, true)
		size += len(payload)
	}
	for size < fillBytes && len(f.push) > 0 {
		e := f.push[0]
		f.push = f.push[1:]
		if current, _ := f.p.find(e.id); current != e {
			continue
		}
		payload := c.wholeBytes(f.p, e)
		if payload == nil {
			return
		}
		number = c.post(f.to, payload, true)
		size += len(payload)
		f.to.tally.sent++
	}
	f.to.tally.bytes += size
	if number == 0 { // all of it was forgotten meanwhile
		c.pump(f)
		return
	}
	f.to.filling = f
	f.to.waiting = append(f.to.waiting, peerWait{number: number, fill: f})
}

// tally counts what the comparisons with one peer have come to.
type tally struct {
	since      time.Duration
	partitions int
	listed     int // messages that the peer named
	sent       int // messages that it lacked
	fetched    int // messages that only it had
	bytes      int // of those
}

// count notes that a comparison has ended, and tells once all have that brought something.
func (c *Core) count(to *peer) {
	to.tally.partitions++
	if c.isComparing(to) {
		return
	}
	t := to.tally
	to.tally = tally{}
	if t.sent == 0 && t.fetched == 0 {
		return
	}
	c.config.Log.Info("compared with a store", "disk", to.disk, "epoch", c.epoch(), "partitions", t.partitions, "listed", t.listed,
		"sent", t.sent, "fetched", t.fetched, "bytes", t.bytes, "took", c.now.Steady-t.since)
}

func (c *Core) isComparing(to *peer) bool {
	return slices.ContainsFunc(c.partitions, func(p *partition) bool { return p != nil && p.isSyncing(to) })
}

// filled ends a comparison: the member has what the primary has.
func (c *Core) filled(f *filling) {
	p := f.p
	p.syncs = slices.DeleteFunc(p.syncs, func(other *filling) bool { return other == f })
	c.count(f.to)
	if slices.Contains(p.fillers, f.to) {
		f.to.flush(c.epoch())
		_ = f.to.remote.Notify(MethodFilled, &Filled{Epoch: c.epoch(), Partition: p.number})
	}
	before := len(p.unmerged)
	p.unmerged = slices.DeleteFunc(p.unmerged, func(other *peer) bool { return other == f.to })
	if before > 0 && len(p.unmerged) == 0 {
		c.open(p)
	}
}

// supersede ends the changes of a message that is written anew, and returns who waits for them.
func (p *partition) supersede(e *entry) []waiter {
	var waiters []waiter
	for _, o := range slices.Clone(p.ops) {
		if o.e == e {
			waiters = append(waiters, o.waiters...)
			p.removeOp(o)
		}
	}
	return waiters
}
