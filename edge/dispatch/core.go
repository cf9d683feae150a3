package dispatch

import (
	"maps"
	"slices"
	"time"

	"ravendale"
	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// Core has the messages that an edge owns and decides about their delivery. It does no I/O: each method takes the time and an
// event, and returns what is to be done. Times are monotonic and never go back. A Core is not safe for concurrent use.
type Core struct {
	config       Config
	index        *catalog.Index
	workers      *wire.Workers
	services     map[string]*service
	messages     map[string]*message
	due          dueHeap
	jobs         map[JobID]*job
	lastJob      JobID
	completed    completions
	edgePeak     peak
	replaced     replacedWorkers
	backlogged   []*service // whose queues are not empty
	messageBytes int        // that the messages take in memory
	stopping     bool
	mutations    mutations

	now           time.Duration
	moduleEvents  []moduleEvent
	actions       []Action
	moduleActions []ravendale.Action // of a module, used again
}

type moduleEvent struct {
	service *service
	event   ravendale.Event
}

// mutations are deliberate mistakes. Only tests set them, to show that they are caught.
type mutations struct {
	resetCountsAsNotRun bool // what may have run counts as not sent
	forgetsCompleted    bool // what is completed is run again if it is granted again
}

// NewCore returns a Core without messages and without a configuration.
func NewCore(config Config) *Core {
	return &Core{
		config: config, services: make(map[string]*service), messages: make(map[string]*message), jobs: make(map[JobID]*job),
		replaced: replacedWorkers{until: make(map[string]time.Duration)},
	}
}

// MessageBytes returns the memory that the messages take, in bytes.
func (c *Core) MessageBytes() int { return c.messageBytes }

// Idle reports whether there are no messages.
func (c *Core) Idle() bool { return len(c.messages) == 0 }

// InFlight counts the attempts under way.
func (c *Core) InFlight() int {
	count := 0
	for _, j := range c.jobs {
		count += j.inFlight
	}
	return count
}

// MessageIDs returns the IDs of the messages that this edge owns, in no order.
func (c *Core) MessageIDs() []string { return slices.Collect(maps.Keys(c.messages)) }

// Accepts reports whether this edge should deliver a new message of a service, with a body of a size in bytes. Where it may not send,
// or others have shorter waits for a token, the stores grant it to one of those.
func (c *Core) Accepts(now time.Duration, name string, size int) bool {
	s := c.services[name]
	full := c.config.MaxBodies > 0 && c.messageBytes+size > c.config.MaxBodies
	return s != nil && !c.stopping && !full && s.tokenWait(max(now, c.now)) <= maxTokenWait
}

// begin starts the handling of an event, and end finishes it.
func (c *Core) begin(now time.Duration) { c.now, c.actions = max(now, c.now), nil }

func (c *Core) end() []Action {
	for more := true; more; more = c.submitQueued() {
		c.runModules()
	}
	return c.actions
}

// runModules has the modules handle their events, and those that follow from them.
func (c *Core) runModules() {
	for len(c.moduleEvents) > 0 {
		e := c.moduleEvents[0]
		c.moduleEvents = c.moduleEvents[1:]
		c.moduleActions = e.service.module.Handle(c.now, &e.event, c.moduleActions[:0])
		for _, a := range c.moduleActions {
			c.execute(e.service, a)
		}
	}
	c.moduleEvents = nil
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) queueEvent(s *service, event ravendale.Event) {
	c.moduleEvents = append(c.moduleEvents, moduleEvent{s, event})
}

// Next returns when Tick is due.
func (c *Core) Next() time.Duration {
	next := c.now + forever
	if c.replaced.next > 0 {
		next = min(next, c.replaced.next)
	}
	if len(c.due) > 0 {
		next = min(next, c.due[0].dueAt)
	}
	for _, s := range c.services {
		next = min(next, s.timerAt)
		if len(s.rateLimited) > 0 && s.tokens != nil && s.openJobs < s.maxOpenJobs {
			next = min(next, s.tokens.next(c.now))
		}
	}
	return next
}

// Tick does what is due.
func (c *Core) Tick(now time.Duration) []Action {
	c.begin(now)
	if c.replaced.expire(c.now) {
		c.configureServices()
	}
	for len(c.due) > 0 && c.due[0].dueAt <= c.now {
		c.processDue(c.due[0])
	}
	for _, s := range c.services {
		if s.timerAt <= c.now {
			s.timerAt = forever
			c.queueEvent(s, ravendale.Event{Kind: ravendale.TimerFired})
		}
		c.sendRateLimited(s)
	}
	return c.end()
}

// Stop releases all that is not in flight, and from then on all that an attempt does not complete.
func (c *Core) Stop(now time.Duration) []Action {
	c.begin(now)
	c.stopping = true
	for _, m := range c.messages {
		if m.phase != phaseReported && (m.phase != phaseSubmitted || !m.job.isInFlight()) {
			c.release(m)
		}
	}
	return c.end()
}
