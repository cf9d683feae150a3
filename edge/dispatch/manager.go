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
func (p *Manager) Start(queue Queue) { p.queue = queue }

func (p *Manager) now() time.Duration { return p.host.Now() - p.started }

// handle has the core handle an event, and executes what it asks for.
func (p *Manager) handle(event func(core *Core, now time.Duration) []Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for _, action := range event(p.core, p.now()) {
		p.execute(action)
	}
	p.arm()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *Manager) execute(action Action) {
	switch a := action.(type) {
	case Deliver:
		key := attemptKey{a.Job, a.Attempt}
		p.calls[key] = p.workers.Start(&a.Delivery, func(result worker.Result) { p.finishAttempt(key, result) })
	case Cancel:
		if running := p.calls[attemptKey{a.Job, a.Attempt}]; running != nil {
			running.Cancel()
		}
	case Report:
		p.queue.Report(a.Report)
	}
}

func (p *Manager) finishAttempt(key attemptKey, result worker.Result) {
	p.handle(func(core *Core, now time.Duration) []Action {
		delete(p.calls, key)
		return core.FinishAttempt(now, key.job, key.attempt, result)
	})
}

// arm sets the timer to what is due next.
func (p *Manager) arm() {
	next := p.core.Next()
	if p.timer != nil && next == p.wakeAt {
		return
	}
	p.wakeAt = next
	wait := max(next-p.now(), 0)
	if p.timer == nil {
		p.timer = p.host.AfterFunc(wait, p.tick)
		return
	}
	p.timer.Reset(wait)
}

func (p *Manager) tick() {
	p.handle(func(core *Core, now time.Duration) []Action {
		p.wakeAt = -1
		return core.Tick(now)
	})
}

// Accept takes a message that was put by this edge and accepted by its store.
func (p *Manager) Accept(m *wire.Message, granted bool) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Accept(now, m, granted) })
}

// Grant takes a store's grant.
func (p *Manager) Grant(g *wire.Grant) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Grant(now, g) })
}

// Acknowledged is called when the queue has acknowledged a message's last report.
func (p *Manager) Acknowledged(id string) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Acknowledged(now, id) })
}

// Unknown is called when the queue does not know a message as pending.
func (p *Manager) Unknown(id string) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Unknown(now, id) })
}

// ApplyConfig puts a configuration in force.
func (p *Manager) ApplyConfig(index *catalog.Index) {
	p.handle(func(core *Core, now time.Duration) []Action {
		actions := core.ApplyConfig(now, index)
		p.workers.SetLimits(core.Connections())
		return actions
	})
	p.index.Store(index)
}

// SetWorkers takes the platform's list of workers.
func (p *Manager) SetWorkers(workers *wire.Workers) {
	p.handle(func(core *Core, now time.Duration) []Action {
		actions := core.SetWorkers(now, workers)
		p.workers.SetLimits(core.Connections())
		return actions
	})
}

// SetEdges takes the edges that share the work.
func (p *Manager) SetEdges(edges []wire.Edge) {
	p.handle(func(core *Core, now time.Duration) []Action {
		actions := core.SetEdges(now, edges)
		p.workers.SetLimits(core.Connections())
		return actions
	})
}

// Index returns the configuration in force, nil until there is one.
func (p *Manager) Index() *catalog.Index { return p.index.Load() }

// Accepts reports whether this edge should deliver a new message of a service, with a body of a size in bytes.
func (p *Manager) Accepts(service string, size int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.core.Accepts(p.now(), service, size)
}

// MessageIDs returns the IDs of the messages that this edge owns, in no order.
func (p *Manager) MessageIDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.MessageIDs()
}

// Backlogs returns the services of which a message has been due for at least a time.
func (p *Manager) Backlogs(due time.Duration) []Backlog {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Backlogs(p.now(), due)
}

// Stop releases all that is not in flight, at once.
func (p *Manager) Stop() {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Stop(now) })
}

// AwaitDrained waits until nothing is in flight and all reports are acknowledged, or the context ends. It reports whether all was done.
func (p *Manager) AwaitDrained(ctx context.Context) bool {
	for {
		if p.isIdle() {
			return true
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (p *Manager) isIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.InFlight() == 0 && p.core.Idle() && p.queue.Pending() == 0
}

// Close ends the manager; events after it are ignored.
func (p *Manager) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.timer != nil {
		p.timer.Stop()
	}
}
