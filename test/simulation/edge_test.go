package simulation

import (
	"fmt"
	"time"

	"ravendale/cluster/member"
	"ravendale/cluster/wire"
	"ravendale/edge/dispatch"
	"ravendale/edge/queueclient"
	"ravendale/edge/worker"
)

// startEdge creates the queue client and the dispatch manager of an edge, as cmd/ravendale-edge does.
func (p *process) startEdge(l *incarnation, id string) {
	config := dispatch.Config{
		Topology: dispatch.Topology{Edge: id, Zone: p.zone, Zones: p.world.zones()},
		Window:   rateWindow, Overshoot: rateOvershoot, MaxBodyBytes: 1 << 24,
	}
	p.appliedVersions = [wire.TopicCount]wire.Version{}
	p.dispatcher = dispatch.NewManagerOn(l, config, &deliveries{process: p, incarnation: l})
	dispatcher, ends := p.dispatcher, make(map[string]wire.ReportKind)
	p.client = queueclient.New(queueclient.Config{
		Edge: id, Zone: p.zone, Log: l.log(), Host: l, Confirmed: dispatcher.Confirmed, Unknown: dispatcher.Unknown, Leased: dispatcher.MessageIDs,
		Accepted: func(m *wire.Message, granted bool) {
			p.world.messages.assigned(m.RequestID, l)
			dispatcher.Accept(m, granted)
		},
		Granted: func(g *wire.Grant) {
			if p.world.trustsOwnConfig() {
				defer dispatcher.ConfirmConfig(l.now())
			}
			if g.HasMessage {
				p.world.log("%s is granted %s (%s) with its content in epoch %d, sent at %v", p.name, g.Message.RequestID, g.ID, g.Epoch, p.world.messages.byName[g.Message.RequestID].sentAt)
				p.world.messages.assigned(g.Message.RequestID, l)
			}
			dispatcher.Grant(g)
		},
		Acknowledged: func(id string) {
			if kind, ended := ends[id]; ended { // otherwise the client itself has released or dropped it
				p.world.messages.acknowledged(id, kind)
			}
			dispatcher.Acknowledged(id)
		},
	})
	p.client.Handle(p.handlers)
	dispatcher.SetQueue(&reporter{Client: p.client, messages: p.world.messages, ends: ends})
}

// reporter records the reports of an edge about the end of messages.
type reporter struct {
	*queueclient.Client
	messages *messages
	ends     map[string]wire.ReportKind
}

// Report implements dispatch.Queue.
func (r *reporter) Report(report wire.Report) {
	r.ends[report.ID] = report.Kind
	r.messages.reported(&report)
	r.Client.Report(report)
}

// applyToEdge passes the topics that have a newer version to the parts of the edge that need them.
func (p *process) applyToEdge(s *member.Snapshot) {
	newer := func(topic wire.Topic) bool {
		if !p.appliedVersions[topic].Less(s.Versions[topic]) {
			return false
		}
		p.appliedVersions[topic] = s.Versions[topic]
		return true
	}
	if newer(wire.TopicMembers) && s.Members != nil {
		p.dispatcher.SetEdges(s.Members.Edges)
	}
	if newer(wire.TopicWorkers) && s.Workers != nil {
		p.dispatcher.SetWorkers(s.Workers)
	}
	if newer(wire.TopicConfig) && s.Catalog != nil {
		p.world.messages.configs[s.Catalog.Config().Version] = s.Catalog // before the edge reports messages that it drops by it
		p.dispatcher.ApplyConfig(s.Catalog)
		p.client.SetConfigVersion(s.Catalog.Config().Version)
	}
	if newer(wire.TopicStores) {
		p.client.SetView(s.Stores)
	}
}

func (w *world) trustsOwnConfig() bool {
	return w.mutant == trustsOwnConfig || w.mutant == dropsByOwnConfig
}

// configConfirmed passes the leader's confirmation of the configuration to the dispatcher, as cmd/ravendale-edge does.
func (p *process) configConfirmed(at time.Duration) {
	if !p.agent.Current() {
		return
	}
	p.applyToEdge(p.agent.Snapshot())
	p.dispatcher.ConfirmConfig(at)
}

// usable reports whether an edge accepts messages.
func (p *process) usable() bool {
	return p.edge && p.incarnation != nil && !p.frozen && p.agent.Current() && p.client.Usable() && p.dispatcher.Index() != nil
}

// Services of the simulated workers.
const (
	plainService     = "jobs"
	alternateService = "alternate"
	limitedService   = "limited"
	limitedRate      = 20
	orderedPath      = "/ordered/"
	changingPath     = "/changing/" // each version of the configuration has another route for it, or none

	rateWindow    = 5 * time.Second
	rateOvershoot = 1.1
	routeRetries  = 8 // retries of each route
)

// submitMessages sends messages to random usable edges until traffic stops.
func (w *world) submitMessages() {
	w.after(w.drawUpTo(2*meanMessageInterval), w.submitMessages)
	if w.trafficStopped {
		return
	}
	var usable []*process
	for _, p := range w.processes() {
		if p.usable() {
			usable = append(usable, p)
		}
	}
	if len(usable) > 0 {
		w.submitMessage(usable[w.random.IntN(len(usable))])
	}
}

const meanMessageInterval = 60 * time.Millisecond

func (w *world) submitMessage(p *process) {
	r := w.messages.newMessage()
	m := &wire.Message{
		RequestID: r.name, Route: "plain", Method: "POST", Host: "h", Target: "/jobs/" + r.name, Retries: routeRetries, Body: []byte(r.name),
		SentUnixMs: p.time().UnixMs, RetentionMs: 600_000,
	}
	switch w.random.IntN(5) {
	case 4:
		r.changing = true
		m.Route, m.Target = "changing", changingPath+r.name
	case 0:
		m.Route, m.Target = "limited", "/limited/"+r.name
		r.service = limitedService
	case 1, 2:
		r.key = fmt.Sprint("key-", w.random.IntN(5))
		m.Route, m.Target, m.Key, m.Ordered = "ordered", orderedPath+r.name, r.key, true
	}
	client, dispatcher := p.client, p.dispatcher
	index := dispatcher.Index()
	route := index.Match(m.Host, m.Target)
	if route == nil {
		return // answered with 404
	}
	service := route.Service
	r.target, r.configVersion = m.Target, index.Config().Version
	configVersion := r.configVersion
	if w.mutant == acceptsWithoutVersion || w.trustsOwnConfig() {
		configVersion = 0
	}
	leaves := r.changing && w.random.IntN(2) == 0 // to another edge, as one without memory for the body does
	p.incarnation.startTask(func() {
		limits := queueclient.Limits{Attempt: time.Second, Answer: time.Second, LateAnswer: 2 * time.Second}
		if client.Put(m, configVersion, !leaves && dispatcher.Accepts(service, len(m.Body)), limits) == queueclient.Accepted {
			w.messages.accepted(r, m.ID)
		}
	})
}

// deliveries delivers messages of an edge to the simulated workers. It implements dispatch.Workers.
type deliveries struct {
	process     *process
	incarnation *incarnation
}

// SetLimits implements dispatch.Workers.
func (d *deliveries) SetLimits(map[string]worker.Share) {}

// delivery is one call of a worker. It implements dispatch.Call.
type delivery struct {
	incarnation *incarnation
	done        func(worker.Result)
	name        string
	began       time.Duration
	ended       bool
}

// Start implements dispatch.Workers.
func (d *deliveries) Start(delivered *worker.Delivery, done func(worker.Result)) dispatch.Call {
	w := d.process.world
	call := &delivery{incarnation: d.incarnation, done: done, name: delivered.RequestID, began: d.incarnation.now()}
	server := w.servers[delivered.Worker]
	name, limit := delivered.RequestID, delivered.Limit
	if server == nil || server.unreachable {
		call.end(w.drawBetween(200*time.Millisecond, 300*time.Millisecond), worker.Unreachable)
		return call
	}
	w.after(w.drawBetween(minLatency, maxLatency), func() { server.run(call, name, limit) })
	return call
}

// Cancel implements dispatch.Call.
func (c *delivery) Cancel() { c.end(0, worker.Cancelled) }

// end reports the outcome to the edge after a delay, unless the call has ended before.
func (c *delivery) end(after time.Duration, outcome worker.Outcome) {
	c.incarnation.after(after, func() {
		if !c.ended {
			c.ended = true
			c.incarnation.machine.world.log("%s: outcome %d at %s", c.name, outcome, c.incarnation.machine.name)
			c.done(worker.Result{Outcome: outcome, Signature: "signed", Took: c.incarnation.now() - c.began})
		}
	})
}

// server is a simulated worker. It finishes a run even if the edge that started it has ended.
type server struct {
	world               *world
	name                string
	service             string
	capacity            int
	unreachable         bool
	incarnations        int
	running             map[string]bool
	answerLossPercent   int // percentage of answers that are lost
	brokenAnswerPercent int // percentage of answers that are unreadable
	slow                bool
}

func (w *world) newServer(name, service string) {
	w.servers[name] = &server{world: w, name: name, service: service, capacity: 8, running: make(map[string]bool)}
}

// run runs a message for an edge, or rejects it if the worker is down, at capacity or already running that message.
func (s *server) run(call *delivery, name string, limit time.Duration) {
	w := s.world
	answerDelay := func() time.Duration { return w.drawBetween(minLatency, maxLatency) }
	switch {
	case s.unreachable:
		call.end(w.drawBetween(200*time.Millisecond, 300*time.Millisecond), worker.Unreachable)
		return
	case s.running[name]:
		call.end(answerDelay(), worker.Duplicate)
		return
	case len(s.running) >= s.capacity:
		call.end(answerDelay(), worker.AtCapacity)
		return
	}
	s.running[name] = true
	run := w.messages.runStarted(name, s, call.incarnation)
	duration, incarnation := w.drawBetween(5*time.Millisecond, 60*time.Millisecond), s.incarnations
	if s.slow {
		duration *= 5
	}
	if duration > limit {
		call.end(limit, worker.TimedOut)
	}
	w.after(duration, func() {
		if s.incarnations != incarnation {
			call.end(limit, worker.TimedOut) // the worker crashed during the run
			return
		}
		delete(s.running, name)
		if w.random.IntN(40) == 0 {
			w.messages.runEnded(run, false)
			call.end(answerDelay(), worker.Failed)
			return
		}
		w.messages.runEnded(run, true)
		switch {
		case w.random.IntN(100) < s.answerLossPercent:
			w.countFault("answer_lost")
			call.end(limit, worker.TimedOut)
		case w.random.IntN(100) < s.brokenAnswerPercent:
			w.countFault("garble")
			call.end(answerDelay(), worker.Broken)
		default:
			call.end(answerDelay(), worker.Done)
		}
	})
}
