package dispatch

import (
	"maps"
	"slices"
	"time"

	"ravendale"
	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// Core holds the messages that are leased to an edge and decides about their delivery. It does no I/O: a method takes the
// time and an event, and returns the actions to execute. Times are monotonic. A Core is not safe for concurrent use.
type Core struct {
	config     Config
	index      *catalog.Index // the configuration; nil until there is one
	edges      edgeList
	workersOf  map[string][]*wire.Worker // listed workers, by service
	services   map[string]*service
	configured []*service // services, in the order of the configuration
	timed      []*service // includes all services with a timer or with messages that wait for a token: see pruneTimed
	messages   messageTable
	jobs       jobTable
	completed  completions
	edgePeak   slidingMax // of the number of edges
	replaced   replacedWorkers
	backlogged []*service // services whose queues are not empty
	stopping   bool
	mutations  mutations

	confirmedAt        time.Duration // the configuration was the newest at this time or later; valid if wasConfirmed
	wasConfirmed       bool
	awaitsConfirmation bool // a message waits for the next confirmation

	leasesValidFrom time.Duration // leases that were last confirmed before may have been revoked

	connectionsChanged bool // since the last call of Connections

	now           time.Duration
	moduleEvents  []moduleEvent
	actions       []Action
	moduleActions []ravendale.Action // buffer for a module's actions, reused
}

// moduleEvent is an event for the module of a service.
type moduleEvent struct {
	service *service
	event   ravendale.Event
}

// mutations are deliberate faults. Only tests set them, to show that the checks detect them.
type mutations struct {
	resetCountsAsNotRun bool // an attempt that may have run is handled as one that was not sent
	trustsRevokedLeases bool // a message is attempted although its store may have revoked its lease
	ignoresCompletions  bool // a completed message is run again if it is granted again

	dropsByUnconfirmedConfig bool // a message without a route is dropped by a configuration that may be outdated
	ignoresAcceptedVersion   bool // a message is delivered by a configuration that may be older than the one it was accepted under
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

// MessageBytes returns the memory used by the messages, in bytes.
func (c *Core) MessageBytes() int { return c.messages.bytes }

// Idle reports whether there are no messages.
func (c *Core) Idle() bool { return len(c.messages.byID) == 0 }

// InFlight returns the number of attempts in flight.
func (c *Core) InFlight() int { return c.jobs.inFlight() }

// MessageIDs returns the IDs of the messages that are leased to this edge, in no particular order.
func (c *Core) MessageIDs() []string { return slices.Collect(maps.Keys(c.messages.byID)) }

// Accepts reports whether this edge should deliver a new message of a service, with a body of size bytes. If this edge
// must not send to the service, or its wait for a token is long, the store grants the message to another edge.
func (c *Core) Accepts(now time.Duration, serviceName string, size int) bool {
	s := c.services[serviceName]
	full := c.config.MaxBodyBytes > 0 && c.messages.bytes+size > c.config.MaxBodyBytes
	return s != nil && !c.stopping && !full && s.tokenWait(max(now, c.now)) <= maxTokenWait
}

// beginEvent starts the handling of an event; endEvent finishes it.
func (c *Core) beginEvent(now time.Duration) { c.now, c.actions = max(now, c.now), nil }

// endEvent runs the modules, submits the queued messages that they can take, and returns the actions to execute.
func (c *Core) endEvent() []Action {
	for more := true; more; more = c.submitQueued() {
		c.runModules()
	}
	return c.actions
}

// runModules passes the queued events to the modules and executes their actions, which may queue further events.
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

// emit adds an action to those of the current event.
func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// queueEvent queues an event for a service's module, which handles it before the current event ends. The module's
// settings are updated first, if the list of edges has changed.
func (c *Core) queueEvent(s *service, event ravendale.Event) {
	if s.edgesVersion != c.edges.version {
		c.updateSettings(s)
	}
	c.moduleEvents = append(c.moduleEvents, moduleEvent{s, event})
}

// Next returns when Tick must be called next.
func (c *Core) Next() time.Duration {
	next := c.now + forever
	if c.replaced.nextExpiry > 0 {
		next = min(next, c.replaced.nextExpiry)
	}
	if first := c.messages.nextDue(); first != nil {
		next = min(next, first.dueAt)
	}
	c.pruneTimed()
	for _, s := range c.timed {
		next = min(next, s.timerAt)
		if len(s.rateLimited) > 0 && s.tokens != nil && s.openJobs < s.maxOpenJobs {
			next = min(next, s.tokens.nextToken(c.now))
		}
	}
	return next
}

// addTimed adds a service to c.timed: Next and Tick check only these, as few of many services have a timer or messages
// that wait for a token.
func (c *Core) addTimed(s *service) {
	if !s.isTimed {
		s.isTimed = true
		c.timed = append(c.timed, s)
	}
}

// pruneTimed removes the services that have neither a timer nor messages that wait for a token from c.timed.
func (c *Core) pruneTimed() {
	c.timed = slices.DeleteFunc(c.timed, func(s *service) bool {
		s.isTimed = s.timerAt < forever || len(s.rateLimited) > 0
		return !s.isTimed
	})
}

// Tick processes everything that is due.
func (c *Core) Tick(now time.Duration) []Action {
	c.beginEvent(now)
	if c.replaced.expire(c.now) {
		c.updateAllWorkers()
	}
	for first := c.messages.nextDue(); first != nil && first.dueAt <= c.now; first = c.messages.nextDue() {
		c.processDue(first)
	}
	for i := 0; i < len(c.timed); i++ { // sending may append to c.timed
		s := c.timed[i]
		if s.timerAt <= c.now {
			s.timerAt = forever
			c.queueEvent(s, ravendale.Event{Kind: ravendale.TimerFired})
		}
		c.submitRateLimited(s)
	}
	return c.endEvent()
}

// Stop releases all messages without an attempt in flight. From then on, a message is also released when its last
// attempt in flight ends without completing it.
func (c *Core) Stop(now time.Duration) []Action {
	c.beginEvent(now)
	c.stopping = true
	for _, m := range c.messages.byID {
		if m.phase != phaseReported && (m.phase != phaseSubmitted || !m.job.isInFlight()) {
			c.release(m)
		}
	}
	return c.endEvent()
}
