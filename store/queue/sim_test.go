package queue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ravendale/cluster/wire"
)

// sim simulates several stores, edges, a leader and a network on one clock. A history is fully determined by its seed.

const ms = time.Millisecond

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }

func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}

func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *simEvents) Push(x any) { *h = append(*h, x.(simEvent)) }

func (h *simEvents) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// mutant adds one fault to the queue on purpose, to show that the simulation finds it.
type mutant struct {
	ackBeforeSync     bool // a store acknowledges records before they are synced
	ackWithoutMembers bool // a primary doesn't wait for the acknowledgements of the other members
	grantEarly        bool // the next message of a key is granted when only the primary has the previous one's outcome
	promoteUnfilled   bool // a joining member is promoted to a replica at once
}

type sim struct {
	t           *testing.T
	seed        uint64
	random      *rand.Rand
	now         time.Duration
	events      simEvents
	order       int
	stores      []*simStore
	edges       []*simEdge
	view        *wire.StoreView
	partitioned map[[2]string]bool
	mutant      mutant
	failure     string

	messages     map[string]*simMessage
	names        []string
	byKey        map[string][]*simMessage
	stopped      bool          // no more messages are put, and no faults are injected
	faultless    bool          // no faults are injected, so no message may run again after it is finished
	maxViewDelay time.Duration // maximum delay with which edges and stores receive a view
	leader       func()        // places the partitions; nil for the simple leader of runLeader
}

type simMessage struct {
	message    wire.Message
	sentAt     time.Duration
	acceptedAt time.Duration // when the client received the reply; zero if it hasn't
	finishedAt time.Duration // when a worker first succeeded
	doneAcked  bool
	runs       int
}

func newSim(t *testing.T, seed uint64, stores, edges, partitions, copies int, m mutant) *sim {
	s := &sim{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), partitioned: make(map[[2]string]bool), mutant: m,
		messages: make(map[string]*simMessage), byKey: make(map[string][]*simMessage), maxViewDelay: 60 * ms,
	}
	for i := range stores {
		s.stores = append(s.stores, newSimStore(s, i, copies))
	}
	s.view = &wire.StoreView{Epoch: 1, Copies: uint16(copies)}
	for _, store := range s.stores {
		s.view.Stores = append(s.view.Stores, wire.Store{Disk: store.disk.name, Address: store.disk.name})
	}
	for p := range partitions {
		var placed wire.Placement
		for i := range copies {
			placed.Replicas = append(placed.Replicas, uint16((p+i)%stores))
		}
		s.view.Partitions = append(s.view.Partitions, placed)
	}
	for _, store := range s.stores {
		store.start()
	}
	for i := range edges {
		e := newSimEdge(s, i)
		s.edges = append(s.edges, e)
		e.start()
	}
	s.every(100*ms, s.runLeader)
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{at: s.now + d, order: s.order, run: run})
}

func (s *sim) every(d time.Duration, run func()) {
	s.after(d, func() { run(); s.every(d, run) })
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.failure == "" && s.events[0].at <= until {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
	s.now = max(s.now, until)
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("seed %d at %v: %s", s.seed, s.now, fmt.Sprintf(format, args...))
	}
}
