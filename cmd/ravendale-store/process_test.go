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

// fakeControl is a control process that leads as the test says.
type fakeControl struct {
	server *rpc.Server
	gone   chan bool // once a connection over which a renewal was granted has ended: whether the last one said that the member leaves

	mu      sync.Mutex
	leader  string // address of who leads
	leaving bool   // as the last granted renewal said
	granted bool
	onLeave func() // called when a member that leaves was told so
}

func newFakeControl(t *testing.T, address string) *fakeControl {
	f := &fakeControl{gone: make(chan bool, 1)}
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
	leads := f.leader == f.address()
	answer := &wire.RenewReply{Granted: leads, Leader: f.leader, LeaseMillis: 700}
	var onLeave func()
	if leads {
		f.granted, f.leaving = true, m.Member.Leaving
		answer.Heads = make([]wire.Version, wire.TopicCount)
		if m.Member.Leaving {
			onLeave = f.onLeave
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
	if f.granted && f.leader == f.address() {
		f.granted = false
		f.gone <- f.leaving
	}
}

// A leader that took over while the store was leaving would count on it for a while after it has gone, if nobody told it: what other stores
// accept would wait for its acknowledgements. And until the others know the placement without it, it has to go on acknowledging.
func TestAStoreThatStopsTellsTheLeaderOfNow(t *testing.T) {
	s := settingsOfStore(t)
	s.Seeds, s.MemoryMb, s.Bounds = []string{"127.0.6.11:1"}, 64, settings.Bounds{GraceS: 6}
	first, second := newFakeControl(t, s.ControlAddress("127.0.6.11")), newFakeControl(t, s.ControlAddress("127.0.6.12"))
	first.setLeader(first.address())
	second.setLeader(first.address())
	first.onLeave = func() {
		first.setLeader(second.address())
		second.setLeader(second.address())
	}
	ctx, stop := context.WithCancel(t.Context())
	p, err := newProcess(ctx, program.Environment{Settings: s, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- p.run(ctx) }()
	require.Eventually(t, p.agent.Leased, soon, often)
	stop()
	select {
	case knew := <-second.gone:
		assert.True(t, knew, "the leader of now knows that the store leaves")
	case <-time.After(soon):
		t.Fatal("the store never told the second leader")
	}
	conn, err := rpc.Dial(t.Context(), s.StorageAddress(), rpc.Options{})
	require.NoError(t, err, "it still serves when the leader sees it go")
	conn.Close()
	require.NoError(t, <-ended)
}
