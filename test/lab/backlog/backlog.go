package backlog

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/store/server"
)

// Parameters that have no influence on the measurements.
const (
	listenAt       = "127.0.0.1:0"
	partitions     = 64
	maxUnconfirmed = 2000 // puts sent and not yet acknowledged
	retention      = 24 * time.Hour
	retries        = 4
	unlimitedMb    = 1 << 20 // large enough that no limit on memory or disk is reached
)

// ErrRefused is returned if the store rejects a message.
var ErrRefused = errors.New("backlog: store rejected a message")

// Config configures a run.
type Config struct {
	Dir      string // an empty folder
	Messages int
	Body     int // bytes of a message's body
}

// Result holds the measurements of a run. Times and bytes are totals over all messages.
type Result struct {
	Messages, Body int
	Filled         time.Duration // time until all puts were acknowledged, each after a sync to disk
	FilledCPU      time.Duration // processor time of the store and of the sender
	Heap           int64         // bytes of memory that the messages take
	Disk           int64         // total size of the store's files
	Recovered      time.Duration // time of the restart until all messages are loaded
	RecoveredCPU   time.Duration
	RecoveredHeap  int64
}

// Run fills a store with messages, restarts it and measures both steps.
func Run(ctx context.Context, config Config) (*Result, error) {
	result := &Result{Messages: config.Messages, Body: config.Body}
	empty := heapBytes()
	n, err := open(config.Dir)
	if err != nil {
		return nil, err
	}
	began, cpu := time.Now(), processorTime()
	if err := n.fill(ctx, config); err != nil {
		return nil, err
	}
	result.Filled, result.FilledCPU = time.Since(began), processorTime()-cpu
	result.Heap = heapBytes() - empty
	if err := n.close(); err != nil {
		return nil, err
	}
	if result.Disk, err = dirSize(config.Dir); err != nil {
		return nil, err
	}
	n = nil
	empty = heapBytes()
	began, cpu = time.Now(), processorTime()
	if n, err = open(config.Dir); err != nil {
		return nil, err
	}
	result.Recovered, result.RecoveredCPU = time.Since(began), processorTime()-cpu
	result.RecoveredHeap = heapBytes() - empty
	if pending := n.store.Status().Pending; pending != uint64(config.Messages) {
		return nil, fmt.Errorf("backlog: %d of %d messages are pending after the restart", pending, config.Messages)
	}
	return result, n.close()
}

// node is a store that listens on loopback.
type node struct {
	store  *server.Store
	server *rpc.Server
	failed chan error
}

func open(dir string) (*node, error) {
	disk, err := server.Identity(dir)
	if err != nil {
		return nil, err
	}
	n := &node{failed: make(chan error, 1)}
	mux := rpc.NewMux()
	n.store, err = server.Open(server.Config{
		Settings: &settings.Settings{DataDir: dir, DiskMb: unlimitedMb, MemoryMb: unlimitedMb, Zone: "zone"}, Disk: disk, Mux: mux,
		Failed: func(err error) {
			select {
			case n.failed <- err:
			default:
			}
		},
	})
	if err != nil {
		return nil, err
	}
	if n.server, err = rpc.Listen(listenAt, rpc.Options{Mux: mux}, func(c *rpc.Conn) {
		c.OnClose(func(error) { n.store.ConnClosed(c) })
	}); err != nil {
		return nil, err
	}
	n.store.SetView(singleStoreView(disk, n.server.Address()))
	return n, nil
}

// singleStoreView returns a placement of all partitions on one store.
func singleStoreView(disk, address string) *wire.StoreView {
	view := &wire.StoreView{Epoch: 1, Copies: 1, Stores: []wire.Store{{Disk: disk, Address: address}}}
	for range partitions {
		view.Partitions = append(view.Partitions, wire.Placement{Replicas: []uint16{0}})
	}
	return view
}

// fill puts config.Messages messages, with up to maxUnconfirmed puts unacknowledged at a time.
func (n *node) fill(ctx context.Context, config Config) error {
	conn, err := rpc.Dial(ctx, n.server.Address(), rpc.Options{})
	if err != nil {
		return err
	}
	defer conn.Close()
	answers := make(chan error, maxUnconfirmed)
	body := make([]byte, config.Body)
	for i := range config.Messages {
		if i >= maxUnconfirmed {
			if err := n.awaitAnswer(ctx, answers); err != nil {
				return err
			}
		}
		put(conn, i, body, answers)
	}
	for range min(config.Messages, maxUnconfirmed) {
		if err := n.awaitAnswer(ctx, answers); err != nil {
			return err
		}
	}
	return nil
}

// awaitAnswer waits for the result of one put, and fails if the store fails or ctx ends.
func (n *node) awaitAnswer(ctx context.Context, answers <-chan error) error {
	select {
	case err := <-answers:
		return err
	case err := <-n.failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// put sends message i without waiting; answers receives its result.
func put(conn *rpc.Conn, i int, body []byte, answers chan<- error) {
	partition := uint16(i % partitions)
	id := wire.MessageID(partition, fmt.Sprintf("1abcdefghijkl-%d", i))
	message := wire.Message{
		ID: id, RequestID: id, Route: "route-1", Method: "POST", Host: "host-1.example", Target: "/path-1/thing", ContentType: "application/json",
		Body: body, SentUnixMs: time.Now().UnixMilli(), RetentionMs: uint32(retention / time.Millisecond), Retries: retries,
	}
	conn.Start(wire.MethodPut, &wire.Put{Partition: partition, Epoch: 1, Message: message}, func(payload []byte, err error) {
		var reply wire.PutReply
		if err == nil {
			_, err = reply.UnmarshalMsg(payload)
		}
		if err == nil && reply.Code != wire.PutAccepted {
			err = fmt.Errorf("%w: code %d", ErrRefused, reply.Code)
		}
		answers <- err
	})
}

func (n *node) close() error {
	n.server.Close()
	return n.store.Close()
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func processorTime() time.Duration {
	var times syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &times) != nil {
		return 0
	}
	return time.Duration(times.Utime.Nano() + times.Stime.Nano())
}

// dirSize returns the total size of the files in a folder and its subfolders.
func dirSize(dir string) (int64, error) {
	var total int64
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := os.Stat(path)
		if err == nil {
			total += info.Size()
		}
		return err
	})
	return total, err
}
