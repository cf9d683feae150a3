package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// successor returns a store that has just become the primary of partition 0, and the other replica, which has said nothing yet.
func successor(t *testing.T, records ...*Record) (r *rig, b *heard) {
	r, b = member(t), &heard{}
	r.take(1, records...)
	r.view(2, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	return r, b
}

// fetched has the other replica send a record that only it has.
func (r *rig) fetched(b *heard, record *Record) {
	comparisonID := last[Compare](b).ComparisonID
	theirs := Digest{ID: record.ID, Sum: 1, State: record.State, Failed: record.Failed}
	bucket := uint16(bucketOf(hashOf(record.ID)))
	r.core.Differ(r.now, b, &Differ{ComparisonID: comparisonID, Bucket: bucket, Entries: []Digest{theirs}, Last: true})
	r.core.Fetched(r.now, b, &Fetched{ComparisonID: comparisonID, Last: true, Records: [][]byte{record.encode()}})
	r.syncAndAck(b)
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
	r.syncAndAck(b)
	assert.Equal(t, wire.PutAccepted, code(t, again))
	assert.Equal(t, wire.StateDone, r.find("0.1", false).State)
	r.pass(10 * time.Second)
	require.Nil(t, last[wire.Grant](e))
	assert.Equal(t, wire.PutAccepted, code(t, r.report(wire.Report{ID: "0.2", Kind: wire.ReportDone}, e)), "nobody knows it")
}

func TestGrantsHaveTheEpoch(t *testing.T) {
	r, b, e := primary(t)
	r.view(7, []uint16{0, 1}, nil)
	r.claim(e)
	r.put(ordered("0.1"), e)
	r.put(ordered("0.2"), e)
	r.putAs(plain("0.3"), e, false)
	r.syncAndAck(b)
	r.syncAndAck(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.True(t, last[wire.Grant](e).HasMessage)
	assert.EqualValues(t, 7, last[wire.Grant](e).Epoch)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.syncAndAck(b)
	assert.False(t, last[wire.Grant](e).HasMessage)
	assert.EqualValues(t, 7, last[wire.Grant](e).Epoch)
}

// The edge that put a message may have finished it, and its report be on its way: it is asked before another gets the message.
func TestUnownedMessageGoesToItsLastLeaseholderFirst(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plain("")})
	e, f := &heard{}, &heard{}
	r.attach("e", e)
	r.attach("f", f)
	r.claim(f)
	r.same(b)
	r.pass(10 * time.Second)
	r.syncAndAck(b)
	assert.Empty(t, f.notices, "its last leaseholder is connected, and has not heard of the new primary yet")
	r.claim(e)
	r.syncAndAck(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.True(t, last[wire.Grant](e).HasMessage)
	assert.Empty(t, f.notices)

	released := r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	assert.Equal(t, wire.PutAccepted, code(t, released))
	assert.Empty(t, f.notices, "whose it is now is not on all disks")
	r.syncAndAck(b)
	require.NotNil(t, last[wire.Grant](f), "its last leaseholder has released it")
}

func TestUnownedMessageGoesToAnotherEdgeOnceItsLastLeaseholderDisconnected(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plain("")})
	e, f := &heard{}, &heard{}
	r.attach("e", e)
	r.attach("f", f)
	r.claim(f)
	r.same(b)
	r.pass(2 * time.Second)
	r.core.EdgeDown(r.now, e)
	r.pass(defaultReconnectTimeout - ms)
	r.syncAndAck(b)
	assert.Empty(t, f.notices)
	r.pass(2 * ms)
	r.syncAndAck(b)
	r.syncAndAck(b)
	require.NotNil(t, last[wire.Grant](f))
}

func TestUnownedMessageWhoseLastLeaseholderIsNotConnectedGoesToAnotherEdge(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plain("")})
	f := &heard{}
	r.attach("f", f)
	r.claim(f)
	r.same(b)
	r.pass(time.Second)
	r.syncAndAck(b)
	r.syncAndAck(b)
	require.NotNil(t, last[wire.Grant](f))
}

// Who holds a message is known wherever the message is, and after a restart.
func TestLastLeaseholderIsOnAllDisks(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	full, err := decodeRecord(r.records[len(r.records)-1])
	require.NoError(t, err)
	assert.Equal(t, "e", full.Leaseholder)
	r.syncAndAck(b)
	f := &heard{}
	r.attach("f", f)
	r.claim(f)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	r.syncAndAck(b)
	entry, _ := r.core.partition(0).find("0.1")
	to := entry.delivery.leaseholder.id
	other := newRig(t)
	other.view(1, []uint16{1, 0}, nil)
	other.take(1, full)
	holder := &Record{Kind: RecordLeaseholder, ID: "0.1", Leaseholder: to}
	other.take(1, holder)
	assert.Equal(t, r.core.partition(0).sums, other.core.partition(0).sums)
	again := New(Config{Disk: "a", Copies: 2}, r)
	replay(t, r, again)
	assert.Equal(t, r.core.partition(0).sums, again.partition(0).sums)
	other.take(1, &Record{Kind: RecordDrop, ID: "0.1"})
	assert.Equal(t, [bucketCount]uint64{}, other.core.partition(0).sums)
}

// An edge claims what it is putting, too, and may give it up without a message.
func TestClaimedMessageThatItsEdgeGaveUpIsReleased(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plain("")})
	e, f := &heard{}, &heard{}
	r.attach("e", e)
	r.attach("f", f)
	r.claim(e, "0.1")
	r.claim(f)
	r.same(b)
	r.pass(regrantInterval - ms)
	assert.Nil(t, last[wire.Grant](e))
	r.pass(ms)
	require.NotNil(t, last[wire.Grant](e), "it is asked")
	assert.False(t, last[wire.Grant](e).HasMessage)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	r.syncAndAck(b)
	r.syncAndAck(b)
	require.NotNil(t, last[wire.Grant](f))
	assert.True(t, last[wire.Grant](f).HasMessage)
	reported := len(e.notices)
	r.pass(10 * time.Second)
	assert.Len(t, e.notices, reported)
}

func TestClaimedMessageIsGrantedAgainRepeatedly(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plain("")})
	e := &heard{}
	r.attach("e", e)
	r.claim(e, "0.1")
	r.same(b)
	for i := range 3 {
		assert.Len(t, e.notices, i)
		r.pass(regrantInterval)
	}
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.syncAndAck(b)
	reported := len(e.notices)
	r.pass(3 * regrantInterval)
	assert.Len(t, e.notices, reported)
}

// Placements may be skipped on their way. Under one that this store has not seen another was the primary.
func TestPrimaryThatMissedAnEpochAsksTheOthers(t *testing.T) {
	r, b, e := primary(t)
	put := r.put(plain("0.1"), e)
	r.core.Replicate(r.now, &heard{}, &Replicate{Epoch: 2, Number: 1, Records: [][]byte{(&Record{Kind: RecordDrop, ID: "0.1"}).encode()}})
	assert.Equal(t, wire.PutUnknown, code(t, put))
	r.core.PeerUp(r.now, "b", b) // what was dropped is not sent again
	r.syncAndAck(b)
	r.core.Replicate(r.now, &heard{}, &Replicate{Epoch: 2, Number: 2, Records: [][]byte{(&Record{ID: "0.2", Sequence: 2 << 32, Message: plain("")}).encode()}})
	r.view(3, []uint16{0, 1}, nil)
	r.claim(e)
	r.pass(10 * time.Second)
	assert.Nil(t, last[wire.Grant](e), "the other replica has not said what it knows")
	assert.Equal(t, wire.PutUnknown, code(t, r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)))
	r.same(b)
	r.syncAndAck(b)
	r.syncAndAck(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.Equal(t, "0.2", last[wire.Grant](e).ID)
}

// An edge that has connected anew has had what it sent before settled: the rest of it must not come after.
func TestPutOverAConnectionThatWasReplacedIsRefused(t *testing.T) {
	r, _, e := primary(t)
	again := &heard{}
	r.attach("e", again)
	assert.Equal(t, wire.PutRejected, code(t, r.put(plain("0.1"), e)))
	r.core.EdgeDown(r.now, again)
	assert.Equal(t, wire.PutRejected, code(t, r.put(plain("0.1"), again)))
	assert.Empty(t, r.core.partition(0).entries)
}

// A message with an order was granted, and the edge's message that it has none is lost.
func TestGrantedMessageIsGrantedAgain(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: ordered("")}, &Record{ID: "0.2", Sequence: 2, Leaseholder: "e", Message: ordered("")})
	e := &heard{}
	r.attach("e", e)
	r.claim(e, "0.1", "0.2")
	r.same(b)
	r.pass(time.Second)
	require.Len(t, e.notices, 1)
	r.pass(regrantInterval)
	require.Len(t, e.notices, 2, "of the first alone")
	assert.Equal(t, "0.1", last[wire.Grant](e).ID)
}
