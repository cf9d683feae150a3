package leader

import (
	"context"
	"errors"
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
	"ravendale/control/placement"
	"ravendale/control/state"
)

const (
	heartbeat = 300 // ms
	soon      = 8 * time.Second
	often     = 5 * time.Millisecond
	document  = `{"version":1,"routes":[],"backends":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
)

// fleet is control processes that share one state machine, and members that are processes of their own but for their memory.
type fleet struct {
	t       *testing.T
	machine *state.Machine
	log     *slog.Logger

	mu       sync.Mutex
	controls []*control
	leads    string // address
	workers  *wire.Workers
	refuse   error // of Submit
}

type control struct {
	address string
	service *Service
	server  *rpc.Server
	open    atomic.Int32 // connections
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
	shrunk atomic.Int32 // most members that were missing after they had been listed
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
			IP: "127.0.0.1", PortRange: []int{first, first + 2}, HeartbeatMs: heartbeat, LostNodes: 1, ProviderRate: 100,
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
	require.True(f.t, result.Taken(), "%v", result.Findings)
}

// lead has a control process lead until the test ends or it is stopped.
func (f *fleet) lead(c *control) {
	f.leadWhile(c, func() bool { return true })
}

func (c *control) depose() {
	c.stop()
	<-c.done
}

func (f *fleet) member(self wire.Member) *process {
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
	seeds := f.controls[0].service.config.Settings
	own := *seeds
	own.Seeds = []string{"127.0.0.1:1"}
	config := member.Config{Settings: &own, Self: self, Mux: mux, Log: f.log}
	if self.Storage {
		p.status.Store(&wire.StoreStatus{})
		config.Status = func() wire.StoreStatus { return *p.status.Load() }
	}
	p.Agent = member.New(config)
	most := 0
	p.OnChange(func(topic wire.Topic, s *member.Snapshot) {
		if topic == wire.TopicMembers {
			most = max(most, len(s.Members.Edges))
			p.shrunk.Store(max(p.shrunk.Load(), int32(most-len(s.Members.Edges))))
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

func (f *fleet) edges(zones, each int) []*process {
	var edges []*process
	for z := range zones {
		for i := range each {
			edges = append(edges, f.member(wire.Member{Node: fmt.Sprintf("e-%d-%02d", z, i), Zone: fmt.Sprintf("z%d", z), Edge: true}))
		}
	}
	return edges
}

func (f *fleet) stores(zones int) []*process {
	var stores []*process
	for z := range zones {
		stores = append(stores, f.member(wire.Member{Node: fmt.Sprintf("s-%d", z), Zone: fmt.Sprintf("z%d", z), Storage: true}))
	}
	return stores
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, soon, often, what)
}

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

func TestAChangeReachesThirtyMembersThroughTheTree(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(document, 0)
	f.setWorkers("a")
	f.lead(f.controls[0])
	edges := f.edges(3, 10)
	f.eventually("all are members", all(edges, hasMembers(30)))
	f.eventually("all have the workers", all(edges, hasWorkers("a")))
	f.eventually("all have the configuration", all(edges, func(p *process) bool { return p.Snapshot().Catalog != nil }))
	f.eventually("the leader feeds the zones' first only", func() bool { return f.controls[0].open.Load() == 30+3 })

	f.setWorkers("a", "b")
	f.eventually("all have the change", all(edges, hasWorkers("a", "b")))

	edges[0].kill() // it fed the rest of its zone
	rest := edges[1:]
	f.setWorkers("a", "b", "c")
	f.eventually("the change goes round it", all(rest, hasWorkers("a", "b", "c")))
	f.eventually("it is no member any more", all(rest, hasMembers(29)))
}

func TestANewLeaderKeepsWhatMembersKnow(t *testing.T) {
	f := newFleet(t, 2)
	f.setWorkers("a")
	f.lead(f.controls[0])
	edges := f.edges(2, 3)
	f.eventually("all are members", all(edges, hasMembers(6)))
	f.eventually("all have the workers", all(edges, hasWorkers("a")))
	before := edges[0].Snapshot().Versions[wire.TopicMembers].Term

	f.controls[0].depose()
	f.lead(f.controls[1])
	f.setWorkers("a", "b")
	f.eventually("the new leader is heard", all(edges, hasWorkers("a", "b")))
	f.eventually("and lists the members", all(edges, func(p *process) bool {
		return p.Snapshot().Versions[wire.TopicMembers].Term > before && hasMembers(6)(p)
	}))
	for _, p := range edges {
		require.Zero(t, p.shrunk.Load(), "nobody was missing in between")
	}
	late := f.member(wire.Member{Node: "late", Zone: "z0", Edge: true})
	f.eventually("one more joins", all([]*process{late}, hasMembers(7)))
}

// TestALeaderOfARestartedSystemCountsAllSchedulers has all processes end, and some come back.
func TestALeaderOfARestartedSystemCountsAllSchedulers(t *testing.T) {
	f := newFleet(t, 2)
	f.setWorkers("a")
	f.lead(f.controls[0])
	edges := f.edges(2, 3)
	f.eventually("all are members", all(edges, hasMembers(6)))
	f.eventually("they are kept", func() bool { return len(f.machine.Current().Edges) == 6 })
	f.controls[0].depose()
	for _, p := range edges {
		p.kill()
	}
	began := time.Now()
	f.lead(f.controls[1])
	var back []*process
	for _, p := range edges[:4] {
		back = append(back, f.member(wire.Member{Node: p.self.Node, Zone: p.self.Zone, Address: p.self.Address, Edge: true}))
	}
	f.eventually("those who are back have a list", all(back, func(p *process) bool { return p.Current() }))
	require.Less(t, time.Since(began), membersFirst, "at once")
	for _, p := range back {
		require.Len(t, p.Snapshot().Members.Edges, 6, "that counts the others too")
	}
	f.eventually("who does not come is dropped", all(back, hasMembers(4)))
	for _, p := range back {
		require.EqualValues(t, 2, p.shrunk.Load())
	}
	f.eventually("and no longer kept", func() bool { return len(f.machine.Current().Edges) == 4 })
}

func (f *fleet) view() *wire.StoreView { return f.machine.Current().Placement }

// fill has the stores say that they hold all that they are joining.
func fill(f *fleet, stores []*process) {
	view := f.view()
	for _, s := range stores {
		status := wire.StoreStatus{Epoch: view.Epoch}
		for p, place := range view.Partitions {
			for _, j := range place.Joining {
				if view.Stores[j].Disk == s.self.Disk {
					status.Synced = append(status.Synced, uint16(p))
				}
			}
		}
		s.status.Store(&status)
		s.RenewNow()
	}
}

func whole(view *wire.StoreView, without string) bool {
	if view == nil {
		return false
	}
	for _, place := range view.Partitions {
		if len(place.Replicas) != 2 || len(place.Joining) > 0 {
			return false
		}
		for _, i := range place.Replicas {
			if view.Stores[i].Node == without {
				return false
			}
		}
	}
	return true
}

func (f *fleet) filled(stores []*process, without string) {
	f.t.Helper()
	f.eventually("all copies are made", func() bool {
		fill(f, stores)
		return whole(f.view(), without)
	})
}

func TestTheQueueIsPlacedAndALostStoreReplaced(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	stores := f.stores(3)
	f.eventually("it is placed", func() bool { return whole(f.view(), "") })
	require.Len(t, f.view().Stores, 3)
	f.eventually("the stores know", all(stores, func(p *process) bool { return p.Snapshot().Stores != nil && p.Current() }))
	time.Sleep(storeReconnectTimeout) // a leader that has just begun takes nobody for lost

	stores[0].kill()
	started := time.Now()
	f.eventually("it is taken out", func() bool { return !holdsAny(f.view(), "s-0") })
	require.Less(t, time.Since(started), time.Second)
	f.filled(stores[1:], "s-0")

	back := f.member(wire.Member{Node: "s-0", Zone: "z0", Storage: true, Address: stores[0].self.Address})
	f.eventually("it has a part again", func() bool {
		fill(f, append(stores[1:], back))
		return holdsAny(f.view(), "s-0")
	})
	f.filled(append(stores[1:], back), "")
}

func holdsAny(view *wire.StoreView, node string) bool {
	for i, s := range view.Stores {
		if s.Node == node && placement.Holds(view, i) {
			return true
		}
	}
	return false
}

func TestAStoreIsRetired(t *testing.T) {
	f := newFleet(t, 1)
	service := f.controls[0].service
	require.ErrorIs(t, service.StartRetire(t.Context(), "s-0"), ErrNotLeading)
	f.lead(f.controls[0])
	stores := f.stores(3)
	f.eventually("it is placed", func() bool { return whole(f.view(), "") })
	require.ErrorIs(t, service.StartRetire(t.Context(), "nobody"), ErrUnknownNode)
	_, err := service.RetireState(t.Context(), "nobody")
	require.ErrorIs(t, err, ErrUnknownNode)

	require.NoError(t, service.StartRetire(t.Context(), "s-0"))
	require.NoError(t, service.StartRetire(t.Context(), "s-0"), "the order may be repeated")
	done, err := service.RetireState(t.Context(), "s-0")
	require.NoError(t, err)
	require.False(t, done)
	f.filled(stores, "s-0")
	done, err = service.RetireState(t.Context(), "s-0")
	require.NoError(t, err)
	require.True(t, done)
	require.ErrorIs(t, service.StartRetire(t.Context(), "s-1"), ErrTooFew)
}

// The order outlives the leader that took it, and all that the processes keep in memory.
func TestARetirementOutlivesItsLeader(t *testing.T) {
	f := newFleet(t, 2)
	f.lead(f.controls[0])
	stores := f.stores(3)
	f.eventually("it is placed", func() bool { return whole(f.view(), "") })
	require.NoError(t, f.controls[0].service.StartRetire(t.Context(), "s-0"))
	f.controls[0].depose()
	again := f.controls[1].service
	f.lead(f.controls[1])
	f.eventually("the next one takes the order again", func() bool { return again.StartRetire(t.Context(), "s-0") == nil })
	f.filled(stores, "s-0")
	f.eventually("it is done", func() bool {
		done, err := f.controls[0].service.RetireState(t.Context(), "s-0")
		return err == nil && done
	})
	restored := state.NewMachine()
	require.NoError(t, restored.Restore(f.machine.Snapshot()))
	_, retiring, done := placement.Retirement(restored.Current().Placement, "s-0")
	require.True(t, retiring && done)
	require.NoError(t, again.StartRetire(t.Context(), "s-0"), "after its end, too")
}

// A process that is cut off from the others says nothing: at the word that a store is empty its disk is thrown away.
func TestAProcessThatIsCutOffDoesNotSayThatAStoreIsEmpty(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	stores := f.stores(3)
	f.eventually("it is placed", func() bool { return whole(f.view(), "") })
	service := f.controls[0].service
	require.NoError(t, service.StartRetire(t.Context(), "s-0"))
	f.filled(stores, "s-0")
	f.mu.Lock()
	f.refuse = errors.New("cut off")
	f.mu.Unlock()
	_, err := service.RetireState(t.Context(), "s-0")
	require.ErrorIs(t, err, ErrNotLeading)
}

func TestAnOrderToRetireIsPassedOnToTheLeader(t *testing.T) {
	f := newFleet(t, 2)
	f.lead(f.controls[0])
	f.stores(3)
	f.eventually("it is placed", func() bool { return whole(f.view(), "") })
	other := f.controls[1].service
	require.ErrorIs(t, other.StartRetire(t.Context(), "nobody"), ErrUnknownNode)
	require.NoError(t, other.StartRetire(t.Context(), "s-1"))
	require.True(t, f.view().Stores[1].Retiring)
	require.ErrorIs(t, other.StartRetire(t.Context(), "s-2"), ErrTooFew)
	f.controls[0].depose()
	require.ErrorIs(t, other.StartRetire(t.Context(), "s-1"), ErrNotLeading)
}

func TestALeavingStoreHandsItsPrimariesOver(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	stores := f.stores(3)
	f.eventually("it is placed", func() bool { return whole(f.view(), "") })
	ctx, cancel := context.WithTimeout(t.Context(), soon)
	defer cancel()
	stores[0].Leave(ctx)
	require.NoError(t, ctx.Err())
	f.eventually("others are primaries", func() bool {
		view := f.view()
		return !slices.ContainsFunc(view.Partitions, func(p wire.Placement) bool { return view.Stores[p.Replicas[0]].Node == "s-0" })
	})
}

func TestPlacementsThatFailAreTriedAgain(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	f.eventually("it leads", func() bool { return f.controls[0].service.leading() != nil })
	f.mu.Lock()
	f.refuse = context.DeadlineExceeded
	f.mu.Unlock()
	f.stores(3)
	time.Sleep(bootstrapQuiet + 300*time.Millisecond)
	require.Nil(t, f.view())
	f.mu.Lock()
	f.refuse = nil
	f.mu.Unlock()
	f.eventually("it is placed", func() bool { return whole(f.view(), "") })
}
