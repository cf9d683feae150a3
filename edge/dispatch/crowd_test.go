package dispatch

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// crowdPlan is a day of many edges that send to the few workers of one service.
type crowdPlan struct {
	edges, zones, workers int
	slots, queue          int           // of a worker
	work                  time.Duration // mean of a run
	cold                  time.Duration // how long runs take coldFactor as long after the workers' return
	keys                  int           // of messages with an order
	skew                  float64       // the key of rank i is drawn in proportion to i to the power of -skew
	perSecond             float64       // messages
	length                time.Duration // of the traffic
	darkFrom, darkTill    time.Duration // the workers are silent; zero: never
	refusing              bool          // ... and connections to them are refused at once
	listLag               time.Duration // after their return, under new names, until the edges' lists have these
	seed                  uint64
}

const (
	coldFactor   = 1.6
	crowdHop     = 1500 * time.Microsecond // to a worker, or a store
	crowdGrant   = 8 * time.Millisecond    // from an end to the grant of the next of its key
	crowdConnect = 300 * time.Millisecond  // until a connection to a silent worker is given up
	crowdAim     = 600 * time.Millisecond  // a message that begins so soon earns all
	crowdLast    = 15 * time.Second        // ... and a part until then
	crowdFinish  = 10 * time.Second        // the edges go on after the traffic
	crowdLate    = 0.3
)

var crowdSeeds = flag.Int("crowds", 2, "seeds of each day with many edges and few workers")

// crowdMessage is a message's way.
type crowdMessage struct {
	wire            *wire.Message
	key             int
	edge            int
	arrived         time.Duration
	begun           time.Duration // zero: not yet
	accepted, ended bool
}

// crowdEvent is something that happens at a time.
type crowdEvent struct {
	at    time.Duration
	order int
	do    func()
}

type crowdEvents []crowdEvent

func (h crowdEvents) Len() int { return len(h) }
func (h crowdEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h crowdEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *crowdEvents) Push(x any)   { *h = append(*h, x.(crowdEvent)) }
func (h *crowdEvents) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

type crowdWorker struct {
	running int
	queue   []func()
}

// crowd plays a plan in virtual time.
type crowd struct {
	plan     crowdPlan
	random   *rand.Rand
	now      time.Duration
	events   crowdEvents
	count    int
	cores    []*Core
	ticks    []int // number of the newest tick that was planned, by core
	workers  map[string]*crowdWorker
	messages map[string]*crowdMessage
	all      []*crowdMessage
	keys     [][]*crowdMessage // by key: those that have not ended
	drawn    []float64         // by key: the part of the messages that has it or one before it

	arrivals, rejected int // at workers
	busy               time.Duration
}

func newCrowd(plan crowdPlan) *crowd {
	c := &crowd{
		plan: plan, random: rand.New(rand.NewPCG(plan.seed, 7)), workers: make(map[string]*crowdWorker),
		messages: make(map[string]*crowdMessage), keys: make([][]*crowdMessage, plan.keys),
	}
	c.weighKeys()
	var zones []string
	for i := range plan.zones {
		zones = append(zones, fmt.Sprintf("z%d", i))
	}
	var edges []wire.Edge
	for i := range plan.edges {
		edges = append(edges, wire.Edge{ID: fmt.Sprintf("e%d", i), Zone: zones[i%plan.zones]})
	}
	list := c.start("", zones)
	config := &catalog.Config{
		Version:  1,
		Routes:   []catalog.Route{{Name: "r", Host: "a.example", PathPrefix: "/p/", Type: DeferredType, Service: "s", TimeoutMs: 600, Retries: 6, RetentionS: 90, Ordered: true, StartTargetMs: 600}},
		Services: []catalog.Service{{Name: "s", MaxConns: 470, Idempotent: true}},
	}
	for i := range edges {
		core := NewCore(Config{
			Topology: Topology{Edge: edges[i].ID, Zone: edges[i].Zone, Zones: zones},
			Window:   5 * time.Second, Overshoot: 1.1, Converge: 4 * time.Second, Seed: plan.seed + uint64(i) + 1,
		})
		c.cores = append(c.cores, core)
		c.ticks = append(c.ticks, 0)
		c.take(i, core.Configure(0, catalog.NewIndex(config)))
		c.take(i, core.Place(0, edges))
		c.take(i, core.List(0, list))
	}
	if plan.darkTill > 0 {
		c.after(plan.darkTill, func() { c.comeBack(zones) })
	}
	return c
}

// start makes workers whose names have an ending, and lists them.
func (c *crowd) start(ending string, zones []string) *wire.Workers {
	list := &wire.Workers{}
	c.workers = make(map[string]*crowdWorker)
	for i := range c.plan.workers {
		name := fmt.Sprintf("w%d%s", i, ending)
		c.workers[name] = &crowdWorker{}
		list.Entries = append(list.Entries, wire.Worker{
			ID: name, Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: zones[i%c.plan.zones], Capacity: uint32(c.plan.slots),
		})
	}
	return list
}

// comeBack has the workers start again, as others at the same addresses.
func (c *crowd) comeBack(zones []string) {
	list := c.start("b", zones)
	c.after(c.plan.listLag, func() {
		for i, core := range c.cores {
			c.take(i, core.List(c.now, list))
		}
	})
}

func (c *crowd) weighKeys() {
	sum := 0.0
	for i := range c.plan.keys {
		sum += math.Pow(float64(i+1), -c.plan.skew)
		c.drawn = append(c.drawn, sum)
	}
	for i := range c.drawn {
		c.drawn[i] /= sum
	}
}

func (c *crowd) drawKey() int { return sort.SearchFloat64s(c.drawn, c.random.Float64()) }

// after has something done after a time.
func (c *crowd) after(wait time.Duration, do func()) {
	c.count++
	heap.Push(&c.events, crowdEvent{c.now + wait, c.count, do})
}

func (c *crowd) play() {
	c.after(0, c.arrive)
	for len(c.events) > 0 && c.events[0].at < c.plan.length+crowdFinish {
		e := heap.Pop(&c.events).(crowdEvent)
		c.now = e.at
		e.do()
	}
}

func (c *crowd) arrive() {
	if c.now >= c.plan.length {
		return
	}
	id := fmt.Sprint(len(c.all))
	m := &crowdMessage{wire: messageTo("/p/", id), key: c.drawKey(), edge: c.random.IntN(len(c.cores)), arrived: c.now}
	m.wire.Ordered = true
	c.all = append(c.all, m)
	c.messages[m.wire.ID] = m
	c.keys[m.key] = append(c.keys[m.key], m)
	c.after(crowdGrant, func() {
		m.accepted = true
		c.take(m.edge, c.cores[m.edge].Accept(c.now, m.wire, c.keys[m.key][0] == m))
	})
	c.after(time.Duration(c.random.ExpFloat64()/c.plan.perSecond*float64(time.Second)), c.arrive)
}

// take does what an edge asks for, and plans its next tick.
func (c *crowd) take(edge int, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Deliver:
			c.after(crowdHop, func() { c.deliver(edge, a) })
		case Report:
			c.report(edge, a.Report)
		}
	}
	c.ticks[edge]++
	number := c.ticks[edge]
	next := max(c.cores[edge].Next(), c.now)
	c.after(next-c.now, func() {
		if c.ticks[edge] == number {
			c.take(edge, c.cores[edge].Tick(c.now))
		}
	})
}

func (c *crowd) report(edge int, r wire.Report) {
	m := c.messages[r.ID]
	if r.Kind != wire.ReportDone || m.ended {
		return
	}
	m.ended = true
	c.after(crowdGrant, func() {
		c.take(edge, c.cores[edge].Acknowledged(c.now, r.ID))
		c.keys[m.key] = c.keys[m.key][1:]
		if len(c.keys[m.key]) > 0 && c.keys[m.key][0].accepted {
			next := c.keys[m.key][0]
			c.take(next.edge, c.cores[next.edge].Grant(c.now, &wire.Grant{ID: next.wire.ID}))
		}
	})
}

func (c *crowd) isDark() bool { return c.now >= c.plan.darkFrom && c.now < c.plan.darkTill }

// end tells an edge of the end of an attempt after a time.
func (c *crowd) end(edge int, d Deliver, wait time.Duration, outcome worker.Outcome) {
	c.after(wait, func() {
		result := worker.Result{Outcome: outcome, Took: wait}
		if outcome == worker.Done {
			result.Signature = "sig"
		}
		c.take(edge, c.cores[edge].Ended(c.now, d.Job, d.Attempt, result))
	})
}

func (c *crowd) deliver(edge int, d Deliver) {
	if c.isDark() {
		wait := crowdConnect
		if c.plan.refusing {
			wait = crowdHop
		}
		c.end(edge, d, wait, worker.Unreachable)
		return
	}
	w := c.workers[d.Delivery.Worker]
	if w == nil {
		c.end(edge, d, crowdHop, worker.WrongWorker)
		return
	}
	c.arrivals++
	run := func() { c.run(edge, d, w) }
	switch {
	case w.running < c.plan.slots:
		run()
	case len(w.queue) < c.plan.queue:
		w.queue = append(w.queue, run)
	default:
		c.rejected++
		c.end(edge, d, crowdHop, worker.Full)
	}
}

// run begins a message at a worker.
func (c *crowd) run(edge int, d Deliver, w *crowdWorker) {
	w.running++
	m := c.messages["0."+d.Delivery.RequestID]
	if m.begun == 0 {
		m.begun = c.now
	}
	takes := time.Duration(float64(c.plan.work) * (0.5 + c.random.Float64()))
	if c.plan.darkTill > 0 && c.now >= c.plan.darkTill && c.now < c.plan.darkTill+c.plan.cold {
		takes = time.Duration(coldFactor * float64(takes))
	}
	c.busy += takes
	c.after(takes, func() {
		w.running--
		c.end(edge, d, crowdHop, worker.Done)
		if len(w.queue) > 0 {
			next := w.queue[0]
			w.queue = w.queue[1:]
			next()
		}
	})
}

// crowdShares are the parts of the messages that came in a span.
type crowdShares struct {
	count               int
	inAim, late, failed float64
	worth               float64
	latest              time.Duration // the longest time to a begin
}

func (c *crowd) shares(from, till time.Duration) crowdShares {
	var s crowdShares
	for _, m := range c.all {
		if m.arrived < from || m.arrived >= till {
			continue
		}
		s.count++
		wait := m.begun - m.arrived
		switch {
		case m.begun == 0 || wait > crowdLast:
			s.failed++
		case wait > crowdAim:
			s.late++
		default:
			s.inAim++
		}
		if m.begun > 0 {
			s.latest = max(s.latest, wait)
		}
	}
	total := float64(max(s.count, 1))
	s.inAim, s.late, s.failed = s.inAim/total, s.late/total, s.failed/total
	s.worth = s.inAim + crowdLate*s.late
	return s
}

func (s crowdShares) String() string {
	return fmt.Sprintf("%d messages: %.3f in aim, %.3f late, %.3f failed, worth %.3f, latest %v", s.count, s.inAim, s.late, s.failed, s.worth, s.latest.Round(time.Millisecond))
}

// describe logs the day by spans of two seconds.
func (c *crowd) describe(t *testing.T) {
	const span = 2 * time.Second
	for from := time.Duration(0); from < c.plan.length; from += span {
		t.Logf("from %v: %v", from, c.shares(from, from+span))
	}
	capacity := float64(c.plan.workers*c.plan.slots) * (c.now - (c.plan.darkTill - c.plan.darkFrom)).Seconds()
	t.Logf("whole: %v; %d arrivals at workers, %d rejected, slots busy %.2f", c.shares(0, c.plan.length), c.arrivals, c.rejected, c.busy.Seconds()/capacity)
}

// fewWorkers is a class with an order whose few workers many edges send to, as on the users' grown sites.
func fewWorkers(edges, workers, slots int, work time.Duration, perSecond float64) crowdPlan {
	return crowdPlan{
		edges: edges, zones: 5, workers: workers, slots: slots, queue: 4 * slots, work: work, cold: 3 * time.Second, keys: 1400, skew: 0.5,
		perSecond: perSecond, length: 40 * time.Second, darkFrom: 9 * time.Second, darkTill: 17400 * ms,
	}
}

func TestAServiceComesBackAfterItsWorkersDo(t *testing.T) {
	const comesBack = 15 * time.Second
	for name, tc := range map[string]struct {
		plan     crowdPlan
		listLag  time.Duration
		failed   float64 // part of the messages that do not begin in their time, at most
		rejected float64 // part of the workers' arrivals, at most
	}{
		"69 edges, 18 slots":              {fewWorkers(69, 6, 3, 22*ms, 420), 0, 0.01, 0.25},
		"58 edges, 12 slots":              {fewWorkers(58, 6, 2, 15*ms, 350), 0, 0.01, 0.25},
		"12 edges, 12 slots":              {fewWorkers(12, 4, 3, 22*ms, 95), 0, 0.01, 0.25},
		"69 edges, 60 slots, long runs":   {fewWorkers(69, 10, 6, 300*ms, 100), 0, 0.01, 0.25},
		"200 edges, 18 slots":             {fewWorkers(200, 6, 3, 22*ms, 420), 0, 0.01, 0.3},
		"69 edges, listed a second later": {fewWorkers(69, 6, 3, 22*ms, 420), time.Second, 0.02, 0.25},
		"58 edges, listed a second later": {fewWorkers(58, 6, 2, 15*ms, 350), time.Second, 0.02, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*crowdSeeds) {
				plan := tc.plan
				plan.seed, plan.refusing, plan.listLag = seed, seed%2 == 1, tc.listLag
				c := newCrowd(plan)
				c.play()
				c.describe(t)
				back := c.shares(plan.darkTill+comesBack, plan.length)
				require.GreaterOrEqual(t, back.inAim, 0.95)
				require.LessOrEqual(t, c.shares(0, plan.length).failed, tc.failed)
				require.Less(t, float64(c.rejected), tc.rejected*float64(c.arrivals))
			}
		})
	}
}
