package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
	"ravendale/cluster/member"
	"ravendale/cluster/program"
	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/edge/dispatch"
	"ravendale/store/server"
	"ravendale/test/diskfolder"
)

const waitTimeout = 8 * time.Second

// rig is a small system with real stores and edges but without a control plane: the test distributes the state in place of the leader.
type rig struct {
	t       *testing.T
	log     *slog.Logger
	stores  []*rigStore
	edges   []*rigEdge
	worker  *rigWorker
	version uint64
	view    *wire.StoreView
}

type rigStore struct {
	settings *settings.Settings
	store    *server.Store
	server   *rpc.Server
	disk     string
	stopOnce sync.Once
}

type rigEdge struct {
	*edge
	stop context.CancelFunc
	done chan error
}

// rigWorker records the requests and responds with the handler set by the test.
type rigWorker struct {
	mu           sync.Mutex
	runs         []string
	bodies       map[string]string
	keys         map[string]string
	runningByKey map[string]int // concurrent runs by order key
	overlapSeen  bool
	handler      func(w http.ResponseWriter, r *http.Request, run int) bool // returns true if it has written the response
	address      string
}

func (w *rigWorker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id, key := r.Header.Get("Request-Id"), r.Header.Get("Order-Key")
	w.mu.Lock()
	w.runs = append(w.runs, id)
	w.bodies[id], w.keys[id] = string(body), key
	run := len(w.runs)
	w.runningByKey[key]++
	w.overlapSeen = w.overlapSeen || key != "" && w.runningByKey[key] > 1
	handler := w.handler
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.runningByKey[key]--
		w.mu.Unlock()
	}()
	response.Header().Set("Request-Id", id)
	if handler != nil && handler(response, r, run) {
		return
	}
	response.Header().Set("Signature", "sig-"+id)
}

func (w *rigWorker) list() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.runs...)
}

func (w *rigWorker) key(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[id]
}

func (w *rigWorker) body(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bodies[id]
}

func (w *rigWorker) overlapped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overlapSeen
}

func (w *rigWorker) setHandler(handler func(w http.ResponseWriter, r *http.Request, run int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handler = handler
}

func newRig(t *testing.T, stores, edges int) *rig {
	r := &rig{t: t, log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	r.worker = &rigWorker{bodies: make(map[string]string), keys: make(map[string]string), runningByKey: make(map[string]int)}
	server := httptest.NewServer(r.worker)
	t.Cleanup(server.Close)
	r.worker.address = server.Listener.Addr().String()
	for range stores {
		r.addStore()
	}
	for range edges {
		r.addEdge()
	}
	r.setPlacement(1, []uint16{0, 1}, []uint16{1, 2}, []uint16{2, 0}, []uint16{0, 2})
	r.distribute()
	return r
}

func (r *rig) settings(role string) *settings.Settings {
	return &settings.Settings{
		Node: role, IP: "127.0.0.1", Zone: "z1", Zones: map[string]string{"z1": "r1"}, DataDir: diskfolder.New(r.t),
		MaxFds: 1024, MemoryMb: 256, ToleratedNodes: 1, DiskMb: 64, HeartbeatMs: 1000, PortRange: []int{1, 10},
		Bounds: settings.Bounds{GraceS: 6, RateLimitWindowS: 5, OriginOvershoot: 1.1, ConvergeMs: 3000, StatusS: 120},
	}
}

func (r *rig) addStore() {
	r.stores = append(r.stores, r.startStore(r.settings("store"), "127.0.0.1:0"))
}

func (r *rig) startStore(s *settings.Settings, address string) *rigStore {
	disk, err := server.Identity(s.DataDir)
	require.NoError(r.t, err)
	mux := rpc.NewMux()
	opened, err := server.Open(server.Config{Settings: s, Disk: disk, Mux: mux, Failed: func(error) {}, Log: r.log})
	require.NoError(r.t, err)
	server, err := rpc.Listen(address, rpc.Options{Mux: mux}, func(c *rpc.Conn) {
		c.OnClose(func(error) { opened.ConnClosed(c) })
	})
	require.NoError(r.t, err)
	started := &rigStore{settings: s, store: opened, server: server, disk: disk}
	r.t.Cleanup(started.close)
	return started
}

// restartStores closes all stores and restarts them with their disks, without distributing any state to them.
func (r *rig) restartStores() {
	for _, s := range r.stores {
		s.close()
	}
	for i, s := range r.stores {
		r.stores[i] = r.startStore(s.settings, s.server.Address())
	}
}

func (s *rigStore) close() {
	s.stopOnce.Do(func() {
		s.server.Close()
		_ = s.store.Close()
	})
}

// freePort returns a port that was free at the time of the call.
func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// addEdge starts an edge. It retries with other ports, since another program may have bound a free port in the meantime.
func (r *rig) addEdge() {
	const attempts = 5
	var err error
	for range attempts {
		var added *rigEdge
		if added, err = r.startEdge(); err == nil {
			r.edges = append(r.edges, added)
			return
		}
	}
	require.NoError(r.t, err)
}

func (r *rig) startEdge() (*rigEdge, error) {
	s := r.settings("edge")
	port := freePort(r.t)
	s.PortRange = []int{port - 1, port + 1}
	s.ListenHTTP = fmt.Sprintf("127.0.0.1:%d", freePort(r.t))
	s.ListenReady = fmt.Sprintf("127.0.0.1:%d", freePort(r.t))
	e := newEdge(program.Environment{Settings: s, Log: r.log, Path: "none"})
	e.stateIsCurrent = func() bool { return true }
	ctx, cancel := context.WithCancel(context.Background())
	added := &rigEdge{edge: e, stop: cancel, done: make(chan error, 1)}
	go func() { added.done <- e.run(ctx) }()
	r.t.Cleanup(func() {
		e.queue.Close()
		e.dispatcher.Close()
	})
	for { // the edge opens the HTTP listener last
		conn, err := net.Dial("tcp4", s.ListenHTTP)
		if err == nil {
			return added, conn.Close()
		}
		select {
		case err := <-added.done:
			cancel()
			return nil, err
		case <-time.After(time.Millisecond):
		}
	}
}

func (r *rig) setPlacement(epoch uint64, partitions ...[]uint16) {
	r.view = &wire.StoreView{Epoch: epoch, Copies: 2}
	for _, s := range r.stores {
		r.view.Stores = append(r.view.Stores, wire.Store{Disk: s.disk, Address: s.server.Address(), Zone: "z1"})
	}
	for _, replicas := range partitions {
		r.view.Partitions = append(r.view.Partitions, wire.Placement{Replicas: replicas})
	}
}

// distribute passes the newest state to all processes.
func (r *rig) distribute() {
	r.version++
	members := &wire.Members{}
	for _, e := range r.edges {
		members.Edges = append(members.Edges, wire.Edge{ID: e.agentID(), Zone: "z1", Ready: true})
	}
	route := catalog.Route{Host: "a.example", Type: dispatch.DeferredType, Service: "s", TimeoutMs: 2000, TargetMs: 80, Retries: 3, RetentionS: 60}
	plain, fifo := route, route
	plain.Name, plain.PathPrefix = "plain", "/p/"
	fifo.Name, fifo.PathPrefix, fifo.Ordered = "fifo", "/f/", true
	snapshot := &member.Snapshot{
		Members: members, Stores: r.view,
		Workers: &wire.Workers{Entries: []wire.Worker{{ID: "i-1", Service: "s", Address: r.worker.address, Zone: "z1", Capacity: 8}}},
		Catalog: catalog.NewIndex(&catalog.Config{
			Version: 1, Routes: []catalog.Route{plain, fifo}, Services: []catalog.Service{{Name: "s", MaxConns: 100, Idempotent: true}},
		}),
	}
	for topic := range snapshot.Versions {
		snapshot.Versions[topic] = wire.Version{Term: 1, Sequence: r.version}
	}
	for _, s := range r.stores {
		s.store.SetEdges(members)
		s.store.SetView(r.view)
	}
	for _, e := range r.edges {
		e.apply(snapshot)
	}
}

func (e *rigEdge) agentID() string { return e.id }

func (r *rig) awaitReady(e *rigEdge) {
	r.t.Helper()
	last := ""
	deadline := time.Now().Add(waitTimeout)
	for ; time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		response, err := http.Get("http://" + e.env.Settings.ListenReady + "/v1/readyz")
		if err != nil {
			last = err.Error()
			continue
		}
		_ = response.Body.Close()
		if last = response.Status; response.StatusCode == http.StatusOK {
			return
		}
	}
	require.Fail(r.t, "edge is not ready", "%s; usable %t, connected to %d stores", last, e.usable(), len(r.stores))
}

// put retries sending a message until it is accepted, and returns its Msg-Id.
func (r *rig) put(e *rigEdge, path, id, key string, delay int) string {
	r.t.Helper()
	name := ""
	require.Eventually(r.t, func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+e.env.Settings.ListenHTTP+path, bytes.NewReader([]byte("body of "+id)))
		require.NoError(r.t, err)
		request.Host = "a.example"
		request.Header.Set("Request-Id", id)
		if key != "" {
			request.Header.Set("Order-Key", key)
		}
		if delay > 0 {
			request.Header.Set("Delay-Ms", fmt.Sprint(delay))
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		name = response.Header.Get("Msg-Id")
		return response.StatusCode == http.StatusAccepted
	}, waitTimeout, 10*time.Millisecond)
	return name
}

func (r *rig) get(e *rigEdge, path string) (int, []byte) {
	request, err := http.NewRequest(http.MethodGet, "http://"+e.env.Settings.ListenHTTP+path, nil)
	require.NoError(r.t, err)
	request.Host = "a.example"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, body
}

// awaitState waits until an edge reports the given state for a message, and returns the message's signature.
func (r *rig) awaitState(e *rigEdge, name, want string) (signature string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		status, body := r.get(e, "/v1/message/"+name)
		var answer struct{ State, Signature string }
		if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
			return false
		}
		signature = answer.Signature
		return answer.State == want
	}, waitTimeout, 5*time.Millisecond)
	return signature
}

func TestAcceptDeliverAndReport(t *testing.T) {
	r := newRig(t, 3, 2)
	one, two := r.edges[0], r.edges[1]
	r.awaitReady(one)
	r.awaitReady(two)
	names := make(map[string]string)
	for i := range 20 {
		id := fmt.Sprintf("m%d", i)
		names[id] = r.put(r.edges[i%2], "/p/x?"+id, id, "", 0)
	}
	for id, name := range names {
		assert.Equal(t, "sig-"+id, r.awaitState(two, name, "done"))
		assert.Equal(t, "body of "+id, r.worker.body(id))
	}
	assert.Len(t, r.worker.list(), 20)
	status, _ := r.get(one, "/v1/message/0.none")
	assert.Equal(t, http.StatusNotFound, status)
	late := r.put(one, "/p/x", "late", "", 60000)
	r.awaitState(two, late, "pending")
	status, body := r.get(two, "/v1/message-body/"+late)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "body of late", string(body))
}

func TestOrderedDeliveryAcrossEdgesAndFailures(t *testing.T) {
	r := newRig(t, 3, 2)
	r.worker.setHandler(func(w http.ResponseWriter, _ *http.Request, run int) bool {
		time.Sleep(2 * time.Millisecond)
		switch run % 5 {
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
		case 3:
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			return false
		}
		return true
	})
	r.awaitReady(r.edges[0])
	r.awaitReady(r.edges[1])
	var names, ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprintf("m%d", i))
		names = append(names, r.put(r.edges[i%2], "/f/x", ids[i], "key", 0))
	}
	for i := range names {
		r.awaitState(r.edges[0], names[i], "done")
	}
	assert.False(t, r.worker.overlapped())
	seen := map[string]bool{}
	var firstRuns []string
	for _, id := range r.worker.list() {
		if !seen[id] {
			firstRuns = append(firstRuns, id)
		}
		seen[id] = true
	}
	assert.Equal(t, ids, firstRuns)
}

// blockWorkerOnMessage sends a message and waits until the worker has received it. The worker blocks until release is called, at the
// latest at the end of the test.
func (r *rig) blockWorkerOnMessage(target *rigEdge) (name string, release func()) {
	released := make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	r.t.Cleanup(release) // a blocked worker would prevent its server from closing if the test fails earlier
	r.worker.setHandler(func(http.ResponseWriter, *http.Request, int) bool {
		<-released
		return false
	})
	name = r.put(target, "/p/x", "running", "", 0)
	require.Eventually(r.t, func() bool { return len(r.worker.list()) == 1 }, waitTimeout, time.Millisecond)
	return name, release
}

func TestPlannedStop(t *testing.T) {
	r := newRig(t, 3, 2)
	one, two := r.edges[0], r.edges[1]
	r.awaitReady(one)
	r.awaitReady(two)
	running, release := r.blockWorkerOnMessage(one)
	delayed := r.put(one, "/p/x", "delayed", "", 1500)
	stopStarted := time.Now()
	one.stop()
	time.Sleep(100 * time.Millisecond)
	acceptedWhileStopping := r.put(one, "/p/x", "accepted while stopping", "", 0)
	release()
	require.NoError(t, <-one.done)
	assert.Less(t, time.Since(stopStarted), 6*time.Second)
	for _, name := range []string{running, delayed, acceptedWhileStopping} {
		r.awaitState(two, name, "done")
	}
	assert.Len(t, r.worker.list(), 3, "each message ran once")
}

func TestRedeliveryAfterEdgeFailure(t *testing.T) {
	r := newRig(t, 3, 2)
	one, two := r.edges[0], r.edges[1]
	r.awaitReady(one)
	r.awaitReady(two)
	name := r.put(one, "/p/x", "orphan", "", 300)
	one.dispatcher.Close()
	one.queue.Close()
	r.edges = r.edges[1:]
	r.distribute()
	assert.Equal(t, "sig-orphan", r.awaitState(two, name, "done"))
}

func TestNoMessageLostAfterStoreFailure(t *testing.T) {
	r := newRig(t, 3, 1)
	one := r.edges[0]
	r.awaitReady(one)
	names := make(map[string]string)
	for i := range 8 {
		id := fmt.Sprintf("m%d", i)
		names[id] = r.put(one, "/f/x", id, fmt.Sprint("key", i), 700)
	}
	r.stores[0].close()
	r.setPlacement(2, []uint16{1, 2}, []uint16{1, 2}, []uint16{2, 1}, []uint16{2, 1})
	r.distribute()
	for i := range 4 {
		id := fmt.Sprintf("after%d", i)
		names[id] = r.put(one, "/p/x", id, "", 0)
	}
	for id, name := range names {
		assert.Equal(t, "sig-"+id, r.awaitState(one, name, "done"))
	}
	assert.Len(t, r.worker.list(), len(names))
}
