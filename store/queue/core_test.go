package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func TestPutIsAcceptedOnceItIsOnAllDisks(t *testing.T) {
	r, b, e := primary(t)
	first := r.put(plain("0.x"), e)
	again := r.put(plain("0.x"), e)
	assert.Nil(t, first.message)
	r.ack(b)
	assert.Nil(t, first.message, "it is not on the own disk")
	r.sync()
	assert.Equal(t, wire.PutAccepted, code(t, first))
	assert.Equal(t, wire.PutAccepted, code(t, again))

	second := r.put(plain("0.y"), e)
	r.sync()
	assert.Nil(t, second.message, "it is not on the other disk")
	r.ack(b)
	assert.Equal(t, wire.PutAccepted, code(t, second))
	assert.Equal(t, wire.PutAccepted, code(t, r.put(plain("0.x"), e)), "a repeat later")
}

func TestPutIsRefused(t *testing.T) {
	r, _, e := primary(t)
	a := &answer{}
	r.core.PutMessage(r.now, e, &wire.Put{Epoch: 0, Message: plain("0.x")}, a)
	assert.Equal(t, wire.PutStale, code(t, a))
	r.core.PutMessage(r.now, e, &wire.Put{Epoch: 1, Partition: 1, Message: plain("1.x")}, a)
	assert.Equal(t, wire.PutNotPrimary, code(t, a))
	a = &answer{}
	r.core.PutMessage(r.now, e, &wire.Put{Epoch: 1, Partition: 0, Message: plain("1.x")}, a)
	assert.ErrorContains(t, a.err, "1.x")
	r.view(2, []uint16{0}, nil)
	before := len(r.records)
	assert.Equal(t, wire.PutRejected, code(t, r.put(plain("0.x"), e)), "too few members")
	assert.Len(t, r.records, before)
	r.core.Replicate(r.now, &heard{}, &Replicate{Epoch: 9, Number: 1}) // another knows a newer epoch
	assert.Equal(t, wire.PutStale, code(t, r.put(plain("0.x"), e)))
}

func TestPutThatWaitsSurvivesAChangeOfView(t *testing.T) {
	r, b, e := primary(t)
	put := r.put(plain("0.x"), e)
	r.sync()
	c := &heard{}
	r.view(2, []uint16{0}, []uint16{2}) // b is unavailable
	r.ack(b)
	assert.Nil(t, put.message)
	r.core.PeerUp(r.now, "c", c)
	r.ack(c)
	assert.Equal(t, wire.PutAccepted, code(t, put))

	put = r.put(plain("0.y"), e)
	r.view(3, []uint16{1, 0}, nil)
	assert.Equal(t, wire.PutUnknown, code(t, put))
}

func TestNextOfAKeyIsGrantedOnceTheFinishIsOnAllDisks(t *testing.T) {
	r, b, e := primary(t)
	first := r.put(ordered("0.1"), e)
	second := r.put(ordered("0.2"), e)
	r.syncAndAck(b)
	assert.True(t, first.message.(*wire.PutReply).Granted)
	assert.False(t, second.message.(*wire.PutReply).Granted)
	done := r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}, e)
	assert.Nil(t, done.message)
	r.sync()
	assert.Nil(t, last[wire.Grant](e), "the end is not on the other disk")
	r.ack(b)
	assert.Equal(t, wire.PutAccepted, code(t, done))
	require.NotNil(t, last[wire.Grant](e))
	assert.Equal(t, "0.2", last[wire.Grant](e).ID)
	assert.False(t, last[wire.Grant](e).HasMessage)
}

func TestFirstFinishStays(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}, e)
	later := r.report(wire.Report{ID: "0.1", Kind: wire.ReportDead}, e)
	assert.Nil(t, later.message, "it waits for the first")
	r.syncAndAck(b)
	assert.Equal(t, wire.PutAccepted, code(t, later))
	find := &answer{}
	r.core.FindMessage(r.now, &wire.Find{ID: "0.1", Body: true}, find)
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDone, Signature: "s"}, find.message)
}

func TestDeadKeepsItsBodyAndFailedAttemptsAreCounted(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportFailed, Failed: 2}, e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportFailed, Failed: 1}, e)
	entry, _ := r.core.partition(0).find("0.1")
	assert.EqualValues(t, 2, entry.failed)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDead}, e)
	r.syncAndAck(b)
	find := &answer{}
	r.core.FindMessage(r.now, &wire.Find{ID: "0.1", Body: true}, find)
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDead, Body: []byte("body")}, find.message)
}

func TestMessagesOfADisconnectedEdgeAreReassigned(t *testing.T) {
	r, b, e := primary(t)
	f := &heard{}
	r.attach("f", f)
	r.claim(f)
	r.put(plain("0.1"), e)
	r.put(ordered("0.2"), e)
	r.put(ordered("0.3"), e)
	r.syncAndAck(b)
	r.core.EdgeDown(r.now, e)
	r.pass(300 * ms)
	r.ack(b)
	assert.Nil(t, last[wire.Grant](f))
	r.pass(200 * ms)
	r.ack(b) // the barrier
	assert.Nil(t, last[wire.Grant](f), "whose they are now is not on all disks")
	r.syncAndAck(b)
	var ids []string
	for _, notice := range f.notices {
		grant := notice.(*wire.Grant)
		assert.True(t, grant.HasMessage)
		assert.Equal(t, "body", string(grant.Message.Body))
		assert.Equal(t, grant.ID, grant.Message.ID)
		ids = append(ids, grant.ID)
	}
	assert.Equal(t, []string{"0.1", "0.2"}, ids, "0.3 has to wait for 0.2")
}

func TestEdgeThatComesBackKeepsWhatItClaims(t *testing.T) {
	r, b, e := primary(t)
	f, back := &heard{}, &heard{}
	r.attach("f", f)
	r.claim(f)
	r.put(plain("0.1"), e)
	r.put(plain("0.2"), e)
	r.syncAndAck(b)
	r.core.EdgeDown(r.now, e)
	r.attach("e", back)
	reply := r.claim(back, "0.1", "0.9")
	assert.Equal(t, []string{"0.9"}, reply.message.(*wire.ClaimReply).Unknown)
	r.pass(time.Second)
	r.ack(b)
	given := len(f.notices) + len(back.notices)
	assert.Equal(t, 1, given, "only 0.2 is assigned anew")
	entry, _ := r.core.partition(0).find("0.1")
	assert.Equal(t, "e", entry.delivery.leaseholder.id)
}

func TestUnownedMessagesWaitForTheirDelayAndFinishWithTheirRetention(t *testing.T) {
	r, b, e := primary(t)
	delayed := plain("0.1")
	delayed.DelayMs = 2000
	r.putAs(delayed, e, false)
	expiring := plain("0.2")
	expiring.DelayMs, expiring.RetentionMs = 5000, 3000
	r.putAs(expiring, e, false)
	r.syncAndAck(b)
	r.pass(1900 * ms)
	r.ack(b)
	assert.Nil(t, last[wire.Grant](e))
	r.pass(200 * ms)
	r.ack(b)
	r.syncAndAck(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.Equal(t, "0.1", last[wire.Grant](e).ID)
	r.pass(1000 * ms)
	r.syncAndAck(b)
	entry, _ := r.core.partition(0).find("0.2")
	assert.Equal(t, wire.StateDead, entry.state)
}

func TestMessageThatItsLeaseholderForgotFinishesLongAfterItsRetention(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	r.syncAndAck(b)
	r.pass(100 * time.Second)
	entry, _ := r.core.partition(0).find("0.1")
	assert.Equal(t, wire.StatePending, entry.state)
	r.pass(10 * time.Second)
	assert.Equal(t, wire.StateDead, entry.state)
}

func TestAssignmentsAreBounded(t *testing.T) {
	r, b, e := primary(t)
	for i := range 100 {
		r.putAs(plain(fmt.Sprintf("0.%d", i)), e, false)
	}
	r.syncAndAck(b)
	r.ack(b)
	r.syncAndAck(b)
	grants := func() (n int) {
		for _, notice := range e.notices {
			if _, ok := notice.(*wire.Grant); ok {
				n++
			}
		}
		return n
	}
	assert.Equal(t, maxAssigned, grants())
	r.report(wire.Report{ID: last[wire.Grant](e).ID, Kind: wire.ReportDone}, e)
	r.syncAndAck(b)
	r.syncAndAck(b)
	assert.Equal(t, maxAssigned+1, grants())
}

func TestFrozenPrimaryConfirmsBeforeItAssigns(t *testing.T) {
	r, b, e := primary(t)
	delayed := plain("0.1")
	delayed.DelayMs = 5000
	r.putAs(delayed, e, false)
	r.syncAndAck(b)
	r.pass(20 * time.Second) // frozen; b has a newer epoch by now, and does not answer
	assert.Nil(t, last[wire.Grant](e))
	assert.Empty(t, last[Replicate](b).Records)
	r.view(2, []uint16{1, 0}, nil)
	r.ack(b)
	assert.Nil(t, last[wire.Grant](e))
}

// TestTakeover has a new primary find an end, and a message, that only another replica knows.
func TestTakeover(t *testing.T) {
	r, b, e := newRig(t), &heard{}, &heard{}
	r.view(1, []uint16{1, 0}, nil)
	first := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 1<<32 + 1, Message: ordered("")}
	second := &Record{Kind: RecordMessage, ID: "0.2", Sequence: 1<<32 + 2, Message: ordered("")}
	r.core.Replicate(r.now, &heard{}, &Replicate{Epoch: 1, Number: 1, Records: [][]byte{first.encode(), second.encode()}})
	r.sync()
	r.attach("e", e)
	r.view(2, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	r.claim(e, "0.1", "0.2")
	r.pass(10 * time.Second)
	assert.Nil(t, last[wire.Grant](e), "nothing is granted before the other replica has said what it knows")

	comparisonID := last[Compare](b).ComparisonID
	end := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 1<<32 + 3, State: wire.StateDone, Signature: "s"}
	third := &Record{Kind: RecordMessage, ID: "0.3", Sequence: 1<<32 + 4, Message: ordered("")}
	for i, id := range []string{"0.1", "0.3"} {
		theirs := Digest{ID: id, Sum: 1}
		if id == "0.1" {
			theirs.State = wire.StateDone
		}
		r.core.Differ(r.now, b, &Differ{ComparisonID: comparisonID, Bucket: uint16(bucketOf(hashOf(id))), Entries: []Digest{theirs}, Last: i == 1})
		assert.Equal(t, []string{id}, last[Fetch](b).IDs)
	}
	r.core.Fetched(r.now, b, &Fetched{ComparisonID: comparisonID, Last: true, Records: [][]byte{end.encode()}})
	assert.Nil(t, last[wire.Grant](e))
	r.core.Fetched(r.now, b, &Fetched{ComparisonID: comparisonID, Last: true, Records: [][]byte{third.encode()}})
	r.ack(b)
	r.sync()
	r.ack(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.Equal(t, "0.2", last[wire.Grant](e).ID)
	entry, _ := r.core.partition(0).find("0.3")
	require.NotNil(t, entry)
	assert.Equal(t, wire.PutAccepted, code(t, r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)))
}

func TestMemberRefusesOlderEpochsAndAcksAfterItsSync(t *testing.T) {
	r, p := newRig(t), &heard{}
	r.view(2, []uint16{1, 0}, nil)
	r.sync()
	record := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 2<<32 + 1, Message: plain("")}
	r.core.Replicate(r.now, p, &Replicate{Epoch: 1, Number: 1, Records: [][]byte{record.encode()}})
	r.sync()
	assert.Nil(t, last[Acked](p))
	r.core.Replicate(r.now, p, &Replicate{Epoch: 2, Number: 1, Records: [][]byte{record.encode()}})
	assert.Nil(t, last[Acked](p), "it is not on disk")
	r.sync()
	assert.EqualValues(t, 1, last[Acked](p).Number)
	r.core.Replicate(r.now, p, &Replicate{Epoch: 2, Number: 2, Records: [][]byte{record.encode()}})
	assert.EqualValues(t, 2, last[Acked](p).Number, "a repeat is on disk")
}

func TestRecoveryBringsBackWhatIsInTheJournal(t *testing.T) {
	r, b, e := primary(t)
	for _, id := range []string{"0.1", "0.2", "0.3"} {
		r.put(ordered(id), e)
	}
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}, e)
	r.report(wire.Report{ID: "0.2", Kind: wire.ReportFailed, Failed: 3}, e)
	r.syncAndAck(b)
	before := r.core.partition(0)
	again := New(Config{Disk: "a", Copies: 2}, r)
	replay(t, r, again)
	after := again.partition(0)
	assert.Equal(t, before.sums, after.sums)
	assert.Equal(t, 2, after.pending)
	assert.Equal(t, r.core.newestEpoch, again.newestEpoch)
	assert.Equal(t, r.core.sequence, again.sequence)
	head, _ := after.find("0.2")
	assert.Equal(t, head, head.delivery.key.head())
}

func TestFinishedMessagesAreForgottenInOrderOnceOldEnough(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	r.put(plain("0.2"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.syncAndAck(b)
	r.pass(8 * time.Second)
	r.report(wire.Report{ID: "0.2", Kind: wire.ReportDone}, e)
	r.syncAndAck(b)
	r.pass(6 * time.Second)
	assert.Len(t, r.core.partition(0).entries, 1)
	r.pass(10 * time.Second)
	assert.Empty(t, r.core.partition(0).entries)
	r.same(b)
	r.pass(10 * time.Second)
	assert.NotZero(t, last[Compare](b).Horizon)
}

func TestPartitionIsWipedOnceOtherReplicasAreComplete(t *testing.T) {
	r := newRig(t)
	r.view(1, []uint16{1, 0}, nil)
	record := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 1<<32 + 1, Message: plain("")}
	r.core.Replicate(r.now, &heard{}, &Replicate{Epoch: 1, Number: 1, Records: [][]byte{record.encode()}})
	r.view(2, []uint16{1}, []uint16{2})
	assert.Len(t, r.core.partition(0).entries, 1)
	r.view(3, []uint16{1, 2}, nil)
	r.pass(wipeDelay - ms)
	assert.Len(t, r.core.partition(0).entries, 1)
	r.pass(maintenanceInterval)
	assert.Empty(t, r.core.partition(0).entries)
	assert.Zero(t, r.core.messageCount)
}

// A store that was away for a moment, and replaced meanwhile, needs only what has changed.
func TestPartitionThatComesBackSoonIsNotWiped(t *testing.T) {
	r := newRig(t)
	r.view(1, []uint16{1, 0}, nil)
	record := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 1<<32 + 1, Message: plain("")}
	r.core.Replicate(r.now, &heard{}, &Replicate{Epoch: 1, Number: 1, Records: [][]byte{record.encode()}})
	r.view(3, []uint16{1, 2}, nil)
	r.pass(wipeDelay / 2)
	r.view(4, []uint16{1, 2}, []uint16{0})
	b := &heard{}
	r.core.Compare(r.now, b, &Compare{Epoch: 4, Sums: r.core.partition(0).sums[:]})
	assert.EqualValues(t, bucketCount, last[Differ](b).Bucket, "nothing differs")
	r.pass(2 * wipeDelay)
	assert.Len(t, r.core.partition(0).entries, 1)
}

func TestPartitionIsWipedSoonerOnACrowdedDisk(t *testing.T) {
	r := newRig(t)
	r.core.config.MaxMessages = 3
	r.view(1, []uint16{1, 0}, nil)
	for i := range 2 {
		record := &Record{Kind: RecordMessage, ID: fmt.Sprintf("0.%d", i), Sequence: uint64(i), Message: plain("")}
		r.core.Replicate(r.now, &heard{}, &Replicate{Epoch: 1, Number: 1, Records: [][]byte{record.encode()}})
	}
	r.view(3, []uint16{1, 2}, nil)
	r.pass(maintenanceInterval)
	assert.Empty(t, r.core.partition(0).entries)
}

// A primary that is lost may leave a message at some of the members. A repeated put is accepted once it is at all.
func TestARepeatedPutIsAcceptedOnceAllMembersHaveIt(t *testing.T) {
	r, b := successor(t, &Record{ID: "0.1", Sequence: 1, Leaseholder: "e", Message: plain("")})
	e := &heard{}
	r.attach("e", e)
	r.sync()
	again := r.put(plain("0.1"), e)
	more := r.put(plain("0.1"), e)
	assert.Nil(t, again.message, "the other replica may not have it")
	r.ack(b)
	assert.Equal(t, wire.PutAccepted, code(t, again))
	assert.Equal(t, wire.PutAccepted, code(t, more))
	r.same(b)
	assert.Equal(t, wire.PutAccepted, code(t, r.put(plain("0.1"), e)), "all is compared")
}

// Members that are lost while a message is being accepted don't count: it is accepted once it is on enough disks again.
func TestAPutIsNotAcceptedOnTooFewDisks(t *testing.T) {
	r, _, e := primary(t)
	waits := r.put(plain("0.1"), e)
	r.sync()
	r.view(2, []uint16{0}, nil)
	assert.Nil(t, waits.message, "it is on one disk")
	c := &heard{}
	r.view(3, []uint16{0}, []uint16{2})
	assert.Nil(t, waits.message)
	r.core.PeerUp(r.now, "c", c)
	r.ack(c)
	assert.Equal(t, wire.PutAccepted, code(t, waits))
}
