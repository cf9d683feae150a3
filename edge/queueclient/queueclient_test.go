package queueclient

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

const soon = 3 * time.Second // of fake time

// fakeStore is a store that answers as it is told to.
type fakeStore struct {
	server *rpc.Server

	mu       sync.Mutex
	attaches []wire.Attach
	claims   []wire.Claim
	puts     []wire.Put
	reports  []wire.Report
	conns    []*rpc.Conn

	put    func(p *wire.Put, number int) *wire.PutReply // nil, or a nil answer: none
	report func(r *wire.Report, number int) wire.PutCode
	claim  func(c *wire.Claim) *wire.ClaimReply
	find   func(f *wire.Find) *wire.FindReply
	unsure bool // it answers that it can't say
}

func newFakeStore(t *testing.T) *fakeStore {
	s := &fakeStore{}
	mux := rpc.NewMux()
	rpc.Handle(mux, wire.MethodAttach, func(c *rpc.Conn, m *wire.Attach, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.attaches = append(s.attaches, *m)
		s.conns = append(s.conns, c)
		reply.Send(&wire.AttachReply{})
	})
	rpc.Handle(mux, wire.MethodClaim, func(_ *rpc.Conn, m *wire.Claim, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.claims = append(s.claims, *m)
		answer := &wire.ClaimReply{Code: wire.PutAccepted}
		if s.claim != nil {
			answer = s.claim(m)
		}
		reply.Send(answer)
	})
	rpc.Handle(mux, wire.MethodPut, func(c *rpc.Conn, m *wire.Put, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.puts = append(s.puts, *m)
		answer := &wire.PutReply{Code: wire.PutAccepted}
		if s.put != nil {
			answer = s.put(m, len(s.puts))
		}
		send(reply, answer)
	})
	rpc.Handle(mux, wire.MethodReport, func(_ *rpc.Conn, m *wire.Report, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reports = append(s.reports, *m)
		code := wire.PutAccepted
		if s.report != nil {
			code = s.report(m, len(s.reports))
		}
		reply.Send(&wire.ReportReply{Code: code})
	})
	rpc.Handle(mux, wire.MethodFind, func(_ *rpc.Conn, m *wire.Find, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		answer := &wire.FindReply{}
		if s.find != nil {
			answer = s.find(m)
		}
		if s.unsure {
			reply.Fail(errors.New("not under this placement"))
		} else if answer != nil {
			reply.Send(answer)
		}
	})
	s.server = rpc.Serve(memory.listen(), rpc.Options{Mux: mux}, nil)
	t.Cleanup(s.server.Close)
	return s
}

func send[T any, P interface {
	*T
	msgp.Marshaler
}](reply rpc.Reply, answer P) {
	if answer != nil {
		reply.Send(answer)
	}
}

func (s *fakeStore) with(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) countPuts() (count int) {
	s.with(func() { count = len(s.puts) })
	return count
}

func (s *fakeStore) countReports() (count int) {
	s.with(func() { count = len(s.reports) })
	return count
}

func (s *fakeStore) countClaims() (count int) {
	s.with(func() { count = len(s.claims) })
	return count
}

// recorder is what a client told its edge.
type recorder struct {
	mu           sync.Mutex
	accepted     map[string]bool // by message: granted
	granted      []string
	acknowledged []string
	unknown      []string
	owned        []string
}

func (h *recorder) with(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

func newClient(t *testing.T) (*Client, *recorder) {
	h := &recorder{accepted: make(map[string]bool)}
	c := New(Config{
		Edge: "edge-1", Zone: "z1", Options: rpc.Options{DialContext: memory.dial},
		Accepted:     func(m *wire.Message, granted bool) { h.with(func() { h.accepted[m.ID] = granted }) },
		Granted:      func(g *wire.Grant) { h.with(func() { h.granted = append(h.granted, g.ID) }) },
		Acknowledged: func(id string) { h.with(func() { h.acknowledged = append(h.acknowledged, id) }) },
		Unknown:      func(id string) { h.with(func() { h.unknown = append(h.unknown, id) }) },
		Owned: func() (ids []string) {
			h.with(func() { ids = append(ids, h.owned...) })
			return ids
		},
	})
	c.started -= time.Hour // no event falls on its start, a time that stands for never
	t.Cleanup(c.Close)
	return c, h
}

// placement has a partition for each list of stores, the primary first. The first store is in zone z1, the rest in z2.
func placement(epoch uint64, stores []*fakeStore, partitions ...[]uint16) *wire.StoreView {
	v := &wire.StoreView{Epoch: epoch, Copies: 1}
	for i, s := range stores {
		zone := "z2"
		if i == 0 {
			zone = "z1"
		}
		address := s.server.Address()
		v.Stores = append(v.Stores, wire.Store{Disk: address, Address: address, Zone: zone})
	}
	for _, replicas := range partitions {
		v.Partitions = append(v.Partitions, wire.Placement{Replicas: replicas})
	}
	return v
}

// connected waits until the client is connected to all stores and has told them all that there was to tell. What it claims may be told
// twice then: by the connection that came up, and by the view that was taken.
func connected(t *testing.T, c *Client) {
	t.Helper()
	defer synctest.Wait()
	require.Eventually(t, func() bool {
		for _, s := range c.view.Load().stores {
			if s.conn() == nil {
				return false
			}
		}
		return true
	}, soon, time.Millisecond)
}

// distinct leaves repeats out that follow one another.
func distinct(claims []wire.Claim) []wire.Claim {
	return slices.CompactFunc(claims, func(a, b wire.Claim) bool { return a.Epoch == b.Epoch && slices.Equal(a.IDs, b.IDs) })
}

func plain() *wire.Message { return &wire.Message{RequestID: "r", Body: []byte("b")} }

func ordered() *wire.Message { return &wire.Message{RequestID: "r", Key: "k", Ordered: true} }

func TestPutGoesToAPartitionOfTheOwnZone(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		c, h := newClient(t)
		assert.False(t, c.Usable())
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{1, 0}, []uint16{0, 1}, []uint16{1, 0}))
		connected(t, c)
		assert.True(t, c.Usable())
		for range 10 {
			m := plain()
			require.Equal(t, Accepted, c.Put(m, true, time.Second))
			partition, ok := wire.PartitionOf(m.ID)
			assert.True(t, ok)
			assert.EqualValues(t, 1, partition)
			h.with(func() { assert.Contains(t, h.accepted, m.ID) })
		}
		one.with(func() {
			assert.Len(t, one.puts, 10)
			assert.EqualValues(t, 1, one.puts[0].Epoch)
			assert.True(t, one.puts[0].Dispatch)
			assert.Equal(t, []byte("b"), one.puts[0].Message.Body)
			assert.Equal(t, wire.Attach{Edge: "edge-1", Zone: "z1"}, one.attaches[0])
		})
		assert.Zero(t, two.countPuts())
	})
}

func TestPutThatIsNotForThisEdgeIsNotNotified(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		require.Equal(t, Accepted, c.Put(plain(), false, time.Second))
		h.with(func() { assert.Empty(t, h.accepted) })
	})
}

func TestRefusedPutGoesElsewhereUnderAnotherName(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutRejected} }
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0}, []uint16{1}))
		connected(t, c)
		m := plain()
		require.Equal(t, Accepted, c.Put(m, true, time.Second))
		partition, _ := wire.PartitionOf(m.ID)
		assert.EqualValues(t, 1, partition)
		h.with(func() { assert.Len(t, h.accepted, 1) })
		one.with(func() { assert.NotEqual(t, one.puts[0].Message.ID, m.ID) })
	})
}

func TestPutThatAllRefuseIsRefused(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		for _, code := range []wire.PutCode{wire.PutStale, wire.PutNotPrimary, wire.PutRejected} {
			one := newFakeStore(t)
			one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: code} }
			c, _ := newClient(t)
			c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
			connected(t, c)
			assert.Equal(t, Rejected, c.Put(plain(), true, 100*time.Millisecond))
			assert.Equal(t, Rejected, c.Put(ordered(), true, 100*time.Millisecond))
			assert.Less(t, one.countPuts(), 40, "without a pause")
		}
	})
}

func TestPutWithoutStoresIsRefused(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		c, _ := newClient(t)
		assert.Equal(t, Rejected, c.Put(plain(), true, 60*time.Millisecond))
		one := newFakeStore(t)
		one.server.Close()
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		assert.Equal(t, Rejected, c.Put(plain(), true, 60*time.Millisecond))
	})
}

func TestPutWithoutAClearAnswerIsUnsure(t *testing.T) {
	answers := map[string]func(*wire.Put, int) *wire.PutReply{
		"none":    func(*wire.Put, int) *wire.PutReply { return nil },
		"unknown": func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutUnknown} },
		"unknown, then refused": func(_ *wire.Put, number int) *wire.PutReply {
			if number == 1 {
				return &wire.PutReply{Code: wire.PutUnknown}
			}
			return &wire.PutReply{Code: wire.PutRejected}
		},
	}
	for name, answer := range answers {
		for _, m := range []*wire.Message{plain(), ordered()} {
			t.Run(name, func(t *testing.T) {
				onFakeTime(t, func(t *testing.T) {
					one := newFakeStore(t)
					one.put = answer
					c, _ := newClient(t)
					c.lastTimeout = 50 * time.Millisecond
					c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
					connected(t, c)
					assert.Equal(t, Unknown, c.Put(m, true, 100*time.Millisecond))
				})
			})
		}
	}
}

func TestPutLeavesAnUnresponsiveStore(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return nil }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0}, []uint16{1}))
		connected(t, c)
		began := time.Now()
		require.Equal(t, Accepted, c.Put(plain(), true, time.Second))
		assert.GreaterOrEqual(t, time.Since(began), minAttemptTimeout)
		for range 5 {
			began = time.Now()
			require.Equal(t, Accepted, c.Put(plain(), true, time.Second))
			assert.Less(t, time.Since(began), minAttemptTimeout, "the silent store is passed over")
		}
		assert.Equal(t, 1, one.countPuts())
	})
}

// A replica that does not sync keeps its primary from answering: the partition's stores are all passed over.
func TestPutPassesOverTheStoresOfAnUnresponsivePartition(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two, three := newFakeStore(t), newFakeStore(t), newFakeStore(t)
		one.put = func(p *wire.Put, _ int) *wire.PutReply {
			if p.Partition == 0 {
				return nil
			}
			return &wire.PutReply{Code: wire.PutAccepted}
		}
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two, three}, []uint16{0, 1}, []uint16{2}))
		connected(t, c)
		require.Equal(t, Accepted, c.Put(plain(), true, time.Second))
		assert.True(t, c.view.Load().stores[1].isSuspect(c.now()))
		assert.Equal(t, 1, three.countPuts())
	})
}

// All stores are slow: more copies of the same message would only make them slower, and a late answer is better than none.
func TestPutWaitsForSlowStores(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		for _, m := range []*wire.Message{plain(), ordered()} {
			one, two := newFakeStore(t), newFakeStore(t)
			for _, s := range []*fakeStore{one, two} {
				s.put = func(*wire.Put, int) *wire.PutReply {
					time.Sleep(2 * minAttemptTimeout)
					return &wire.PutReply{Code: wire.PutAccepted}
				}
			}
			c, h := newClient(t)
			c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0, 1}, []uint16{1, 0}))
			connected(t, c)
			assert.Equal(t, Accepted, c.Put(m, true, minAttemptTimeout/2))
			assert.Equal(t, 1, one.countPuts()+two.countPuts())
			h.with(func() { assert.Len(t, h.accepted, 1) })
		}
	})
}

func TestPatienceGrowsWithTheAnswers(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		c, _ := newClient(t)
		assert.Equal(t, minAttemptTimeout, c.attemptTimeout())
		for range 50 {
			c.observeLatency(100 * time.Millisecond)
		}
		assert.InDelta(t, 400, c.attemptTimeout().Milliseconds(), 10)
		for range 50 {
			c.observeLatency(time.Minute)
		}
		assert.Equal(t, maxAttemptTimeout, c.attemptTimeout())
	})
}

func TestLateKeptIsDropped(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		var late rpc.Reply
		mux := rpc.NewMux()
		arrived := make(chan wire.Put, 1)
		rpc.Handle(mux, wire.MethodPut, func(_ *rpc.Conn, m *wire.Put, reply rpc.Reply) {
			late = reply
			arrived <- *m
		})
		dropped := make(chan wire.Report, 1)
		rpc.Handle(mux, wire.MethodReport, func(_ *rpc.Conn, m *wire.Report, reply rpc.Reply) {
			dropped <- *m
			reply.Send(&wire.ReportReply{Code: wire.PutAccepted})
		})
		slow := rpc.Serve(memory.listen(), rpc.Options{Mux: mux}, nil)
		defer slow.Close()
		one.server.Close()
		one.server = slow
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0}, []uint16{1}))
		connected(t, c)
		m := plain()
		require.Equal(t, Accepted, c.Put(m, true, time.Second))
		first := <-arrived
		late.Send(&wire.PutReply{Code: wire.PutAccepted})
		report := <-dropped
		assert.Equal(t, first.Message.ID, report.ID)
		assert.Equal(t, wire.ReportDropped, report.Kind)
		h.with(func() { assert.Len(t, h.accepted, 1); assert.Contains(t, h.accepted, m.ID) })
	})
}

func TestOrderedPutKeepsItsNameAndFollowsThePrimary(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutNotPrimary} }
		two.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutAccepted, Granted: true} }
		c, h := newClient(t)
		stores := []*fakeStore{one, two}
		c.SetView(placement(1, stores, []uint16{0, 1}))
		connected(t, c)
		time.AfterFunc(60*time.Millisecond, func() { c.SetView(placement(2, stores, []uint16{1, 0})) })
		m := ordered()
		require.Equal(t, Accepted, c.Put(m, true, time.Second))
		one.with(func() {
			for _, p := range one.puts {
				assert.Equal(t, m.ID, p.Message.ID)
			}
			assert.NotEmpty(t, one.puts)
		})
		two.with(func() {
			require.Len(t, two.puts, 1)
			assert.Equal(t, m.ID, two.puts[0].Message.ID)
			assert.EqualValues(t, 2, two.puts[0].Epoch)
		})
		h.with(func() { assert.Equal(t, map[string]bool{m.ID: true}, h.accepted) })
	})
}

// The answer to a put is lost with the connection; the repeat's comes after the grant.
func TestGrantThatOvertakesTheAnswer(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		one.put = func(p *wire.Put, _ int) *wire.PutReply {
			_ = one.conns[len(one.conns)-1].Notify(wire.MethodGrant, &wire.Grant{ID: p.Message.ID})
			return &wire.PutReply{Code: wire.PutAccepted}
		}
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		m := ordered()
		require.Equal(t, Accepted, c.Put(m, true, time.Second))
		h.with(func() {
			assert.Equal(t, map[string]bool{m.ID: true}, h.accepted)
			assert.Empty(t, h.granted)
		})
	})
}

func TestGrantsReachTheEdge(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		require.Eventually(t, func() bool {
			one.mu.Lock()
			defer one.mu.Unlock()
			return len(one.conns) == 1
		}, soon, time.Millisecond)
		one.with(func() { _ = one.conns[0].Notify(wire.MethodGrant, &wire.Grant{ID: "0.x", HasMessage: true}) })
		require.Eventually(t, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.granted) == 1
		}, soon, time.Millisecond)
	})
}

func TestReportIsRepeatedUntilAcknowledged(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		codes := []wire.PutCode{wire.PutStale, wire.PutUnknown, wire.PutNotPrimary, wire.PutAccepted}
		one.report = func(_ *wire.Report, number int) wire.PutCode { return codes[number-1] }
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		c.Report(wire.Report{ID: "0.x", Kind: wire.ReportDone, Signature: "s"})
		assert.Equal(t, 1, c.Pending())
		require.Eventually(t, func() bool { return c.Pending() == 0 }, soon, time.Millisecond)
		assert.Equal(t, 4, one.countReports())
		require.Eventually(t, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.acknowledged) == 1
		}, soon, time.Millisecond)
	})
}

func TestReportFollowsThePrimary(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.report = func(*wire.Report, int) wire.PutCode { return wire.PutUnknown }
		c, _ := newClient(t)
		stores := []*fakeStore{one, two}
		c.SetView(placement(1, stores, []uint16{0, 1}))
		connected(t, c)
		c.Report(wire.Report{ID: "0.x", Kind: wire.ReportDone, Signature: "s"})
		require.Eventually(t, func() bool { return one.countReports() > 0 }, soon, time.Millisecond)
		c.SetView(placement(2, stores, []uint16{1, 0}))
		require.Eventually(t, func() bool { return c.Pending() == 0 }, soon, time.Millisecond)
		two.with(func() {
			assert.EqualValues(t, 2, two.reports[0].Epoch)
			assert.Equal(t, "s", two.reports[0].Signature)
		})
	})
}

func TestReportsOfAMessageGoInTurn(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.report = func(_ *wire.Report, number int) wire.PutCode {
			if number == 1 {
				return wire.PutUnknown
			}
			return wire.PutAccepted
		}
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		c.Report(wire.Report{ID: "0.x", Kind: wire.ReportFailed, Failed: 1})
		c.Report(wire.Report{ID: "0.x", Kind: wire.ReportDone, Failed: 1, Signature: "s"})
		require.Eventually(t, func() bool { return c.Pending() == 0 }, soon, time.Millisecond)
		var kinds []wire.ReportKind
		one.with(func() {
			for _, r := range one.reports {
				kinds = append(kinds, r.Kind)
			}
		})
		assert.Equal(t, []wire.ReportKind{wire.ReportFailed, wire.ReportFailed, wire.ReportDone}, kinds)
		require.Eventually(t, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.acknowledged) == 1
		}, soon, time.Millisecond)
	})
}

func TestReportSurvivesADisconnect(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.report = func(_ *wire.Report, number int) wire.PutCode {
			if number == 1 {
				one.conns[0].Close()
			}
			return wire.PutAccepted
		}
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		require.Eventually(t, func() bool { return one.countClaims() > 0 }, soon, time.Millisecond)
		c.Report(wire.Report{ID: "0.x", Kind: wire.ReportDone})
		require.Eventually(t, func() bool { return c.Pending() == 0 }, soon, time.Millisecond)
		assert.GreaterOrEqual(t, one.countReports(), 2)
	})
}

func TestClaimsNameWhatThePrimaryShouldKnow(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		c, h := newClient(t)
		h.owned = []string{"0.a", "1.b", "1.c"}
		two.claim = func(m *wire.Claim) *wire.ClaimReply {
			if len(m.IDs) == 0 {
				return &wire.ClaimReply{}
			}
			return &wire.ClaimReply{Unknown: []string{"1.c", "1.stranger"}}
		}
		stores := []*fakeStore{one, two}
		c.SetView(placement(1, stores, []uint16{0, 1}, []uint16{1, 0}))
		connected(t, c)
		one.with(func() { assert.Equal(t, []wire.Claim{{Epoch: 1, IDs: []string{"0.a"}}}, distinct(one.claims)) })
		two.with(func() { assert.Equal(t, []wire.Claim{{Epoch: 1, IDs: []string{"1.b", "1.c"}}}, distinct(two.claims)) })
		h.with(func() { assert.Equal(t, []string{"1.c"}, slices.Compact(h.unknown)) })
		claims := one.countClaims()
		c.SetView(placement(2, stores, []uint16{0, 1}, []uint16{0, 1}))
		require.Eventually(t, func() bool { return one.countClaims() > claims }, soon, time.Millisecond)
		one.with(func() {
			last := one.claims[len(one.claims)-1]
			assert.EqualValues(t, 2, last.Epoch)
			assert.ElementsMatch(t, []string{"0.a", "1.b", "1.c"}, last.IDs)
		})
	})
}

func TestClaimIsRepeatedToAStoreThatIsBehind(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		calls := 0
		one.claim = func(*wire.Claim) *wire.ClaimReply {
			if calls++; calls < 3 {
				return &wire.ClaimReply{Code: wire.PutStale}
			}
			return &wire.ClaimReply{}
		}
		c, _ := newClient(t)
		c.SetView(placement(4, []*fakeStore{one}, []uint16{0}))
		require.Eventually(t, func() bool { return one.countClaims() >= 3 }, soon, time.Millisecond)
	})
}

func TestOlderViewsAreNotTaken(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, _ := newClient(t)
		c.SetView(placement(4, []*fakeStore{one}, []uint16{0}))
		c.SetView(placement(3, []*fakeStore{one}, []uint16{0}, []uint16{0}))
		assert.EqualValues(t, 4, c.view.Load().Epoch)
	})
}

func TestStoreWithAnotherDiskIsAnother(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		before := c.view.Load().stores[0]
		next := placement(2, []*fakeStore{one}, []uint16{0})
		next.Stores[0].Disk = "other"
		c.SetView(next)
		connected(t, c)
		assert.NotSame(t, before, c.view.Load().stores[0])
		assert.Equal(t, Accepted, c.Put(plain(), true, time.Second))
	})
}

func TestDrainTellsTheStores(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		c.Drain()
		require.Eventually(t, func() bool {
			one.mu.Lock()
			defer one.mu.Unlock()
			return len(one.attaches) > 0 && one.attaches[len(one.attaches)-1].Draining
		}, soon, time.Millisecond)
	})
}
