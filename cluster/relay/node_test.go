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

type testNode struct {
	*Node
	server   *rpc.Server
	address  string
	received atomic.Uint64 // sequence of the workers' newest version
}

// startNode runs a node that others can subscribe to.
func startNode(t *testing.T, root bool, leader func() *rpc.Conn) *testNode {
	s := new(testNode)
	mux := rpc.NewMux()
	s.Node = NewNode(NodeConfig{
		Root: root, Leader: leader, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnUpdate: func(topic wire.Topic, version wire.Version, _ []byte) {
			if topic == wire.TopicWorkers {
				s.received.Store(version.Sequence)
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

func (s *testNode) publishWorkers(sequence uint64) {
	s.Publish(wire.TopicWorkers, version(sequence), payload(sequence))
}

func (s *testNode) waitForVersion(t *testing.T, sequence uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return s.received.Load() == sequence }, soon, often)
}

// startFakeParent runs a parent that accepts or refuses subscriptions and sends nothing else. It returns the address.
func startFakeParent(t *testing.T, accepts bool) string {
	mux := rpc.NewMux()
	rpc.Handle(mux, wire.MethodSubscribe, func(_ *rpc.Conn, _ *wire.Subscribe, reply rpc.Reply) {
		reply.Send(&wire.SubscribeReply{Accepted: accepts})
	})
	server, err := rpc.Listen("127.0.0.1:0", rpc.Options{Mux: mux}, nil)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}

func TestUpdatesPropagateThroughChain(t *testing.T) {
	root, middle, leaf := startNode(t, true, nil), startNode(t, false, nil), startNode(t, false, nil)
	root.publishWorkers(1)
	middle.SetParents([]string{root.address})
	leaf.SetParents([]string{middle.address, root.address})
	leaf.waitForVersion(t, 1)
	root.publishWorkers(2)
	leaf.waitForVersion(t, 2)
}

func TestSkipRefusingParent(t *testing.T) {
	root, leaf := startNode(t, true, nil), startNode(t, false, nil)
	root.publishWorkers(1)
	leaf.SetParents([]string{startFakeParent(t, false), root.address})
	leaf.waitForVersion(t, 1)
}

func TestLeaveSilentParent(t *testing.T) {
	root, leaf := startNode(t, true, nil), startNode(t, false, nil)
	root.publishWorkers(1)
	started := time.Now()
	leaf.SetParents([]string{startFakeParent(t, true), root.address})
	leaf.waitForVersion(t, 1)
	require.Less(t, time.Since(started), 2*failureTimeout)
}

func TestSkipUnreachableParent(t *testing.T) {
	root, leaf := startNode(t, true, nil), startNode(t, false, nil)
	root.publishWorkers(1)
	unresponsive, err := net.Listen("tcp4", "127.0.0.1:0") // connections stay in the listen backlog
	require.NoError(t, err)
	defer func() { _ = unresponsive.Close() }()
	leaf.SetParents([]string{unresponsive.Addr().String(), "127.0.0.1:1", root.address})
	leaf.waitForVersion(t, 1)
}

func TestFetchFromLeaderWhenParentIsBehind(t *testing.T) {
	root, middle := startNode(t, true, nil), startNode(t, false, nil)
	direct, err := rpc.Dial(t.Context(), root.address, rpc.Options{})
	require.NoError(t, err)
	defer direct.Close()
	leaf := startNode(t, false, func() *rpc.Conn { return direct })
	leaf.SetParents([]string{middle.address}) // middle itself has no parent
	root.publishWorkers(3)
	leaf.RecordHeads(Versions{wire.TopicWorkers: version(3)}.List())
	leaf.waitForVersion(t, 3)
	require.Zero(t, middle.received.Load())
}

// TestFetchFromLeaderWhenParentIsPartitioned: the parent is partitioned from the core together with the previous
// leader. It keeps sending messages, but with old state.
func TestFetchFromLeaderWhenParentIsPartitioned(t *testing.T) {
	newLeader, partitioned := startNode(t, true, nil), startNode(t, true, nil)
	direct, err := rpc.Dial(t.Context(), newLeader.address, rpc.Options{})
	require.NoError(t, err)
	defer direct.Close()
	partitioned.publishWorkers(1)
	child := startNode(t, false, func() *rpc.Conn { return direct })
	child.SetParents([]string{partitioned.address})
	child.waitForVersion(t, 1)
	newLeader.publishWorkers(3)
	child.RecordHeads(Versions{wire.TopicWorkers: version(3)}.List()) // as the renewal at the new leader reports
	child.waitForVersion(t, 3)
	partitioned.publishWorkers(2)
	newLeader.publishWorkers(4)
	child.RecordHeads(Versions{wire.TopicWorkers: version(4)}.List())
	child.waitForVersion(t, 4)
}

func TestRefuseOwnSubscription(t *testing.T) {
	node := startNode(t, false, nil)
	conn, err := rpc.Dial(t.Context(), node.address, rpc.Options{})
	require.NoError(t, err)
	defer conn.Close()
	var reply wire.SubscribeReply
	require.NoError(t, conn.Call(t.Context(), wire.MethodSubscribe, &wire.Subscribe{Member: node.address}, &reply))
	require.False(t, reply.Accepted)
}

func TestStopClosesChildConnections(t *testing.T) {
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
		t.Fatal("the child's connection was not closed")
	}
}
