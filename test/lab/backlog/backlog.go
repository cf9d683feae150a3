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

// Figures of a run that have no part in what is measured.
const (
	listenAt    = "127.0.0.1:0"
	partitions  = 64
	unconfirmed = 2000 // puts
	retention   = 24 * time.Hour
	retries     = 4
	manyMb      = 1 << 20 // no limit of memory or disk is met
)

// ErrRefused is returned if the store does not accept a message.
var ErrRefused = errors.New("backlog: the store refuses a message")

// Config of a run.
type Config struct {
	Dir      string // an empty folder
	Messages int
	Body     int // bytes of a message's body
}

// Result of a run. Times are of the whole run, bytes of all messages together.
type Result struct {
	Messages, Body int
	Filled         time.Duration // until all were acknowledged, each synced
	FilledCPU      time.Duration // of the store and of who sends
	Heap           int64         // bytes that the messages take in memory
	Disk           int64         // bytes of files
	Recovered      time.Duration // from start to the last message known
	RecoveredCPU   time.Duration
	RecoveredHeap  int64
}

// Run fills a store, restarts it and measures both.
func Run(ctx context.Context, config Config) (*Result, error) {
	result := &Result{Messages: config.Messages, Body: config.Body}
	empty := heap()
	n, err := open(config.Dir)
	if err != nil {
		return nil, err
	}
	began, cpu := time.Now(), processorTime()
	if err := n.fill(ctx, config); err != nil {
		return nil, err
	}
	result.Filled, result.FilledCPU = time.Since(began), processorTime()-cpu
	result.Heap = heap() - empty
	if err := n.close(); err != nil {
		return nil, err
	}
	if result.Disk, err = size(config.Dir); err != nil {
		return nil, err
	}
	n = nil
	empty = heap()
	began, cpu = time.Now(), processorTime()
	if n, err = open(config.Dir); err != nil {
		return nil, err
	}
	result.Recovered, result.RecoveredCPU = time.Since(began), processorTime()-cpu
	result.RecoveredHeap = heap() - empty
	if kept := n.store.Status().Pending; kept != uint64(config.Messages) {
		return nil, fmt.Errorf("backlog: %d of %d messages are there after the restart", kept, config.Messages)
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
		Settings: &settings.Settings{DataDir: dir, DiskMb: manyMb, MemoryMb: manyMb, Zone: "zone"}, Disk: disk, Mux: mux,
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
	n.store.SetView(alone(disk, n.server.Address()))
	return n, nil
}

// alone is a placement in which one store has everything.
func alone(disk, address string) *wire.StoreView {
	view := &wire.StoreView{Epoch: 1, Copies: 1, Stores: []wire.Store{{Disk: disk, Address: address}}}
	for range partitions {
		view.Partitions = append(view.Partitions, wire.Placement{Replicas: []uint16{0}})
	}
	return view
}

// fill puts messages that wait, many at a time.
func (n *node) fill(ctx context.Context, config Config) error {
	conn, err := rpc.Dial(ctx, n.server.Address(), rpc.Options{})
	if err != nil {
		return err
	}
	defer conn.Close()
	answers := make(chan error, unconfirmed)
	body := make([]byte, config.Body)
	for i := range config.Messages {
		if i >= unconfirmed {
			if err := n.next(ctx, answers); err != nil {
				return err
			}
		}
		put(conn, i, body, answers)
	}
	for range min(config.Messages, unconfirmed) {
		if err := n.next(ctx, answers); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) next(ctx context.Context, answers <-chan error) error {
	select {
	case err := <-answers:
		return err
	case err := <-n.failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

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

func heap() int64 {
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

func size(dir string) (int64, error) {
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
