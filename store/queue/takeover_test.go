package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// newSuccessor returns a store that has just become the primary of partition 0, and the other replica, which hasn't
// answered the comparison yet.
func newSuccessor(t *testing.T, records ...*Record) (r *driver, b *fakeRemote) {
	r, b = newMember(t), &fakeRemote{}
	r.receiveRecords(1, records...)
	r.view(2, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	return r, b
}

// sendMissingRecord makes the other replica answer the comparison with a record that only it has.
func (r *driver) sendMissingRecord(b *fakeRemote, record *Record) {
	comparisonID := lastSent[Compare](b).ComparisonID
	digest := Digest{ID: record.ID, Sum: 1, State: record.State, Failed: record.Failed}
	bucket := uint16(bucketOf(hashOf(record.ID)))
	r.core.Differ(r.now, b, &Differ{ComparisonID: comparisonID, Bucket: bucket, Entries: []Digest{digest}, Last: true})
	r.core.Fetched(r.now, b, &Fetched{ComparisonID: comparisonID, Last: true, Records: [][]byte{record.encode()}})
	r.syncAndAck(b)
}

// After a takeover, an edge's report may arrive before the primary has got the reported message from the other replica.
func TestReportOfUnmergedMessageIsNotAccepted(t *testing.T) {
	r, b := newSuccessor(t)
	e := &fakeRemote{}
	r.attach("e", e)
	r.claim(e)
	done := wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}
	assert.Equal(t, wire.PutUnknown, replyCode(t, r.report(done, e)))
	r.sendMissingRecord(b, &Record{ID: "0.1", Sequence: 1, Message: plainMsg("")})
	repeated := r.report(done, e)
	r.syncAndAck(b)
	assert.Equal(t, wire.PutAccepted, replyCode(t, repeated))
	assert.Equal(t, wire.StateDone, r.find("0.1", false).State)
	r.advance(10 * time.Second)
	require.Nil(t, lastSent[wire.Grant](e))
	assert.Equal(t, wire.PutAccepted, replyCode(t, r.report(wire.Report{ID: "0.2", Kind: wire.ReportDone}, e)), "no replica has this message")
}

func TestGrantsCarryCurrentEpoch(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.view(7, []uint16{0, 1}, nil)
	r.claim(e)
	r.put(orderedMsg("0.1"), e)
	r.put(orderedMsg("0.2"), e)
	r.putDispatch(plainMsg("0.3"), e, false)
	r.syncAndAck(b)
	r.syncAndAck(b)
	require.NotNil(t, lastSent[wire.Grant](e))
	assert.True(t, lastSent[wire.Grant](e).HasMessage)
	assert.EqualValues(t, 7, lastSent[wire.Grant](e).Epoch)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.syncAndAck(b)
	assert.False(t, lastSent[wire.Grant](e).HasMessage)
	assert.EqualValues(t, 7, lastSent[wire.Grant](e).Epoch)
}

// The edge that put a message may have finished it, with the report still under way. It must get the message before any
// other edge.
func TestUnownedMessageGoesToItsLastLeaseholderFirst(t *testing.T) {
	r, b := newSuccessor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plainMsg("")})
	e, f := &fakeRemote{}, &fakeRemote{}
	r.attach("e", e)
	r.attach("f", f)
	r.claim(f)
	r.reportEqual(b)
	r.advance(10 * time.Second)
	r.syncAndAck(b)
	assert.Empty(t, f.notifications, "its last leaseholder is connected, and has not claimed at the new primary yet")
	r.claim(e)
	r.syncAndAck(b)
	require.NotNil(t, lastSent[wire.Grant](e))
	assert.True(t, lastSent[wire.Grant](e).HasMessage)
	assert.Empty(t, f.notifications)

	released := r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	assert.Equal(t, wire.PutAccepted, replyCode(t, released))
	assert.Empty(t, f.notifications, "the new lease is not on all disks")
	r.syncAndAck(b)
	require.NotNil(t, lastSent[wire.Grant](f), "its last leaseholder has released it")
}

func TestUnownedMessageIsReassignedAfterReconnectTimeout(t *testing.T) {
	r, b := newSuccessor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plainMsg("")})
	e, f := &fakeRemote{}, &fakeRemote{}
	r.attach("e", e)
	r.attach("f", f)
	r.claim(f)
	r.reportEqual(b)
	r.advance(2 * time.Second)
	r.core.RemoteDown(r.now, e)
	r.advance(defaultReconnectTimeout - ms)
	r.syncAndAck(b)
	assert.Empty(t, f.notifications)
	r.advance(2 * ms)
	r.syncAndAck(b)
	r.syncAndAck(b)
	require.NotNil(t, lastSent[wire.Grant](f))
}

func TestUnownedMessageOfAbsentLeaseholderIsReassigned(t *testing.T) {
	r, b := newSuccessor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plainMsg("")})
	f := &fakeRemote{}
	r.attach("f", f)
	r.claim(f)
	r.reportEqual(b)
	r.advance(time.Second)
	r.syncAndAck(b)
	r.syncAndAck(b)
	require.NotNil(t, lastSent[wire.Grant](f))
}

// All members have the last leaseholder of a message, also after a restart.
func TestLastLeaseholderIsReplicated(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.put(plainMsg("0.1"), e)
	messageRecord, err := decodeRecord(r.records[len(r.records)-1])
	require.NoError(t, err)
	assert.Equal(t, "e", messageRecord.Leaseholder)
	r.syncAndAck(b)
	f := &fakeRemote{}
	r.attach("f", f)
	r.claim(f)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	r.syncAndAck(b)
	entry, _ := r.core.partition(0).find("0.1")
	to := entry.delivery.leaseholder.id
	other := newDriver(t)
	other.view(1, []uint16{1, 0}, nil)
	other.receiveRecords(1, messageRecord)
	leaseholderRecord := &Record{Kind: RecordLeaseholder, ID: "0.1", Leaseholder: to}
	other.receiveRecords(1, leaseholderRecord)
	assert.Equal(t, r.core.partition(0).sums, other.core.partition(0).sums)
	recovered := New(Config{Disk: "a", Copies: 2}, r)
	recoverFrom(t, r, recovered)
	assert.Equal(t, r.core.partition(0).sums, recovered.partition(0).sums)
	other.receiveRecords(1, &Record{Kind: RecordDrop, ID: "0.1"})
	assert.Equal(t, [bucketCount]uint64{}, other.core.partition(0).sums)
}

// An edge also claims messages whose put is unanswered, and may abandon the put without notifying the store.
func TestAbandonedClaimIsReleased(t *testing.T) {
	r, b := newSuccessor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plainMsg("")})
	e, f := &fakeRemote{}, &fakeRemote{}
	r.attach("e", e)
	r.attach("f", f)
	r.claim(e, "0.1")
	r.claim(f)
	r.reportEqual(b)
	r.advance(regrantInterval - ms)
	assert.Nil(t, lastSent[wire.Grant](e))
	r.advance(ms)
	require.NotNil(t, lastSent[wire.Grant](e), "the message is granted again")
	assert.False(t, lastSent[wire.Grant](e).HasMessage)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	r.syncAndAck(b)
	r.syncAndAck(b)
	require.NotNil(t, lastSent[wire.Grant](f))
	assert.True(t, lastSent[wire.Grant](f).HasMessage)
	reported := len(e.notifications)
	r.advance(10 * time.Second)
	assert.Len(t, e.notifications, reported)
}

func TestClaimedMessageIsRegrantedPeriodically(t *testing.T) {
	r, b := newSuccessor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plainMsg("")})
	e := &fakeRemote{}
	r.attach("e", e)
	r.claim(e, "0.1")
	r.reportEqual(b)
	for i := range 3 {
		assert.Len(t, e.notifications, i)
		r.advance(regrantInterval)
	}
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.syncAndAck(b)
	reported := len(e.notifications)
	r.advance(3 * regrantInterval)
	assert.Len(t, e.notifications, reported)
}

// A store may miss views. Under a view that it missed, another store may have been the primary, so it must compare the
// partition again.
func TestPrimaryThatMissedEpochComparesAgain(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	put := r.put(plainMsg("0.1"), e)
	r.core.Replicate(r.now, &fakeRemote{}, &Replicate{Epoch: 2, Number: 1, Records: [][]byte{(&Record{Kind: RecordDrop, ID: "0.1"}).encode()}})
	assert.Equal(t, wire.PutUnknown, replyCode(t, put))
	r.core.PeerUp(r.now, "b", b) // the dropped message is not sent again
	r.syncAndAck(b)
	r.core.Replicate(r.now, &fakeRemote{}, &Replicate{Epoch: 2, Number: 2, Records: [][]byte{(&Record{ID: "0.2", Sequence: 2 << 32, Message: plainMsg("")}).encode()}})
	r.view(3, []uint16{0, 1}, nil)
	r.claim(e)
	r.advance(10 * time.Second)
	assert.Nil(t, lastSent[wire.Grant](e), "the other replica has not answered the comparison")
	assert.Equal(t, wire.PutUnknown, replyCode(t, r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)))
	r.reportEqual(b)
	r.syncAndAck(b)
	r.syncAndAck(b)
	require.NotNil(t, lastSent[wire.Grant](e))
	assert.Equal(t, "0.2", lastSent[wire.Grant](e).ID)
}

// When an edge has reconnected, its requests on the old connection count as failed, so they must not take effect any
// more.
func TestPutOverReplacedConnectionIsRefused(t *testing.T) {
	r, _, e := newReadyPrimary(t)
	reconnected := &fakeRemote{}
	r.attach("e", reconnected)
	assert.Equal(t, wire.PutRejected, replyCode(t, r.put(plainMsg("0.1"), e)))
	r.core.RemoteDown(r.now, reconnected)
	assert.Equal(t, wire.PutRejected, replyCode(t, r.put(plainMsg("0.1"), reconnected)))
	assert.Empty(t, r.core.partition(0).entries)
}

// If an ordered message was granted, and the edge's report that it doesn't have the message is lost, the message must
// be granted again.
func TestOrderedMessageIsRegranted(t *testing.T) {
	r, b := newSuccessor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: orderedMsg("")}, &Record{ID: "0.2", Sequence: 2, Leaseholder: "e", Message: orderedMsg("")})
	e := &fakeRemote{}
	r.attach("e", e)
	r.claim(e, "0.1", "0.2")
	r.reportEqual(b)
	r.advance(time.Second)
	require.Len(t, e.notifications, 1)
	r.advance(regrantInterval)
	require.Len(t, e.notifications, 2, "of the first alone")
	assert.Equal(t, "0.1", lastSent[wire.Grant](e).ID)
}

// grantsBeforeClaim makes a store the primary of a message that another edge leases, while the list of edges that the
// store has lacks that edge. All listed edges claim at once. It returns whether the message was granted to one of them
// before the leaseholder could claim it.
func grantsBeforeClaim(t *testing.T, mutated mutations) bool {
	r, b := newSuccessor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "new", Message: plainMsg("")})
	r.core.mutations = mutated
	r.reportEqual(b)
	e := &fakeRemote{}
	r.attach("e", e)
	r.core.SetEdges(r.now, []wire.Edge{{ID: "e"}})
	r.claim(e)
	r.syncAndAckAll(b)
	r.advance(r.core.config.ClaimWindow / 2)
	r.syncAndAckAll(b)
	early := isGranted(e, "0.1")
	leaseholder := &fakeRemote{}
	r.attach("new", leaseholder)
	assert.Equal(t, wire.PutAccepted, replyCode(t, r.claim(leaseholder, "0.1")))
	r.advance(r.core.config.ClaimWindow)
	r.syncAndAckAll(b)
	return early || isGranted(e, "0.1")
}

// A list of edges that is older than a lease must not end the leaseholder's time to claim: the message would run twice.
func TestLeaseholderMissingInOldListMayClaim(t *testing.T) {
	assert.False(t, grantsBeforeClaim(t, mutations{}))
	assert.True(t, grantsBeforeClaim(t, mutations{trustsEdgeList: true}), "the mutation must be detected")
}

// An edge that was listed once and isn't any more has gone: its messages don't wait for the whole window.
func TestMessagesOfDepartedEdgeAreGrantedOnceAllClaimed(t *testing.T) {
	r, b := newSuccessor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "gone", Message: plainMsg("")})
	r.core.SetEdges(r.now, []wire.Edge{{ID: "e"}, {ID: "gone"}})
	r.core.SetEdges(r.now, []wire.Edge{{ID: "e"}})
	r.reportEqual(b)
	e := &fakeRemote{}
	r.attach("e", e)
	r.claim(e)
	for range 3 {
		r.advance(ms)
		r.syncAndAckAll(b)
	}
	assert.True(t, isGranted(e, "0.1"))
}
