package queue

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// acceptedRemote is a fakeRemote whose order of acceptance is known.
type acceptedRemote struct {
	fakeRemote
	order  uint64
	closed bool
}

func (a *acceptedRemote) AcceptOrder() uint64 { return a.order }

func (a *acceptedRemote) Close() { a.closed = true }

// connEvent is what a store reads from one of an edge's connections: the edge's first requests, or the end.
type connEvent struct {
	conn int
	end  bool
}

func (e connEvent) String() string {
	if e.end {
		return fmt.Sprint("end of ", e.conn)
	}
	return fmt.Sprint("attach on ", e.conn)
}

// interleavings returns all orders of the events of several connections in which each connection keeps its own order.
func interleavings(conns [][]connEvent) (orders [][]connEvent) {
	done := true
	for i, events := range conns {
		if len(events) == 0 {
			continue
		}
		done = false
		rest := append([][]connEvent(nil), conns...)
		rest[i] = events[1:]
		for _, tail := range interleavings(rest) {
			orders = append(orders, append([]connEvent{events[0]}, tail...))
		}
	}
	if done {
		return [][]connEvent{nil}
	}
	return orders
}

// playFreeze has a primary, which an edge has put a message at on its first connection, read what waits for it after a
// freeze: the end of that connection, all of a second one, which the edge has given up, and its third one, which is open.
// It describes what is wrong once the edge's claims have been handled; empty: nothing.
func playFreeze(t *testing.T, order []connEvent, mutated bool) string {
	r, b, first := newReadyPrimary(t)
	r.core.mutations.ignoresAcceptOrder = mutated
	r.core.RemoteDown(r.now, first)
	conns := []*acceptedRemote{{order: 1}, {order: 2}, {order: 3}}
	other := &acceptedRemote{order: 4}
	r.attach("e", conns[0])
	r.claim(conns[0])
	r.attach("other", other)
	r.claim(other)
	r.put(plainMsg("0.1"), conns[0])
	r.syncAndAckAll(b)
	for _, event := range order {
		if event.end {
			r.core.RemoteDown(r.now, conns[event.conn])
		} else {
			r.attach("e", conns[event.conn])
		}
	}
	newest := conns[2]
	if newest.closed {
		return "the edge's open connection is closed"
	}
	claimed := r.claim(newest, "0.1")
	r.advance(defaultReconnectTimeout * 2)
	r.syncAndAckAll(b)
	switch {
	case replyCode(t, claimed) != wire.PutAccepted:
		return "the edge's claim is refused"
	case isGranted(&other.fakeRemote, "0.1"):
		return "the message is assigned to another edge too"
	}
	return ""
}

func freezeOrders() [][]connEvent {
	return interleavings([][]connEvent{{{0, true}}, {{1, false}, {1, true}}, {{2, false}}})
}

// Guards against review/4 (TWICE): a store that woke from a freeze took a connection that an edge had closed for the
// edge's newest, and assigned messages that the edge still delivered to another one.
func TestStoreThatFrozeKnowsNewestConnectionOfEdge(t *testing.T) {
	for _, order := range freezeOrders() {
		assert.Empty(t, playFreeze(t, order, false), "%v", order)
	}
}

// With the mutation the store does what it did before: in some of the orders it loses the edge.
func TestDetectsStoreThatIgnoresOrderOfConnections(t *testing.T) {
	detected := 0
	for _, order := range freezeOrders() {
		if playFreeze(t, order, true) != "" {
			detected++
		}
	}
	assert.Positive(t, detected)
}

// An edge that still has the connection open which the store takes for outdated has to notice that.
func TestStoreClosesConnectionThatItDoesNotUse(t *testing.T) {
	r, _, _ := newReadyPrimary(t)
	older, newer := &acceptedRemote{order: 1}, &acceptedRemote{order: 2}
	r.attach("f", newer)
	refused := &reply{}
	r.core.AttachEdge(r.now, older, &wire.Attach{Edge: "f"}, refused)
	require.ErrorIs(t, refused.err, errOutdatedConnection)
	assert.True(t, older.closed)
	assert.False(t, newer.closed)

	newest := &acceptedRemote{order: 3}
	r.attach("f", newest)
	assert.True(t, newer.closed)
	assert.Equal(t, wire.PutAccepted, replyCode(t, r.claim(newest)))
}

// Guards against TWICE: the edge has given up a put on the connection that it has replaced, and has dropped its message.
// The message must not be accepted afterwards.
func TestPutOnOutdatedConnectionIsRejected(t *testing.T) {
	for _, dispatch := range []bool{true, false} {
		r, b, _ := newReadyPrimary(t)
		older, newer := &acceptedRemote{order: 1}, &acceptedRemote{order: 2}
		r.attach("f", older)
		r.claim(older)
		r.attach("f", newer)
		r.claim(newer)
		dropped := wire.Report{ID: "0.1", Kind: wire.ReportDropped, Signature: string(wire.DropAbandonedPut)}
		require.Equal(t, wire.PutAccepted, replyCode(t, r.report(dropped, newer)))
		late := r.putDispatch(plainMsg("0.1"), older, dispatch)
		r.syncAndAckAll(b)
		assert.Equal(t, wire.PutRejected, replyCode(t, late))
		found, _ := r.core.partition(0).find("0.1")
		assert.Nil(t, found)
	}
}

// replicateTo has another store, as the primary of epoch 1, send records to this one on a connection.
func (r *driver) replicateTo(from Remote, number uint64, records ...*Record) {
	m := &Replicate{Epoch: 1, Number: number}
	for _, record := range records {
		m.Records = append(m.Records, record.encode())
	}
	r.core.Replicate(r.now, from, m)
}

// playPausedReplica has a replica read on the connection that its primary has replaced after it has read on the newer one.
// It returns the state of the message, and the older connection.
func playPausedReplica(t *testing.T, mutated bool) (wire.State, *acceptedRemote) {
	r := newDriver(t)
	r.core.mutations.ignoresAcceptOrder = mutated
	r.view(1, []uint16{1, 0}, nil)
	older, newer := &acceptedRemote{order: 1}, &acceptedRemote{order: 2}
	for _, conn := range []*acceptedRemote{older, newer} {
		hello := &reply{}
		r.core.Hello(r.now, conn, &Hello{From: "b", To: "a"}, hello)
		require.Equal(t, &HelloReply{Accepted: true}, hello.message)
	}
	pending := &Record{Kind: RecordMessage, ID: "0.1", Sequence: 7, Message: plainMsg("")}
	done := &Record{Kind: RecordFinish, ID: "0.1", Sequence: 9, State: wire.StateDone}
	r.replicateTo(older, 1, pending)
	r.replicateTo(newer, 1, pending, done)
	r.replicateTo(older, 2, pending)
	r.sync()
	found, _ := r.core.partition(0).find("0.1")
	require.NotNil(t, found)
	r.core.RemoteDown(r.now, older)
	r.core.RemoteDown(r.now, newer)
	assert.Empty(t, r.core.primaries.diskOf)
	return found.state, older
}

// Guards against an older state of a message that replaces a newer one: a replica that was paused reads the records on the
// connection that its primary has replaced after those on the newer one.
func TestRecordsOnOutdatedConnectionAreIgnored(t *testing.T) {
	state, older := playPausedReplica(t, false)
	assert.Equal(t, wire.StateDone, state)
	assert.True(t, older.closed)
	assert.EqualValues(t, 1, lastSent[Acked](&older.fakeRemote).Number, "what was ignored is not acknowledged")
}

// With the mutation the replica does what it did before: the message that was done is pending again.
func TestDetectsReplicaThatIgnoresOrderOfConnections(t *testing.T) {
	state, _ := playPausedReplica(t, true)
	assert.Equal(t, wire.StatePending, state)
}

// A connection that the primary has opened, but on which it has sent nothing yet, may be one that it has given up.
func TestUnusedConnectionOfPrimaryReplacesNone(t *testing.T) {
	r := newDriver(t)
	r.view(1, []uint16{1, 0}, nil)
	used, unused := &acceptedRemote{order: 1}, &acceptedRemote{order: 2}
	for _, conn := range []*acceptedRemote{used, unused} {
		r.core.Hello(r.now, conn, &Hello{From: "b", To: "a"}, &reply{})
	}
	r.replicateTo(used, 1, &Record{Kind: RecordMessage, ID: "0.1", Sequence: 7, Message: plainMsg("")})
	found, _ := r.core.partition(0).find("0.1")
	assert.NotNil(t, found)
	assert.False(t, used.closed)
}
