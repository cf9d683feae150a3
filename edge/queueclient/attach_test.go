package queueclient

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// silentStore is a store that reads what it is sent and answers only when the test makes it.
type silentStore struct {
	*fakeStore
	attaching []rpc.Reply
	methods   []wire.Method // of the requests that it has read, in order
}

func newSilentStore(t *testing.T) *silentStore {
	s := &silentStore{fakeStore: &fakeStore{}}
	mux := rpc.NewMux()
	for _, method := range []wire.Method{wire.MethodAttach, wire.MethodEdgeConfig, wire.MethodClaim, wire.MethodPut, wire.MethodReport} {
		mux.Handle(method, func(_ *rpc.Conn, _ []byte, reply rpc.Reply) {
			s.withLock(func() {
				s.methods = append(s.methods, method)
				if method == wire.MethodAttach {
					s.attaching = append(s.attaching, reply)
				}
			})
		})
	}
	s.server = rpc.Serve(memory.listen(), rpc.Options{Mux: mux}, nil)
	t.Cleanup(s.server.Close)
	return s
}

func (s *silentStore) read() (methods []wire.Method) {
	s.withLock(func() { methods = slices.Clone(s.methods) })
	return methods
}

// Guards against review/4 (TWICE): whatever an edge has sent on a connection before the store answered there, the store may
// handle long after the edge has given it up.
func TestConnectionIsUsedOnceStoreHasAnswered(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newSilentStore(t)
		c, _ := newClient(t)
		c.SetConfigVersion(testConfigVersion)
		c.SetView(placement(1, []*fakeStore{one.fakeStore}, []uint16{0}))
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, Rejected, c.putFor(unordered(), true, 100*time.Millisecond))
		c.SetView(placement(2, []*fakeStore{one.fakeStore}, []uint16{0}))
		synctest.Wait()
		require.Equal(t, []wire.Method{wire.MethodAttach}, one.read())
		require.False(t, c.Usable())

		one.withLock(func() { one.attaching[0].Send(&wire.AttachReply{}) })
		synctest.Wait()
		require.Equal(t, []wire.Method{wire.MethodAttach, wire.MethodEdgeConfig, wire.MethodClaim}, one.read())
		require.True(t, c.Usable())
	})
}

// An edge that is stopped before the store has answered must still tell it.
func TestDrainIsAnnouncedWhileAttaching(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newSilentStore(t)
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one.fakeStore}, []uint16{0}))
		time.Sleep(100 * time.Millisecond)
		c.Drain()
		synctest.Wait()
		require.Equal(t, []wire.Method{wire.MethodAttach, wire.MethodAttach}, one.read())
	})
}

// A store that refuses to attach the edge takes another connection for its newest: the edge has to open a newer one.
func TestRefusedAttachOpensNewConnection(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newSilentStore(t)
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one.fakeStore}, []uint16{0}))
		time.Sleep(100 * time.Millisecond)
		one.withLock(func() { one.attaching[0].Fail(assert.AnError) })
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, []wire.Method{wire.MethodAttach, wire.MethodAttach}, one.read())
		one.withLock(func() { one.attaching[1].Send(&wire.AttachReply{}) })
		awaitConnected(t, c)
	})
}

// A store of an earlier version may have lost the connection on which the edge claims. It then refuses the claim until the
// edge attaches there again.
func TestRefusedClaimAttachesAgain(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.claim = func(*wire.Claim) *wire.ClaimReply {
			if len(one.attaches) < 2 {
				return &wire.ClaimReply{Code: wire.PutStale, Epoch: 1}
			}
			return &wire.ClaimReply{Code: wire.PutAccepted, Epoch: 1}
		}
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		time.Sleep(time.Second)
		one.withLock(func() {
			assert.Len(t, one.attaches, 2)
			assert.Same(t, one.conns[0], one.conns[1])
		})
	})
}
