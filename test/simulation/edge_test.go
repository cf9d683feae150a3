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

// startEdge makes the queue's client and the dispatch manager of an edge, as cmd/ravendale-edge does.
func (p *process) startEdge(l *incarnation, id string) {
	config := dispatch.Config{
		Topology: dispatch.Topology{Edge: id, Zone: p.zone, Zones: p.world.zones()},
		Window:   rateWindow, Overshoot: rateOvershoot, ConvergenceTime: converge, MaxBodyBytes: 1 << 24,
	}
	p.taken = [wire.TopicCount]wire.Version{}
	p.dispatcher = dispatch.NewManagerOn(l, config, &deliveries{process: p, incarnation: l})
	dispatcher, ends := p.dispatcher, make(map[string]wire.ReportKind)
	p.client = queueclient.New(queueclient.Config{
		Edge: id, Zone: p.zone, Log: l.log(), Host: l, Unknown: dispatcher.Unknown, Leased: dispatcher.MessageIDs,
		Accepted: func(m *wire.Message, granted bool) {
			p.world.messages.given(m.RequestID, l)
			dispatcher.Accept(m, granted)
		},
		Granted: func(g *wire.Grant) {
			if g.HasMessage {
				p.world.log("%s is granted %s (%s) whole in epoch %d, sent at %v", p.name, g.Message.RequestID, g.ID, g.Epoch, p.world.messages.byName[g.Message.RequestID].sentAt)
				p.world.messages.given(g.Message.RequestID, l)
			}
			dispatcher.Grant(g)
		},
		Acknowledged: func(id string) {
			p.world.messages.acknowledged(id, ends[id])
			dispatcher.Acknowledged(id)
		},
	})
	p.client.Handle(p.box)
	dispatcher.SetQueue(&reporter{Client: p.client, messages: p.world.messages, ends: ends})
}

// reporter notes how an edge says that messages end.
type reporter struct {
	*queueclient.Client
	messages *messages
	ends     map[string]wire.ReportKind
}

// Report implements dispatch.Queue.
func (r *reporter) Report(report wire.Report) {
	r.ends[report.ID] = report.Kind
	r.messages.reported(report.ID, report.Kind)
	r.Client.Report(report)
}

// takeEdge hands what is newer to the parts that need it.
func (p *process) takeEdge(s *member.Snapshot) {
	newer := func(topic wire.Topic) bool {
		if !p.taken[topic].Less(s.Versions[topic]) {
			return false
		}
		p.taken[topic] = s.Versions[topic]
		return true
	}
	if newer(wire.TopicMembers) && s.Members != nil {
		p.dispatcher.SetEdges(s.Members.Edges)
	}
	if newer(wire.TopicWorkers) && s.Workers != nil {
		p.dispatcher.SetWorkers(s.Workers)
	}
	if newer(wire.TopicConfig) && s.Catalog != nil {
		p.dispatcher.ApplyConfig(s.Catalog)
	}
	if newer(wire.TopicStores) {
		p.client.SetView(s.Stores)
	}
}

// usable says whether an edge takes messages.
func (p *process) usable() bool {
	return p.edge && p.incarnation != nil && !p.frozen && p.agent.Current() && p.client.Usable() && p.dispatcher.Index() != nil
}

// Services of the simulated workers.
const (
	plainService   = "jobs"
	limitedService = "limited"
	limitedRate    = 20
	orderedPath    = "/ordered/"

	rateWindow    = 5 * time.Second
	rateOvershoot = 1.1
	attempts      = 8 // of each route
)

// submitMessages has a client send one message after the other.
func (w *world) submitMessages() {
	w.after(w.upTo(2*messageEvery), w.submitMessages)
	if w.quiet {
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

const messageEvery = 60 * time.Millisecond

func (w *world) submitMessage(p *process) {
	r := w.messages.make()
	m := &wire.Message{
		RequestID: r.name, Route: "plain", Method: "POST", Host: "h", Target: "/jobs/" + r.name, Retries: attempts, Body: []byte(r.name),
		SentUnixMs: p.time().UnixMs, RetentionMs: 600_000,
	}
	switch w.random.IntN(4) {
	case 0:
		m.Route, m.Target = "limited", "/limited/"+r.name
		r.service = limitedService
	case 1, 2:
		r.key = fmt.Sprint("key-", w.random.IntN(5))
		m.Route, m.Target, m.Key, m.Ordered = "ordered", orderedPath+r.name, r.key, true
	}
	client, dispatcher, service := p.client, p.dispatcher, r.service
	p.incarnation.begin(func() {
		limits := queueclient.Limits{Attempt: time.Second, Answer: time.Second, LateAnswer: 2 * time.Second}
		if client.Put(m, dispatcher.Accepts(service, len(m.Body)), limits) == queueclient.Accepted {
			w.messages.kept(r, m.ID)
		}
	})
}

// deliveries carries out what an edge sends to workers. It implements dispatch.Workers.
type deliveries struct {
	process     *process
	incarnation *incarnation
}

// Limit implements dispatch.Workers.
func (d *deliveries) SetLimits(map[string]worker.Share) {}

// delivery is a call of a worker. It implements dispatch.Call.
type delivery struct {
	incarnation *incarnation
	done        func(worker.Result)
	name        string
	began       time.Duration
	over        bool
}

// Start implements dispatch.Workers.
func (d *deliveries) Start(delivered *worker.Delivery, done func(worker.Result)) dispatch.Call {
	w := d.process.world
	call := &delivery{incarnation: d.incarnation, done: done, name: delivered.RequestID, began: d.incarnation.now()}
	server := w.servers[delivered.Worker]
	name, limit := delivered.RequestID, delivered.Limit
	if server == nil || server.dark {
		call.end(w.between(200*time.Millisecond, 300*time.Millisecond), worker.Unreachable)
		return call
	}
	w.after(w.between(leastWay, mostWay), func() { server.run(call, name, limit) })
	return call
}

// Cancel implements dispatch.Call.
func (c *delivery) Cancel() { c.end(0, worker.Cancelled) }

// end tells the edge, after a while.
func (c *delivery) end(after time.Duration, outcome worker.Outcome) {
	c.incarnation.after(after, func() {
		if !c.over {
			c.over = true
			c.incarnation.machine.world.log("%s: outcome %d at %s", c.name, outcome, c.incarnation.machine.name)
			c.done(worker.Result{Outcome: outcome, Signature: "signed", Took: c.incarnation.now() - c.began})
		}
	})
}

// server is a worker. It runs messages, and goes on with those whose edge has ended.
type server struct {
	world        *world
	name         string
	service      string
	capacity     int
	dark         bool
	incarnations int
	running      map[string]bool
	lossy        int // of answers, in hundredths
	garbles      int // the same
	slow         bool
}

func (w *world) newServer(name, service string) {
	w.servers[name] = &server{world: w, name: name, service: service, capacity: 8, running: make(map[string]bool)}
}

// run runs a message for an edge, unless it can't.
func (s *server) run(call *delivery, name string, limit time.Duration) {
	w := s.world
	back := func() time.Duration { return w.between(leastWay, mostWay) }
	switch {
	case s.dark:
		call.end(w.between(200*time.Millisecond, 300*time.Millisecond), worker.Unreachable)
		return
	case s.running[name]:
		call.end(back(), worker.Duplicate)
		return
	case len(s.running) >= s.capacity:
		call.end(back(), worker.AtCapacity)
		return
	}
	s.running[name] = true
	run := w.messages.begins(name, s, call.incarnation)
	takes, incarnation := w.between(5*time.Millisecond, 60*time.Millisecond), s.incarnations
	if s.slow {
		takes *= 5
	}
	if takes > limit {
		call.end(limit, worker.TimedOut)
	}
	w.after(takes, func() {
		if s.incarnations != incarnation {
			call.end(limit, worker.TimedOut) // it crashed meanwhile
			return
		}
		delete(s.running, name)
		if w.random.IntN(40) == 0 {
			w.messages.ends(run, false)
			call.end(back(), worker.Failed)
			return
		}
		w.messages.ends(run, true)
		switch {
		case w.random.IntN(100) < s.lossy:
			w.took("answer_lost")
			call.end(limit, worker.TimedOut)
		case w.random.IntN(100) < s.garbles:
			w.took("garble")
			call.end(back(), worker.Broken)
		default:
			call.end(back(), worker.Done)
		}
	})
}
