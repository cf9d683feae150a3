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

// The store that accepts a message answers while a claim is being made: the message was in no list of the leased when that was made.
func TestClaimNamesWhatIsAcceptedWhileItIsMade(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		answer, kept := make(chan struct{}), make(chan string, 1)
		one.put = func(*wire.Put, int) *wire.PutReply {
			<-answer
			return &wire.PutReply{Code: wire.PutAccepted}
		}
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		claims := one.countClaims()
		go func() {
			m := plain()
			c.putFor(m, true, time.Second)
			kept <- m.ID
		}()
		require.Eventually(t, func() bool { return len(c.pendingPuts()) == 1 }, soon, time.Millisecond)
		var id string
		c.config.Leased = func() []string {
			close(answer)
			id = <-kept
			return nil // as it was before
		}
		c.SetView(placement(2, []*fakeStore{one}, []uint16{0}))
		require.Eventually(t, func() bool { return one.countClaims() == claims+1 }, soon, time.Millisecond)
		one.with(func() { assert.Equal(t, wire.Claim{Epoch: 2, IDs: []string{id}}, one.claims[claims]) })
	})
}

// A grant comes over another connection while the edge is being notified that the message is accepted.
func TestGrantWhileTheEdgeIsNotified(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		notify := c.config.Accepted
		c.config.Accepted = func(m *wire.Message, granted bool) {
			c.handleGrant(c.view.Load().stores[0].conn(), &wire.Grant{ID: m.ID})
			h.with(func() { assert.Empty(t, h.granted, "before the message is known") })
			notify(m, granted)
		}
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		m := ordered()
		require.Equal(t, Accepted, c.putFor(m, true, time.Second))
		h.with(func() { assert.Equal(t, []string{m.ID}, h.granted) })
	})
}

// delayedStore is a store that answers reports when the test has it do so.
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

// A release is sent twice. The store takes the first and hands the message back to the same edge; the second is still on its way.
func TestMessageIsNotTakenWhileItsReleaseIsOnItsWay(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		s, store := newDelayedStore(t)
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{store}, []uint16{0}))
		connected(t, c)
		require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.conn != nil }, soon, time.Millisecond)
		c.Report(wire.Report{ID: "0.1", Kind: wire.ReportReleased})
		c.reports.resend()
		require.Eventually(t, func() bool { return s.count() == 2 }, soon, time.Millisecond)
		s.replies[0].Send(&wire.ReportReply{Code: wire.PutAccepted})
		grant := &wire.Grant{ID: "0.1", HasMessage: true}
		require.NoError(t, s.conn.Notify(wire.MethodGrant, grant))
		require.Eventually(t, func() bool { return s.count() == 3 }, soon, time.Millisecond, "it is given back once more")
		assert.Equal(t, wire.ReportReleased, s.reports[2].Kind)
		h.with(func() { assert.Empty(t, h.granted) })
		s.replies[1].Send(&wire.ReportReply{Code: wire.PutAccepted})
		s.replies[2].Send(&wire.ReportReply{Code: wire.PutAccepted})
		require.NoError(t, s.conn.Notify(wire.MethodGrant, grant))
		require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.granted) == 1 }, soon, time.Millisecond)
		assert.Zero(t, c.Pending())
		assert.Empty(t, c.reports.pendingReports)
	})
}

// A store that is stopped does not know what became of a put, and the message is accepted elsewhere under another ID. The one that
// took the store's place may have the first, too, and nobody would hold it.
func TestWhatMayHaveBeenAcceptedTwiceIsDropped(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutUnknown} }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0, 1}, []uint16{1, 0}))
		connected(t, c)
		m := plain()
		require.Equal(t, Accepted, c.putFor(m, true, soon))
		require.Eventually(t, func() bool { return one.countReports() == one.countPuts() }, soon, time.Millisecond)
		one.with(func() {
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

// Nothing was promised to the client: two attempts that may both have been accepted would run the message twice.
func TestWhatIsUnknownIsDropped(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		for _, m := range []*wire.Message{plain(), ordered()} {
			one := newFakeStore(t)
			one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutUnknown} }
			c, _ := newClient(t)
			c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
			connected(t, c)
			require.Equal(t, Unknown, c.putFor(m, true, 60*time.Millisecond))
			names := make(map[string]bool)
			one.with(func() {
				for _, p := range one.puts {
					names[p.Message.ID] = true
				}
			})
			require.Eventually(t, func() bool { return one.countReports() == len(names) }, soon, time.Millisecond)
			one.with(func() {
				for _, r := range one.reports {
					assert.Equal(t, wire.ReportDropped, r.Kind)
					assert.True(t, names[r.ID])
				}
			})
		}
	})
}

// A store that was the primary hands a message out while the one that took its place does, too.
func TestGrantsOfAPrimaryThatWasReplacedDoNotCount(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		stores := []*fakeStore{one, two}
		c, h := newClient(t)
		c.SetView(placement(5, stores, []uint16{0, 1}))
		connected(t, c)
		require.NotZero(t, one.countClaims())
		require.NotZero(t, two.countClaims())
		c.SetView(placement(6, stores, []uint16{1, 0}))
		one.with(func() {
			_ = one.conns[0].Notify(wire.MethodGrant, &wire.Grant{Epoch: 5, ID: "0.old", HasMessage: true})
			_ = one.conns[0].Notify(wire.MethodGrant, &wire.Grant{Epoch: 7, ID: "0.new", HasMessage: true})
		})
		two.with(func() {
			_ = two.conns[0].Notify(wire.MethodGrant, &wire.Grant{Epoch: 6, ID: "0.right", HasMessage: true})
		})
		require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.granted) == 2 }, soon, time.Millisecond)
		h.with(func() { assert.ElementsMatch(t, []string{"0.new", "0.right"}, h.granted) })
	})
}

// What was granted over a connection that has been replaced was not claimed on the new one: the store requeues it.
func TestGrantsOfAnEarlierConnectionDoNotCount(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		earlier := c.view.Load().stores[0].conn()
		earlier.Close()
		require.Eventually(t, func() bool {
			conn := c.view.Load().stores[0].conn()
			return conn != nil && conn != earlier
		}, soon, time.Millisecond)
		c.handleGrant(earlier, &wire.Grant{Epoch: 1, ID: "0.x", HasMessage: true})
		h.with(func() { assert.Empty(t, h.granted) })
	})
}

// The end of a message, or that it is to be dropped, is not on record when another store takes over: it must not grant it.
func TestClaimNamesWhatIsReported(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		for _, s := range []*fakeStore{one, two} {
			s.report = func(*wire.Report, int) wire.PutCode { return wire.PutStale }
		}
		stores := []*fakeStore{one, two}
		c, h := newClient(t)
		two.claim = func(m *wire.Claim) *wire.ClaimReply { return &wire.ClaimReply{Code: wire.PutAccepted, Unknown: m.IDs} }
		c.SetView(placement(1, stores, []uint16{0, 1}))
		connected(t, c)
		c.Report(wire.Report{ID: "0.done", Kind: wire.ReportDone})
		c.Report(wire.Report{ID: "0.drop", Kind: wire.ReportDropped})
		h.with(func() { h.leased = []string{"0.done"} })
		require.Eventually(t, func() bool { return one.countReports() >= 2 }, soon, time.Millisecond)
		claims := two.countClaims()
		require.NotZero(t, claims)
		c.SetView(placement(2, stores, []uint16{1, 0}))
		require.Eventually(t, func() bool { return two.countClaims() == claims+1 }, soon, time.Millisecond)
		two.with(func() {
			assert.ElementsMatch(t, []string{"0.done", "0.drop"}, two.claims[claims].IDs)
			assert.GreaterOrEqual(t, len(two.reports), 2, "they are told first")
		})
		require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.unknown) == 1 }, soon, time.Millisecond)
		h.with(func() { assert.Equal(t, []string{"0.done"}, h.unknown) })
	})
}

// A store takes a message and does not answer; the one that takes its place grants the message to the edge, with its body. Meanwhile the edge
// has put it elsewhere under another ID: only that one may run.
func TestAMessageIsNotRunByAGrantWhileItsPutHasNoResult(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return nil }
		accept := make(chan struct{})
		two.put = func(*wire.Put, int) *wire.PutReply {
			<-accept
			return &wire.PutReply{Code: wire.PutAccepted}
		}
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0}, []uint16{1}))
		connected(t, c)
		done := make(chan Result)
		m := plain()
		go func() { done <- c.putFor(m, true, soon) }()
		require.Eventually(t, func() bool { return one.countPuts() > 0 && len(c.pendingPuts()) == 2 }, soon, time.Millisecond)
		var unanswered string
		one.with(func() { unanswered = one.puts[0].Message.ID })
		grant := &wire.Grant{Epoch: 1, ID: unanswered, HasMessage: true}
		conn := c.view.Load().stores[0].conn()
		c.handleGrant(conn, grant)
		close(accept)
		require.Equal(t, Accepted, <-done)
		c.handleGrant(conn, grant)
		require.NotEqual(t, unanswered, m.ID)
		require.Eventually(t, func() bool { return one.countReports() == 1 }, soon, time.Millisecond)
		one.with(func() { assert.Equal(t, wire.ReportDropped, one.reports[0].Kind) })
		h.with(func() { assert.Empty(t, h.granted) })
	})
}

// A frozen process goes on: what lies in its sockets was granted before, and may be another edge's by now.
func TestGrantsFromBeforeAStandstillDoNotCount(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		before := c.view.Load().stores[0].conn()
		claims := one.countClaims()
		c.standstill.mu.Lock()
		c.standstill.aliveAt -= c.standstill.limit
		c.standstill.mu.Unlock()
		for _, id := range []string{"0.x", "0.y"} {
			c.handleGrant(before, &wire.Grant{Epoch: 1, ID: id, HasMessage: true})
		}
		h.with(func() { assert.Empty(t, h.granted) })
		require.Eventually(t, func() bool { return one.countClaims() > claims }, soon, time.Millisecond, "it claims on another connection")
		after := c.view.Load().stores[0].conn()
		require.NotSame(t, before, after)
		c.handleGrant(after, &wire.Grant{Epoch: 1, ID: "0.z", HasMessage: true})
		h.with(func() { assert.Equal(t, []string{"0.z"}, h.granted) })
	})
}
