package queue

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// newPrimaryWithJoiner returns a ready primary of two partitions with messages in both, and a store that joins both.
func newPrimaryWithJoiner(t *testing.T, messages int) (r *driver, c *fakeRemote) {
	r, b, c := newDriver(t), &fakeRemote{}, &fakeRemote{}
	view := func(epoch uint64, joining ...uint16) {
		placed := wire.Placement{Replicas: []uint16{0, 1}, Joining: joining}
		r.core.SetView(r.now, &wire.StoreView{
			Epoch: epoch, Copies: 2, Stores: []wire.Store{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}}, Partitions: []wire.Placement{placed, placed},
		})
	}
	view(1)
	r.core.PeerUp(r.now, "b", b)
	for i := range messages {
		number := uint16(i % 2)
		m := plainMsg(fmt.Sprintf("%d.%d", number, i))
		m.Body = make([]byte, 1000)
		r.core.PutMessage(r.now, &fakeRemote{}, &wire.Put{Partition: number, Epoch: 1, Message: m}, &reply{})
	}
	r.syncAndAck(b)
	view(2, 2)
	r.core.PeerUp(r.now, "c", c)
	r.syncAndAck(b)
	return r, c
}

// comparisonIDs returns the IDs of the two newest comparisons with a member, one for each partition.
func comparisonIDs(h *fakeRemote) (list []uint64) {
	for _, notice := range h.notifications {
		if m, ok := notice.(*Compare); ok {
			list = append(list, m.ComparisonID)
		}
	}
	return list[len(list)-2:]
}

// replicateSizes returns the number of records in each non-empty Replicate that a member was sent.
func replicateSizes(h *fakeRemote) (counts []int) {
	for _, notice := range h.notifications {
		if m, ok := notice.(*Replicate); ok && len(m.Records) > 0 {
			counts = append(counts, len(m.Records))
		}
	}
	return counts
}

// sendDiffer sends a member's lists of all buckets to the primary, as if the member had the entries for which has
// returns true.
func (r *driver) sendDiffer(from *fakeRemote, number uint16, has func(e *entry) bool) {
	comparisonID := comparisonIDs(from)[number]
	for bucket := range bucketCount {
		m := &Differ{Partition: number, ComparisonID: comparisonID, Bucket: uint16(bucket), Last: bucket == bucketCount-1}
		for _, e := range r.core.partition(number).buckets(func(int) bool { return true })[bucket] {
			if has(e) {
				m.Entries = append(m.Entries, Digest{ID: e.id, Sum: e.sum(hashOf(e.id)), State: e.state})
			}
		}
		r.core.Differ(r.now, from, m)
	}
}

func TestJoinerIsSentOnlyMissingMessages(t *testing.T) {
	r, c := newPrimaryWithJoiner(t, 100)
	has := func(e *entry) bool { return e.id != "0.6" && e.id != "1.7" }
	r.sendDiffer(c, 0, has)
	r.sendDiffer(c, 1, has)
	r.ack(c)
	r.ack(c)
	assert.Equal(t, []int{1, 1}, replicateSizes(c))
	assert.NotNil(t, lastSent[Filled](c))
}

// A joining store must get new messages without delay while it catches up: the records it lacks are sent in small
// batches, one at a time over all partitions.
func TestCatchUpDoesNotDelayNewMessages(t *testing.T) {
	r, c := newPrimaryWithJoiner(t, 200)
	nothing := func(*entry) bool { return false }
	r.sendDiffer(c, 0, nothing)
	r.sendDiffer(c, 1, nothing)
	require.Len(t, replicateSizes(c), 1, "one batch at a time")
	r.core.PutMessage(r.now, &fakeRemote{}, &wire.Put{Partition: 1, Epoch: 2, Message: plainMsg("1.new")}, &reply{})
	require.Len(t, replicateSizes(c), 2, "a new message is sent without waiting for the batch")
	for batch := range 20 {
		before := len(replicateSizes(c))
		r.ack(c)
		assert.LessOrEqual(t, len(replicateSizes(c)), before+1, "batch %d", batch)
	}
	total := 0
	for _, count := range replicateSizes(c) {
		assert.LessOrEqual(t, count, batchBytes/1000+1)
		total += count
	}
	assert.Equal(t, 201, total)
	assert.False(t, r.core.isComparing(r.core.peers.byDisk["c"]))
}

// BenchmarkCompare lists all buckets of a partition and compares the lists.
func BenchmarkCompare(b *testing.B) {
	r := fillCore(b, 3000, true)
	member := &fakeRemote{}
	p := r.core.partition(0)
	to := &peer{disk: "m", remote: member}
	b.ReportAllocs()
	for range b.N {
		member.notifications = nil
		r.core.Compare(r.now, member, &Compare{Epoch: r.core.epoch(), Sums: make([]uint64, bucketCount)})
		r.core.compare(p, to)
		comparisonID := lastSent[Compare](member).ComparisonID
		r.core.peers.byRemote[member] = to
		for _, notice := range member.notifications {
			if m, ok := notice.(*Differ); ok {
				m.ComparisonID = comparisonID
				r.core.Differ(r.now, member, m)
			}
		}
	}
}

// The primary handles other events between two bucket lists of a member. It must compare a list with its current
// entries, not with those from when the comparison began.
func TestBucketListIsComparedWithCurrentEntries(t *testing.T) {
	r, c := newPrimaryWithJoiner(t, 20)
	entries := slices.Collect(maps.Values(r.core.partition(0).entries))
	slices.SortFunc(entries, func(a, b *entry) int { return bucketOf(hashOf(a.id)) - bucketOf(hashOf(b.id)) })
	newest := entries[len(entries)-1]
	comparisonID := comparisonIDs(c)[0]
	r.core.Differ(r.now, c, &Differ{ComparisonID: comparisonID, Bucket: 0})
	staleDigest := Digest{ID: newest.id, Sum: newest.sum(hashOf(newest.id)), State: newest.state}
	replaced := &Record{ID: newest.id, Sequence: newest.sequence + 1000, Message: plainMsg("")}
	r.core.apply(replaced, newest.location, true)
	r.ack(c)
	for bucket := 1; bucket < bucketCount; bucket++ {
		m := &Differ{ComparisonID: comparisonID, Bucket: uint16(bucket), Last: bucket == bucketCount-1}
		if bucket == bucketOf(hashOf(newest.id)) {
			m.Entries = append(m.Entries, staleDigest)
		}
		r.core.Differ(r.now, c, m)
		r.ack(c)
	}
	total := 0
	for _, count := range replicateSizes(c) {
		total += count
	}
	assert.Equal(t, len(entries), total, "each message is sent once")
}
