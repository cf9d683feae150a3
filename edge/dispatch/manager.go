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

// Queue sends reports to the stores, and repeats each until it is acknowledged.
type Queue interface {
	Report(report wire.Report)
	Pending() int // number of reports without an acknowledgement
	// LeasesValidFrom returns since when, by the host's clock, leases can't have been revoked because the process was
	// paused.
	LeasesValidFrom() time.Duration
}

// Manager drives a Core: it passes events to it with the time, and executes its actions through the workers and the
// queue. Its methods are safe for concurrent use and, except for AwaitDrained, do not block.
type Manager struct {
	workers   Workers
	queue     Queue
	host      host.Host
	startedAt time.Duration // on the host's clock: the time 0 of the core
	index     atomic.Pointer[catalog.Index]
	changed   chan struct{} // capacity 1: signals that an event was handled

	mu     sync.Mutex
	core   *Core
	calls  map[attemptKey]Call // deliveries in flight
	timer  host.Timer
	wakeAt time.Duration // when the timer fires; -1: it has fired
	closed bool          // events are ignored
}

// attemptKey identifies an attempt of a job.
type attemptKey struct {
	job     JobID
	attempt int
}

// Workers executes deliveries.
type Workers interface {
	// Start starts a delivery. It calls done exactly once, after Start has returned.
	Start(delivery *worker.Delivery, done func(worker.Result)) Call
	// SetLimits sets this edge's share of the connections to each worker, by the worker's name.
	SetLimits(shares map[string]worker.Share)
}

// Call is a delivery in flight. Cancel closes its connection.
type Call interface{ Cancel() }

// httpWorkers implements Workers with a worker.Client.
type httpWorkers struct{ *worker.Client }

// Start implements Workers.
func (w httpWorkers) Start(delivery *worker.Delivery, done func(worker.Result)) Call {
	return w.Client.Start(delivery, done)
}

// NewManager returns a manager without messages. SetQueue must be called before any other method.
func NewManager(config Config, client *worker.Client) *Manager {
	return NewManagerOn(host.System, config, httpWorkers{client})
}

// NewManagerOn is like NewManager, with the host and the workers given by the caller.
func NewManagerOn(machine host.Host, config Config, workers Workers) *Manager {
	if config.Seed == 0 {
		config.Seed = machine.Uint64()
	}
	return &Manager{
		workers: workers, host: machine, startedAt: machine.Now(), changed: make(chan struct{}, 1),
		core: NewCore(config), calls: make(map[attemptKey]Call),
	}
}

// SetQueue sets the queue that reports are sent to.
func (mgr *Manager) SetQueue(queue Queue) { mgr.queue = queue }

func (mgr *Manager) now() time.Duration { return mgr.host.Now() - mgr.startedAt }

// handle passes an event to the core and executes the actions that it returns.
func (mgr *Manager) handle(event func(core *Core, now time.Duration) []Action) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if mgr.closed {
		return
	}
	mgr.core.RevokeLeases(mgr.queue.LeasesValidFrom() - mgr.startedAt)
	for _, action := range event(mgr.core, mgr.now()) {
		mgr.execute(action)
	}
	mgr.arm()
	select {
	case mgr.changed <- struct{}{}:
	default:
	}
}

// execute executes an action of the core.
func (mgr *Manager) execute(action Action) {
	switch a := action.(type) {
	case Deliver:
		key := attemptKey{a.Job, a.Attempt}
		decidedAt := mgr.host.Now()
		a.Delivery.Revoked = func() bool { return mgr.queue.LeasesValidFrom() > decidedAt }
		mgr.calls[key] = mgr.workers.Start(&a.Delivery, func(result worker.Result) { mgr.finishAttempt(key, result) })
	case Cancel:
		if call := mgr.calls[attemptKey{a.Job, a.Attempt}]; call != nil {
			call.Cancel()
		}
	case Report:
		mgr.queue.Report(a.Report)
	}
}

func (mgr *Manager) finishAttempt(key attemptKey, result worker.Result) {
	mgr.handle(func(core *Core, now time.Duration) []Action {
		delete(mgr.calls, key)
		return core.FinishAttempt(now, key.job, key.attempt, result)
	})
}

// arm sets the timer to when the core must be ticked next.
func (mgr *Manager) arm() {
	next := mgr.core.Next()
	if mgr.timer != nil && next == mgr.wakeAt {
		return
	}
	mgr.wakeAt = next
	wait := max(next-mgr.now(), 0)
	if mgr.timer == nil {
		mgr.timer = mgr.host.AfterFunc(wait, mgr.tick)
		return
	}
	mgr.timer.Reset(wait)
}

func (mgr *Manager) tick() {
	mgr.handle(func(core *Core, now time.Duration) []Action {
		mgr.wakeAt = -1
		return core.Tick(now)
	})
}

// Accept adds a message that a client put at this edge and that its store accepted.
func (mgr *Manager) Accept(m *wire.Message, granted bool) {
	mgr.handle(func(core *Core, now time.Duration) []Action { return core.Accept(now, m, granted) })
}

// Grant handles a store's grant.
func (mgr *Manager) Grant(g *wire.Grant) {
	mgr.handle(func(core *Core, now time.Duration) []Action { return core.Grant(now, g) })
}

// Acknowledged is called when the queue has acknowledged a message's last report.
func (mgr *Manager) Acknowledged(id string) {
	mgr.handle(func(core *Core, now time.Duration) []Action { return core.Acknowledged(now, id) })
}

// Confirmed is called when a store has confirmed the leases of messages that were claimed at a time of the host's clock.
func (mgr *Manager) Confirmed(ids []string, claimedAt time.Duration) {
	mgr.handle(func(core *Core, now time.Duration) []Action {
		return core.ConfirmLeases(now, ids, claimedAt-mgr.startedAt)
	})
}

// Unknown is called when the queue reports that a message is not pending.
func (mgr *Manager) Unknown(id string) {
	mgr.handle(func(core *Core, now time.Duration) []Action { return core.Unknown(now, id) })
}

// ApplyConfig puts a configuration in force.
func (mgr *Manager) ApplyConfig(index *catalog.Index) {
	mgr.handle(func(core *Core, now time.Duration) []Action {
		actions := core.ApplyConfig(now, index)
		mgr.updateConnections(core)
		return actions
	})
	mgr.index.Store(index)
}

// ConfirmConfig is called when the leader has confirmed that the configuration in force was the newest at a time of the
// host's clock.
func (mgr *Manager) ConfirmConfig(at time.Duration) {
	mgr.handle(func(core *Core, now time.Duration) []Action { return core.ConfirmConfig(now, at-mgr.startedAt) })
}

// updateConnections sets the limits of the connections to workers, if they have changed.
func (mgr *Manager) updateConnections(core *Core) {
	if core.ConnectionsChanged() {
		mgr.workers.SetLimits(core.Connections())
	}
}

// SetWorkers sets the workers, as listed by the platform.
func (mgr *Manager) SetWorkers(workers *wire.Workers) {
	mgr.handle(func(core *Core, now time.Duration) []Action {
		actions := core.SetWorkers(now, workers)
		mgr.updateConnections(core)
		return actions
	})
}

// SetEdges sets the edges that share the work.
func (mgr *Manager) SetEdges(edges []wire.Edge) {
	mgr.handle(func(core *Core, now time.Duration) []Action {
		actions := core.SetEdges(now, edges)
		mgr.updateConnections(core)
		return actions
	})
}

// Index returns the configuration in force, nil until there is one.
func (mgr *Manager) Index() *catalog.Index { return mgr.index.Load() }

// Accepts reports whether this edge should deliver a new message of a service, with a body of size bytes.
func (mgr *Manager) Accepts(service string, size int) bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return !mgr.closed && mgr.core.Accepts(mgr.now(), service, size)
}

// MessageIDs returns the IDs of the messages that are leased to this edge, in no particular order.
func (mgr *Manager) MessageIDs() []string {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.core.MessageIDs()
}

// Backlogs returns the services with a message that has been due for at least minAge, sorted by name.
func (mgr *Manager) Backlogs(minAge time.Duration) []Backlog {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.core.Backlogs(mgr.now(), minAge)
}

// Stop releases all messages without an attempt in flight, and later those whose attempts end without completing them.
func (mgr *Manager) Stop() {
	mgr.handle(func(core *Core, now time.Duration) []Action { return core.Stop(now) })
}

// AwaitDrained waits until no attempts are in flight, no messages are left and all reports are acknowledged, or until the
// context ends. It returns whether the manager is drained.
func (mgr *Manager) AwaitDrained(ctx context.Context) bool {
	for {
		if mgr.isDrained() {
			return true
		}
		select {
		case <-mgr.changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (mgr *Manager) isDrained() bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.core.InFlight() == 0 && mgr.core.Idle() && mgr.queue.Pending() == 0
}

// Close stops the manager. Later events are ignored.
func (mgr *Manager) Close() {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.closed = true
	if mgr.timer != nil {
		mgr.timer.Stop()
	}
}
