package workers

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and times of a worker's connections.
const (
	maxBody        = 16 << 20
	readerSize     = 4096
	duplicateAfter = 30 * time.Millisecond // until a second answer
	lateSpread     = 0.25                  // a late answer comes within this part of the time allowed before its end, or after it
)

// Worker is one incarnation of a worker.
type Worker struct {
	fleet    *Fleet
	service  *serviceState
	id       string
	zone     string
	listed   bool
	listener net.Listener
	slots    chan struct{}
	waiting  atomic.Int64
	draining atomic.Bool
	faults   atomic.Pointer[Faults]
	lifetime context.Context
	end      context.CancelFunc

	mutex    sync.Mutex
	conns    map[*conn]bool
	previous foreign // newest success
}

func newWorker(fleet *Fleet, service *serviceState, listen Listen, listener net.Listener) *Worker {
	lifetime, end := context.WithCancel(context.Background())
	worker := &Worker{
		fleet:    fleet,
		service:  service,
		id:       fleet.instanceID(),
		zone:     listen.Zone,
		listed:   !listen.Unlisted,
		listener: listener,
		slots:    make(chan struct{}, service.Capacity),
		lifetime: lifetime,
		end:      end,
		conns:    make(map[*conn]bool),
	}
	worker.faults.Store(&Faults{})
	return worker
}

// ID of the incarnation.
func (w *Worker) ID() string { return w.id }

// Address where the worker listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(faults Faults) { w.faults.Store(&faults) }

// Drain makes the worker answer health checks 503. It goes on serving.
func (w *Worker) Drain() { w.draining.Store(true) }

// Crash ends the worker at once, its runs and connections with it.
func (w *Worker) Crash() {
	w.end()
	_ = w.listener.Close()
	for _, c := range w.open() {
		c.reset()
	}
}

// Connections is how many the worker has.
func (w *Worker) Connections() int { return len(w.open()) }

func (w *Worker) hasEnded() bool { return w.lifetime.Err() != nil }

func (w *Worker) open() []*conn {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	open := make([]*conn, 0, len(w.conns))
	for c := range w.conns {
		open = append(open, c)
	}
	return open
}

func (w *Worker) accept() {
	for {
		netConn, err := w.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{worker: w, net: netConn, reader: bufio.NewReaderSize(netConn, readerSize)}
		if !w.admit(c) {
			c.reset()
			continue
		}
		go c.serve()
	}
}

func (w *Worker) admit(c *conn) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.hasEnded() || len(w.conns) >= w.service.MaxConns {
		return false
	}
	w.conns[c] = true
	return true
}

func (w *Worker) forget(c *conn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.conns, c)
}

// errFull says that neither a slot nor a place in the queue is free.
var errFull = errors.New("full")

// slot waits for a slot. A health check may wait however long the queue is.
func (w *Worker) slot(ctx context.Context, queued bool) error {
	select {
	case w.slots <- struct{}{}:
		return nil
	default:
	}
	if queued {
		defer w.waiting.Add(-1)
		if w.waiting.Add(1) > int64(w.service.Queue) {
			return errFull
		}
	}
	select {
	case w.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Worker) release() { <-w.slots }

func (w *Worker) health(ctx context.Context) answer {
	if w.draining.Load() || w.faults.Load().Failing {
		return answer{status: http.StatusServiceUnavailable}
	}
	if err := w.slot(ctx, false); err != nil {
		return answer{status: http.StatusServiceUnavailable}
	}
	w.release()
	return answer{status: http.StatusOK}
}
