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
	config   Config
	index    *catalog.Index
	workers  *wire.Workers
	services map[string]*service
	messages map[string]*message
	agenda   agenda
	jobs     map[JobID]*job
	lastJob  JobID
	endings  endings
	edges    peak
	gone     gone
	queues   []*service // whose queues are not empty
	held     int        // bytes
	stopping bool
	mutant   mutant

	now     time.Duration
	events  []moduleEvent
	actions []Action
	acts    []ravendale.Action // of a module, used again
}

type moduleEvent struct {
	service *service
	event   ravendale.Event
}

// mutant takes guards away. Only tests set it, to show that they notice.
type mutant struct {
	resetIsNotRun  bool // what may have run counts as not sent
	forgetsEndings bool // what has ended here is run again if it is handed out anew
}

// NewCore returns a Core that holds nothing and knows no configuration.
func NewCore(config Config) *Core {
	return &Core{
		config: config, services: make(map[string]*service), messages: make(map[string]*message), jobs: make(map[JobID]*job),
		gone: gone{until: make(map[string]time.Duration)},
	}
}

// Held is how many bytes the held messages take.
func (c *Core) Held() int { return c.held }

// Idle says whether no message is held any more.
func (c *Core) Idle() bool { return len(c.messages) == 0 }

// Running counts attempts under way.
func (c *Core) Running() int {
	count := 0
	for _, j := range c.jobs {
		count += j.out
	}
	return count
}

// IDs names the held messages.
func (c *Core) IDs() []string { return slices.Collect(maps.Keys(c.messages)) }

// Takes says whether this edge should deliver a new message of a service, with a body of a size. Where it may not send, or
// others have shorter lines, the stores hand it to one of those.
func (c *Core) Takes(now time.Duration, name string, size int) bool {
	s := c.services[name]
	full := c.config.MaxBodies > 0 && c.held+size > c.config.MaxBodies
	return s != nil && !c.stopping && !full && s.line(max(now, c.now)) <= longestLine
}

// begin starts the handling of an event, and end finishes it.
func (c *Core) begin(now time.Duration) { c.now, c.actions = max(now, c.now), nil }

func (c *Core) end() []Action {
	for more := true; more; more = c.handQueued() {
		c.handleEvents()
	}
	return c.actions
}

// handleEvents has the modules handle what happened, and what follows from it.
func (c *Core) handleEvents() {
	for len(c.events) > 0 {
		e := c.events[0]
		c.events = c.events[1:]
		c.acts = e.service.module.Handle(c.now, &e.event, c.acts[:0])
		for _, a := range c.acts {
			c.carryOut(e.service, a)
		}
	}
	c.events = nil
}

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

func (c *Core) feed(s *service, event ravendale.Event) {
	c.events = append(c.events, moduleEvent{s, event})
}

// Accept takes a message that was put by this edge and kept. It may have been granted whole, and have ended, before that.
func (c *Core) Accept(now time.Duration, m *wire.Message, granted bool) []Action {
	c.begin(now)
	if c.messages[m.ID] == nil && !c.repeatEnding(m.ID) {
		c.hold(m, arrival{granted: granted})
	}
	return c.end()
}

// repeatEnding reports once more how a message ended here, and says whether it did.
func (c *Core) repeatEnding(id string) bool {
	past, ended := c.endings.find(c.now, id)
	ended = ended && !c.mutant.forgetsEndings
	if ended {
		c.act(Report{past})
	}
	return ended
}

// Grant takes a store's grant. A whole message is due: the store, whose steady clock has counted since it was sent, keeps its
// delay, and its end too. The time of day says nothing reliable of either. What ended here is not run again: the store that
// hands it out has not heard of that, as when it has just become the primary.
func (c *Core) Grant(now time.Duration, g *wire.Grant) []Action {
	c.begin(now)
	m := c.messages[g.ID]
	switch {
	case m != nil && m.phase != reported:
		c.grant(m, g.Failed)
	case m != nil && !m.released: // its report is repeated until it is acknowledged
	case c.repeatEnding(g.ID):
	case g.Whole:
		c.take(g)
	case m == nil:
		c.report(wire.Report{ID: g.ID, Kind: wire.ReportReleased, Failed: g.Failed})
	}
	return c.end()
}

func (c *Core) take(g *wire.Grant) {
	whole := g.Message
	whole.ID = g.ID
	whole.DelayMs = 0
	from := arrival{granted: true, failed: g.Failed, patience: c.config.Converge}
	from.excess = c.config.MaxBodies > 0 && c.held+len(whole.Body) > c.config.MaxBodies
	if from.excess {
		whole.Body = nil
	}
	c.hold(&whole, from)
}

func (c *Core) grant(m *message, failed uint16) {
	m.failed = max(m.failed, failed)
	if m.granted {
		return
	}
	m.granted = true
	if m.phase == ungranted {
		c.wait(m, m.start)
	}
}

// arrival says how a message came.
type arrival struct {
	granted  bool
	failed   uint16
	patience time.Duration // for a route that is not known here yet
	excess   bool          // there is no room for it
}

func (c *Core) hold(whole *wire.Message, from arrival) {
	m := &message{Message: *whole, granted: from.granted, failed: from.failed, dropAt: c.now + from.patience, position: -1}
	m.size = len(m.Body) + messageOverhead
	c.held += m.size
	m.start = c.now + time.Duration(m.DelayMs)*time.Millisecond
	m.expires = c.now + forever
	if m.RetentionMs > 0 {
		m.expires = c.now + time.Duration(m.RetentionMs)*time.Millisecond + expirySlack
	}
	c.messages[m.ID] = m
	switch {
	case c.stopping:
		c.release(m)
	case from.excess:
		c.schedule(m, returning, c.now+returnPause)
	case m.ready():
		c.wait(m, max(m.start, c.now))
	default:
		c.schedule(m, ungranted, m.expires)
	}
}

// schedule has a message looked at at a time.
func (c *Core) schedule(m *message, p phase, due time.Duration) {
	m.phase, m.due = p, due
	if m.position < 0 {
		heap.Push(&c.agenda, m)
	} else {
		heap.Fix(&c.agenda, m.position)
	}
}

func (c *Core) unschedule(m *message) {
	if m.position >= 0 {
		heap.Remove(&c.agenda, m.position)
	}
}

// wait has a message tried at a time: now if that has come.
func (c *Core) wait(m *message, until time.Duration) {
	c.schedule(m, waiting, until)
	if until <= c.now {
		c.try(m)
	}
}

// pause has a message that nothing ran tried again, at growing intervals.
func (c *Core) pause(m *message) {
	pause := min(firstPause<<min(m.pauses, 10), longestPause)
	m.pauses++
	c.wait(m, c.now+pause)
}

// route finds a message's route and service in the newest configuration. Gone says that the message has to end.
func (c *Core) route(m *message) (route *catalog.Route, s *service, gone bool) {
	if c.index == nil {
		return nil, nil, false
	}
	route = c.index.Match(m.Host, m.path())
	if !deliverable(route) {
		return nil, nil, c.now >= m.dropAt
	}
	return route, c.services[route.Service], false
}

// try hands a message that is due to its service's module, or has it wait for what is missing.
func (c *Core) try(m *message) {
	if c.now >= m.expires {
		c.finish(m, wire.Report{Kind: wire.ReportExpired})
		return
	}
	route, s, gone := c.route(m)
	switch {
	case gone:
		c.finish(m, wire.Report{Kind: wire.ReportDropped})
	case s == nil || s.ready == 0:
		c.pause(m)
	case s.bucket == nil:
		m.beginBy = m.start + milliseconds(route.StartTargetMs)
		c.enqueue(m, s)
	case s.bucket.share.Burst == 0:
		c.schedule(m, returning, c.now+returnPause)
	case len(s.throttled) == 0 && s.open < s.room && s.bucket.take(c.now):
		c.handOver(m, s, true)
	default:
		m.service = s
		s.throttled = append(s.throttled, m)
		c.schedule(m, throttled, m.expires)
	}
}

// leave ends a message's stay with its module, or in the line for a token.
func (c *Core) leave(m *message) {
	switch {
	case m.phase == throttled:
		m.service.throttled = slices.DeleteFunc(m.service.throttled, func(other *message) bool { return other == m })
	case m.phase == queued:
		c.dequeue(m)
	case m.job != nil:
		c.close(m.job)
	}
	m.job, m.service = nil, nil
}

// finish ends a message here. It is held, without its body, until the queue has acknowledged the report.
func (c *Core) finish(m *message, report wire.Report) {
	c.leave(m)
	c.unschedule(m)
	m.phase = reported
	c.held -= m.size
	m.size = 0
	m.Body = nil
	report.ID, report.Failed = m.ID, m.failed
	c.report(report)
}

// succeed ends a message that a worker has run, whether or not it is still held here: whoever has it now must not run it again.
func (c *Core) succeed(m *message, signature string) {
	done := wire.Report{ID: m.ID, Kind: wire.ReportDone, Failed: m.failed, Signature: signature}
	if held := c.messages[m.ID]; held != nil && held.phase != reported {
		c.finish(held, done)
		return
	}
	if _, ended := c.endings.find(c.now, m.ID); !ended {
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
		c.endings.add(c.now, r)
	}
	c.act(Report{r})
}

// Acknowledged hears that the queue has a message's last report.
func (c *Core) Acknowledged(now time.Duration, id string) []Action {
	c.begin(now)
	if m := c.messages[id]; m != nil && m.phase == reported {
		delete(c.messages, id)
	}
	return c.end()
}

// Unknown hears that the queue does not know a message as pending: it has ended.
func (c *Core) Unknown(now time.Duration, id string) []Action {
	c.begin(now)
	if m := c.messages[id]; m != nil && m.phase != reported {
		c.leave(m)
		c.unschedule(m)
		c.held -= m.size
		delete(c.messages, id)
	}
	return c.end()
}

// Next is when Tick is due.
func (c *Core) Next() time.Duration {
	next := c.now + forever
	if c.gone.next > 0 {
		next = min(next, c.gone.next)
	}
	if len(c.agenda) > 0 {
		next = min(next, c.agenda[0].due)
	}
	for _, s := range c.services {
		next = min(next, s.timer)
		if len(s.throttled) > 0 && s.bucket != nil && s.open < s.room {
			next = min(next, s.bucket.next(c.now))
		}
	}
	return next
}

// Tick does what is due.
func (c *Core) Tick(now time.Duration) []Action {
	c.begin(now)
	if c.gone.forget(c.now) {
		c.retuneAll()
	}
	for len(c.agenda) > 0 && c.agenda[0].due <= c.now {
		c.look(c.agenda[0])
	}
	for _, s := range c.services {
		if s.timer <= c.now {
			s.timer = forever
			c.feed(s, ravendale.Event{Kind: ravendale.TimerFired})
		}
		c.spend(s)
	}
	return c.end()
}

// look does what is due for a message, and moves it on in the agenda.
func (c *Core) look(m *message) {
	switch {
	case m.phase == waiting:
		c.try(m)
	case m.phase == returning:
		c.release(m)
	case m.phase == handed && m.job.live():
		c.schedule(m, handed, c.now+giveBack)
	case m.phase == handed:
		s := m.service
		c.leave(m)
		c.requeue(m, s)
	default: // nothing but its expiry is due
		c.finish(m, wire.Report{Kind: wire.ReportExpired})
	}
}

// spend hands over throttled messages while there are tokens.
func (c *Core) spend(s *service) {
	for len(s.throttled) > 0 && s.bucket != nil && s.open < s.room && s.bucket.take(c.now) {
		m := s.throttled[0]
		s.throttled = slices.Delete(s.throttled, 0, 1)
		if _, current, gone := c.route(m); gone || current != s || s.ready == 0 {
			s.bucket.tokens++
			m.service = nil
			c.schedule(m, waiting, c.now)
			c.try(m)
			continue
		}
		c.handOver(m, s, true)
	}
}

// Stop gives back all that is not under way, and from then on all that does not end with a report.
func (c *Core) Stop(now time.Duration) []Action {
	c.begin(now)
	c.stopping = true
	for _, m := range c.messages {
		if m.phase != reported && (m.phase != handed || !m.job.live()) {
			c.release(m)
		}
	}
	return c.end()
}
