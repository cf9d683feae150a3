package dispatch

import (
	"maps"
	"slices"
	"time"

	"ravendale"
	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// Core has the messages that are leased to an edge and decides about their delivery. It does no I/O: each method takes the time and an
// event, and returns what is to be done. Times are monotonic and never go back. A Core is not safe for concurrent use.
type Core struct {
	config     Config
	index      *catalog.Index
	edges      edgeList
	workersOf  map[string][]*wire.Worker // by service
	services   map[string]*service
	configured []*service // the services, in the order of the configuration
	timed      []*service // those with a timer or with messages that wait for a token, and some more
	messages   messageTable
	jobs       jobTable
	completed  completions
	edgePeak   peak
	replaced   replacedWorkers
	backlogged []*service // whose queues are not empty
	stopping   bool
	mutations  mutations

	connectionsChanged bool // since Connections was called

	now           time.Duration
	moduleEvents  []moduleEvent
	actions       []Action
	moduleActions []ravendale.Action // of a module, used again
}

// moduleEvent is an event for the module of a service.
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
	c := &Core{
		config: config, services: make(map[string]*service), messages: messageTable{byID: make(map[string]*message)},
		jobs:     jobTable{byID: make(map[JobID]*job)},
		replaced: replacedWorkers{until: make(map[string]time.Duration)},
	}
	c.edges.set(config.Topology.Edges, config.Topology.Edge)
	return c
}

// MessageBytes returns the memory that the messages take, in bytes.
func (c *Core) MessageBytes() int { return c.messages.bytes }

// Idle reports whether there are no messages.
func (c *Core) Idle() bool { return len(c.messages.byID) == 0 }

// InFlight counts the attempts under way.
func (c *Core) InFlight() int { return c.jobs.inFlight() }

// MessageIDs returns the IDs of the messages that are leased to this edge, in no order.
func (c *Core) MessageIDs() []string { return slices.Collect(maps.Keys(c.messages.byID)) }

// Accepts reports whether this edge should deliver a new message of a service, with a body of a size in bytes. Where it may not send,
// or others have shorter waits for a token, the stores grant it to one of those.
func (c *Core) Accepts(now time.Duration, name string, size int) bool {
	s := c.services[name]
	full := c.config.MaxBodyBytes > 0 && c.messages.bytes+size > c.config.MaxBodyBytes
	return s != nil && !c.stopping && !full && s.tokenWait(max(now, c.now)) <= maxTokenWait
}

// begin starts the handling of an event, and end finishes it.
func (c *Core) begin(now time.Duration) { c.now, c.actions = max(now, c.now), nil }

// end has the modules handle what happened, submits what they can take, and returns what is to be done.
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

// emit adds an action to those of the event being handled.
func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// queueEvent has a service's module handle an event before the present one ends.
func (c *Core) queueEvent(s *service, event ravendale.Event) {
	if s.edgesVersion != c.edges.version {
		c.updateSettings(s)
	}
	c.moduleEvents = append(c.moduleEvents, moduleEvent{s, event})
}

// Next returns when Tick is due.
func (c *Core) Next() time.Duration {
	next := c.now + forever
	if c.replaced.next > 0 {
		next = min(next, c.replaced.next)
	}
	if first := c.messages.first(); first != nil {
		next = min(next, first.dueAt)
	}
	c.pruneTimed()
	for _, s := range c.timed {
		next = min(next, s.timerAt)
		if len(s.rateLimited) > 0 && s.tokens != nil && s.openJobs < s.maxOpenJobs {
			next = min(next, s.tokens.next(c.now))
		}
	}
	return next
}

// addTimed has Next and Tick look at a service until it has no timer and no messages that wait for a token: few of many services have.
func (c *Core) addTimed(s *service) {
	if !s.isTimed {
		s.isTimed = true
		c.timed = append(c.timed, s)
	}
}

// pruneTimed removes services that have neither a timer nor messages that wait for a token.
func (c *Core) pruneTimed() {
	c.timed = slices.DeleteFunc(c.timed, func(s *service) bool {
		s.isTimed = s.timerAt < forever || len(s.rateLimited) > 0
		return !s.isTimed
	})
}

// Tick does what is due.
func (c *Core) Tick(now time.Duration) []Action {
	c.begin(now)
	if c.replaced.expire(c.now) {
		c.updateAllWorkers()
	}
	for first := c.messages.first(); first != nil && first.dueAt <= c.now; first = c.messages.first() {
		c.processDue(first)
	}
	for i := 0; i < len(c.timed); i++ { // what is sent may add to them
		s := c.timed[i]
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
	for _, m := range c.messages.byID {
		if m.phase != phaseReported && (m.phase != phaseSubmitted || !m.job.isInFlight()) {
			c.release(m)
		}
	}
	return c.end()
}
