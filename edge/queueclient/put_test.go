package queueclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

func TestPutPrefersOwnZone(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		c, h := newClient(t)
		assert.False(t, c.Usable())
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{1, 0}, []uint16{0, 1}, []uint16{1, 0}))
		awaitConnected(t, c)
		assert.True(t, c.Usable())
		for range 10 {
			m := unordered()
			require.Equal(t, Accepted, c.putFor(m, true, time.Second))
			partition, ok := wire.PartitionOf(m.ID)
			assert.True(t, ok)
			assert.EqualValues(t, 1, partition)
			h.withLock(func() { assert.Contains(t, h.accepted, m.ID) })
		}
		one.withLock(func() {
			assert.Len(t, one.puts, 10)
			assert.EqualValues(t, 1, one.puts[0].Epoch)
			assert.True(t, one.puts[0].Dispatch)
			assert.Equal(t, []byte("b"), one.puts[0].Message.Body)
			assert.Equal(t, wire.Attach{Edge: "edge-1", Zone: "z1"}, one.attaches[0])
		})
		assert.Zero(t, two.countPuts())
	})
}

func TestPutWithoutDispatchDoesNotCallAccepted(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		require.Equal(t, Accepted, c.putFor(unordered(), false, time.Second))
		h.withLock(func() { assert.Empty(t, h.accepted) })
	})
}

func TestRejectedPutIsRetriedElsewhereWithNewID(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutRejected} }
		c, h := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0}, []uint16{1}))
		awaitConnected(t, c)
		m := unordered()
		require.Equal(t, Accepted, c.putFor(m, true, time.Second))
		partition, _ := wire.PartitionOf(m.ID)
		assert.EqualValues(t, 1, partition)
		h.withLock(func() { assert.Len(t, h.accepted, 1) })
		one.withLock(func() { assert.NotEqual(t, one.puts[0].Message.ID, m.ID) })
	})
}

func TestPutRejectedByAllStores(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		for _, code := range []wire.PutCode{wire.PutStale, wire.PutNotPrimary, wire.PutRejected} {
			one := newFakeStore(t)
			one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: code} }
			c, _ := newClient(t)
			c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
			awaitConnected(t, c)
			assert.Equal(t, Rejected, c.putFor(unordered(), true, 100*time.Millisecond))
			assert.Equal(t, Rejected, c.putFor(ordered(), true, 100*time.Millisecond))
			assert.Less(t, one.countPuts(), 40, "puts must pause between attempts")
		}
	})
}

func TestPutWithoutStoresIsRejected(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		c, _ := newClient(t)
		assert.Equal(t, Rejected, c.putFor(unordered(), true, 60*time.Millisecond))
		one := newFakeStore(t)
		one.server.Close()
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		assert.Equal(t, Rejected, c.putFor(unordered(), true, 60*time.Millisecond))
	})
}

func TestPutWithoutDefiniteAnswerIsUnknown(t *testing.T) {
	answers := map[string]func(*wire.Put, int) *wire.PutReply{
		"none":    func(*wire.Put, int) *wire.PutReply { return nil },
		"unknown": func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutUnknown} },
		"a code that is not known": func(*wire.Put, int) *wire.PutReply {
			return &wire.PutReply{Code: wire.PutUnknown + 1}
		},
		"unknown, then rejected": func(_ *wire.Put, number int) *wire.PutReply {
			if number == 1 {
				return &wire.PutReply{Code: wire.PutUnknown}
			}
			return &wire.PutReply{Code: wire.PutRejected}
		},
	}
	for name, answer := range answers {
		for _, m := range []*wire.Message{unordered(), ordered()} {
			t.Run(name, func(t *testing.T) {
				onFakeTime(t, func(t *testing.T) {
					one := newFakeStore(t)
					one.put = answer
					c, _ := newClient(t)
					c.lastTimeout = 50 * time.Millisecond
					c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
					awaitConnected(t, c)
					assert.Equal(t, Unknown, c.putFor(m, true, 100*time.Millisecond))
				})
			})
		}
	}
}

func TestPutAvoidsUnresponsiveStore(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return nil }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0}, []uint16{1}))
		awaitConnected(t, c)
		began := time.Now()
		require.Equal(t, Accepted, c.putFor(unordered(), true, time.Second))
		assert.GreaterOrEqual(t, time.Since(began), minAttemptTimeout)
		for range 5 {
			began = time.Now()
			require.Equal(t, Accepted, c.putFor(unordered(), true, time.Second))
			assert.Less(t, time.Since(began), minAttemptTimeout, "the unresponsive store is skipped")
		}
		assert.Equal(t, 1, one.countPuts())
	})
}

// A replica that does not sync prevents its primary from answering: all stores of the partition become suspect.
func TestPutAvoidsStoresOfUnresponsivePartition(t *testing.T) {
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
		awaitConnected(t, c)
		require.Equal(t, Accepted, c.putFor(unordered(), true, time.Second))
		assert.True(t, c.view.Load().stores[1].isSuspect(c.now()))
		assert.Equal(t, 1, three.countPuts())
	})
}

// All stores are slow: sending copies of a message would slow them down further, and a late answer is better than none.
func TestPutWaitsForSlowStores(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		for _, m := range []*wire.Message{unordered(), ordered()} {
			one, two := newFakeStore(t), newFakeStore(t)
			for _, s := range []*fakeStore{one, two} {
				s.put = func(*wire.Put, int) *wire.PutReply {
					time.Sleep(2 * minAttemptTimeout)
					return &wire.PutReply{Code: wire.PutAccepted}
				}
			}
			c, h := newClient(t)
			c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0, 1}, []uint16{1, 0}))
			awaitConnected(t, c)
			assert.Equal(t, Accepted, c.putFor(m, true, minAttemptTimeout/2))
			assert.Equal(t, 1, one.countPuts()+two.countPuts())
			h.withLock(func() { assert.Len(t, h.accepted, 1) })
		}
	})
}

func TestAttemptTimeoutGrowsWithLatency(t *testing.T) {
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

func TestLateAcceptIsDropped(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		var late rpc.Reply
		mux := rpc.NewMux()
		rpc.Handle(mux, wire.MethodAttach, func(_ *rpc.Conn, _ *wire.Attach, reply rpc.Reply) { reply.Send(&wire.AttachReply{}) })
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
		awaitConnected(t, c)
		m := unordered()
		require.Equal(t, Accepted, c.putFor(m, true, time.Second))
		first := <-arrived
		late.Send(&wire.PutReply{Code: wire.PutAccepted})
		report := <-dropped
		assert.Equal(t, first.Message.ID, report.ID)
		assert.Equal(t, wire.ReportDropped, report.Kind)
		h.withLock(func() { assert.Len(t, h.accepted, 1); assert.Contains(t, h.accepted, m.ID) })
	})
}

func TestOrderedPutKeepsIDAndFollowsPrimary(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutNotPrimary} }
		two.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutAccepted, Granted: true} }
		c, h := newClient(t)
		stores := []*fakeStore{one, two}
		c.SetView(placement(1, stores, []uint16{0, 1}))
		awaitConnected(t, c)
		time.AfterFunc(60*time.Millisecond, func() { c.SetView(placement(2, stores, []uint16{1, 0})) })
		m := ordered()
		require.Equal(t, Accepted, c.putFor(m, true, time.Second))
		one.withLock(func() {
			for _, p := range one.puts {
				assert.Equal(t, m.ID, p.Message.ID)
			}
			assert.NotEmpty(t, one.puts)
		})
		two.withLock(func() {
			require.Len(t, two.puts, 1)
			assert.Equal(t, m.ID, two.puts[0].Message.ID)
			assert.EqualValues(t, 2, two.puts[0].Epoch)
		})
		h.withLock(func() { assert.Equal(t, map[string]bool{m.ID: true}, h.accepted) })
	})
}
