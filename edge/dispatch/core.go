package dispatch

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"ravendale"
	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// Config of a Core.
type Config struct {
	Topology  Topology
	Window    time.Duration // of ceilings
	Overshoot float64       // of ceilings
	Converge  time.Duration // a route that is missing here may be new: granted messages wait so long for it
	MaxBodies int           // bytes of held messages; more is given back
	Seed      uint64
}

// Core holds messages and decides about their delivery. Times are steady and never go back. It is not safe for concurrent use.
type Core struct {
	config       Config
	index        *catalog.Index
	workers      *wire.Workers
	services     map[string]*service
	messages     map[string]*message
	agenda       schedule
	jobs         map[JobID]*job
	lastJob      JobID
	completed    completions
	edgePeak     peak
	replaced     replacedWorkers
	backlogged   []*service // whose queues are not empty
	messageBytes int        // bytes
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

// mutations takes guards away. Only tests set it, to show that they notice.
type mutations struct {
	resetCountsAsNotRun bool // what may have run counts as not sent
	forgetsCompleted    bool // what has ended here is run again if it is handed out anew
}

// NewCore returns a Core that holds nothing and knows no configuration.
func NewCore(config Config) *Core {
	return &Core{
		config: config, services: make(map[string]*service), messages: make(map[string]*message), jobs: make(map[JobID]*job),
		replaced: replacedWorkers{until: make(map[string]time.Duration)},
	}
}

// MessageBytes is how many bytes the held messages take.
func (c *Core) MessageBytes() int { return c.messageBytes }

// Idle says whether no message is held any more.
func (c *Core) Idle() bool { return len(c.messages) == 0 }

// InFlight counts attempts under way.
func (c *Core) InFlight() int {
	count := 0
	for _, j := range c.jobs {
		count += j.inFlight
	}
	return count
}

// MessageIDs names the held messages.
func (c *Core) MessageIDs() []string { return slices.Collect(maps.Keys(c.messages)) }

// Accepts says whether this edge should deliver a new message of a service, with a body of a size. Where it may not send, or
// others have shorter lines, the stores hand it to one of those.
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

// runModules has the modules handle what happened, and what follows from it.
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

// Accept takes a message that was put by this edge and kept. It may have been granted whole, and have ended, before that.
func (c *Core) Accept(now time.Duration, m *wire.Message, granted bool) []Action {
	c.begin(now)
	if c.messages[m.ID] == nil && !c.resendReport(m.ID) {
		c.add(m, arrival{granted: granted})
	}
	return c.end()
}

// resendReport reports once more how a message ended here, and says whether it did.
func (c *Core) resendReport(id string) bool {
	report, known := c.completed.find(c.now, id)
	known = known && !c.mutations.forgetsCompleted
	if known {
		c.emit(Report{report})
	}
	return known
}

// Grant takes a store's grant. A whole message is due: the store, whose steady clock has counted since it was sent, keeps its
// delay, and its end too. The time of day says nothing reliable of either. What ended here is not run again: the store that
// hands it out has not heard of that, as when it has just become the primary.
func (c *Core) Grant(now time.Duration, g *wire.Grant) []Action {
	c.begin(now)
	m := c.messages[g.ID]
	switch {
	case m != nil && m.phase != phaseReported:
		c.setGranted(m, g.Failed)
	case m != nil && !m.released: // its report is repeated until it is acknowledged
	case c.resendReport(g.ID):
	case g.Whole:
		c.addGranted(g)
	case m == nil:
		c.report(wire.Report{ID: g.ID, Kind: wire.ReportReleased, Failed: g.Failed})
	}
	return c.end()
}

func (c *Core) addGranted(g *wire.Grant) {
	message := g.Message
	message.ID = g.ID
	message.DelayMs = 0
	from := arrival{granted: true, failedAttempts: g.Failed, routeTimeout: c.config.Converge}
	from.overLimit = c.config.MaxBodies > 0 && c.messageBytes+len(message.Body) > c.config.MaxBodies
	if from.overLimit {
		message.Body = nil
	}
	c.add(&message, from)
}

func (c *Core) setGranted(m *message, failed uint16) {
	m.failedAttempts = max(m.failedAttempts, failed)
	if m.granted {
		return
	}
	m.granted = true
	if m.phase == phaseKeyOrder {
		c.deferUntil(m, m.notBefore)
	}
}

// arrival says how a message came.
type arrival struct {
	granted        bool
	failedAttempts uint16
	routeTimeout   time.Duration // for a route that is not known here yet
	overLimit      bool          // there is no room for it
}

func (c *Core) add(source *wire.Message, from arrival) {
	m := &message{Message: *source, granted: from.granted, failedAttempts: from.failedAttempts, dropAfter: c.now + from.routeTimeout, heapIndex: -1}
	m.bytes = len(m.Body) + messageOverhead
	c.messageBytes += m.bytes
	m.notBefore = c.now + time.Duration(m.DelayMs)*time.Millisecond
	m.expiresAt = c.now + forever
	if m.RetentionMs > 0 {
		m.expiresAt = c.now + time.Duration(m.RetentionMs)*time.Millisecond + expiryMargin
	}
	c.messages[m.ID] = m
	switch {
	case c.stopping:
		c.release(m)
	case from.overLimit:
		c.scheduleAt(m, phaseReleasing, c.now+releaseDelay)
	case m.isGranted():
		c.deferUntil(m, max(m.notBefore, c.now))
	default:
		c.scheduleAt(m, phaseKeyOrder, m.expiresAt)
	}
}

// scheduleAt has a message looked at at a time.
func (c *Core) scheduleAt(m *message, p phase, due time.Duration) {
	m.phase, m.dueAt = p, due
	if m.heapIndex < 0 {
		heap.Push(&c.agenda, m)
	} else {
		heap.Fix(&c.agenda, m.heapIndex)
	}
}

func (c *Core) removeScheduled(m *message) {
	if m.heapIndex >= 0 {
		heap.Remove(&c.agenda, m.heapIndex)
	}
}

// deferUntil has a message tried at a time: now if that has come.
func (c *Core) deferUntil(m *message, until time.Duration) {
	c.scheduleAt(m, phaseDeferred, until)
	if until <= c.now {
		c.admit(m)
	}
}

// backOff has a message that nothing ran tried again, at growing intervals.
func (c *Core) backOff(m *message) {
	pause := min(minBackoff<<min(m.backoffs, 10), maxBackoff)
	m.backoffs++
	c.deferUntil(m, c.now+pause)
}

// route finds a message's route and service in the newest configuration. Gone says that the message has to end.
func (c *Core) route(m *message) (route *catalog.Route, s *service, dropped bool) {
	if c.index == nil {
		return nil, nil, false
	}
	route = c.index.Match(m.Host, m.path())
	if !deliverable(route) {
		return nil, nil, c.now >= m.dropAfter
	}
	return route, c.services[route.Service], false
}

// admit hands a message that is due to its service's module, or has it wait for what is missing.
func (c *Core) admit(m *message) {
	if c.now >= m.expiresAt {
		c.finish(m, wire.Report{Kind: wire.ReportExpired})
		return
	}
	route, s, dropped := c.route(m)
	switch {
	case dropped:
		c.finish(m, wire.Report{Kind: wire.ReportDropped})
	case s == nil || s.readyWorkers == 0:
		c.backOff(m)
	case s.bucket == nil:
		m.startTarget = m.notBefore + milliseconds(route.StartTargetMs)
		c.enqueue(m, s)
	case s.bucket.share.Burst == 0:
		c.scheduleAt(m, phaseReleasing, c.now+releaseDelay)
	case len(s.rateLimited) == 0 && s.openJobs < s.maxOpenJobs && s.bucket.take(c.now):
		c.submit(m, s, true)
	default:
		m.service = s
		s.rateLimited = append(s.rateLimited, m)
		c.scheduleAt(m, phaseRateLimited, m.expiresAt)
	}
}

// withdraw ends a message's stay with its module, or in the line for a token.
func (c *Core) withdraw(m *message) {
	switch {
	case m.phase == phaseRateLimited:
		m.service.rateLimited = slices.DeleteFunc(m.service.rateLimited, func(other *message) bool { return other == m })
	case m.phase == phaseQueued:
		c.dequeue(m)
	case m.job != nil:
		c.withdrawJob(m.job)
	}
	m.job, m.service = nil, nil
}

// finish ends a message here. It is held, without its body, until the queue has acknowledged the report.
func (c *Core) finish(m *message, report wire.Report) {
	c.withdraw(m)
	c.removeScheduled(m)
	m.phase = phaseReported
	c.messageBytes -= m.bytes
	m.bytes = 0
	m.Body = nil
	report.ID, report.Failed = m.ID, m.failedAttempts
	c.report(report)
}

// succeed ends a message that a worker has run, whether or not it is still held here: whoever has it now must not run it again.
func (c *Core) succeed(m *message, signature string) {
	done := wire.Report{ID: m.ID, Kind: wire.ReportDone, Failed: m.failedAttempts, Signature: signature}
	if owned := c.messages[m.ID]; owned != nil && owned.phase != phaseReported {
		c.finish(owned, done)
		return
	}
	if _, known := c.completed.find(c.now, m.ID); !known {
		c.report(done)
	}
}

func (c *Core) release(m *message) {
	m.released = true
	c.finish(m, wire.Report{Kind: wire.ReportReleased})
}

func (c *Core) report(r wire.Report) {
	r.Partition, _ = wire.PartitionOf(r.ID)
	if r.Kind != wire.ReportFailed && r.Kind != wire.ReportReleased {
		c.completed.add(c.now, r)
	}
	c.emit(Report{r})
}

// Acknowledged hears that the queue has a message's last report.
func (c *Core) Acknowledged(now time.Duration, id string) []Action {
	c.begin(now)
	if m := c.messages[id]; m != nil && m.phase == phaseReported {
		delete(c.messages, id)
	}
	return c.end()
}

// Unknown hears that the queue does not know a message as pending: it has ended.
func (c *Core) Unknown(now time.Duration, id string) []Action {
	c.begin(now)
	if m := c.messages[id]; m != nil && m.phase != phaseReported {
		c.withdraw(m)
		c.removeScheduled(m)
		c.messageBytes -= m.bytes
		delete(c.messages, id)
	}
	return c.end()
}

// Next is when Tick is due.
func (c *Core) Next() time.Duration {
	next := c.now + forever
	if c.replaced.next > 0 {
		next = min(next, c.replaced.next)
	}
	if len(c.agenda) > 0 {
		next = min(next, c.agenda[0].dueAt)
	}
	for _, s := range c.services {
		next = min(next, s.timerAt)
		if len(s.rateLimited) > 0 && s.bucket != nil && s.openJobs < s.maxOpenJobs {
			next = min(next, s.bucket.next(c.now))
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
	for len(c.agenda) > 0 && c.agenda[0].dueAt <= c.now {
		c.processDue(c.agenda[0])
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

// processDue does what is due for a message, and moves it on in the agenda.
func (c *Core) processDue(m *message) {
	switch {
	case m.phase == phaseDeferred:
		c.admit(m)
	case m.phase == phaseReleasing:
		c.release(m)
	case m.phase == phaseSubmitted && m.job.isInFlight():
		c.scheduleAt(m, phaseSubmitted, c.now+moduleTimeout)
	case m.phase == phaseSubmitted:
		s := m.service
		c.withdraw(m)
		c.requeue(m, s)
	default: // nothing but its expiry is due
		c.finish(m, wire.Report{Kind: wire.ReportExpired})
	}
}

// sendRateLimited hands over throttled messages while there are tokens.
func (c *Core) sendRateLimited(s *service) {
	for len(s.rateLimited) > 0 && s.bucket != nil && s.openJobs < s.maxOpenJobs && s.bucket.take(c.now) {
		m := s.rateLimited[0]
		s.rateLimited = slices.Delete(s.rateLimited, 0, 1)
		if _, current, dropped := c.route(m); dropped || current != s || s.readyWorkers == 0 {
			s.bucket.tokens++
			m.service = nil
			c.scheduleAt(m, phaseDeferred, c.now)
			c.admit(m)
			continue
		}
		c.submit(m, s, true)
	}
}

// Stop gives back all that is not under way, and from then on all that does not end with a report.
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
