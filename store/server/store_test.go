package server

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/store/journal"
	"ravendale/store/queue"
	"ravendale/test/diskfolder"
)

func TestIdentityIsDurableAndTornIdentityIsReplaced(t *testing.T) {
	dir := filepath.Join(diskfolder.New(t), "data")
	first, err := Identity(dir)
	require.NoError(t, err)
	again, err := Identity(dir)
	require.NoError(t, err)
	assert.Equal(t, first, again)
	require.NoError(t, os.WriteFile(filepath.Join(dir, identityFile), []byte(first[:5]), 0o644))
	other, err := Identity(dir)
	require.NoError(t, err)
	assert.NotEqual(t, first, other)
	assert.True(t, validIdentity(other))
}

// node is a store that listens on loopback.
type node struct {
	store  *Store
	server *rpc.Server
	disk   string
}

func startNode(t *testing.T, dir, address string) *node {
	t.Helper()
	return startNodeWith(t, address, &settings.Settings{DataDir: dir, DiskMb: 64, MemoryMb: 64, ToleratedNodes: 1, Zone: "z"})
}

// startNodeWith starts a store with the given settings.
func startNodeWith(t *testing.T, address string, s *settings.Settings) *node {
	t.Helper()
	n := &node{}
	var err error
	n.disk, err = Identity(s.DataDir)
	require.NoError(t, err)
	mux := rpc.NewMux()
	n.store, err = Open(Config{
		Settings: s, Disk: n.disk, Mux: mux, Failed: func(err error) { t.Error(err) },
	})
	require.NoError(t, err)
	n.server, err = rpc.Listen(address, rpc.Options{Mux: mux}, func(c *rpc.Conn) {
		c.OnClose(func(error) { n.store.ConnClosed(c) })
	})
	require.NoError(t, err)
	return n
}

func (n *node) stop(t *testing.T) {
	t.Helper()
	n.server.Close()
	require.NoError(t, n.store.Close())
}

func view(epoch uint64, nodes ...*node) *wire.StoreView {
	v := &wire.StoreView{Epoch: epoch, Copies: 2, Partitions: []wire.Placement{{Replicas: []uint16{0, 1}}}}
	for _, n := range nodes {
		v.Stores = append(v.Stores, wire.Store{Disk: n.disk, Address: n.server.Address()})
	}
	return v
}

// edge is an edge's connection to a store, with the grants that it receives.
type edge struct {
	conn   *rpc.Conn
	grants chan *wire.Grant
}

func attach(t *testing.T, n *node, id string, epoch uint64) *edge {
	t.Helper()
	e := &edge{grants: make(chan *wire.Grant, 100)}
	mux := rpc.NewMux()
	rpc.Handle(mux, wire.MethodGrant, func(_ *rpc.Conn, g *wire.Grant, _ rpc.Reply) { e.grants <- g })
	var err error
	e.conn, err = rpc.Dial(t.Context(), n.server.Address(), rpc.Options{Mux: mux})
	require.NoError(t, err)
	require.NoError(t, e.conn.Call(t.Context(), wire.MethodAttach, &wire.Attach{Edge: id, Zone: "z"}, &wire.AttachReply{}))
	reply := &wire.ClaimReply{}
	require.NoError(t, e.conn.Call(t.Context(), wire.MethodClaim, &wire.Claim{Epoch: epoch}, reply))
	require.Equal(t, wire.PutAccepted, reply.Code)
	return e
}

func (e *edge) put(t *testing.T, epoch uint64, id string) *wire.PutReply {
	t.Helper()
	reply := &wire.PutReply{}
	message := wire.Message{ID: id, Key: "k", Ordered: true, Body: []byte("body"), RetentionMs: 60_000, SentUnixMs: time.Now().UnixMilli()}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.NoError(t, e.conn.Call(ctx, wire.MethodPut, &wire.Put{Epoch: epoch, Message: message, Dispatch: true}, reply))
	return reply
}

func (e *edge) await(t *testing.T) *wire.Grant {
	t.Helper()
	select {
	case g := <-e.grants:
		return g
	case <-time.After(5 * time.Second):
		require.Fail(t, "no grant")
		return nil
	}
}

// find asks a store for the state of a message.
func find(t *testing.T, n *node, id string) *wire.FindReply {
	t.Helper()
	c, err := rpc.Dial(t.Context(), n.server.Address(), rpc.Options{})
	require.NoError(t, err)
	defer c.Close()
	found := &wire.FindReply{}
	require.NoError(t, c.Call(t.Context(), wire.MethodFind, &wire.Find{ID: id}, found))
	return found
}

// TestReplicationFailoverAndRestart puts messages into two replicas, stops the primary, lets another edge and a third
// store join, and restarts the stores.
func TestReplicationFailoverAndRestart(t *testing.T) {
	dirs := []string{diskfolder.New(t), diskfolder.New(t), diskfolder.New(t)}
	nodes := make([]*node, 3)
	for i, dir := range dirs {
		nodes[i] = startNode(t, dir, "127.0.0.1:0")
	}
	first := view(1, nodes...)
	for _, n := range nodes {
		n.store.SetEdges(&wire.Members{Edges: []wire.Edge{{ID: "e"}}})
		n.store.SetView(first)
	}
	e := attach(t, nodes[0], "e", 1)
	put := e.put(t, 1, "0.1")
	assert.Equal(t, wire.PutAccepted, put.Code)
	if !put.Granted { // the stores were not connected to each other yet
		assert.Equal(t, "0.1", e.await(t).ID)
	}
	put = e.put(t, 1, "0.2")
	assert.Equal(t, wire.PutAccepted, put.Code)
	assert.False(t, put.Granted)
	report := &wire.ReportReply{}
	done := &wire.Report{Epoch: 1, ID: "0.1", Kind: wire.ReportDone, Signature: "s"}
	require.NoError(t, e.conn.Call(t.Context(), wire.MethodReport, done, report))
	assert.Equal(t, wire.PutAccepted, report.Code)
	assert.Equal(t, "0.2", e.await(t).ID)

	nodes[0].stop(t) // the primary stops; the other replica takes over, and a third store joins
	second := view(2, nodes...)
	second.Partitions[0] = wire.Placement{Replicas: []uint16{1}, Joining: []uint16{2}}
	nodes[1].store.SetView(second)
	nodes[2].store.SetView(second)
	assert.Eventually(t, func() bool { return len(nodes[2].store.Status().Synced) == 1 }, 5*time.Second, 5*time.Millisecond)
	f := attach(t, nodes[1], "f", 2)
	grant := f.await(t)
	assert.True(t, grant.HasMessage)
	assert.Equal(t, "0.2", grant.Message.ID)
	assert.Equal(t, "body", string(grant.Message.Body))
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDone, Signature: "s"}, find(t, nodes[1], "0.1"))

	address := nodes[1].server.Address() // the new primary restarts with its disk
	nodes[1].stop(t)
	nodes[1] = startNode(t, dirs[1], address)
	assert.EqualValues(t, 2, nodes[1].store.Status().Messages)
	assert.EqualValues(t, 1, nodes[1].store.Status().Pending)
	nodes[1].stop(t)
	nodes[2].stop(t)
}

// BenchmarkPut puts messages into two stores in this process, over loopback and with real syncs.
func BenchmarkPut(b *testing.B) {
	t := &testing.T{}
	nodes := []*node{startNode(t, b.TempDir(), "127.0.0.1:0"), startNode(t, b.TempDir(), "127.0.0.1:0")}
	v := view(1, nodes...)
	for _, n := range nodes {
		n.store.SetView(v)
	}
	c, err := rpc.Dial(b.Context(), nodes[0].server.Address(), rpc.Options{})
	require.NoError(b, err)
	time.Sleep(200 * time.Millisecond) // the stores connect
	body := make([]byte, 1000)
	var group sync.WaitGroup
	slots := make(chan struct{}, 50)
	b.ReportAllocs()
	for i := range b.N {
		slots <- struct{}{}
		group.Add(1)
		put := &wire.Put{Epoch: 1, Message: wire.Message{ID: fmt.Sprintf("0.%d", i), Body: body, RetentionMs: 60_000}}
		c.Start(wire.MethodPut, put, func([]byte, error) {
			<-slots
			group.Done()
		})
	}
	group.Wait()
	c.Close()
	for _, n := range nodes {
		n.server.Close()
		_ = n.store.Close()
	}
}

// A disk with damage in an old segment is opened as an empty one with a new identity, which it keeps when it is opened
// again.
func TestDamagedDiskIsReplacedByEmptyOne(t *testing.T) {
	dir := diskfolder.New(t)
	damaged, err := Identity(dir)
	require.NoError(t, err)
	damagedJournal, err := journal.Open(filepath.Join(dir, journalFolder), journal.Options{SegmentBytes: 500_000},
		func(journal.Location, []byte) error { return nil })
	require.NoError(t, err)
	for i := range 12 {
		record := queue.Record{ID: fmt.Sprintf("0.%d", i), Sequence: uint64(i), Message: wire.Message{Body: make([]byte, 200_000)}}
		payload, err := record.MarshalMsg(nil)
		require.NoError(t, err)
		damagedJournal.Append(payload)
	}
	require.NoError(t, damagedJournal.Close())
	segments, err := filepath.Glob(filepath.Join(dir, journalFolder, "*"))
	require.NoError(t, err)
	require.Greater(t, len(segments), 1)
	file, err := os.OpenFile(segments[0], os.O_RDWR, 0)
	require.NoError(t, err)
	_, err = file.WriteAt([]byte("damage"), 1000)
	require.NoError(t, err)
	require.NoError(t, file.Close())

	config := Config{Settings: &settings.Settings{DataDir: dir, DiskMb: 8, MemoryMb: 64, ToleratedNodes: 0}, Failed: func(err error) { t.Error(err) }}
	var disks []string
	for range 2 {
		config.Mux = rpc.NewMux()
		s, disk, err := OpenDisk(t.Context(), config)
		require.NoError(t, err)
		assert.Zero(t, s.Status().Messages)
		require.NoError(t, s.Close())
		disks = append(disks, disk)
	}
	assert.NotEqual(t, damaged, disks[0])
	assert.Equal(t, disks[0], disks[1])
	quarantined := quarantinedBytes(dir)
	assert.Positive(t, quarantined)
	assert.LessOrEqual(t, quarantined, int64(1<<20))
}

func TestTrimFolderKeepsNewestFiles(t *testing.T) {
	dir := diskfolder.New(t)
	for _, name := range []string{"1", "2", "3"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), make([]byte, 100), 0o644))
	}
	require.NoError(t, trimFolder(dir, 250))
	remaining, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	assert.Equal(t, []string{filepath.Join(dir, "2"), filepath.Join(dir, "3")}, remaining)
}
