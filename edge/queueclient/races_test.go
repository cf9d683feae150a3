package queueclient

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// A put is accepted while a claim is being prepared, after the list of leased messages was read. The claim must still
// include the message.
func TestClaimIncludesMessageAcceptedMeanwhile(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		answer, accepted := make(chan struct{}), make(chan string, 1)
		one.put = func(*wire.Put, int) *wire.PutReply {
			<-answer
			return &wire.PutReply{Code: wire.PutAccepted}
		}
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		claims := one.countClaims()
		go func() {
			m := unordered()
			c.putFor(m, true, time.Second)
			accepted <- m.ID
		}()
		require.Eventually(t, func() bool { return len(c.pendingPuts()) == 1 }, testTimeout, time.Millisecond)
		var id string
		c.config.Leased = func() []string {
			close(answer)
			id = <-accepted
			return nil // the list from before the message was accepted
		}
		c.SetView(placement(2, []*fakeStore{one}, []uint16{0}))
		require.Eventually(t, func() bool { return one.countClaims() == claims+1 }, testTimeout, time.Millisecond)
		one.withLock(func() { assert.Equal(t, wire.Claim{Epoch: 2, IDs: []string{id}}, one.claims[claims]) })
	})
}

// A grant is received on another connection while Config.Accepted is running for its message.
func TestGrantDuringAcceptedCallback(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		notify := c.config.Accepted
		c.config.Accepted = func(m *wire.Message, granted bool) {
			c.handleGrant(c.view.Load().stores[0].conn(), &wire.Grant{ID: m.ID})
			h.withLock(func() { assert.Empty(t, h.granted, "before Config.Accepted has returned") })
			notify(m, granted)
		}
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		m := ordered()
		require.Equal(t, Accepted, c.putFor(m, true, time.Second))
		h.withLock(func() { assert.Equal(t, []string{m.ID}, h.granted) })
	})
}

// delayedStore is a store that does not answer reports by itself: the test sends the replies.
type delayedStore struct {
	mu      sync.Mutex
	conn    *rpc.Conn
	reports []wire.Report
	replies []rpc.Reply
}

func (s *delayedStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reports)
}

func newDelayedStore(t *testing.T) (*delayedStore, *fakeStore) {
	s := &delayedStore{}
	mux := rpc.NewMux()
	rpc.Handle(mux, wire.MethodAttach, func(c *rpc.Conn, _ *wire.Attach, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conn = c
		reply.Send(&wire.AttachReply{})
	})
	rpc.Handle(mux, wire.MethodReport, func(_ *rpc.Conn, m *wire.Report, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reports = append(s.reports, *m)
		s.replies = append(s.replies, reply)
	})
	server := rpc.Serve(memory.listen(), rpc.Options{Mux: mux}, nil)
	t.Cleanup(server.Close)
	return s, &fakeStore{server: server}
}

// A release is sent twice. The store processes the first one and grants the message to the same edge again, while the
// second one is still in flight. The client must not accept the grant: the store would take the second release for a
// release of that grant.
func TestGrantWhileReleaseIsInFlightIsReleased(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		s, store := newDelayedStore(t)
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{store}, []uint16{0}))
		awaitConnected(t, c)
		require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.conn != nil }, testTimeout, time.Millisecond)
		c.Report(wire.Report{ID: "0.1", Kind: wire.ReportReleased})
		c.reports.resend()
		require.Eventually(t, func() bool { return s.count() == 2 }, testTimeout, time.Millisecond)
		s.replies[0].Send(&wire.ReportReply{Code: wire.PutAccepted})
		grant := &wire.Grant{ID: "0.1", HasMessage: true}
		require.NoError(t, s.conn.Notify(wire.MethodGrant, grant))
		require.Eventually(t, func() bool { return s.count() == 3 }, testTimeout, time.Millisecond, "the grant is released again")
		assert.Equal(t, wire.ReportReleased, s.reports[2].Kind)
		h.withLock(func() { assert.Empty(t, h.granted) })
		s.replies[1].Send(&wire.ReportReply{Code: wire.PutAccepted})
		s.replies[2].Send(&wire.ReportReply{Code: wire.PutAccepted})
		require.NoError(t, s.conn.Notify(wire.MethodGrant, grant))
		require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.granted) == 1 }, testTimeout, time.Millisecond)
		assert.Zero(t, c.Pending())
		assert.Empty(t, c.reports.pendingReports)
	})
}

// A stopped store answers that the result of a put is unknown, and the message is accepted elsewhere under another ID.
// The store's successor may have the message under the first ID, too, which no edge would hold: it must be dropped.
func TestUnknownAttemptsAreDroppedAfterAcceptance(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutUnknown} }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0, 1}, []uint16{1, 0}))
		awaitConnected(t, c)
		m := unordered()
		require.Equal(t, Accepted, c.putFor(m, true, testTimeout))
		require.Eventually(t, func() bool { return one.countReports() == one.countPuts() }, testTimeout, time.Millisecond)
		one.withLock(func() {
			require.NotEmpty(t, one.puts)
			for i, r := range one.reports {
				assert.Equal(t, wire.ReportDropped, r.Kind)
				assert.NotEqual(t, m.ID, r.ID)
				assert.Equal(t, one.puts[i].Message.ID, r.ID)
			}
		})
		assert.Zero(t, two.countReports())
	})
}

// The result of a put is unknown, so nothing was promised to the client. All its attempts must be dropped: if several
// were accepted, the message would run twice.
func TestAttemptsOfUnknownPutAreDropped(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		for _, m := range []*wire.Message{unordered(), ordered()} {
			one := newFakeStore(t)
			one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutUnknown} }
			c, _ := newClient(t)
			c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
			awaitConnected(t, c)
			require.Equal(t, Unknown, c.putFor(m, true, 60*time.Millisecond))
			names := make(map[string]bool)
			one.withLock(func() {
				for _, p := range one.puts {
					names[p.Message.ID] = true
				}
			})
			require.Eventually(t, func() bool { return one.countReports() == len(names) }, testTimeout, time.Millisecond)
			one.withLock(func() {
				for _, r := range one.reports {
					assert.Equal(t, wire.ReportDropped, r.Kind)
					assert.True(t, names[r.ID])
				}
			})
		}
	})
}

// A replaced primary grants a message while its successor grants it, too.
func TestGrantFromReplacedPrimaryIsIgnored(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		stores := []*fakeStore{one, two}
		c, h := newClient(t)
		c.SetView(placement(5, stores, []uint16{0, 1}))
		awaitConnected(t, c)
		require.NotZero(t, one.countClaims())
		require.NotZero(t, two.countClaims())
		c.SetView(placement(6, stores, []uint16{1, 0}))
		one.withLock(func() {
			_ = one.conns[0].Notify(wire.MethodGrant, &wire.Grant{Epoch: 5, ID: "0.old", HasMessage: true})
			_ = one.conns[0].Notify(wire.MethodGrant, &wire.Grant{Epoch: 7, ID: "0.new", HasMessage: true})
		})
		two.withLock(func() {
			_ = two.conns[0].Notify(wire.MethodGrant, &wire.Grant{Epoch: 6, ID: "0.right", HasMessage: true})
		})
		require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.granted) == 2 }, testTimeout, time.Millisecond)
		h.withLock(func() { assert.ElementsMatch(t, []string{"0.new", "0.right"}, h.granted) })
	})
}

// A grant on a connection that has been replaced was not in the claim on the new one: the store has requeued its message.
func TestGrantOnReplacedConnectionIsIgnored(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		earlier := c.view.Load().stores[0].conn()
		earlier.Close()
		require.Eventually(t, func() bool {
			conn := c.view.Load().stores[0].conn()
			return conn != nil && conn != earlier
		}, testTimeout, time.Millisecond)
		c.handleGrant(earlier, &wire.Grant{Epoch: 1, ID: "0.x", HasMessage: true})
		h.withLock(func() { assert.Empty(t, h.granted) })
	})
}

// A message is finished or dropped, but another store takes over before the report is on record. The claim must include
// the message, so that the new primary does not grant it.
func TestClaimIncludesMessagesWithPendingReports(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		for _, s := range []*fakeStore{one, two} {
			s.report = func(*wire.Report, int) wire.PutCode { return wire.PutStale }
		}
		stores := []*fakeStore{one, two}
		c, h := newClient(t)
		two.claim = func(m *wire.Claim) *wire.ClaimReply { return &wire.ClaimReply{Code: wire.PutAccepted, Unknown: m.IDs} }
		c.SetView(placement(1, stores, []uint16{0, 1}))
		awaitConnected(t, c)
		c.Report(wire.Report{ID: "0.done", Kind: wire.ReportDone})
		c.Report(wire.Report{ID: "0.drop", Kind: wire.ReportDropped})
		h.withLock(func() { h.leased = []string{"0.done"} })
		require.Eventually(t, func() bool { return one.countReports() >= 2 }, testTimeout, time.Millisecond)
		claims := two.countClaims()
		require.NotZero(t, claims)
		c.SetView(placement(2, stores, []uint16{1, 0}))
		require.Eventually(t, func() bool { return two.countClaims() == claims+1 }, testTimeout, time.Millisecond)
		two.withLock(func() {
			assert.ElementsMatch(t, []string{"0.done", "0.drop"}, two.claims[claims].IDs)
			assert.GreaterOrEqual(t, len(two.reports), 2, "reports are sent before the claim")
		})
		require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.unknown) == 1 }, testTimeout, time.Millisecond)
		h.withLock(func() { assert.Equal(t, []string{"0.done"}, h.unknown) })
	})
}

// A store accepts a message and does not answer; its successor grants the message to the edge, with its body. Meanwhile
// the edge has put the message elsewhere under another ID: only the message with that ID may run.
func TestGrantIsIgnoredWhilePutHasNoResult(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return nil }
		accept := make(chan struct{})
		two.put = func(*wire.Put, int) *wire.PutReply {
			<-accept
			return &wire.PutReply{Code: wire.PutAccepted}
		}
		dropped := make(chan struct{}) // the store grants nothing once it has answered that the message is dropped
		one.report = func(*wire.Report, int) wire.PutCode {
			<-dropped
			return wire.PutAccepted
		}
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0}, []uint16{1}))
		awaitConnected(t, c)
		done := make(chan Result)
		m := unordered()
		go func() { done <- c.putFor(m, true, testTimeout) }()
		require.Eventually(t, func() bool { return one.countPuts() > 0 && len(c.pendingPuts()) == 2 }, testTimeout, time.Millisecond)
		var unanswered string
		one.withLock(func() { unanswered = one.puts[0].Message.ID })
		grant := &wire.Grant{Epoch: 1, ID: unanswered, HasMessage: true}
		conn := c.view.Load().stores[0].conn()
		c.handleGrant(conn, grant)
		close(accept)
		require.Equal(t, Accepted, <-done)
		c.handleGrant(conn, grant)
		close(dropped)
		require.NotEqual(t, unanswered, m.ID)
		require.Eventually(t, func() bool { return one.countReports() == 1 }, testTimeout, time.Millisecond)
		one.withLock(func() { assert.Equal(t, wire.ReportDropped, one.reports[0].Kind) })
		h.withLock(func() { assert.Empty(t, h.granted) })
	})
}

// A paused process resumes. Grants in its socket buffers are from before the pause, and their messages may be granted
// to another edge by now.
func TestGrantFromBeforeStandstillIsIgnored(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		before := c.view.Load().stores[0].conn()
		claims := one.countClaims()
		c.standstill.mu.Lock()
		c.standstill.lastRunAt -= c.standstill.limit
		c.standstill.mu.Unlock()
		for _, id := range []string{"0.x", "0.y"} {
			c.handleGrant(before, &wire.Grant{Epoch: 1, ID: id, HasMessage: true})
		}
		h.withLock(func() { assert.Empty(t, h.granted) })
		require.Eventually(t, func() bool { return one.countClaims() > claims }, testTimeout, time.Millisecond, "the client sends a claim on a new connection")
		after := c.view.Load().stores[0].conn()
		require.NotSame(t, before, after)
		c.handleGrant(after, &wire.Grant{Epoch: 1, ID: "0.z", HasMessage: true})
		h.withLock(func() { assert.Equal(t, []string{"0.z"}, h.granted) })
	})
}
