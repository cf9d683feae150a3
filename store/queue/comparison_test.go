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

// joiner returns a ready primary of two partitions with messages in both, and a store that joins both.
func joiner(t *testing.T, messages int) (r *rig, c *heard) {
	r, b, c := newRig(t), &heard{}, &heard{}
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
		m := plain(fmt.Sprintf("%d.%d", number, i))
		m.Body = make([]byte, 1000)
		r.core.PutMessage(r.now, &heard{}, &wire.Put{Partition: number, Epoch: 1, Message: m}, &answer{})
	}
	r.syncAndAck(b)
	view(2, 2)
	r.core.PeerUp(r.now, "c", c)
	r.syncAndAck(b)
	return r, c
}

// comparisonIDs are those of the comparisons under way with a member.
func comparisonIDs(h *heard) (list []uint64) {
	for _, notice := range h.notices {
		if m, ok := notice.(*Compare); ok {
			list = append(list, m.ComparisonID)
		}
	}
	return list[len(list)-2:]
}

// replicated counts the records of each notice that a member was sent.
func replicated(h *heard) (counts []int) {
	for _, notice := range h.notices {
		if m, ok := notice.(*Replicate); ok && len(m.Records) > 0 {
			counts = append(counts, len(m.Records))
		}
	}
	return counts
}

func (r *rig) differ(from *heard, number uint16, have func(e *entry) bool) {
	comparisonID := comparisonIDs(from)[number]
	for bucket := range bucketCount {
		m := &Differ{Partition: number, ComparisonID: comparisonID, Bucket: uint16(bucket), Last: bucket == bucketCount-1}
		for _, e := range r.core.partition(number).buckets(func(int) bool { return true })[bucket] {
			if have(e) {
				m.Entries = append(m.Entries, Digest{ID: e.id, Sum: e.sum(hashOf(e.id)), State: e.state})
			}
		}
		r.core.Differ(r.now, from, m)
	}
}

func TestJoiningStoreThatHasMostIsSentTheRest(t *testing.T) {
	r, c := joiner(t, 100)
	have := func(e *entry) bool { return e.id != "0.6" && e.id != "1.7" }
	r.differ(c, 0, have)
	r.differ(c, 1, have)
	r.ack(c)
	r.ack(c)
	assert.Equal(t, []int{1, 1}, replicated(c))
	assert.NotNil(t, last[Filled](c))
}

// A store that is filled with much still takes new messages in time: what fills it comes in small parts, whatever their partition.
func TestCatchUpDoesNotDelayNewMessages(t *testing.T) {
	r, c := joiner(t, 200)
	nothing := func(*entry) bool { return false }
	r.differ(c, 0, nothing)
	r.differ(c, 1, nothing)
	require.Len(t, replicated(c), 1, "one part at a time")
	r.core.PutMessage(r.now, &heard{}, &wire.Put{Partition: 1, Epoch: 2, Message: plain("1.new")}, &answer{})
	require.Len(t, replicated(c), 2, "a new message does not wait")
	for part := range 20 {
		before := len(replicated(c))
		r.ack(c)
		assert.LessOrEqual(t, len(replicated(c)), before+1, "part %d", part)
	}
	total := 0
	for _, count := range replicated(c) {
		assert.LessOrEqual(t, count, batchBytes/1000+1)
		total += count
	}
	assert.Equal(t, 201, total)
	assert.False(t, r.core.isComparing(r.core.peers.byDisk["c"]))
}

// BenchmarkCompare lists and weighs a partition of which a part of every bucket differs.
func BenchmarkCompare(b *testing.B) {
	r := fillCore(b, 3000, true)
	member := &heard{}
	p := r.core.partition(0)
	to := &peer{disk: "m", remote: member}
	b.ReportAllocs()
	for range b.N {
		member.notices = nil
		r.core.Compare(r.now, member, &Compare{Epoch: r.core.epoch(), Sums: make([]uint64, bucketCount)})
		r.core.compare(p, to)
		comparisonID := last[Compare](member).ComparisonID
		r.core.peers.byRemote[member] = to
		for _, notice := range member.notices {
			if m, ok := notice.(*Differ); ok {
				m.ComparisonID = comparisonID
				r.core.Differ(r.now, member, m)
			}
		}
	}
}

// Between the lists of two buckets the primary goes on: what has changed since is weighed as it is now.
func TestListsAreWeighedAgainstWhatIsKnownNow(t *testing.T) {
	r, c := joiner(t, 20)
	entries := slices.Collect(maps.Values(r.core.partition(0).entries))
	slices.SortFunc(entries, func(a, b *entry) int { return bucketOf(hashOf(a.id)) - bucketOf(hashOf(b.id)) })
	end := entries[len(entries)-1]
	comparisonID := comparisonIDs(c)[0]
	r.core.Differ(r.now, c, &Differ{ComparisonID: comparisonID, Bucket: 0})
	old := Digest{ID: end.id, Sum: end.sum(hashOf(end.id)), State: end.state}
	replaced := &Record{ID: end.id, Sequence: end.sequence + 1000, Message: plain("")}
	r.core.apply(replaced, end.location, true)
	r.ack(c)
	for bucket := 1; bucket < bucketCount; bucket++ {
		m := &Differ{ComparisonID: comparisonID, Bucket: uint16(bucket), Last: bucket == bucketCount-1}
		if bucket == bucketOf(hashOf(end.id)) {
			m.Entries = append(m.Entries, old)
		}
		r.core.Differ(r.now, c, m)
		r.ack(c)
	}
	total := 0
	for _, count := range replicated(c) {
		total += count
	}
	assert.Equal(t, len(entries), total, "each is sent once")
}
