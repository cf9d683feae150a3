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

// contentionPlan is a day of many edges that send to the few workers of one service.
type contentionPlan struct {
	edges, zones, workers   int
	slots, queue            int           // of a worker
	work                    time.Duration // mean of a run
	warmup                  time.Duration // how long runs take coldFactor as long after the workers' return
	keys                    int           // of messages with an order
	skew                    float64       // the key of rank i is drawn in proportion to i to the power of -skew
	perSecond               float64       // messages
	length                  time.Duration // of the traffic
	outageFrom, outageUntil time.Duration // the workers do not respond; zero: never
	refusing                bool          // ... and connections to them are refused at once
	listLag                 time.Duration // after their return, under new names, until the edges' lists have these
	seed                    uint64
}

const (
	warmupFactor   = 1.6
	networkDelay   = 1500 * time.Microsecond // to a worker, or a store
	grantDelay     = 8 * time.Millisecond    // from an end to the grant of the next of its key
	connectTimeout = 300 * time.Millisecond  // until a connection to an unresponsive worker is given up
	startTarget    = 600 * time.Millisecond  // a message that begins so soon earns all
	latestStart    = 15 * time.Second        // ... and a part until then
	settlingTime   = 10 * time.Second        // the edges go on after the traffic
	lateWeight     = 0.3
)

var contentionSeeds = flag.Int("contention-seeds", 2, "seeds of each day with many edges and few workers")

// simulatedMessage is a message's way.
type simulatedMessage struct {
	wire                *wire.Message
	key                 int
	edge                int
	arrivedAt           time.Duration
	startedAt           time.Duration // zero: not yet
	accepted, completed bool
}

// simulatedEvent is something that happens at a time.
type simulatedEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simulatedEvents []simulatedEvent

func (h simulatedEvents) Len() int { return len(h) }
func (h simulatedEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h simulatedEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simulatedEvents) Push(x any)   { *h = append(*h, x.(simulatedEvent)) }
func (h *simulatedEvents) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

type simulatedWorker struct {
	running int
	queue   []func()
}

// contention plays a plan in virtual time.
type contention struct {
	plan            contentionPlan
	random          *rand.Rand
	now             time.Duration
	events          simulatedEvents
	count           int
	cores           []*Core
	ticks           []int // number of the newest tick that was planned, by core
	workers         map[string]*simulatedWorker
	messages        map[string]*simulatedMessage
	all             []*simulatedMessage
	keys            [][]*simulatedMessage // by key: those that have not ended
	keyDistribution []float64             // by key: the part of the messages that has it or one before it

	arrivals, rejected int // at workers
	busy               time.Duration
}

func newContention(plan contentionPlan) *contention {
	c := &contention{
		plan: plan, random: rand.New(rand.NewPCG(plan.seed, 7)), workers: make(map[string]*simulatedWorker),
		messages: make(map[string]*simulatedMessage), keys: make([][]*simulatedMessage, plan.keys),
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
			Window:   5 * time.Second, Overshoot: 1.1, ConvergenceTime: 4 * time.Second, Seed: plan.seed + uint64(i) + 1,
		})
		c.cores = append(c.cores, core)
		c.ticks = append(c.ticks, 0)
		c.apply(i, core.ApplyConfig(0, catalog.NewIndex(config)))
		c.apply(i, core.SetEdges(0, edges))
		c.apply(i, core.SetWorkers(0, list))
	}
	if plan.outageUntil > 0 {
		c.after(plan.outageUntil, func() { c.restartWorkers(zones) })
	}
	return c
}

// start makes workers whose names have an ending, and lists them.
func (c *contention) start(ending string, zones []string) *wire.Workers {
	list := &wire.Workers{}
	c.workers = make(map[string]*simulatedWorker)
	for i := range c.plan.workers {
		name := fmt.Sprintf("w%d%s", i, ending)
		c.workers[name] = &simulatedWorker{}
		list.Entries = append(list.Entries, wire.Worker{
			ID: name, Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: zones[i%c.plan.zones], Capacity: uint32(c.plan.slots),
		})
	}
	return list
}

// restartWorkers has the workers start again, as others at the same addresses.
func (c *contention) restartWorkers(zones []string) {
	list := c.start("b", zones)
	c.after(c.plan.listLag, func() {
		for i, core := range c.cores {
			c.apply(i, core.SetWorkers(c.now, list))
		}
	})
}

func (c *contention) weighKeys() {
	sum := 0.0
	for i := range c.plan.keys {
		sum += math.Pow(float64(i+1), -c.plan.skew)
		c.keyDistribution = append(c.keyDistribution, sum)
	}
	for i := range c.keyDistribution {
		c.keyDistribution[i] /= sum
	}
}

func (c *contention) drawKey() int { return sort.SearchFloat64s(c.keyDistribution, c.random.Float64()) }

// after has something done after a time.
func (c *contention) after(wait time.Duration, do func()) {
	c.count++
	heap.Push(&c.events, simulatedEvent{c.now + wait, c.count, do})
}

func (c *contention) play() {
	c.after(0, c.arrive)
	for len(c.events) > 0 && c.events[0].at < c.plan.length+settlingTime {
		e := heap.Pop(&c.events).(simulatedEvent)
		c.now = e.at
		e.do()
	}
}

func (c *contention) arrive() {
	if c.now >= c.plan.length {
		return
	}
	id := fmt.Sprint(len(c.all))
	m := &simulatedMessage{wire: messageTo("/p/", id), key: c.drawKey(), edge: c.random.IntN(len(c.cores)), arrivedAt: c.now}
	m.wire.Ordered = true
	c.all = append(c.all, m)
	c.messages[m.wire.ID] = m
	c.keys[m.key] = append(c.keys[m.key], m)
	c.after(grantDelay, func() {
		m.accepted = true
		c.apply(m.edge, c.cores[m.edge].Accept(c.now, m.wire, c.keys[m.key][0] == m))
	})
	c.after(time.Duration(c.random.ExpFloat64()/c.plan.perSecond*float64(time.Second)), c.arrive)
}

// apply does what an edge asks for, and plans its next tick.
func (c *contention) apply(edge int, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Deliver:
			c.after(networkDelay, func() { c.deliver(edge, a) })
		case Report:
			c.report(edge, a.Report)
		}
	}
	c.ticks[edge]++
	number := c.ticks[edge]
	next := max(c.cores[edge].Next(), c.now)
	c.after(next-c.now, func() {
		if c.ticks[edge] == number {
			c.apply(edge, c.cores[edge].Tick(c.now))
		}
	})
}

func (c *contention) report(edge int, r wire.Report) {
	m := c.messages[r.ID]
	if r.Kind != wire.ReportDone || m.completed {
		return
	}
	m.completed = true
	c.after(grantDelay, func() {
		c.apply(edge, c.cores[edge].Acknowledged(c.now, r.ID))
		c.keys[m.key] = c.keys[m.key][1:]
		if len(c.keys[m.key]) > 0 && c.keys[m.key][0].accepted {
			next := c.keys[m.key][0]
			c.apply(next.edge, c.cores[next.edge].Grant(c.now, &wire.Grant{ID: next.wire.ID}))
		}
	})
}

func (c *contention) inOutage() bool { return c.now >= c.plan.outageFrom && c.now < c.plan.outageUntil }

// end has an edge get the outcome of an attempt after a time.
func (c *contention) end(edge int, d Deliver, wait time.Duration, outcome worker.Outcome) {
	c.after(wait, func() {
		result := worker.Result{Outcome: outcome, Took: wait}
		if outcome == worker.Done {
			result.Signature = "sig"
		}
		c.apply(edge, c.cores[edge].FinishAttempt(c.now, d.Job, d.Attempt, result))
	})
}

func (c *contention) deliver(edge int, d Deliver) {
	if c.inOutage() {
		wait := connectTimeout
		if c.plan.refusing {
			wait = networkDelay
		}
		c.end(edge, d, wait, worker.Unreachable)
		return
	}
	w := c.workers[d.Delivery.Worker]
	if w == nil {
		c.end(edge, d, networkDelay, worker.WrongWorker)
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
		c.end(edge, d, networkDelay, worker.AtCapacity)
	}
}

// run begins a message at a worker.
func (c *contention) run(edge int, d Deliver, w *simulatedWorker) {
	w.running++
	m := c.messages["0."+d.Delivery.RequestID]
	if m.startedAt == 0 {
		m.startedAt = c.now
	}
	takes := time.Duration(float64(c.plan.work) * (0.5 + c.random.Float64()))
	if c.plan.outageUntil > 0 && c.now >= c.plan.outageUntil && c.now < c.plan.outageUntil+c.plan.warmup {
		takes = time.Duration(warmupFactor * float64(takes))
	}
	c.busy += takes
	c.after(takes, func() {
		w.running--
		c.end(edge, d, networkDelay, worker.Done)
		if len(w.queue) > 0 {
			next := w.queue[0]
			w.queue = w.queue[1:]
			next()
		}
	})
}

// startStats are the parts of the messages that came in a span.
type startStats struct {
	count                int
	onTime, late, failed float64
	score                float64
	latest               time.Duration // the longest time to a begin
}

func (c *contention) stats(from, till time.Duration) startStats {
	var s startStats
	for _, m := range c.all {
		if m.arrivedAt < from || m.arrivedAt >= till {
			continue
		}
		s.count++
		wait := m.startedAt - m.arrivedAt
		switch {
		case m.startedAt == 0 || wait > latestStart:
			s.failed++
		case wait > startTarget:
			s.late++
		default:
			s.onTime++
		}
		if m.startedAt > 0 {
			s.latest = max(s.latest, wait)
		}
	}
	total := float64(max(s.count, 1))
	s.onTime, s.late, s.failed = s.onTime/total, s.late/total, s.failed/total
	s.score = s.onTime + lateWeight*s.late
	return s
}

func (s startStats) String() string {
	return fmt.Sprintf("%d messages: %.3f in aim, %.3f late, %.3f failed, worth %.3f, latest %v", s.count, s.onTime, s.late, s.failed, s.score, s.latest.Round(time.Millisecond))
}

// describe logs the day by spans of two seconds.
func (c *contention) describe(t *testing.T) {
	const span = 2 * time.Second
	for from := time.Duration(0); from < c.plan.length; from += span {
		t.Logf("from %v: %v", from, c.stats(from, from+span))
	}
	capacity := float64(c.plan.workers*c.plan.slots) * (c.now - (c.plan.outageUntil - c.plan.outageFrom)).Seconds()
	t.Logf("whole: %v; %d arrivals at workers, %d rejected, slots busy %.2f", c.stats(0, c.plan.length), c.arrivals, c.rejected, c.busy.Seconds()/capacity)
}

// fewWorkers is a class with an order whose few workers many edges send to, as on the users' grown sites.
func fewWorkers(edges, workers, slots int, work time.Duration, perSecond float64) contentionPlan {
	return contentionPlan{
		edges: edges, zones: 5, workers: workers, slots: slots, queue: 4 * slots, work: work, warmup: 3 * time.Second, keys: 1400, skew: 0.5,
		perSecond: perSecond, length: 40 * time.Second, outageFrom: 9 * time.Second, outageUntil: 17400 * ms,
	}
}

func TestAServiceComesBackAfterItsWorkersDo(t *testing.T) {
	const comesBack = 15 * time.Second
	for name, tc := range map[string]struct {
		plan     contentionPlan
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
			for seed := range uint64(*contentionSeeds) {
				plan := tc.plan
				plan.seed, plan.refusing, plan.listLag = seed, seed%2 == 1, tc.listLag
				c := newContention(plan)
				c.play()
				c.describe(t)
				back := c.stats(plan.outageUntil+comesBack, plan.length)
				require.GreaterOrEqual(t, back.onTime, 0.95)
				require.LessOrEqual(t, c.stats(0, plan.length).failed, tc.failed)
				require.Less(t, float64(c.rejected), tc.rejected*float64(c.arrivals))
			}
		})
	}
}
