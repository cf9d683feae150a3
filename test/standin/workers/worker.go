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

// Limits and delays of a worker's connections.
const (
	maxBody        = 16 << 20
	readerSize     = 4096
	duplicateDelay = 30 * time.Millisecond // delay of a duplicated answer
	lateFraction   = 0.25                  // a late answer is sent up to this fraction of the allowed time before or after the deadline
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

	mutex       sync.Mutex
	conns       map[*conn]bool
	lastSuccess sentAnswer // answer to the newest success
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

// ID returns the instance id, which is unique to this incarnation.
func (w *Worker) ID() string { return w.id }

// Address returns the host:port that the worker listens on.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(faults Faults) { w.faults.Store(&faults) }

// Drain makes the worker answer 503 to health checks. It continues to serve messages.
func (w *Worker) Drain() { w.draining.Store(true) }

// Crash ends the worker with its runs and connections at once.
func (w *Worker) Crash() {
	w.end()
	_ = w.listener.Close()
	for _, c := range w.openConns() {
		c.reset()
	}
}

// Connections returns the number of open connections.
func (w *Worker) Connections() int { return len(w.openConns()) }

func (w *Worker) hasEnded() bool { return w.lifetime.Err() != nil }

func (w *Worker) openConns() []*conn {
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
		if !w.addConn(c) {
			c.reset()
			continue
		}
		go c.serve()
	}
}

func (w *Worker) addConn(c *conn) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.hasEnded() || len(w.conns) >= w.service.MaxConns {
		return false
	}
	w.conns[c] = true
	return true
}

func (w *Worker) removeConn(c *conn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.conns, c)
}

// errQueueFull is returned when neither a slot nor a place in the queue is free.
var errQueueFull = errors.New("worker queue is full")

// acquireSlot waits for a slot. The queue limit applies if queued is set; health checks are exempt from it.
func (w *Worker) acquireSlot(ctx context.Context, queued bool) error {
	select {
	case w.slots <- struct{}{}:
		return nil
	default:
	}
	if queued {
		defer w.waiting.Add(-1)
		if w.waiting.Add(1) > int64(w.service.Queue) {
			return errQueueFull
		}
	}
	select {
	case w.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Worker) releaseSlot() { <-w.slots }

func (w *Worker) health(ctx context.Context) answer {
	if w.draining.Load() || w.faults.Load().Failing {
		return answer{status: http.StatusServiceUnavailable}
	}
	if err := w.acquireSlot(ctx, false); err != nil {
		return answer{status: http.StatusServiceUnavailable}
	}
	w.releaseSlot()
	return answer{status: http.StatusOK}
}
