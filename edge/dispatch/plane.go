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

// Plane runs a Core. Its methods may be called by any goroutine and do not wait.
type Plane struct {
	workers Workers
	queue   Queue
	host    host.Host
	started time.Duration
	index   atomic.Pointer[catalog.Index]
	changed chan struct{} // capacity 1: something was handled

	mu     sync.Mutex
	core   *Core
	calls  map[call]Call
	timer  host.Timer
	wakeAt time.Duration
	closed bool
}

type call struct {
	job     JobID
	attempt int
}

// Workers carries deliveries out.
type Workers interface {
	// Start begins a delivery. Done is called once, not before Start has returned.
	Start(delivery *worker.Delivery, done func(worker.Result)) Call
	// Limit says how many connections may be open to each worker.
	Limit(shares map[string]worker.Share)
}

// Call is a delivery under way.
type Call interface{ Cancel() }

// overHTTP are the workers that a worker.Client reaches.
type overHTTP struct{ *worker.Client }

// Start implements Workers.
func (w overHTTP) Start(delivery *worker.Delivery, done func(worker.Result)) Call {
	return w.Client.Start(delivery, done)
}

// NewPlane returns a plane that holds nothing. Start must be called before anything else is.
func NewPlane(config Config, client *worker.Client) *Plane {
	return NewPlaneOn(host.System, config, overHTTP{client})
}

// NewPlaneOn is NewPlane with a host and workers of the caller's.
func NewPlaneOn(machine host.Host, config Config, workers Workers) *Plane {
	if config.Seed == 0 {
		config.Seed = machine.Uint64()
	}
	return &Plane{
		workers: workers, host: machine, started: machine.Now(), changed: make(chan struct{}, 1),
		core: NewCore(config), calls: make(map[call]Call),
	}
}

// Start gives the plane its queue.
func (p *Plane) Start(queue Queue) { p.queue = queue }

func (p *Plane) now() time.Duration { return p.host.Now() - p.started }

// handle has the core handle an event, and carries out what it asks for.
func (p *Plane) handle(event func(core *Core, now time.Duration) []Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for _, action := range event(p.core, p.now()) {
		p.carryOut(action)
	}
	p.arm()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *Plane) carryOut(action Action) {
	switch a := action.(type) {
	case Deliver:
		key := call{a.Job, a.Attempt}
		p.calls[key] = p.workers.Start(&a.Delivery, func(result worker.Result) { p.ended(key, result) })
	case Cancel:
		if under := p.calls[call{a.Job, a.Attempt}]; under != nil {
			under.Cancel()
		}
	case Report:
		p.queue.Report(a.Report)
	}
}

func (p *Plane) ended(key call, result worker.Result) {
	p.handle(func(core *Core, now time.Duration) []Action {
		delete(p.calls, key)
		return core.Ended(now, key.job, key.attempt, result)
	})
}

// arm sets the timer to what is due next.
func (p *Plane) arm() {
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

func (p *Plane) tick() {
	p.handle(func(core *Core, now time.Duration) []Action {
		p.wakeAt = -1
		return core.Tick(now)
	})
}

// Accept takes a message that was put by this edge and kept.
func (p *Plane) Accept(m *wire.Message, granted bool) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Accept(now, m, granted) })
}

// Grant takes a store's grant.
func (p *Plane) Grant(g *wire.Grant) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Grant(now, g) })
}

// Acknowledged hears that the queue has a message's last report.
func (p *Plane) Acknowledged(id string) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Acknowledged(now, id) })
}

// Unknown hears that the queue does not know a message as pending.
func (p *Plane) Unknown(id string) {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Unknown(now, id) })
}

// Configure takes a configuration.
func (p *Plane) Configure(index *catalog.Index) {
	p.handle(func(core *Core, now time.Duration) []Action {
		actions := core.Configure(now, index)
		p.workers.Limit(core.Connections())
		return actions
	})
	p.index.Store(index)
}

// List takes the platform's list of workers.
func (p *Plane) List(workers *wire.Workers) {
	p.handle(func(core *Core, now time.Duration) []Action {
		actions := core.List(now, workers)
		p.workers.Limit(core.Connections())
		return actions
	})
}

// Place takes the edges that share the work.
func (p *Plane) Place(edges []wire.Edge) {
	p.handle(func(core *Core, now time.Duration) []Action {
		actions := core.Place(now, edges)
		p.workers.Limit(core.Connections())
		return actions
	})
}

// Index is the configuration that the plane delivers by, nil until there is one.
func (p *Plane) Index() *catalog.Index { return p.index.Load() }

// Takes says whether this edge should deliver a new message of a service, with a body of a size.
func (p *Plane) Takes(service string, size int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.core.Takes(p.now(), service, size)
}

// IDs names the messages held.
func (p *Plane) IDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.IDs()
}

// Backlogs tells of the services of which a message has been due for a time.
func (p *Plane) Backlogs(due time.Duration) []Backlog {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Backlogs(p.now(), due)
}

// Stop gives back all that is not under way, at once.
func (p *Plane) Stop() {
	p.handle(func(core *Core, now time.Duration) []Action { return core.Stop(now) })
}

// Drained returns once nothing is under way and all reports are acknowledged, or the context ends. It says which.
func (p *Plane) Drained(ctx context.Context) bool {
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

func (p *Plane) isIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Running() == 0 && p.core.Idle() && p.queue.Pending() == 0
}

// Close ends the plane; events after it count for nothing.
func (p *Plane) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.timer != nil {
		p.timer.Stop()
	}
}
