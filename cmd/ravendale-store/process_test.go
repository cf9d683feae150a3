package main

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/program"
	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
)

// fakeControl is a control process that grants renewals while the test has set it as the leader.
type fakeControl struct {
	server            *rpc.Server
	renewalConnClosed chan bool // on close after a granted renewal: whether the last one had Leaving set

	mu              sync.Mutex
	leader          string // address of the leader
	memberLeaving   bool   // from the last granted renewal
	renewalGranted  bool
	onLeaveAnswered func() // called after a renewal of a leaving member was answered
}

func newFakeControl(t *testing.T, address string) *fakeControl {
	f := &fakeControl{renewalConnClosed: make(chan bool, 1)}
	mux := rpc.NewMux()
	rpc.Handle(mux, wire.MethodRenew, f.renew)
	server, err := rpc.Listen(address, rpc.Options{Mux: mux}, func(c *rpc.Conn) { c.OnClose(func(error) { f.closed() }) })
	require.NoError(t, err)
	f.server = server
	t.Cleanup(server.Close)
	return f
}

func (f *fakeControl) address() string { return f.server.Address() }

func (f *fakeControl) setLeader(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = address
}

func (f *fakeControl) renew(_ *rpc.Conn, m *wire.Renew, reply rpc.Reply) {
	f.mu.Lock()
	isLeader := f.leader == f.address()
	answer := &wire.RenewReply{Granted: isLeader, Leader: f.leader, LeaseMillis: 700}
	var onLeave func()
	if isLeader {
		f.renewalGranted, f.memberLeaving = true, m.Member.Leaving
		answer.Heads = make([]wire.Version, wire.TopicCount)
		if m.Member.Leaving {
			onLeave = f.onLeaveAnswered
		}
	}
	f.mu.Unlock()
	reply.Send(answer)
	if onLeave != nil {
		onLeave()
	}
}

func (f *fakeControl) closed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.renewalGranted && f.leader == f.address() {
		f.renewalGranted = false
		f.renewalConnClosed <- f.memberLeaving
	}
}

// TestStoppingStoreNotifiesNewLeader guards against delayed acknowledgements after a planned stop. A leader elected while the store is
// leaving would keep it in the placement for a while after it has exited, unless it is notified, and messages accepted by other stores
// would wait for its acknowledgements. The store must also keep acknowledging until the other stores have received the placement
// without it.
func TestStoppingStoreNotifiesNewLeader(t *testing.T) {
	s := newStoreSettings(t)
	s.Seeds, s.MemoryMb, s.Bounds = []string{"127.0.6.11:1"}, 64, settings.Bounds{GraceS: 6}
	first, second := newFakeControl(t, s.ControlAddress("127.0.6.11")), newFakeControl(t, s.ControlAddress("127.0.6.12"))
	first.setLeader(first.address())
	second.setLeader(first.address())
	first.onLeaveAnswered = func() {
		first.setLeader(second.address())
		second.setLeader(second.address())
	}
	ctx, stop := context.WithCancel(t.Context())
	p, err := newProcess(ctx, program.Environment{Settings: s, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	runErr := make(chan error, 1)
	go func() { runErr <- p.run(ctx) }()
	require.Eventually(t, p.agent.Leased, waitTimeout, pollEvery)
	stop()
	select {
	case leaving := <-second.renewalConnClosed:
		assert.True(t, leaving, "the new leader was notified that the store leaves")
	case <-time.After(waitTimeout):
		t.Fatal("the store did not notify the new leader")
	}
	conn, err := rpc.Dial(t.Context(), s.StorageAddress(), rpc.Options{})
	require.NoError(t, err, "the store still serves when the leader sees it disconnect")
	conn.Close()
	require.NoError(t, <-runErr)
}
