package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// The tests of this file bring about what the pages' rules forbid.

// restarted returns the store of a rig after a restart with its disk, a while later, before its first view.
func (r *rig) restarted(away time.Duration) *rig {
	next := &rig{t: r.t, records: r.records, now: Time{Steady: time.Second, UnixMs: r.now.UnixMs + int64(away/ms)}}
	next.core = New(Config{Disk: "a", Copies: 2, FinishedRetention: 10 * time.Second}, next)
	for i, payload := range next.records {
		require.NoError(r.t, next.core.Recover(next.now, journal.Location{Segment: 1, Offset: uint32(i + 1)}, payload))
	}
	next.core.Start(next.now, next)
	return next
}

// leads makes a store that knows nothing newer than its disk the primary, with an edge that holds nothing.
func (r *rig) leads(epoch uint64) (b, e *heard) {
	b, e = &heard{}, &heard{}
	r.view(epoch, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	r.same(b)
	r.attach("e", e)
	r.claim(e)
	return b, e
}

// syncAndAckAll has all be on all disks.
func (r *rig) syncAndAckAll(member *heard) {
	for range 3 {
		r.syncAndAck(member)
	}
}

// grants counts the grants of a message that an edge was sent.
func (h *heard) grants(id string) (full, reminders int) {
	for _, notice := range h.notices {
		switch g, is := notice.(*wire.Grant); {
		case !is || g.ID != id:
		case g.HasMessage:
			full++
		default:
			reminders++
		}
	}
	return full, reminders
}

// grantsAfter has a span pass, and a grant come with its end.
func (r *rig) grantsAfter(span time.Duration, member, to *heard) {
	r.t.Helper()
	r.pass(span - 100*ms)
	r.syncAndAckAll(member)
	assert.Nil(r.t, last[wire.Grant](to))
	r.pass(200 * ms)
	r.syncAndAckAll(member)
	assert.NotNil(r.t, last[wire.Grant](to))
}

const oddKey = "K\x00\xff é,\"=;%20\t/ k"

// UNASKED: the key of a delivery is the sender's, byte by byte.
func TestOrderKeyIsTheSendersAfterARestartAndATakeOver(t *testing.T) {
	for _, isOrdered := range []bool{true, false} {
		r, b, e := primary(t)
		m := plain("0.1")
		m.Key, m.Ordered = oddKey, isOrdered
		r.put(m, e)
		r.syncAndAck(b)
		again := r.restarted(time.Second)
		b, e = again.leads(2)
		again.pass(time.Second)
		again.syncAndAckAll(b)
		grant := last[wire.Grant](e)
		require.NotNil(t, grant)
		assert.Equal(t, oddKey, grant.Message.Key)

		r, b = successor(t) // only the other replica has it
		e = &heard{}
		r.attach("e", e)
		r.claim(e)
		r.fetched(b, &Record{ID: "0.1", Sequence: 1, Message: m})
		r.pass(2 * time.Second)
		r.syncAndAckAll(b)
		grant = last[wire.Grant](e)
		require.NotNil(t, grant)
		assert.Equal(t, oddKey, grant.Message.Key)
	}
}

// BUDGET: failures count on whoever delivers, and whichever store grants.
func TestFailuresCountAfterARestartAndATakeOver(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportFailed, Failed: 2}, e)
	r.syncAndAck(b)
	again := r.restarted(time.Second)
	b, e = again.leads(2)
	again.pass(time.Second)
	again.syncAndAckAll(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.EqualValues(t, 2, last[wire.Grant](e).Failed)

	r, b = successor(t, &Record{ID: "0.1", Sequence: 1, Failed: 1, Message: plain("")})
	e = &heard{}
	r.attach("e", e)
	r.claim(e)
	r.fetched(b, &Record{ID: "0.1", Sequence: 1, Failed: 3, Message: plain("")})
	r.pass(2 * time.Second)
	r.syncAndAckAll(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.EqualValues(t, 3, last[wire.Grant](e).Failed, "the other replica had heard of more")
}

// BUDGET: the failures that one edge has reported count at the next.
func TestFailuresOfAReleasedMessageGoToTheNextEdge(t *testing.T) {
	r, b, e := primary(t)
	f := &heard{}
	r.attach("f", f)
	r.claim(f)
	r.put(plain("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportFailed, Failed: 2}, e)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	r.syncAndAckAll(b)
	require.NotNil(t, last[wire.Grant](f))
	assert.EqualValues(t, 2, last[wire.Grant](f).Failed)
}

// ORDER: no length of a delay brings its end before its time.
func TestLongestDelaysDoNotWrapAround(t *testing.T) {
	r, b, e := primary(t)
	for i, delay := range []uint32{1 << 31, 1<<32 - 1} {
		m := plain(fmt.Sprintf("0.%d", i))
		m.DelayMs, m.RetentionMs = delay, 1<<32-1
		r.putAs(m, e, false)
	}
	r.syncAndAckAll(b)
	r.pass(10 * time.Hour)
	r.syncAndAckAll(b)
	assert.Nil(t, last[wire.Grant](e))
}

// ORDER: while the process lives the delay runs by its steady clock, whatever steps the time of day, and though the message is written anew.
func TestComparisonDoesNotMoveADelay(t *testing.T) {
	m := plain("0.1")
	m.DelayMs = 5000
	r := member(t)
	m.SentUnixMs = r.now.UnixMs
	r.take(1, &Record{ID: "0.1", Sequence: 1, Message: m})
	r.now.UnixMs += 60_000 // it steps
	r.core.Replicate(r.now, &heard{}, &Replicate{Epoch: 1, Number: 2, Old: true, Records: [][]byte{
		(&Record{ID: "0.1", Sequence: 1, Failed: 1, Message: m}).encode(),
	}})
	r.sync()
	b, e := r.leads(2)
	r.grantsAfter(5*time.Second, b, e)
}

// ORDER: a restart counts what has passed of a delay by the time of day, and no more than that.
func TestRestartKeepsWhatIsLeftOfADelay(t *testing.T) {
	r, b, e := primary(t)
	m := plain("0.1")
	m.DelayMs = 5000
	r.putAs(m, e, false)
	r.syncAndAck(b)
	again := r.restarted(2 * time.Second)
	b, e = again.leads(2)
	again.grantsAfter(3*time.Second, b, e)
}

// LOST: an edge that did not take a grant, as one that it took for another store's, does not hold the message for ever.
func TestGrantThatWasNotTakenIsReassigned(t *testing.T) {
	r, b, e := primary(t)
	r.putAs(plain("0.1"), e, false)
	r.syncAndAckAll(b)
	full, _ := e.grants("0.1")
	require.Equal(t, 1, full)
	f := &heard{}
	r.attach("f", f)
	r.claim(f)
	r.pass(regrantInterval)
	_, reminders := e.grants("0.1")
	require.Equal(t, 1, reminders)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e) // what an edge answers that does not hold it
	r.syncAndAckAll(b)
	full, _ = f.grants("0.1")
	assert.Equal(t, 1, full)
}

// LOST: messages that no worker is there for, more of them than an edge is assigned at once, do not block others.
func TestMessagesThatNobodyCanRunDoNotBlockOthers(t *testing.T) {
	r, b, e := primary(t)
	for i := range 3 * maxAssigned {
		r.putAs(plain(fmt.Sprintf("0.stuck%d", i)), e, false)
	}
	r.putAs(plain("0.1"), e, false)
	r.syncAndAckAll(b)
	for range 3 {
		full, _ := e.grants("0.1")
		require.Zero(t, full)
		r.pass(regrantInterval)
		r.syncAndAckAll(b)
	}
	full, _ := e.grants("0.1")
	assert.Equal(t, 1, full)
	assert.Equal(t, 1, r.core.edges.byID["e"].assigned, "the others are not counted any more")
	for i := range 3 * maxAssigned {
		r.report(wire.Report{ID: fmt.Sprintf("0.stuck%d", i), Kind: wire.ReportDone}, e)
	}
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.syncAndAckAll(b)
	assert.Zero(t, r.core.edges.byID["e"].assigned)
}

func TestMessageThatIsReleasedOftenIsGrantedAgainOnce(t *testing.T) {
	r, b, e := primary(t)
	r.putAs(plain("0.1"), e, false)
	r.syncAndAckAll(b)
	for range 50 {
		r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
		r.syncAndAckAll(b)
	}
	assert.Len(t, r.core.regrants.queue, 1)
	r.pass(regrantInterval)
	_, reminders := e.grants("0.1")
	assert.Equal(t, 1, reminders)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.syncAndAckAll(b)
	r.pass(regrantInterval)
	assert.Empty(t, r.core.regrants.queue)
	assert.Empty(t, r.core.regrants.scheduled)
}

// State: the stamp of the run that succeeded, from any replica and after a restart.
func TestStateIsDoneWithTheSignatureAfterARestart(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}, e)
	r.syncAndAck(b)
	want := &wire.FindReply{Found: true, State: wire.StateDone, Signature: "s"}
	assert.Equal(t, want, r.find("0.1", false))
	again := r.restarted(time.Second)
	again.leads(2)
	assert.Equal(t, want, again.find("0.1", false))
	again.view(3, []uint16{1, 0}, nil) // as the other replica
	assert.Equal(t, want, again.find("0.1", false))
}

// LOST: a store says that a message is not there only under the placement by which it was asked.
func TestAbsenceIsReportedUnderTheAskersPlacementOnly(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	r.syncAndAck(b)
	ask := func(r *rig, id string, epoch uint64) *answer {
		a := &answer{}
		r.core.FindMessage(r.now, &wire.Find{ID: id, Epoch: epoch}, a)
		return a
	}
	assert.Equal(t, &wire.FindReply{}, ask(r, "0.9", 1).message)
	assert.ErrorIs(t, ask(r, "0.9", 2).err, errAbsence, "the store is behind")
	r.view(2, []uint16{0, 1}, nil)
	assert.ErrorIs(t, ask(r, "0.9", 1).err, errAbsence, "the asker is behind")
	assert.NotNil(t, ask(r, "0.1", 1).message, "what is there is there")

	again := r.restarted(time.Second)
	assert.ErrorIs(t, ask(again, "0.1", 2).err, errAbsence, "it has the message, and no placement yet")
	assert.ErrorIs(t, ask(again, "0.1", 0).err, errAbsence)

	r.view(3, []uint16{1, 0}, nil)
	r.take(4)
	assert.ErrorIs(t, ask(r, "0.9", 3).err, errAbsence, "it has heard of a newer one")
}

// State: the body of a dead message is there as long as its state is known, after a restart too.
func TestBodyOfADeadMessageIsThereAsLongAsItsState(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDead}, e)
	r.syncAndAck(b)
	want := &wire.FindReply{Found: true, State: wire.StateDead, Body: []byte("body")}
	r.pass(r.core.config.FinishedRetention)
	assert.Equal(t, want, r.find("0.1", true))
	again := r.restarted(time.Second)
	again.leads(2)
	again.pass(again.core.config.FinishedRetention)
	assert.Equal(t, want, again.find("0.1", true))
	again.pass(10 * time.Second)
	assert.Equal(t, &wire.FindReply{}, again.find("0.1", true), "forgotten, some time after")
}
