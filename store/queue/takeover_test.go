package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// successor returns a store that has just become the primary of partition 0, and the other replica, which has told nothing yet.
func successor(t *testing.T, records ...*Record) (r *rig, b *heard) {
	r, b = member(t), &heard{}
	r.take(1, records...)
	r.view(2, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	return r, b
}

// fetched has the other replica tell of a record that only it has.
func (r *rig) fetched(b *heard, record *Record) {
	round := last[Compare](b).Round
	theirs := Digest{ID: record.ID, Sum: 1, State: record.State, Failed: record.Failed}
	bucket := uint16(bucketOf(hashOf(record.ID)))
	r.core.Differ(r.now, b, &Differ{Round: round, Bucket: bucket, Entries: []Digest{theirs}, Last: true})
	r.core.Fetched(r.now, b, &Fetched{Round: round, Last: true, Records: [][]byte{record.encode()}})
	r.settle(b)
}

// An edge's report may be faster than the message that it is about.
func TestReportOfAMessageThatMayBeKnownElsewhereIsNotTaken(t *testing.T) {
	r, b := successor(t)
	e := &heard{}
	r.attach("e", e)
	r.claim(e)
	done := wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}
	assert.Equal(t, wire.PutUnknown, code(t, r.report(done, e)))
	r.fetched(b, &Record{ID: "0.1", Sequence: 1, Message: plain("")})
	again := r.report(done, e)
	r.settle(b)
	assert.Equal(t, wire.PutKept, code(t, again))
	assert.Equal(t, wire.StateDone, r.find("0.1", false).State)
	r.pass(10 * time.Second)
	require.Nil(t, last[wire.Grant](e))
	assert.Equal(t, wire.PutKept, code(t, r.report(wire.Report{ID: "0.2", Kind: wire.ReportDone}, e)), "nobody knows it")
}

func TestGrantsCarryTheEpoch(t *testing.T) {
	r, b, e := primary(t)
	r.view(7, []uint16{0, 1}, nil)
	r.claim(e)
	r.put(ordered("0.1"), e)
	r.put(ordered("0.2"), e)
	r.putAs(plain("0.3"), e, false)
	r.settle(b)
	r.settle(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.True(t, last[wire.Grant](e).HasMessage)
	assert.EqualValues(t, 7, last[wire.Grant](e).Epoch)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.settle(b)
	assert.False(t, last[wire.Grant](e).HasMessage)
	assert.EqualValues(t, 7, last[wire.Grant](e).Epoch)
}

// The edge that put a message may have ended it, and its report be on its way: it is asked before another gets the message.
func TestOrphanGoesToItsOwnerFirst(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Holder: "e", Message: plain("")})
	e, f := &heard{}, &heard{}
	r.attach("e", e)
	r.attach("f", f)
	r.claim(f)
	r.same(b)
	r.pass(10 * time.Second)
	r.settle(b)
	assert.Empty(t, f.notices, "its owner is connected, and has not heard of the new primary yet")
	r.claim(e)
	r.settle(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.True(t, last[wire.Grant](e).HasMessage)
	assert.Empty(t, f.notices)

	released := r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	assert.Equal(t, wire.PutKept, code(t, released))
	assert.Empty(t, f.notices, "whose it is now is not on all disks")
	r.settle(b)
	require.NotNil(t, last[wire.Grant](f), "its owner has given it back")
}

func TestOrphanGoesToAnotherOnceItsOwnerHasGone(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Holder: "e", Message: plain("")})
	e, f := &heard{}, &heard{}
	r.attach("e", e)
	r.attach("f", f)
	r.claim(f)
	r.same(b)
	r.pass(2 * time.Second)
	r.core.EdgeDown(r.now, e)
	r.pass(DefaultEdgeGrace - ms)
	r.settle(b)
	assert.Empty(t, f.notices)
	r.pass(2 * ms)
	r.settle(b)
	r.settle(b)
	require.NotNil(t, last[wire.Grant](f))
}

func TestOrphanWhoseOwnerIsNotThereGoesToAnother(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Holder: "e", Message: plain("")})
	f := &heard{}
	r.attach("f", f)
	r.claim(f)
	r.same(b)
	r.pass(time.Second)
	r.settle(b)
	r.settle(b)
	require.NotNil(t, last[wire.Grant](f))
}

// Who holds a message is known wherever the message is, and after a restart.
func TestOwnerIsOnAllDisks(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	whole, err := decodeRecord(r.records[len(r.records)-1])
	require.NoError(t, err)
	assert.Equal(t, "e", whole.Holder)
	r.settle(b)
	f := &heard{}
	r.attach("f", f)
	r.claim(f)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	r.settle(b)
	entry, _ := r.core.at(0).find("0.1")
	to := entry.live.holder.id
	other := newRig(t)
	other.view(1, []uint16{1, 0}, nil)
	other.take(1, whole)
	holder := &Record{Kind: RecordHolder, ID: "0.1", Holder: to}
	other.take(1, holder)
	assert.Equal(t, r.core.at(0).sums, other.core.at(0).sums)
	again := New(Config{Disk: "a", Copies: 2}, r)
	replay(t, r, again)
	assert.Equal(t, r.core.at(0).sums, again.at(0).sums)
	other.take(1, &Record{Kind: RecordDrop, ID: "0.1"})
	assert.Equal(t, [bucketCount]uint64{}, other.core.at(0).sums)
}

// An edge claims what it is putting, too, and may give it up without a word.
func TestClaimedMessageThatItsEdgeGaveUpIsReleased(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Holder: "e", Message: plain("")})
	e, f := &heard{}, &heard{}
	r.attach("e", e)
	r.attach("f", f)
	r.claim(e, "0.1")
	r.claim(f)
	r.same(b)
	r.pass(remindEvery - ms)
	assert.Nil(t, last[wire.Grant](e))
	r.pass(ms)
	require.NotNil(t, last[wire.Grant](e), "it is asked")
	assert.False(t, last[wire.Grant](e).HasMessage)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	r.settle(b)
	r.settle(b)
	require.NotNil(t, last[wire.Grant](f))
	assert.True(t, last[wire.Grant](f).HasMessage)
	told := len(e.notices)
	r.pass(10 * time.Second)
	assert.Len(t, e.notices, told)
}

func TestClaimedMessageIsRemindedOfAgain(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Holder: "e", Message: plain("")})
	e := &heard{}
	r.attach("e", e)
	r.claim(e, "0.1")
	r.same(b)
	for round := range 3 {
		assert.Len(t, e.notices, round)
		r.pass(remindEvery)
	}
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.settle(b)
	told := len(e.notices)
	r.pass(3 * remindEvery)
	assert.Len(t, e.notices, told)
}

// Placements may be skipped on their way. Under one that this store was not told of another was the primary.
func TestPrimaryThatMissedAnEpochAsksTheOthers(t *testing.T) {
	r, b, e := primary(t)
	put := r.put(plain("0.1"), e)
	r.core.Replicate(r.now, &heard{}, &Replicate{Epoch: 2, Number: 1, Records: [][]byte{(&Record{Kind: RecordDrop, ID: "0.1"}).encode()}})
	assert.Equal(t, wire.PutUnknown, code(t, put))
	r.core.PeerUp(r.now, "b", b) // what was dropped is not sent again
	r.settle(b)
	r.core.Replicate(r.now, &heard{}, &Replicate{Epoch: 2, Number: 2, Records: [][]byte{(&Record{ID: "0.2", Sequence: 2 << 32, Message: plain("")}).encode()}})
	r.view(3, []uint16{0, 1}, nil)
	r.claim(e)
	r.pass(10 * time.Second)
	assert.Nil(t, last[wire.Grant](e), "the other replica has not told what it knows")
	assert.Equal(t, wire.PutUnknown, code(t, r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)))
	r.same(b)
	r.settle(b)
	r.settle(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.Equal(t, "0.2", last[wire.Grant](e).ID)
}

// An edge that has connected anew has had what it sent before settled: the rest of it must not come after.
func TestPutOverAConnectionThatWasReplacedIsRefused(t *testing.T) {
	r, _, e := primary(t)
	again := &heard{}
	r.attach("e", again)
	assert.Equal(t, wire.PutRefused, code(t, r.put(plain("0.1"), e)))
	r.core.EdgeDown(r.now, again)
	assert.Equal(t, wire.PutRefused, code(t, r.put(plain("0.1"), again)))
	assert.Empty(t, r.core.at(0).entries)
}

// A message with an order was granted, and the edge's word that it has none is lost.
func TestGrantedMessageIsRemindedOf(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Holder: "e", Message: ordered("")}, &Record{ID: "0.2", Sequence: 2, Holder: "e", Message: ordered("")})
	e := &heard{}
	r.attach("e", e)
	r.claim(e, "0.1", "0.2")
	r.same(b)
	r.pass(time.Second)
	require.Len(t, e.notices, 1)
	r.pass(remindEvery)
	require.Len(t, e.notices, 2, "of the first alone")
	assert.Equal(t, "0.1", last[wire.Grant](e).ID)
}
