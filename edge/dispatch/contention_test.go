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

// contentionPlan configures a simulation of many edges that send to the few workers of one service.
type contentionPlan struct {
	edges, zones, workers   int
	slots, queue            int           // of each worker: messages that it runs at once, and that wait at it
	work                    time.Duration // mean duration of a run
	warmup                  time.Duration // for so long after the workers' restart, runs take warmupFactor times as long
	keys                    int           // number of order keys
	skew                    float64       // the key of rank i is drawn in proportion to i to the power of -skew
	ratePerSecond           float64       // messages that arrive per second
	length                  time.Duration // how long messages arrive
	outageFrom, outageUntil time.Duration // the workers are unresponsive in between; zero: never
	refusing                bool          // connections are refused immediately in the outage, instead of timing out
	listLag                 time.Duration // from the workers' restart, under new names, until the edges' lists have these
	seed                    uint64
}

const (
	warmupFactor   = 1.6
	networkDelay   = 1500 * time.Microsecond // to a worker or a store
	grantDelay     = 8 * time.Millisecond    // from a completion to the grant of the next message of its key
	connectTimeout = 300 * time.Millisecond  // until the attempt to connect to an unresponsive worker fails
	startTarget    = 600 * time.Millisecond  // a message that starts within it scores 1
	latestStart    = 15 * time.Second        // a message that starts after startTarget scores lateWeight until then, later 0
	settlingTime   = 10 * time.Second        // how long the simulation continues after the last arrival
	lateWeight     = 0.3
)

var contentionSeeds = flag.Int("contention-seeds", 2, "number of seeds for each simulation of many edges and few workers")

// simulatedMessage is a message and its progress.
type simulatedMessage struct {
	wire                *wire.Message
	key                 int
	edge                int
	arrivedAt           time.Duration
	startedAt           time.Duration // zero: it has not started
	accepted, completed bool
}

// simulatedEvent is a function to be called at a time. order sorts events of the same time.
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

// contention simulates a plan in virtual time.
type contention struct {
	plan            contentionPlan
	random          *rand.Rand
	now             time.Duration
	events          simulatedEvents
	eventCount      int
	cores           []*Core
	ticks           []int // by core: number of the latest scheduled tick; earlier ones are ignored
	workers         map[string]*simulatedWorker
	messages        map[string]*simulatedMessage
	allMessages     []*simulatedMessage
	pendingByKey    [][]*simulatedMessage // by key: messages that are not completed, in order
	keyDistribution []float64             // cumulative, by key: the part of the messages that have this key or a lower one

	arrivals, rejected int           // numbers of attempts that reached workers, and that these rejected
	busyTime           time.Duration // sum of all runs
}

func newContention(plan contentionPlan) *contention {
	c := &contention{
		plan: plan, random: rand.New(rand.NewPCG(plan.seed, 7)), workers: make(map[string]*simulatedWorker),
		messages: make(map[string]*simulatedMessage), pendingByKey: make([][]*simulatedMessage, plan.keys),
	}
	c.initKeyDistribution()
	var zones []string
	for i := range plan.zones {
		zones = append(zones, fmt.Sprintf("z%d", i))
	}
	var edges []wire.Edge
	for i := range plan.edges {
		edges = append(edges, wire.Edge{ID: fmt.Sprintf("e%d", i), Zone: zones[i%plan.zones]})
	}
	list := c.startWorkers("", zones)
	config := &catalog.Config{
		Version:  1,
		Routes:   []catalog.Route{{Name: "r", Host: "a.example", PathPrefix: "/p/", Type: DeferredType, Service: "s", TimeoutMs: 600, Retries: 6, RetentionS: 90, Ordered: true, StartTargetMs: 600}},
		Services: []catalog.Service{{Name: "s", MaxConns: 470, Idempotent: true}},
	}
	for i := range edges {
		core := NewCore(Config{
			Topology: Topology{Edge: edges[i].ID, Zone: edges[i].Zone, Zones: zones},
			Window:   5 * time.Second, Overshoot: 1.1, Seed: plan.seed + uint64(i) + 1,
		})
		c.cores = append(c.cores, core)
		c.ticks = append(c.ticks, 0)
		c.apply(i, core.ApplyConfig(0, catalog.NewIndex(config)))
		c.apply(i, core.SetEdges(0, edges))
		c.apply(i, core.SetWorkers(0, list))
	}
	if plan.outageUntil > 0 {
		c.schedule(plan.outageUntil, func() { c.restartWorkers(zones) })
	}
	return c
}

// startWorkers replaces the workers by new ones, whose names end with a suffix, and returns their list.
func (c *contention) startWorkers(suffix string, zones []string) *wire.Workers {
	list := &wire.Workers{}
	c.workers = make(map[string]*simulatedWorker)
	for i := range c.plan.workers {
		name := fmt.Sprintf("w%d%s", i, suffix)
		c.workers[name] = &simulatedWorker{}
		list.Entries = append(list.Entries, wire.Worker{
			ID: name, Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: zones[i%c.plan.zones], Capacity: uint32(c.plan.slots),
		})
	}
	return list
}

// restartWorkers replaces the workers by others at the same addresses. The edges' lists name them after listLag.
func (c *contention) restartWorkers(zones []string) {
	list := c.startWorkers("b", zones)
	c.schedule(c.plan.listLag, func() {
		for i, core := range c.cores {
			c.apply(i, core.SetWorkers(c.now, list))
		}
	})
}

func (c *contention) initKeyDistribution() {
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

// schedule schedules a function call after a wait.
func (c *contention) schedule(wait time.Duration, do func()) {
	c.eventCount++
	heap.Push(&c.events, simulatedEvent{c.now + wait, c.eventCount, do})
}

func (c *contention) simulate() {
	c.schedule(0, c.arrive)
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
	id := fmt.Sprint(len(c.allMessages))
	m := &simulatedMessage{wire: messageTo("/p/", id), key: c.drawKey(), edge: c.random.IntN(len(c.cores)), arrivedAt: c.now}
	m.wire.Ordered = true
	c.allMessages = append(c.allMessages, m)
	c.messages[m.wire.ID] = m
	c.pendingByKey[m.key] = append(c.pendingByKey[m.key], m)
	c.schedule(grantDelay, func() {
		m.accepted = true
		c.apply(m.edge, c.cores[m.edge].Accept(c.now, m.wire, c.pendingByKey[m.key][0] == m))
	})
	c.schedule(time.Duration(c.random.ExpFloat64()/c.plan.ratePerSecond*float64(time.Second)), c.arrive)
}

// apply executes the actions of an edge's core, and schedules its next tick.
func (c *contention) apply(edge int, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Deliver:
			c.schedule(networkDelay, func() { c.deliver(edge, a) })
		case Report:
			c.report(edge, a.Report)
		}
	}
	c.ticks[edge]++
	number := c.ticks[edge]
	next := max(c.cores[edge].Next(), c.now)
	c.schedule(next-c.now, func() {
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
	c.schedule(grantDelay, func() {
		c.apply(edge, c.cores[edge].Acknowledged(c.now, r.ID))
		c.pendingByKey[m.key] = c.pendingByKey[m.key][1:]
		if len(c.pendingByKey[m.key]) > 0 && c.pendingByKey[m.key][0].accepted {
			next := c.pendingByKey[m.key][0]
			c.apply(next.edge, c.cores[next.edge].Grant(c.now, &wire.Grant{ID: next.wire.ID}))
		}
	})
}

func (c *contention) inOutage() bool { return c.now >= c.plan.outageFrom && c.now < c.plan.outageUntil }

// finishAttempt passes the outcome of an attempt to its edge after a wait.
func (c *contention) finishAttempt(edge int, d Deliver, wait time.Duration, outcome worker.Outcome) {
	c.schedule(wait, func() {
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
		c.finishAttempt(edge, d, wait, worker.Unreachable)
		return
	}
	w := c.workers[d.Delivery.Worker]
	if w == nil {
		c.finishAttempt(edge, d, networkDelay, worker.WrongWorker)
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
		c.finishAttempt(edge, d, networkDelay, worker.AtCapacity)
	}
}

// run runs a message at a worker.
func (c *contention) run(edge int, d Deliver, w *simulatedWorker) {
	w.running++
	m := c.messages["0."+d.Delivery.RequestID]
	if m.startedAt == 0 {
		m.startedAt = c.now
	}
	duration := time.Duration(float64(c.plan.work) * (0.5 + c.random.Float64()))
	if c.plan.outageUntil > 0 && c.now >= c.plan.outageUntil && c.now < c.plan.outageUntil+c.plan.warmup {
		duration = time.Duration(warmupFactor * float64(duration))
	}
	c.busyTime += duration
	c.schedule(duration, func() {
		w.running--
		c.finishAttempt(edge, d, networkDelay, worker.Done)
		if len(w.queue) > 0 {
			next := w.queue[0]
			w.queue = w.queue[1:]
			next()
		}
	})
}

// startStats says when the messages that arrived in a span of time were started. onTime, late and failed are parts of
// all.
type startStats struct {
	count                int
	onTime, late, failed float64
	score                float64
	longest              time.Duration // the longest wait from arrival to start
}

func (c *contention) stats(from, till time.Duration) startStats {
	var s startStats
	for _, m := range c.allMessages {
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
			s.longest = max(s.longest, wait)
		}
	}
	total := float64(max(s.count, 1))
	s.onTime, s.late, s.failed = s.onTime/total, s.late/total, s.failed/total
	s.score = s.onTime + lateWeight*s.late
	return s
}

func (s startStats) String() string {
	return fmt.Sprintf("%d messages: %.3f on time, %.3f late, %.3f failed, score %.3f, longest wait %v", s.count, s.onTime, s.late, s.failed, s.score, s.longest.Round(time.Millisecond))
}

// logStats logs the statistics of the simulation, in spans of two seconds and as a whole.
func (c *contention) logStats(t *testing.T) {
	const span = 2 * time.Second
	for from := time.Duration(0); from < c.plan.length; from += span {
		t.Logf("arrivals from %v: %v", from, c.stats(from, from+span))
	}
	capacity := float64(c.plan.workers*c.plan.slots) * (c.now - (c.plan.outageUntil - c.plan.outageFrom)).Seconds()
	t.Logf("all arrivals: %v; %d attempts reached workers, %d rejected, slots busy %.2f", c.stats(0, c.plan.length), c.arrivals, c.rejected, c.busyTime.Seconds()/capacity)
}

// fewWorkersPlan returns a plan in which many edges send ordered messages to a service with few workers, as on large
// sites of the users.
func fewWorkersPlan(edges, workers, slots int, work time.Duration, ratePerSecond float64) contentionPlan {
	return contentionPlan{
		edges: edges, zones: 5, workers: workers, slots: slots, queue: 4 * slots, work: work, warmup: 3 * time.Second, keys: 1400, skew: 0.5,
		ratePerSecond: ratePerSecond, length: 40 * time.Second, outageFrom: 9 * time.Second, outageUntil: 17400 * ms,
	}
}

func TestServiceRecoversAfterWorkerOutage(t *testing.T) {
	const recoveryTime = 15 * time.Second
	for name, tc := range map[string]struct {
		plan     contentionPlan
		listLag  time.Duration
		failed   float64 // maximum part of the messages that do not start by latestStart
		rejected float64 // maximum part of the attempts that workers reject
	}{
		"69 edges, 18 slots":              {fewWorkersPlan(69, 6, 3, 22*ms, 420), 0, 0.01, 0.25},
		"58 edges, 12 slots":              {fewWorkersPlan(58, 6, 2, 15*ms, 350), 0, 0.01, 0.25},
		"12 edges, 12 slots":              {fewWorkersPlan(12, 4, 3, 22*ms, 95), 0, 0.01, 0.25},
		"69 edges, 60 slots, long runs":   {fewWorkersPlan(69, 10, 6, 300*ms, 100), 0, 0.01, 0.25},
		"200 edges, 18 slots":             {fewWorkersPlan(200, 6, 3, 22*ms, 420), 0, 0.01, 0.3},
		"69 edges, listed a second later": {fewWorkersPlan(69, 6, 3, 22*ms, 420), time.Second, 0.02, 0.25},
		"58 edges, listed a second later": {fewWorkersPlan(58, 6, 2, 15*ms, 350), time.Second, 0.02, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*contentionSeeds) {
				plan := tc.plan
				plan.seed, plan.refusing, plan.listLag = seed, seed%2 == 1, tc.listLag
				c := newContention(plan)
				c.simulate()
				c.logStats(t)
				recovered := c.stats(plan.outageUntil+recoveryTime, plan.length)
				require.GreaterOrEqual(t, recovered.onTime, 0.95)
				require.LessOrEqual(t, c.stats(0, plan.length).failed, tc.failed)
				require.Less(t, float64(c.rejected), tc.rejected*float64(c.arrivals))
			}
		})
	}
}
