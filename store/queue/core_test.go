package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func TestPutWaitsForAllDisks(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	first := r.put(plainMsg("0.x"), e)
	repeated := r.put(plainMsg("0.x"), e)
	assert.Nil(t, first.message)
	r.ack(b)
	assert.Nil(t, first.message, "it is not on the primary's disk")
	r.sync()
	assert.Equal(t, wire.PutAccepted, replyCode(t, first))
	assert.Equal(t, wire.PutAccepted, replyCode(t, repeated))

	second := r.put(plainMsg("0.y"), e)
	r.sync()
	assert.Nil(t, second.message, "it is not on the other member's disk")
	r.ack(b)
	assert.Equal(t, wire.PutAccepted, replyCode(t, second))
	assert.Equal(t, wire.PutAccepted, replyCode(t, r.put(plainMsg("0.x"), e)), "a repeated put of an accepted message")
}

func TestPutIsRefused(t *testing.T) {
	r, _, e := newReadyPrimary(t)
	a := &reply{}
	r.core.PutMessage(r.now, e, &wire.Put{Epoch: 0, Message: plainMsg("0.x")}, a)
	assert.Equal(t, wire.PutStale, replyCode(t, a))
	r.core.PutMessage(r.now, e, &wire.Put{Epoch: 1, Partition: 1, Message: plainMsg("1.x")}, a)
	assert.Equal(t, wire.PutNotPrimary, replyCode(t, a))
	a = &reply{}
	r.core.PutMessage(r.now, e, &wire.Put{Epoch: 1, Partition: 0, Message: plainMsg("1.x")}, a)
	assert.ErrorContains(t, a.err, "1.x")
	r.view(2, []uint16{0}, nil)
	before := len(r.records)
	assert.Equal(t, wire.PutRejected, replyCode(t, r.put(plainMsg("0.x"), e)), "too few members")
	assert.Len(t, r.records, before)
	r.core.Replicate(r.now, &fakeRemote{}, &Replicate{Epoch: 9, Number: 1}) // another store has a newer epoch
	assert.Equal(t, wire.PutStale, replyCode(t, r.put(plainMsg("0.x"), e)))
}

func TestPendingPutCompletesAfterViewChange(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	put := r.put(plainMsg("0.x"), e)
	r.sync()
	c := &fakeRemote{}
	r.view(2, []uint16{0}, []uint16{2}) // b is unavailable
	r.ack(b)
	assert.Nil(t, put.message)
	r.core.PeerUp(r.now, "c", c)
	r.ack(c)
	assert.Equal(t, wire.PutAccepted, replyCode(t, put))

	put = r.put(plainMsg("0.y"), e)
	r.view(3, []uint16{1, 0}, nil)
	assert.Equal(t, wire.PutUnknown, replyCode(t, put))
}

func TestNextMessageOfKeyIsGrantedOnceFinishIsOnAllDisks(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	first := r.put(orderedMsg("0.1"), e)
	second := r.put(orderedMsg("0.2"), e)
	r.syncAndAck(b)
	assert.True(t, first.message.(*wire.PutReply).Granted)
	assert.False(t, second.message.(*wire.PutReply).Granted)
	done := r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}, e)
	assert.Nil(t, done.message)
	r.sync()
	assert.Nil(t, lastSent[wire.Grant](e), "the outcome is not on the other member's disk")
	r.ack(b)
	assert.Equal(t, wire.PutAccepted, replyCode(t, done))
	require.NotNil(t, lastSent[wire.Grant](e))
	assert.Equal(t, "0.2", lastSent[wire.Grant](e).ID)
	assert.False(t, lastSent[wire.Grant](e).HasMessage)
}

func TestFirstOutcomeIsKept(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.put(plainMsg("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}, e)
	later := r.report(wire.Report{ID: "0.1", Kind: wire.ReportDead}, e)
	assert.Nil(t, later.message, "it waits for the first report")
	r.syncAndAck(b)
	assert.Equal(t, wire.PutAccepted, replyCode(t, later))
	find := &reply{}
	r.core.FindMessage(r.now, &wire.Find{ID: "0.1", Body: true}, find)
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDone, Signature: "s"}, find.message)
}

func TestDeadMessageKeepsBodyAndFailureCount(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.put(plainMsg("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportFailed, Failed: 2}, e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportFailed, Failed: 1}, e)
	entry, _ := r.core.partition(0).find("0.1")
	assert.EqualValues(t, 2, entry.failed)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDead}, e)
	r.syncAndAck(b)
	find := &reply{}
	r.core.FindMessage(r.now, &wire.Find{ID: "0.1", Body: true}, find)
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDead, Body: []byte("body")}, find.message)
}

func TestMessagesOfDisconnectedEdgeAreReassigned(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	f := &fakeRemote{}
	r.attach("f", f)
	r.claim(f)
	r.put(plainMsg("0.1"), e)
	r.put(orderedMsg("0.2"), e)
	r.put(orderedMsg("0.3"), e)
	r.syncAndAck(b)
	r.core.RemoteDown(r.now, e)
	r.advance(300 * ms)
	r.ack(b)
	assert.Nil(t, lastSent[wire.Grant](f))
	r.advance(200 * ms)
	r.ack(b) // the barrier
	assert.Nil(t, lastSent[wire.Grant](f), "the new leases are not on all disks")
	r.syncAndAck(b)
	var ids []string
	for _, notice := range f.notifications {
		grant := notice.(*wire.Grant)
		assert.True(t, grant.HasMessage)
		assert.Equal(t, "body", string(grant.Message.Body))
		assert.Equal(t, grant.ID, grant.Message.ID)
		ids = append(ids, grant.ID)
	}
	assert.Equal(t, []string{"0.1", "0.2"}, ids, "0.3 has to wait for 0.2")
}

func TestReconnectedEdgeKeepsClaimedMessages(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	f, reconnected := &fakeRemote{}, &fakeRemote{}
	r.attach("f", f)
	r.claim(f)
	r.put(plainMsg("0.1"), e)
	r.put(plainMsg("0.2"), e)
	r.syncAndAck(b)
	r.core.RemoteDown(r.now, e)
	r.attach("e", reconnected)
	reply := r.claim(reconnected, "0.1", "0.9")
	assert.Equal(t, []string{"0.9"}, reply.message.(*wire.ClaimReply).Unknown)
	r.advance(time.Second)
	r.ack(b)
	assigned := len(f.notifications) + len(reconnected.notifications)
	assert.Equal(t, 1, assigned, "only 0.2 is assigned again")
	entry, _ := r.core.partition(0).find("0.1")
	assert.Equal(t, "e", entry.delivery.leaseholder.id)
}

func TestUnownedMessagesObeyDelayAndRetention(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	delayed := plainMsg("0.1")
	delayed.DelayMs = 2000
	r.putDispatch(delayed, e, false)
	expiring := plainMsg("0.2")
	expiring.DelayMs, expiring.RetentionMs = 5000, 3000
	r.putDispatch(expiring, e, false)
	r.syncAndAck(b)
	r.advance(1900 * ms)
	r.ack(b)
	assert.Nil(t, lastSent[wire.Grant](e))
	r.advance(200 * ms)
	r.ack(b)
	r.syncAndAck(b)
	require.NotNil(t, lastSent[wire.Grant](e))
	assert.Equal(t, "0.1", lastSent[wire.Grant](e).ID)
	r.advance(1000 * ms)
	r.syncAndAck(b)
	entry, _ := r.core.partition(0).find("0.2")
	assert.Equal(t, wire.StateDead, entry.state)
}

func TestLeasedMessageExpiresAfterRetentionAndClockSlack(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.put(plainMsg("0.1"), e)
	r.syncAndAck(b)
	r.advance(100 * time.Second)
	entry, _ := r.core.partition(0).find("0.1")
	assert.Equal(t, wire.StatePending, entry.state)
	r.advance(10 * time.Second)
	assert.Equal(t, wire.StateDead, entry.state)
}

func TestAssignmentsPerEdgeAreLimited(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	for i := range 100 {
		r.putDispatch(plainMsg(fmt.Sprintf("0.%d", i)), e, false)
	}
	r.syncAndAck(b)
	r.ack(b)
	r.syncAndAck(b)
	grants := func() (n int) {
		for _, notice := range e.notifications {
			if _, ok := notice.(*wire.Grant); ok {
				n++
			}
		}
		return n
	}
	assert.Equal(t, maxAssigned, grants())
	r.report(wire.Report{ID: lastSent[wire.Grant](e).ID, Kind: wire.ReportDone}, e)
	r.syncAndAck(b)
	r.syncAndAck(b)
	assert.Equal(t, maxAssigned+1, grants())
}

func TestPausedPrimaryConfirmsBeforeAssigning(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	delayed := plainMsg("0.1")
	delayed.DelayMs = 5000
	r.putDispatch(delayed, e, false)
	r.syncAndAck(b)
	r.advance(20 * time.Second) // the primary is paused; b has a newer epoch by now, and does not answer
	assert.Nil(t, lastSent[wire.Grant](e))
	assert.Empty(t, lastSent[Replicate](b).Records)
	r.view(2, []uint16{1, 0}, nil)
	r.ack(b)
	assert.Nil(t, lastSent[wire.Grant](e))
}

// A new primary must adopt an outcome and a message that only another replica has before it grants anything.
func TestTakeoverAdoptsFinishAndMessageOfOtherReplica(t *testing.T) {
	r, b, e := newDriver(t), &fakeRemote{}, &fakeRemote{}
	r.view(1, []uint16{1, 0}, nil)
	first := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 1<<32 + 1, Message: orderedMsg("")}
	second := &Record{Kind: RecordMessage, ID: "0.2", Sequence: 1<<32 + 2, Message: orderedMsg("")}
	r.core.Replicate(r.now, &fakeRemote{}, &Replicate{Epoch: 1, Number: 1, Records: [][]byte{first.encode(), second.encode()}})
	r.sync()
	r.attach("e", e)
	r.view(2, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	r.claim(e, "0.1", "0.2")
	r.advance(10 * time.Second)
	assert.Nil(t, lastSent[wire.Grant](e), "nothing is granted before the comparison with the other replica")

	comparisonID := lastSent[Compare](b).ComparisonID
	finish := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 1<<32 + 3, State: wire.StateDone, Signature: "s"}
	third := &Record{Kind: RecordMessage, ID: "0.3", Sequence: 1<<32 + 4, Message: orderedMsg("")}
	for i, id := range []string{"0.1", "0.3"} {
		digest := Digest{ID: id, Sum: 1}
		if id == "0.1" {
			digest.State = wire.StateDone
		}
		r.core.Differ(r.now, b, &Differ{ComparisonID: comparisonID, Bucket: uint16(bucketOf(hashOf(id))), Entries: []Digest{digest}, Last: i == 1})
		assert.Equal(t, []string{id}, lastSent[Fetch](b).IDs)
	}
	r.core.Fetched(r.now, b, &Fetched{ComparisonID: comparisonID, Last: true, Records: [][]byte{finish.encode()}})
	assert.Nil(t, lastSent[wire.Grant](e))
	r.core.Fetched(r.now, b, &Fetched{ComparisonID: comparisonID, Last: true, Records: [][]byte{third.encode()}})
	r.ack(b)
	r.sync()
	r.ack(b)
	require.NotNil(t, lastSent[wire.Grant](e))
	assert.Equal(t, "0.2", lastSent[wire.Grant](e).ID)
	entry, _ := r.core.partition(0).find("0.3")
	require.NotNil(t, entry)
	assert.Equal(t, wire.PutAccepted, replyCode(t, r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)))
}

func TestMemberRefusesOlderEpochAndAcksAfterSync(t *testing.T) {
	r, p := newDriver(t), &fakeRemote{}
	r.view(2, []uint16{1, 0}, nil)
	r.sync()
	record := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 2<<32 + 1, Message: plainMsg("")}
	r.core.Replicate(r.now, p, &Replicate{Epoch: 1, Number: 1, Records: [][]byte{record.encode()}})
	r.sync()
	assert.Nil(t, lastSent[Acked](p))
	r.core.Replicate(r.now, p, &Replicate{Epoch: 2, Number: 1, Records: [][]byte{record.encode()}})
	assert.Nil(t, lastSent[Acked](p), "it is not on disk")
	r.sync()
	assert.EqualValues(t, 1, lastSent[Acked](p).Number)
	r.core.Replicate(r.now, p, &Replicate{Epoch: 2, Number: 2, Records: [][]byte{record.encode()}})
	assert.EqualValues(t, 2, lastSent[Acked](p).Number, "a repeated record is on disk already")
}

func TestRecoveryRestoresJournalContent(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	for _, id := range []string{"0.1", "0.2", "0.3"} {
		r.put(orderedMsg(id), e)
	}
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}, e)
	r.report(wire.Report{ID: "0.2", Kind: wire.ReportFailed, Failed: 3}, e)
	r.syncAndAck(b)
	before := r.core.partition(0)
	recovered := New(Config{Disk: "a", Copies: 2}, r)
	recoverFrom(t, r, recovered)
	after := recovered.partition(0)
	assert.Equal(t, before.sums, after.sums)
	assert.Equal(t, 2, after.pending)
	assert.Equal(t, r.core.newestEpoch, recovered.newestEpoch)
	assert.Equal(t, r.core.sequence, recovered.sequence)
	head, _ := after.find("0.2")
	assert.Equal(t, head, head.delivery.key.head())
}

func TestFinishedMessagesExpireInOrder(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.put(plainMsg("0.1"), e)
	r.put(plainMsg("0.2"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.syncAndAck(b)
	r.advance(8 * time.Second)
	r.report(wire.Report{ID: "0.2", Kind: wire.ReportDone}, e)
	r.syncAndAck(b)
	r.advance(6 * time.Second)
	assert.Len(t, r.core.partition(0).entries, 1)
	r.advance(10 * time.Second)
	assert.Empty(t, r.core.partition(0).entries)
	r.reportEqual(b)
	r.advance(10 * time.Second)
	assert.NotZero(t, lastSent[Compare](b).Horizon)
}

func TestPartitionIsWipedOnceOtherReplicasAreComplete(t *testing.T) {
	r := newDriver(t)
	r.view(1, []uint16{1, 0}, nil)
	record := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 1<<32 + 1, Message: plainMsg("")}
	r.core.Replicate(r.now, &fakeRemote{}, &Replicate{Epoch: 1, Number: 1, Records: [][]byte{record.encode()}})
	r.view(2, []uint16{1}, []uint16{2})
	assert.Len(t, r.core.partition(0).entries, 1)
	r.view(3, []uint16{1, 2}, nil)
	r.advance(wipeDelay - ms)
	assert.Len(t, r.core.partition(0).entries, 1)
	r.advance(maintenanceInterval)
	assert.Empty(t, r.core.partition(0).entries)
	assert.Zero(t, r.core.messageCount)
}

// A store that was unavailable for a short time, and replaced in the meantime, needs only the changes when it joins
// again.
func TestPartitionThatRejoinsBeforeWipeDelayIsKept(t *testing.T) {
	r := newDriver(t)
	r.view(1, []uint16{1, 0}, nil)
	record := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 1<<32 + 1, Message: plainMsg("")}
	r.core.Replicate(r.now, &fakeRemote{}, &Replicate{Epoch: 1, Number: 1, Records: [][]byte{record.encode()}})
	r.view(3, []uint16{1, 2}, nil)
	r.advance(wipeDelay / 2)
	r.view(4, []uint16{1, 2}, []uint16{0})
	b := &fakeRemote{}
	r.core.Compare(r.now, b, &Compare{Epoch: 4, Sums: r.core.partition(0).sums[:]})
	assert.EqualValues(t, bucketCount, lastSent[Differ](b).Bucket, "no bucket differs")
	r.advance(2 * wipeDelay)
	assert.Len(t, r.core.partition(0).entries, 1)
}

func TestPartitionIsWipedSoonerOnHalfFullStore(t *testing.T) {
	r := newDriver(t)
	r.core.config.MaxMessages = 3
	r.view(1, []uint16{1, 0}, nil)
	for i := range 2 {
		record := &Record{Kind: RecordMessage, ID: fmt.Sprintf("0.%d", i), Sequence: uint64(i), Message: plainMsg("")}
		r.core.Replicate(r.now, &fakeRemote{}, &Replicate{Epoch: 1, Number: 1, Records: [][]byte{record.encode()}})
	}
	r.view(3, []uint16{1, 2}, nil)
	r.advance(maintenanceInterval)
	assert.Empty(t, r.core.partition(0).entries)
}

// A primary that fails may leave a message at some of the members only. A repeated put is accepted once all members
// have the message.
func TestRepeatedPutIsAcceptedOnceAllMembersHaveIt(t *testing.T) {
	r, b := newSuccessor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plainMsg("")})
	e := &fakeRemote{}
	r.attach("e", e)
	r.sync()
	repeated := r.put(plainMsg("0.1"), e)
	repeatedAgain := r.put(plainMsg("0.1"), e)
	assert.Nil(t, repeated.message, "the other replica may not have the message")
	r.ack(b)
	assert.Equal(t, wire.PutAccepted, replyCode(t, repeated))
	assert.Equal(t, wire.PutAccepted, replyCode(t, repeatedAgain))
	r.reportEqual(b)
	assert.Equal(t, wire.PutAccepted, replyCode(t, r.put(plainMsg("0.1"), e)), "the comparison is finished")
}

// If a member fails while a put is in progress, the put is accepted only once the message is on enough disks again.
func TestPutIsNotAcceptedOnTooFewDisks(t *testing.T) {
	r, _, e := newReadyPrimary(t)
	pendingPut := r.put(plainMsg("0.1"), e)
	r.sync()
	r.view(2, []uint16{0}, nil)
	assert.Nil(t, pendingPut.message, "the message is on one disk only")
	c := &fakeRemote{}
	r.view(3, []uint16{0}, []uint16{2})
	assert.Nil(t, pendingPut.message)
	r.core.PeerUp(r.now, "c", c)
	r.ack(c)
	assert.Equal(t, wire.PutAccepted, replyCode(t, pendingPut))
}
