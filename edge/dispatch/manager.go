package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ravendale/cluster/catalog"
	"ravendale/cluster/host"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// Queue takes reports, and repeats each until it is acknowledged.
type Queue interface {
	Report(report wire.Report)
	Pending() int // counts reports without an acknowledgement
}

// Manager drives a Core: it gives it the clock, the workers' connections and the queue. Its methods may be called by any goroutine
// and do not wait, but for AwaitDrained.
type Manager struct {
	workers Workers
	queue   Queue
	host    host.Host
	started time.Duration
	index   atomic.Pointer[catalog.Index]
	changed chan struct{} // capacity 1: an event was handled

	mu     sync.Mutex
	core   *Core
	calls  map[attemptKey]Call
	timer  host.Timer
	wakeAt time.Duration
	closed bool
}

// attemptKey names an attempt of a job.
type attemptKey struct {
	job     JobID
	attempt int
}

// Workers executes deliveries.
type Workers interface {
	// Start begins a delivery. Done is called once, not before Start has returned.
	Start(delivery *worker.Delivery, done func(worker.Result)) Call
	// SetLimits sets this edge's share of the connections to each worker, by name.
	SetLimits(shares map[string]worker.Share)
}

// Call is a delivery under way. Cancel closes its connection.
type Call interface{ Cancel() }

// httpWorkers are the workers that a worker.Client reaches.
type httpWorkers struct{ *worker.Client }

// Start implements Workers.
func (w httpWorkers) Start(delivery *worker.Delivery, done func(worker.Result)) Call {
	return w.Client.Start(delivery, done)
}

// NewManager returns a manager without messages. Start must be called before anything else is.
func NewManager(config Config, client *worker.Client) *Manager {
	return NewManagerOn(host.System, config, httpWorkers{client})
}

// NewManagerOn is NewManager with a host and workers of the caller's.
func NewManagerOn(machine host.Host, config Config, workers Workers) *Manager {
	if config.Seed == 0 {
		config.Seed = machine.Uint64()
	}
	return &Manager{
		workers: workers, host: machine, started: machine.Now(), changed: make(chan struct{}, 1),
		core: NewCore(config), calls: make(map[attemptKey]Call),
	}
}

// Start gives the manager its queue.
func (d *Manager) Start(queue Queue) { d.queue = queue }

func (d *Manager) now() time.Duration { return d.host.Now() - d.started }

// handle has the core handle an event, and executes what it asks for.
func (d *Manager) handle(event func(core *Core, now time.Duration) []Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	for _, action := range event(d.core, d.now()) {
		d.execute(action)
	}
	d.arm()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// execute carries out one action of the core.
func (d *Manager) execute(action Action) {
	switch a := action.(type) {
	case Deliver:
		key := attemptKey{a.Job, a.Attempt}
		d.calls[key] = d.workers.Start(&a.Delivery, func(result worker.Result) { d.finishAttempt(key, result) })
	case Cancel:
		if running := d.calls[attemptKey{a.Job, a.Attempt}]; running != nil {
			running.Cancel()
		}
	case Report:
		d.queue.Report(a.Report)
	}
}

func (d *Manager) finishAttempt(key attemptKey, result worker.Result) {
	d.handle(func(core *Core, now time.Duration) []Action {
		delete(d.calls, key)
		return core.FinishAttempt(now, key.job, key.attempt, result)
	})
}

// arm sets the timer to what is due next.
func (d *Manager) arm() {
	next := d.core.Next()
	if d.timer != nil && next == d.wakeAt {
		return
	}
	d.wakeAt = next
	wait := max(next-d.now(), 0)
	if d.timer == nil {
		d.timer = d.host.AfterFunc(wait, d.tick)
		return
	}
	d.timer.Reset(wait)
}

func (d *Manager) tick() {
	d.handle(func(core *Core, now time.Duration) []Action {
		d.wakeAt = -1
		return core.Tick(now)
	})
}

// Accept takes a message that was put by this edge and accepted by its store.
func (d *Manager) Accept(m *wire.Message, granted bool) {
	d.handle(func(core *Core, now time.Duration) []Action { return core.Accept(now, m, granted) })
}

// Grant takes a store's grant.
func (d *Manager) Grant(g *wire.Grant) {
	d.handle(func(core *Core, now time.Duration) []Action { return core.Grant(now, g) })
}

// Acknowledged is called when the queue has acknowledged a message's last report.
func (d *Manager) Acknowledged(id string) {
	d.handle(func(core *Core, now time.Duration) []Action { return core.Acknowledged(now, id) })
}

// Unknown is called when the queue does not know a message as pending.
func (d *Manager) Unknown(id string) {
	d.handle(func(core *Core, now time.Duration) []Action { return core.Unknown(now, id) })
}

// ApplyConfig puts a configuration in force.
func (d *Manager) ApplyConfig(index *catalog.Index) {
	d.handle(func(core *Core, now time.Duration) []Action {
		actions := core.ApplyConfig(now, index)
		d.updateConnections(core)
		return actions
	})
	d.index.Store(index)
}

// updateConnections sets the shares of workers' connections, if they have changed.
func (d *Manager) updateConnections(core *Core) {
	if core.ConnectionsChanged() {
		d.workers.SetLimits(core.Connections())
	}
}

// SetWorkers takes the platform's list of workers.
func (d *Manager) SetWorkers(workers *wire.Workers) {
	d.handle(func(core *Core, now time.Duration) []Action {
		actions := core.SetWorkers(now, workers)
		d.updateConnections(core)
		return actions
	})
}

// SetEdges takes the edges that share the work.
func (d *Manager) SetEdges(edges []wire.Edge) {
	d.handle(func(core *Core, now time.Duration) []Action {
		actions := core.SetEdges(now, edges)
		d.updateConnections(core)
		return actions
	})
}

// Index returns the configuration in force, nil until there is one.
func (d *Manager) Index() *catalog.Index { return d.index.Load() }

// Accepts reports whether this edge should deliver a new message of a service, with a body of a size in bytes.
func (d *Manager) Accepts(service string, size int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.closed && d.core.Accepts(d.now(), service, size)
}

// MessageIDs returns the IDs of the messages that are leased to this edge, in no order.
func (d *Manager) MessageIDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.MessageIDs()
}

// Backlogs returns the services of which a message has been due for at least a time.
func (d *Manager) Backlogs(due time.Duration) []Backlog {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Backlogs(d.now(), due)
}

// Stop releases all that is not in flight, at once.
func (d *Manager) Stop() {
	d.handle(func(core *Core, now time.Duration) []Action { return core.Stop(now) })
}

// AwaitDrained waits until nothing is in flight and all reports are acknowledged, or the context ends. It reports whether all was done.
func (d *Manager) AwaitDrained(ctx context.Context) bool {
	for {
		if d.isIdle() {
			return true
		}
		select {
		case <-d.changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (d *Manager) isIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.InFlight() == 0 && d.core.Idle() && d.queue.Pending() == 0
}

// Close ends the manager; events after it are ignored.
func (d *Manager) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
}
