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

// The tests of this file try to break the guarantees that the queue documents for its users. The word at the head of a
// test's comment names the guarantee.

// restart returns the store after a restart with its disk, some time later, before its first view.
func (r *driver) restart(downtime time.Duration) *driver {
	restarted := &driver{t: r.t, records: r.records, now: Time{Steady: time.Second, UnixMs: r.now.UnixMs + int64(downtime/ms)}}
	restarted.core = New(Config{Disk: "a", Copies: 2, FinishedRetention: 10 * time.Second}, restarted)
	for i, payload := range restarted.records {
		require.NoError(r.t, restarted.core.Recover(restarted.now, journal.Location{Segment: 1, Offset: uint32(i + 1)}, payload))
	}
	restarted.core.Start(restarted.now, restarted)
	return restarted
}

// becomePrimary makes the store the primary, with another replica b that has the same content and an edge e that claims
// nothing.
func (r *driver) becomePrimary(epoch uint64) (b, e *fakeRemote) {
	b, e = &fakeRemote{}, &fakeRemote{}
	r.view(epoch, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	r.reportEqual(b)
	r.attach("e", e)
	r.claim(e)
	return b, e
}

// syncAndAckAll syncs and acknowledges until everything is on all disks.
func (r *driver) syncAndAckAll(member *fakeRemote) {
	for range 3 {
		r.syncAndAck(member)
	}
}

// countGrants counts the grants of a message that an edge was sent: with the body (full), and without (reminders).
func (h *fakeRemote) countGrants(id string) (full, reminders int) {
	for _, notice := range h.notifications {
		switch g, ok := notice.(*wire.Grant); {
		case !ok || g.ID != id:
		case g.HasMessage:
			full++
		default:
			reminders++
		}
	}
	return full, reminders
}

// assertGrantAfter advances the time by a span, and checks that the edge gets a grant at the end of the span and not
// earlier.
func (r *driver) assertGrantAfter(span time.Duration, member, to *fakeRemote) {
	r.t.Helper()
	r.advance(span - 100*ms)
	r.syncAndAckAll(member)
	assert.Nil(r.t, lastSent[wire.Grant](to))
	r.advance(200 * ms)
	r.syncAndAckAll(member)
	assert.NotNil(r.t, lastSent[wire.Grant](to))
}

const oddKey = "K\x00\xff é,\"=;%20\t/ k"

// UNASKED: the key of a delivery equals the sender's key byte by byte.
func TestKeyIsUnchangedAfterRestartAndTakeover(t *testing.T) {
	for _, isOrdered := range []bool{true, false} {
		r, b, e := newReadyPrimary(t)
		m := plainMsg("0.1")
		m.Key, m.Ordered = oddKey, isOrdered
		r.put(m, e)
		r.syncAndAck(b)
		restarted := r.restart(time.Second)
		b, e = restarted.becomePrimary(2)
		restarted.advance(time.Second)
		restarted.syncAndAckAll(b)
		grant := lastSent[wire.Grant](e)
		require.NotNil(t, grant)
		assert.Equal(t, oddKey, grant.Message.Key)

		r, b = newSuccessor(t) // only the other replica has the message
		e = &fakeRemote{}
		r.attach("e", e)
		r.claim(e)
		r.sendMissingRecord(b, &Record{ID: "0.1", Sequence: 1, Message: m})
		r.advance(2 * time.Second)
		r.syncAndAckAll(b)
		grant = lastSent[wire.Grant](e)
		require.NotNil(t, grant)
		assert.Equal(t, oddKey, grant.Message.Key)
	}
}

// BUDGET: the number of failed attempts is kept when another edge delivers, or another store grants.
func TestFailureCountSurvivesRestartAndTakeover(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.put(plainMsg("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportFailed, Failed: 2}, e)
	r.syncAndAck(b)
	restarted := r.restart(time.Second)
	b, e = restarted.becomePrimary(2)
	restarted.advance(time.Second)
	restarted.syncAndAckAll(b)
	require.NotNil(t, lastSent[wire.Grant](e))
	assert.EqualValues(t, 2, lastSent[wire.Grant](e).Failed)

	r, b = newSuccessor(t, &Record{ID: "0.1", Sequence: 1, Failed: 1, Message: plainMsg("")})
	e = &fakeRemote{}
	r.attach("e", e)
	r.claim(e)
	r.sendMissingRecord(b, &Record{ID: "0.1", Sequence: 1, Failed: 3, Message: plainMsg("")})
	r.advance(2 * time.Second)
	r.syncAndAckAll(b)
	require.NotNil(t, lastSent[wire.Grant](e))
	assert.EqualValues(t, 3, lastSent[wire.Grant](e).Failed, "the other replica has recorded more failures")
}

// BUDGET: the failed attempts that one edge has reported count at the next edge.
func TestFailureCountIsGrantedToNextEdge(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	f := &fakeRemote{}
	r.attach("f", f)
	r.claim(f)
	r.put(plainMsg("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportFailed, Failed: 2}, e)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
	r.syncAndAckAll(b)
	require.NotNil(t, lastSent[wire.Grant](f))
	assert.EqualValues(t, 2, lastSent[wire.Grant](f).Failed)
}

// ORDER: a very long delay must not overflow and end early.
func TestLongestDelaysDoNotWrapAround(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	for i, delay := range []uint32{1 << 31, 1<<32 - 1} {
		m := plainMsg(fmt.Sprintf("0.%d", i))
		m.DelayMs, m.RetentionMs = delay, 1<<32-1
		r.putDispatch(m, e, false)
	}
	r.syncAndAckAll(b)
	r.advance(10 * time.Hour)
	r.syncAndAckAll(b)
	assert.Nil(t, lastSent[wire.Grant](e))
}

// ORDER: while the process runs, a delay is measured by the steady clock. A jump of the time of day, or a record that
// replaces the message, must not change it.
func TestComparisonDoesNotChangeDelay(t *testing.T) {
	m := plainMsg("0.1")
	m.DelayMs = 5000
	r := newMember(t)
	m.SentUnixMs = r.now.UnixMs
	r.receiveRecords(1, &Record{ID: "0.1", Sequence: 1, Message: m})
	r.now.UnixMs += 60_000 // the time of day jumps
	r.core.Replicate(r.now, &fakeRemote{}, &Replicate{Epoch: 1, Number: 2, Old: true, Records: [][]byte{
		(&Record{ID: "0.1", Sequence: 1, Failed: 1, Message: m}).encode(),
	}})
	r.sync()
	b, e := r.becomePrimary(2)
	r.assertGrantAfter(5*time.Second, b, e)
}

// ORDER: after a restart, the elapsed part of a delay is computed from the time of day, and only this part is
// subtracted.
func TestRestartKeepsRemainingDelay(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	m := plainMsg("0.1")
	m.DelayMs = 5000
	r.putDispatch(m, e, false)
	r.syncAndAck(b)
	restarted := r.restart(2 * time.Second)
	b, e = restarted.becomePrimary(2)
	restarted.assertGrantAfter(3*time.Second, b, e)
}

// LOST: a message must not stay leased for ever to an edge that ignored its grant, for example because the edge didn't
// consider this store the primary.
func TestIgnoredGrantIsReassigned(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.putDispatch(plainMsg("0.1"), e, false)
	r.syncAndAckAll(b)
	full, _ := e.countGrants("0.1")
	require.Equal(t, 1, full)
	f := &fakeRemote{}
	r.attach("f", f)
	r.claim(f)
	r.advance(regrantInterval)
	_, reminders := e.countGrants("0.1")
	require.Equal(t, 1, reminders)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e) // the answer of an edge that doesn't have the message
	r.syncAndAckAll(b)
	full, _ = f.countGrants("0.1")
	assert.Equal(t, 1, full)
}

// LOST: messages for which there is no worker must not block others, even if there are more of them than an edge is
// assigned at a time.
func TestUndeliverableMessagesDoNotBlockOthers(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	for i := range 3 * maxAssigned {
		r.putDispatch(plainMsg(fmt.Sprintf("0.stuck%d", i)), e, false)
	}
	r.putDispatch(plainMsg("0.1"), e, false)
	r.syncAndAckAll(b)
	for range 3 {
		full, _ := e.countGrants("0.1")
		require.Zero(t, full)
		r.advance(regrantInterval)
		r.syncAndAckAll(b)
	}
	full, _ := e.countGrants("0.1")
	assert.Equal(t, 1, full)
	assert.Equal(t, 1, r.core.edges.byID["e"].assigned, "the other messages no longer count as assigned")
	for i := range 3 * maxAssigned {
		r.report(wire.Report{ID: fmt.Sprintf("0.stuck%d", i), Kind: wire.ReportDone}, e)
	}
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.syncAndAckAll(b)
	assert.Zero(t, r.core.edges.byID["e"].assigned)
}

func TestOftenReleasedMessageHasOneRegrant(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.putDispatch(plainMsg("0.1"), e, false)
	r.syncAndAckAll(b)
	for range 50 {
		r.report(wire.Report{ID: "0.1", Kind: wire.ReportReleased}, e)
		r.syncAndAckAll(b)
	}
	assert.Len(t, r.core.regrants.queue, 1)
	r.advance(regrantInterval)
	_, reminders := e.countGrants("0.1")
	assert.Equal(t, 1, reminders)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.syncAndAckAll(b)
	r.advance(regrantInterval)
	assert.Empty(t, r.core.regrants.queue)
	assert.Empty(t, r.core.regrants.scheduled)
}

// State: any replica returns the signature of the successful run, also after a restart.
func TestSignatureIsFoundAfterRestart(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.put(plainMsg("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}, e)
	r.syncAndAck(b)
	want := &wire.FindReply{Found: true, State: wire.StateDone, Signature: "s"}
	assert.Equal(t, want, r.find("0.1", false))
	restarted := r.restart(time.Second)
	restarted.becomePrimary(2)
	assert.Equal(t, want, restarted.find("0.1", false))
	restarted.view(3, []uint16{1, 0}, nil) // as the other replica
	assert.Equal(t, want, restarted.find("0.1", false))
}

// LOST: a store answers that it doesn't have a message only if it has the same placement as the asker.
func TestAbsenceIsReportedOnlyUnderSameEpoch(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.put(plainMsg("0.1"), e)
	r.syncAndAck(b)
	ask := func(r *driver, id string, epoch uint64) *reply {
		a := &reply{}
		r.core.FindMessage(r.now, &wire.Find{ID: id, Epoch: epoch}, a)
		return a
	}
	assert.Equal(t, &wire.FindReply{}, ask(r, "0.9", 1).message)
	assert.ErrorIs(t, ask(r, "0.9", 2).err, errPlacementMismatch, "the store is behind")
	r.view(2, []uint16{0, 1}, nil)
	assert.ErrorIs(t, ask(r, "0.9", 1).err, errPlacementMismatch, "the asker is behind")
	assert.NotNil(t, ask(r, "0.1", 1).message, "a message that the store has is found under any placement")

	restarted := r.restart(time.Second)
	assert.ErrorIs(t, ask(restarted, "0.1", 2).err, errPlacementMismatch, "the store has the message, but no placement yet")
	assert.ErrorIs(t, ask(restarted, "0.1", 0).err, errPlacementMismatch)

	r.view(3, []uint16{1, 0}, nil)
	r.receiveRecords(4)
	assert.ErrorIs(t, ask(r, "0.9", 3).err, errPlacementMismatch, "the store has received a newer epoch")
}

// State: the body of a dead message is available as long as its state, also after a restart.
func TestDeadMessageBodyIsKeptUntilRetentionEnds(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.put(plainMsg("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDead}, e)
	r.syncAndAck(b)
	want := &wire.FindReply{Found: true, State: wire.StateDead, Body: []byte("body")}
	r.advance(r.core.config.FinishedRetention)
	assert.Equal(t, want, r.find("0.1", true))
	restarted := r.restart(time.Second)
	restarted.becomePrimary(2)
	restarted.advance(restarted.core.config.FinishedRetention)
	assert.Equal(t, want, restarted.find("0.1", true))
	restarted.advance(10 * time.Second)
	assert.Equal(t, &wire.FindReply{}, restarted.find("0.1", true), "the message is removed after its retention")
}
