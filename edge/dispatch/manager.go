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
	Pending() int // reports without an acknowledgement
}

// Manager runs a Core. Its methods may be called by any goroutine and do not wait.
type Manager struct {
	workers Workers
	queue   Queue
	host    host.Host
	started time.Duration
	index   atomic.Pointer[catalog.Index]
	changed chan struct{} // capacity 1: something was handled

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

// Workers carries deliveries out.
type Workers interface {
	// Start begins a delivery. Done is called once, not before Start has returned.
	Start(delivery *worker.Delivery, done func(worker.Result)) Call
	// SetLimits says how many connections may be open to each worker.
	SetLimits(shares map[string]worker.Share)
}

// Call is a delivery under way.
type Call interface{ Cancel() }

// httpWorkers are the workers that a worker.Client reaches.
type httpWorkers struct{ *worker.Client }

// Start implements Workers.
func (w httpWorkers) Start(delivery *worker.Delivery, done func(worker.Result)) Call {
	return w.Client.Start(delivery, done)
}

// NewManager returns a plane that holds nothing. Start must be called before anything else is.
func NewManager(config Config, client *worker.Client) *Manager {
	return NewManagerOn(host.System, config, httpWorkers{client})
}

// NewManagerOn is NewPlane with a host and workers of the caller's.
func NewManagerOn(machine host.Host, config Config, workers Workers) *Manager {
	if config.Seed == 0 {
		config.Seed = machine.Uint64()
	}
	return &Manager{
		workers: workers, host: machine, started: machine.Now(), changed: make(chan struct{}, 1),
		core: NewCore(config), calls: make(map[attemptKey]Call),
	}
}

// Start gives the plane its queue.
func (p *Manager) Start(queue Queue) { p.queue = queue }

func (p *Manager) now() time.Duration { return p.host.Now() - p.started }

// handle has the core handle an event, and carries out what it asks for.
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

// Accept takes a message that was put by this edge and kept.
func (p *Manager) Accept(m *wire.Message, granted bool) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Accept(now, m, granted) })
}

// Grant takes a store's grant.
func (p *Manager) Grant(g *wire.Grant) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Grant(now, g) })
}

// Acknowledged hears that the queue has a message's last report.
func (p *Manager) Acknowledged(id string) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Acknowledged(now, id) })
}

// Unknown hears that the queue does not know a message as pending.
func (p *Manager) Unknown(id string) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Unknown(now, id) })
}

// ApplyConfig takes a configuration.
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

// Index is the configuration that the plane delivers by, nil until there is one.
func (p *Manager) Index() *catalog.Index { return p.index.Load() }

// Accepts says whether this edge should deliver a new message of a service, with a body of a size.
func (p *Manager) Accepts(service string, size int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.core.Accepts(p.now(), service, size)
}

// MessageIDs names the messages held.
func (p *Manager) MessageIDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.MessageIDs()
}

// Backlogs tells of the services of which a message has been due for a time.
func (p *Manager) Backlogs(due time.Duration) []Backlog {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Backlogs(p.now(), due)
}

// Stop gives back all that is not under way, at once.
func (p *Manager) Stop() {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Stop(now) })
}

// AwaitDrained returns once nothing is under way and all reports are acknowledged, or the context ends. It says which.
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

// Close ends the plane; events after it count for nothing.
func (p *Manager) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.timer != nil {
		p.timer.Stop()
	}
}
