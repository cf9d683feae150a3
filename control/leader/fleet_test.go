package leader

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/member"
	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/discovery"
	"ravendale/control/state"
)

// fleet is a group of control processes that share one state machine, and of members. All run in the test's process.
type fleet struct {
	t       *testing.T
	machine *state.Machine
	log     *slog.Logger

	mu       sync.Mutex
	controls []*control
	leads    string        // address of the leader; empty: none is known
	workers  *wire.Workers // the platform's list
	refuse   error         // returned by submit unless it is nil
}

type control struct {
	address string
	service *Service
	server  *rpc.Server
	open    atomic.Int32 // open connections
	stop    context.CancelFunc
	done    chan struct{}
}

type process struct {
	*member.Agent
	self   wire.Member
	server *rpc.Server
	stop   context.CancelFunc
	done   chan struct{}
	status atomic.Pointer[wire.StoreStatus]
	shrunk atomic.Int32 // largest number of members by which a list was shorter than an earlier one
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newFleet(t *testing.T, controls int) *fleet {
	f := &fleet{t: t, machine: state.NewMachine(), log: slog.New(slog.NewTextHandler(io.Discard, nil)), workers: &wire.Workers{}}
	for range controls {
		f.addControl()
	}
	return f
}

func (f *fleet) addControl() {
	address := freeAddress(f.t)
	_, port, _ := net.SplitHostPort(address)
	first, _ := strconv.Atoi(port)
	mux := rpc.NewMux()
	c := &control{address: address}
	c.service = NewService(Config{
		Settings: &settings.Settings{
			IP: "127.0.0.1", PortRange: []int{first, first + 2}, HeartbeatMs: heartbeat, ToleratedNodes: 1, ProviderRate: 100,
			Bounds: settings.Bounds{DrainMs: 300},
		},
		Mux: mux, Submit: f.submit, State: f.machine.Current, Leader: f.leader, Core: f.core, Log: f.log, Read: f.read,
	})
	server, err := rpc.Listen(address, rpc.Options{Mux: mux}, func(conn *rpc.Conn) {
		c.open.Add(1)
		conn.OnClose(func(error) { c.open.Add(-1) })
	})
	require.NoError(f.t, err)
	f.t.Cleanup(server.Close)
	c.server = server
	f.controls = append(f.controls, c)
}

func (f *fleet) submit(_ context.Context, command []byte) ([]byte, error) {
	f.mu.Lock()
	refuse := f.refuse
	f.mu.Unlock()
	if refuse != nil {
		return nil, refuse
	}
	result := f.machine.Apply(command)
	for _, c := range f.controls {
		c.service.Changed()
	}
	return result, nil
}

func (f *fleet) leader() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads, f.leads != ""
}

func (f *fleet) core() []string {
	var addresses []string
	for _, c := range f.controls {
		addresses = append(addresses, c.address)
	}
	return addresses
}

func (f *fleet) read(context.Context, time.Duration) (*wire.Workers, int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return discovery.Sort(f.workers.Entries), 1, nil
}

func (f *fleet) setWorkers(ids ...string) {
	workers := &wire.Workers{}
	for _, id := range ids {
		workers.Entries = append(workers.Entries, wire.Worker{ID: id, Service: "s", Address: id + ":80"})
	}
	f.mu.Lock()
	f.workers = workers
	f.mu.Unlock()
}

func (f *fleet) configure(body string, base uint64) {
	encoded, err := state.Encode(&state.Set{Base: base, Body: []byte(body)})
	require.NoError(f.t, err)
	answer, err := f.submit(context.Background(), encoded)
	require.NoError(f.t, err)
	result, err := state.DecodeResult(answer)
	require.NoError(f.t, err)
	require.True(f.t, result.Applied(), "%v", result.Findings)
}

// lead makes a control process lead until the test ends or depose is called.
func (f *fleet) lead(c *control) {
	f.leadWhile(c, func() bool { return true })
}

func (c *control) depose() {
	c.stop()
	<-c.done
}

// startMember starts a member as a process of its own would.
func (f *fleet) startMember(self wire.Member) *process {
	f.t.Helper()
	if self.Storage {
		self.Disk = "disk-" + self.Node
	}
	self.ID = self.Node + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	if self.Address == "" {
		self.Address = freeAddress(f.t)
	}
	p := &process{self: self, done: make(chan struct{})}
	mux := rpc.NewMux()
	shared := f.controls[0].service.config.Settings
	own := *shared
	own.Seeds = []string{"127.0.0.1:1"}
	config := member.Config{Settings: &own, Self: self, Mux: mux, Log: f.log}
	if self.Storage {
		p.status.Store(&wire.StoreStatus{})
		config.Status = func() wire.StoreStatus { return *p.status.Load() }
	}
	p.Agent = member.New(config)
	longest := 0
	p.OnChange(func(topic wire.Topic, s *member.Snapshot) {
		if topic == wire.TopicMembers {
			longest = max(longest, len(s.Members.Edges))
			p.shrunk.Store(max(p.shrunk.Load(), int32(longest-len(s.Members.Edges))))
		}
	})
	server, err := rpc.Listen(self.Address, rpc.Options{Mux: mux}, nil)
	require.NoError(f.t, err)
	p.server = server
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go func() {
		defer close(p.done)
		p.Run(ctx)
	}()
	f.t.Cleanup(p.kill)
	return p
}

func (p *process) kill() {
	p.server.Close()
	p.stop()
	<-p.done
}

// startEdges starts the given number of edges in each zone.
func (f *fleet) startEdges(zones, perZone int) []*process {
	var edges []*process
	for z := range zones {
		for i := range perZone {
			edges = append(edges, f.startMember(wire.Member{Node: fmt.Sprintf("e-%d-%02d", z, i), Zone: fmt.Sprintf("z%d", z), Edge: true}))
		}
	}
	return edges
}

// startStores starts one store in each zone.
func (f *fleet) startStores(zones int) []*process {
	var stores []*process
	for z := range zones {
		stores = append(stores, f.startMember(wire.Member{Node: fmt.Sprintf("s-%d", z), Zone: fmt.Sprintf("z%d", z), Storage: true}))
	}
	return stores
}

func (f *fleet) eventually(message string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, timeout, pollInterval, message)
}

// all returns a condition that is true once holds is true for each process.
func all(processes []*process, holds func(*process) bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(processes, func(p *process) bool { return !holds(p) })
	}
}

func hasMembers(count int) func(*process) bool {
	return func(p *process) bool {
		members := p.Snapshot().Members
		return members != nil && len(members.Edges) == count && p.Current() && p.Leased()
	}
}

func hasWorkers(ids ...string) func(*process) bool {
	return func(p *process) bool {
		workers := p.Snapshot().Workers
		if workers == nil || len(workers.Entries) != len(ids) {
			return false
		}
		for i := range ids {
			if workers.Entries[i].ID != ids[i] {
				return false
			}
		}
		return true
	}
}
