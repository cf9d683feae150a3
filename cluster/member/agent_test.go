package member

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
)

const (
	soon  = 5 * time.Second
	often = 2 * time.Millisecond
)

// testLeader grants every renewal, accepts every child and answers every fetch. The test sets its versions and topics,
// and sends updates.
type testLeader struct {
	t        *testing.T
	server   *rpc.Server
	mu       sync.Mutex
	heads    []wire.Version
	topics   map[wire.Topic]wire.Update
	children []*rpc.Conn
	renewals []wire.Renew
	fetched  atomic.Int32
	lease    uint32
}

func newTestLeader(t *testing.T) *testLeader {
	l := &testLeader{t: t, topics: make(map[wire.Topic]wire.Update), lease: 300, heads: make([]wire.Version, wire.TopicCount)}
	mux := rpc.NewMux()
	rpc.Handle(mux, wire.MethodRenew, func(_ *rpc.Conn, renew *wire.Renew, reply rpc.Reply) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.renewals = append(l.renewals, *renew)
		reply.Send(&wire.RenewReply{Granted: true, Leader: l.server.Address(), LeaseMillis: l.lease, Heads: l.heads})
	})
	rpc.Handle(mux, wire.MethodSubscribe, func(c *rpc.Conn, _ *wire.Subscribe, reply rpc.Reply) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.children = append(l.children, c)
		reply.Send(&wire.SubscribeReply{Accepted: true})
	})
	rpc.Handle(mux, wire.MethodFetch, func(_ *rpc.Conn, fetch *wire.Fetch, reply rpc.Reply) {
		l.fetched.Add(1)
		l.mu.Lock()
		defer l.mu.Unlock()
		update := l.topics[fetch.Topic]
		reply.Send(&update)
	})
	server, err := rpc.Listen("127.0.0.1:0", rpc.Options{Mux: mux}, nil)
	require.NoError(t, err)
	l.server = server
	t.Cleanup(server.Close)
	return l
}

// setTopic sets a topic's version, for renewals and fetches, without sending an update.
func (l *testLeader) setTopic(topic wire.Topic, sequence uint64, payload []byte) wire.Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	update := wire.Update{Topic: topic, To: wire.Version{Term: 1, Sequence: sequence}, Payload: payload}
	heads := append([]wire.Version(nil), l.heads...)
	heads[topic] = update.To
	l.heads, l.topics[topic] = heads, update
	return update
}

func (l *testLeader) send(update wire.Update) {
	require.Eventually(l.t, func() bool { return l.child() != nil }, soon, often)
	require.NoError(l.t, l.child().Notify(wire.MethodUpdate, &update))
}

func (l *testLeader) child() *rpc.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.children) == 0 {
		return nil
	}
	return l.children[len(l.children)-1]
}

func (l *testLeader) lastRenewal() wire.Renew {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.renewals) == 0 {
		return wire.Renew{}
	}
	return l.renewals[len(l.renewals)-1]
}

func (l *testLeader) agent(t *testing.T, change func(*Config)) *Agent {
	t.Helper()
	_, port, _ := net.SplitHostPort(l.server.Address())
	first, _ := strconv.Atoi(port)
	config := Config{
		Settings: &settings.Settings{HeartbeatMs: 100, PortRange: []int{first, first + 2}, Seeds: []string{"127.0.0.1:1"}},
		Self:     wire.Member{ID: "me", Node: "n", Address: "127.0.0.1:1", Zone: "z", Edge: true},
		Mux:      rpc.NewMux(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	if change != nil {
		change(&config)
	}
	return New(config)
}

func start(t *testing.T, a *Agent) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func encodedWorkers(t *testing.T, ids ...string) []byte {
	var workers wire.Workers
	for _, id := range ids {
		workers.Entries = append(workers.Entries, wire.Worker{ID: id})
	}
	payload, err := workers.MarshalMsg(nil)
	require.NoError(t, err)
	return payload
}

func (a *Agent) workers() int {
	if a.Snapshot().Workers == nil {
		return -1
	}
	return len(a.Snapshot().Workers.Entries)
}

func TestFetchMissingUpdate(t *testing.T) {
	l := newTestLeader(t)
	l.setTopic(wire.TopicWorkers, 1, encodedWorkers(t, "a"))
	a := l.agent(t, nil)
	require.False(t, a.Current())
	start(t, a)
	require.Eventually(t, a.Leased, soon, often)
	require.Eventually(t, func() bool { return a.workers() == 1 }, soon, often)
	require.Positive(t, l.fetched.Load())
	require.True(t, a.Current())
}

func TestReceivedUpdateIsNotFetched(t *testing.T) {
	l := newTestLeader(t)
	a := l.agent(t, nil)
	start(t, a)
	l.send(l.setTopic(wire.TopicWorkers, 1, encodedWorkers(t, "a")))
	require.Eventually(t, func() bool { return a.workers() == 1 }, soon, often)
	require.Zero(t, l.fetched.Load())
}

func TestIgnoreOlderVersion(t *testing.T) {
	l := newTestLeader(t)
	a := l.agent(t, nil)
	var seen []uint64
	var mu sync.Mutex
	a.OnChange(func(topic wire.Topic, s *Snapshot) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, s.Versions[topic].Sequence)
	})
	start(t, a)
	l.send(l.setTopic(wire.TopicWorkers, 2, encodedWorkers(t, "a", "b")))
	l.send(wire.Update{Topic: wire.TopicWorkers, To: wire.Version{Term: 1, Sequence: 1}, Payload: encodedWorkers(t, "a")})
	l.send(l.setTopic(wire.TopicWorkers, 3, encodedWorkers(t)))
	require.Eventually(t, func() bool { return a.workers() == 0 }, soon, often)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, []uint64{2, 3}, seen)
}

func TestIgnoreUndecodableUpdate(t *testing.T) {
	l := newTestLeader(t)
	a := l.agent(t, nil)
	start(t, a)
	l.send(l.setTopic(wire.TopicConfig, 1, []byte("{")))
	l.send(l.setTopic(wire.TopicWorkers, 1, encodedWorkers(t, "a")))
	require.Eventually(t, func() bool { return a.workers() == 1 }, soon, often)
	require.Nil(t, a.Snapshot().Catalog)
	require.Zero(t, a.Snapshot().Versions[wire.TopicConfig])
}

func TestLeaveWaitsForLeader(t *testing.T) {
	l := newTestLeader(t)
	a := l.agent(t, nil)
	start(t, a)
	require.Eventually(t, a.Leased, soon, often)
	require.True(t, l.lastRenewal().Member.Ready)
	ctx, cancel := context.WithTimeout(t.Context(), soon)
	defer cancel()
	a.Leave(ctx)
	require.NoError(t, ctx.Err())
	require.True(t, l.lastRenewal().Member.Leaving)
	require.False(t, l.lastRenewal().Member.Ready)
}

func TestLeaveReturnsWhenContextEnds(t *testing.T) {
	l := newTestLeader(t)
	a := l.agent(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	a.Leave(ctx) // the agent is not running
}

func TestRenewNowSendsNewStatus(t *testing.T) {
	l := newTestLeader(t)
	l.lease = 60_000
	var epoch atomic.Uint64
	a := l.agent(t, func(c *Config) {
		c.Settings.HeartbeatMs = 60_000
		c.Status = func() wire.StoreStatus { return wire.StoreStatus{Epoch: epoch.Load()} }
	})
	start(t, a)
	require.Eventually(t, a.Leased, soon, often)
	epoch.Store(7)
	a.RenewNow()
	require.Eventually(t, func() bool { return l.lastRenewal().Store.Epoch == 7 }, soon, often)
}

func TestLeaseExpiresWithoutRenewals(t *testing.T) {
	l := newTestLeader(t)
	a := l.agent(t, nil)
	start(t, a)
	require.Eventually(t, a.Leased, soon, often)
	l.server.Close()
	require.Eventually(t, func() bool { return !a.Leased() }, soon, often)
}

func TestCurrentRequiresHeads(t *testing.T) {
	l := newTestLeader(t)
	l.mu.Lock()
	l.heads = nil
	l.mu.Unlock()
	a := l.agent(t, nil)
	start(t, a)
	require.Eventually(t, a.Leased, soon, often)
	require.False(t, a.Current(), "the leader has not sent versions yet")
	l.mu.Lock()
	l.heads = make([]wire.Version, wire.TopicCount)
	l.mu.Unlock()
	require.Eventually(t, a.Current, soon, often)
}
