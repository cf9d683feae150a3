package relay

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

const (
	soon  = 5 * time.Second
	often = 2 * time.Millisecond
)

type served struct {
	*Node
	server  *rpc.Server
	address string
	got     atomic.Uint64 // sequence of the workers' newest version
}

// serve runs a node that others can hang on.
func serve(t *testing.T, root bool, leader func() *rpc.Conn) *served {
	s := new(served)
	mux := rpc.NewMux()
	s.Node = NewNode(NodeConfig{
		Root: root, Leader: leader, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnUpdate: func(topic wire.Topic, version wire.Version, _ []byte) {
			if topic == wire.TopicWorkers {
				s.got.Store(version.Sequence)
			}
		},
	})
	Register(mux, func() *Node { return s.Node })
	server, err := rpc.Listen("127.0.0.1:0", rpc.Options{Mux: mux}, nil)
	require.NoError(t, err)
	s.server, s.address = server, server.Address()
	s.config.Self = s.address
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
	})
	return s
}

func (s *served) publishWorkers(sequence uint64) {
	s.Publish(wire.TopicWorkers, version(sequence), payload(sequence))
}

func (s *served) eventually(t *testing.T, sequence uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return s.got.Load() == sequence }, soon, often)
}

// parent answers subscriptions as told and says nothing else.
func parent(t *testing.T, accepts bool) string {
	mux := rpc.NewMux()
	rpc.Handle(mux, wire.MethodSubscribe, func(_ *rpc.Conn, _ *wire.Subscribe, reply rpc.Reply) {
		reply.Send(&wire.SubscribeReply{Accepted: accepts})
	})
	server, err := rpc.Listen("127.0.0.1:0", rpc.Options{Mux: mux}, nil)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}

func TestUpdatesFlowDownAChain(t *testing.T) {
	root, middle, leaf := serve(t, true, nil), serve(t, false, nil), serve(t, false, nil)
	root.publishWorkers(1)
	middle.SetParents([]string{root.address})
	leaf.SetParents([]string{middle.address, root.address})
	leaf.eventually(t, 1)
	root.publishWorkers(2)
	leaf.eventually(t, 2)
}

func TestAParentThatRefusesIsPassedOver(t *testing.T) {
	root, leaf := serve(t, true, nil), serve(t, false, nil)
	root.publishWorkers(1)
	leaf.SetParents([]string{parent(t, false), root.address})
	leaf.eventually(t, 1)
}

func TestAParentThatSaysNothingIsLeft(t *testing.T) {
	root, leaf := serve(t, true, nil), serve(t, false, nil)
	root.publishWorkers(1)
	started := time.Now()
	leaf.SetParents([]string{parent(t, true), root.address})
	leaf.eventually(t, 1)
	require.Less(t, time.Since(started), 2*failureTimeout)
}

func TestAParentThatAcceptsNoConnectionIsPassedOver(t *testing.T) {
	root, leaf := serve(t, true, nil), serve(t, false, nil)
	root.publishWorkers(1)
	unresponsive, err := net.Listen("tcp4", "127.0.0.1:0") // connections wait in its queue
	require.NoError(t, err)
	defer func() { _ = unresponsive.Close() }()
	leaf.SetParents([]string{unresponsive.Addr().String(), "127.0.0.1:1", root.address})
	leaf.eventually(t, 1)
}

func TestAParentThatIsBehindIsRepairedAroundByTheLeader(t *testing.T) {
	root, middle := serve(t, true, nil), serve(t, false, nil)
	direct, err := rpc.Dial(t.Context(), root.address, rpc.Options{})
	require.NoError(t, err)
	defer direct.Close()
	leaf := serve(t, false, func() *rpc.Conn { return direct })
	leaf.SetParents([]string{middle.address}) // it hangs on nobody
	root.publishWorkers(3)
	leaf.Named(Versions{wire.TopicWorkers: version(3)}.List())
	leaf.eventually(t, 3)
	require.Zero(t, middle.got.Load())
}

// TestAChildOfAPartitionedParentFollowsTheLeader has a parent that lives, goes on to speak and has old state, as one that is partitioned from the
// core with the leader of before.
func TestAChildOfAPartitionedParentFollowsTheLeader(t *testing.T) {
	newLeader, partitioned := serve(t, true, nil), serve(t, true, nil)
	direct, err := rpc.Dial(t.Context(), newLeader.address, rpc.Options{})
	require.NoError(t, err)
	defer direct.Close()
	partitioned.publishWorkers(1)
	child := serve(t, false, func() *rpc.Conn { return direct })
	child.SetParents([]string{partitioned.address})
	child.eventually(t, 1)
	newLeader.publishWorkers(3)
	child.Named(Versions{wire.TopicWorkers: version(3)}.List()) // as its renewal at the new leader says
	child.eventually(t, 3)
	partitioned.publishWorkers(2)
	newLeader.publishWorkers(4)
	child.Named(Versions{wire.TopicWorkers: version(4)}.List())
	child.eventually(t, 4)
}

func TestANodeIsNotItsOwnParent(t *testing.T) {
	node := serve(t, false, nil)
	conn, err := rpc.Dial(t.Context(), node.address, rpc.Options{})
	require.NoError(t, err)
	defer conn.Close()
	var reply wire.SubscribeReply
	require.NoError(t, conn.Call(t.Context(), wire.MethodSubscribe, &wire.Subscribe{Member: node.address}, &reply))
	require.False(t, reply.Accepted)
}

func TestChildrenAreLetGoAtTheEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	node := NewNode(NodeConfig{Root: true})
	mux := rpc.NewMux()
	Register(mux, func() *Node { return node })
	server, err := rpc.Listen("127.0.0.1:0", rpc.Options{Mux: mux}, nil)
	require.NoError(t, err)
	defer server.Close()
	go node.Run(ctx)
	conn, err := rpc.Dial(t.Context(), server.Address(), rpc.Options{})
	require.NoError(t, err)
	var reply wire.SubscribeReply
	require.NoError(t, conn.Call(t.Context(), wire.MethodSubscribe, &wire.Subscribe{Member: "c"}, &reply))
	require.True(t, reply.Accepted)
	cancel()
	select {
	case <-conn.Done():
	case <-time.After(soon):
		t.Fatal("the connection stays")
	}
}
