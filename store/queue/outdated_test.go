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
