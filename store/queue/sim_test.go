package queue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// The simulation plays several stores, edges, a leader and a network on one clock, from a seed.

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
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// mutant breaks the queue on purpose: the simulation has to find out.
type mutant struct {
	ackBeforeSync  bool // a store acknowledges what is not on its disk
	ackOwnOnly     bool // a primary does not wait for the other members
	grantEarly     bool // the next of a key is granted when the end of the one before is only on the primary
	syncWithoutAll bool // a joining member is called whole at once
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

	messages map[string]*simMessage
	names    []string
	byKey    map[string][]*simMessage
	stopped  bool          // no more puts and faults
	calm     bool          // no faults: nothing may run again after it has ended
	lag      time.Duration // edges and stores hear of a view so late, at most
	leader   func()        // who places the partitions; nil: a simple one
}

type simMessage struct {
	message    wire.Message
	sentAt     time.Duration
	acceptedAt time.Duration // zero: never told
	finishedAt time.Duration // at the worker
	doneAcked  bool
	runs       int
}

func newSim(t *testing.T, seed uint64, stores, edges, partitions, copies int, m mutant) *sim {
	s := &sim{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), partitioned: make(map[[2]string]bool), mutant: m,
		messages: make(map[string]*simMessage), byKey: make(map[string][]*simMessage), lag: 60 * ms,
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
	s.every(100*ms, s.lead)
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

// simDisk keeps records; those that were not synced may be lost.
type simDisk struct {
	name        string
	sim         *sim
	records     [][]byte
	first       int // index of the first that was not removed
	removed     int // index of the first of which the removal was not asked for
	durable     int
	removes     []simRemove
	owner       *simStore
	incarnation int
	syncing     bool
	stalled     time.Duration // until then it takes nothing
}

const simSegment = 40 // records

// simRemove is the removal of all records before one, once those up to another one are on disk.
type simRemove struct {
	first int
	after int
}

func (d *simDisk) Append(payload []byte) (journal.Location, uint64) {
	d.records = append(d.records, slices.Clone(payload))
	d.sync()
	i := len(d.records) - 1
	return journal.Location{Segment: uint32(i/simSegment) + 1, Offset: uint32(i % simSegment)}, uint64(len(d.records))
}

func (d *simDisk) sync() {
	if d.syncing {
		return
	}
	d.syncing = true
	incarnation := d.incarnation
	d.sim.after(d.sim.between(50*time.Microsecond, 100*time.Microsecond), func() {
		if incarnation != d.incarnation {
			return
		}
		upTo := len(d.records)
		takes := d.sim.between(ms/2, 3*ms)
		if d.sim.random.IntN(10) == 0 {
			takes = d.sim.between(5*ms, 40*ms)
		}
		takes = max(takes, d.stalled-d.sim.now)
		d.sim.after(takes, func() {
			if incarnation != d.incarnation {
				return
			}
			d.durable = max(d.durable, upTo)
			d.remove()
			d.syncing = false
			if d.durable < len(d.records) {
				d.sync()
			}
			d.owner.core.JournalSynced(d.owner.time(), uint64(d.durable))
		})
	})
}

func (d *simDisk) Position() uint64 { return uint64(len(d.records)) }

func (d *simDisk) Read(at journal.Location) ([]byte, error) {
	i := int(at.Segment-1)*simSegment + int(at.Offset)
	if at.Segment == 0 || i < d.first || i >= len(d.records) {
		return nil, fmt.Errorf("no record at %v", at)
	}
	return d.records[i], nil
}

// Remove takes effect once all that was appended so far is on disk.
func (d *simDisk) Remove(segment uint32) {
	d.removed = int(segment) * simSegment
	d.removes = append(d.removes, simRemove{first: d.removed, after: len(d.records)})
	d.remove()
}

func (d *simDisk) remove() {
	for len(d.removes) > 0 && d.removes[0].after <= d.durable {
		d.first = d.removes[0].first
		d.removes = d.removes[1:]
	}
}

func (d *simDisk) Segments() (oldest, newest uint32) {
	return uint32(d.removed/simSegment) + 1, uint32(max(len(d.records)-1, 0)/simSegment) + 1
}

func (d *simDisk) Used() int64 { return int64(len(d.records)-d.removed) * 100 }

// stop ends the life of who uses the disk; without power, part of what was not synced is lost.
func (d *simDisk) stop(power bool) {
	d.incarnation++
	d.syncing = false
	if power {
		d.records = d.records[:d.durable+d.sim.random.IntN(len(d.records)-d.durable+1)]
	}
	d.durable = len(d.records)
	d.removes, d.removed = nil, d.first
}

// simConn is a connection; each end notifies the other.
type simConn struct {
	sim    *sim
	names  [2]string
	open   bool
	lastAt [2]time.Duration
	ends   [2]*simEnd
	closed [2]func()
}

type simEnd struct {
	conn *simConn
	side int
	take func(method wire.Method, payload []byte, reply *simReply)
	// answers to requests
	calls map[int]func(payload []byte)
	next  int
}

func (s *sim) connect(from, to string) *simConn {
	c := &simConn{sim: s, names: [2]string{from, to}, open: true}
	c.ends = [2]*simEnd{{conn: c, side: 0, calls: map[int]func([]byte){}}, {conn: c, side: 1, calls: map[int]func([]byte){}}}
	return c
}

func (e *simEnd) other() *simEnd { return e.conn.ends[1-e.side] }

// deliver runs f at the other end, in order, unless the link is cut.
func (e *simEnd) deliver(f func()) {
	c, s := e.conn, e.conn.sim
	at := max(c.lastAt[e.side], s.now+s.between(100*time.Microsecond, 2*ms))
	c.lastAt[e.side] = at
	s.after(at-s.now, func() {
		if !c.open {
			return
		}
		if s.partitioned[[2]string{c.names[e.side], c.names[1-e.side]}] {
			s.after(1200*ms, c.close) // what is lost on a connection ends it
			c.lastAt[e.side] = 1 << 62
			return
		}
		f()
	})
}

func (c *simConn) close() {
	if !c.open {
		return
	}
	c.open = false
	for _, closed := range c.closed {
		if closed != nil {
			closed()
		}
	}
}

func (e *simEnd) Notify(method wire.Method, message msgp.Marshaler) error {
	payload, err := message.MarshalMsg(nil)
	require.NoError(e.conn.sim.t, err)
	if grant, ok := message.(*wire.Grant); ok && e.conn.sim.messages[grant.ID].doneAcked {
		e.conn.sim.fail("message %s is granted after its end was acknowledged", grant.ID)
	}
	e.deliver(func() { e.other().take(method, payload, &simReply{}) })
	return nil
}

func (e *simEnd) request(method wire.Method, message msgp.Marshaler, done func(payload []byte)) {
	payload, err := message.MarshalMsg(nil)
	require.NoError(e.conn.sim.t, err)
	e.next++
	call := e.next
	e.calls[call] = done
	e.deliver(func() { e.other().take(method, payload, &simReply{end: e.other(), call: call}) })
}

type simReply struct {
	end  *simEnd
	call int
}

func (r *simReply) Send(message msgp.Marshaler) {
	if r.end == nil {
		return
	}
	payload, _ := message.MarshalMsg(nil)
	r.end.deliver(func() {
		if done := r.end.other().calls[r.call]; done != nil {
			delete(r.end.other().calls, r.call)
			done(payload)
		}
	})
}

func (r *simReply) Fail(err error) { r.end.conn.sim.fail("request failed: %v", err) }

func decode[T any, P interface {
	*T
	msgp.Unmarshaler
}](payload []byte) *T {
	m := new(T)
	if _, err := P(m).UnmarshalMsg(payload); err != nil {
		panic(err)
	}
	return m
}

// simStore is a store with its disk.
type simStore struct {
	sim       *sim
	copies    int
	core      *Core
	disk      *simDisk
	up        bool
	downAt    time.Duration
	upAt      time.Duration
	skew      int64         // of its time of day, in milliseconds
	retention time.Duration // ended messages are known so long
	conns     []*simConn
	links     map[string]*simConn
}

func newSimStore(s *sim, i, copies int) *simStore {
	store := &simStore{sim: s, copies: copies, skew: int64(s.random.IntN(4000)) - 2000, retention: 10 * time.Second}
	store.disk = &simDisk{name: fmt.Sprintf("disk%d", i), sim: s, owner: store}
	return store
}

func (n *simStore) time() Time {
	return Time{Steady: n.sim.now - n.upAt, UnixMs: int64(n.sim.now/ms) + n.skew}
}

func (n *simStore) start() {
	n.up = true
	n.upAt = n.sim.now
	n.links = make(map[string]*simConn)
	n.core = New(Config{
		Disk: n.disk.name, Copies: n.copies, FinishedRetention: n.retention, DiskBytes: int64(1<<18) << (n.sim.seed % 3),
	}, simHost{n, n.disk.incarnation})
	n.core.now = n.time()
	for i := n.disk.first; i < len(n.disk.records); i++ {
		at := journal.Location{Segment: uint32(i/simSegment) + 1, Offset: uint32(i % simSegment)}
		if err := n.core.Recover(n.time(), at, n.disk.records[i]); err != nil {
			n.sim.fail("recovery: %v", err)
		}
	}
	n.core.Start(n.time(), simJournal{n.disk, n})
	n.sim.publish(n)
	n.link()
}

// simJournal lets a mutant acknowledge what is not on disk.
type simJournal struct {
	*simDisk
	store *simStore
}

func (j simJournal) Append(payload []byte) (journal.Location, uint64) {
	at, position := j.simDisk.Append(payload)
	if j.store.sim.mutant.ackBeforeSync {
		incarnation := j.incarnation
		j.sim.after(0, func() {
			if incarnation == j.incarnation {
				j.store.core.JournalSynced(j.store.time(), position)
			}
		})
	}
	return at, position
}

type simHost struct {
	store       *simStore
	incarnation int
}

func (h simHost) WakeAt(steady time.Duration) {
	n := h.store
	n.sim.after(max(n.upAt+steady-n.sim.now, 0), func() {
		if n.up && n.disk.incarnation == h.incarnation {
			n.core.Tick(n.time())
		}
	})
}

func (h simHost) StatusChanged() { h.store.sim.after(ms, h.store.sim.lead) }

func (h simHost) Fail(err error) { h.store.sim.fail("%s: %v", h.store.disk.name, err) }

func (n *simStore) stop(power bool) {
	n.up = false
	n.downAt = n.sim.now
	n.disk.stop(power)
	for _, c := range n.conns {
		if power {
			n.sim.after(1200*ms, c.close) // nobody hears of it
			c.ends[0].take = ignore
			c.ends[1].take = ignore
			continue
		}
		c.close()
	}
	n.conns = nil
}

func ignore(wire.Method, []byte, *simReply) {}

// link connects to the other stores of the view, over and over.
func (n *simStore) link() {
	incarnation := n.disk.incarnation
	for _, other := range n.sim.stores {
		if c := n.links[other.disk.name]; n.core.peers.byDisk[other.disk.name] == nil || c != nil && c.open || !other.up || n.sim.isPartitioned(n.disk.name, other.disk.name) {
			continue
		}
		c := n.sim.connect(n.disk.name, other.disk.name)
		n.links[other.disk.name] = c
		n.conns = append(n.conns, c)
		other.conns = append(other.conns, c)
		otherIncarnation := other.disk.incarnation
		c.ends[0].take = func(method wire.Method, payload []byte, _ *simReply) {
			if n.up && n.disk.incarnation == incarnation {
				n.answered(c.ends[0], method, payload)
			}
		}
		c.ends[1].take = func(method wire.Method, payload []byte, reply *simReply) {
			if other.up && other.disk.incarnation == otherIncarnation {
				other.take(c.ends[1], method, payload, reply)
			}
		}
		c.closed[0] = func() {
			if n.up && n.disk.incarnation == incarnation {
				n.core.PeerDown(n.time(), c.ends[0])
			}
		}
		n.core.PeerUp(n.time(), other.disk.name, c.ends[0])
	}
	n.sim.after(n.sim.between(20*ms, 200*ms), func() {
		if n.up && n.disk.incarnation == incarnation {
			n.link()
		}
	})
}

func (s *sim) isPartitioned(a, b string) bool {
	return s.partitioned[[2]string{a, b}] || s.partitioned[[2]string{b, a}]
}

func (n *simStore) answered(from *simEnd, method wire.Method, payload []byte) {
	switch method {
	case MethodAcked:
		n.core.Acked(n.time(), from, decode[Acked](payload))
	case MethodDiffer:
		n.core.Differ(n.time(), from, decode[Differ](payload))
	case MethodFetched:
		n.core.Fetched(n.time(), from, decode[Fetched](payload))
	}
}

func (n *simStore) take(from *simEnd, method wire.Method, payload []byte, reply *simReply) {
	now := n.time()
	switch method {
	case MethodReplicate:
		n.core.Replicate(now, from, decode[Replicate](payload))
	case MethodCompare:
		n.core.Compare(now, from, decode[Compare](payload))
	case MethodFetch:
		n.core.Fetch(now, from, decode[Fetch](payload))
	case MethodFilled:
		n.core.Filled(now, decode[Filled](payload))
	case wire.MethodAttach:
		n.core.AttachEdge(now, from, decode[wire.Attach](payload), reply)
	case wire.MethodPut:
		n.core.PutMessage(now, from, decode[wire.Put](payload), reply)
	case wire.MethodReport:
		n.core.ReportDelivery(now, from, decode[wire.Report](payload), reply)
	case wire.MethodClaim:
		n.core.ClaimMessages(now, from, decode[wire.Claim](payload), reply)
	case wire.MethodFind:
		n.core.FindMessage(now, decode[wire.Find](payload), reply)
	}
	n.mutate()
}

// mutate does what the mutant does wrong.
func (n *simStore) mutate() {
	m := n.sim.mutant
	for _, p := range n.core.partitions {
		if p == nil || !p.primary {
			continue
		}
		if m.ackOwnOnly {
			for _, o := range slices.Clone(p.ops) {
				o.unacked = 0
				n.core.complete(o)
			}
		}
		if m.grantEarly {
			for _, o := range slices.Clone(p.ops) {
				if o.finish {
					o.unacked, o.synced = 0, true
					n.core.complete(o)
				}
			}
		}
	}
}

// members are the edges as the leader sees them: one that has just gone or come may be missed.
func (s *sim) members() []wire.Edge {
	var list []wire.Edge
	for _, e := range s.edges {
		if e.up {
			list = append(list, wire.Edge{ID: e.id})
		}
	}
	return list
}

// publish sends the newest view to a store, some time later.
func (s *sim) publish(n *simStore) {
	incarnation, view := n.disk.incarnation, s.view
	s.after(s.between(0, s.lag), func() {
		if n.up && n.disk.incarnation == incarnation {
			n.core.SetEdges(n.time(), s.members())
			n.core.SetView(n.time(), view)
			n.mutate()
		}
	})
}

// lead is the leader: it takes silent stores out, has others join, and promotes those that are whole.
func (s *sim) lead() {
	if s.leader != nil {
		s.leader()
		return
	}
	next := &wire.StoreView{Epoch: s.view.Epoch + 1, Copies: s.view.Copies, Stores: s.view.Stores}
	for number, placed := range s.view.Partitions {
		next.Partitions = append(next.Partitions, s.nextPlacement(uint16(number), placed))
	}
	if fmt.Sprint(next.Partitions) == fmt.Sprint(s.view.Partitions) {
		return
	}
	s.enact(next)
}

// storeOf is the index of the store that has a disk of a view, by its index there.
func (s *sim) storeOf(view *wire.StoreView, index uint16) (uint16, bool) {
	at := slices.IndexFunc(s.stores, func(n *simStore) bool { return n.disk.name == view.Stores[index].Disk })
	return uint16(max(at, 0)), at >= 0
}

// enact has a view take effect.
func (s *sim) enact(next *wire.StoreView) {
	s.view = next
	for _, n := range s.stores {
		if n.up {
			s.publish(n)
		}
	}
	for _, e := range s.edges {
		e.publish()
	}
}

func (s *sim) nextPlacement(number uint16, placed wire.Placement) wire.Placement {
	isAlive := func(i uint16) bool { return s.stores[i].up || s.now-s.stores[i].downAt < time.Second }
	replicas := slices.DeleteFunc(slices.Clone(placed.Replicas), func(i uint16) bool { return !isAlive(i) })
	joining := slices.DeleteFunc(slices.Clone(placed.Joining), func(i uint16) bool { return !isAlive(i) })
	if len(replicas) == 0 {
		return placed
	}
	for _, i := range slices.Clone(joining) {
		status := s.stores[i].core.Status()
		synced := s.stores[i].up && status.Epoch == s.view.Epoch && slices.Contains(status.Synced, number)
		if synced || s.mutant.syncWithoutAll {
			replicas = append(replicas, i)
			joining = slices.DeleteFunc(joining, func(other uint16) bool { return other == i })
		}
	}
	for offset := range s.stores {
		i := uint16((int(number) + int(s.view.Epoch) + offset) % len(s.stores))
		if len(replicas)+len(joining) >= int(s.view.Copies) {
			break
		}
		if s.stores[i].up && !slices.Contains(replicas, i) && !slices.Contains(joining, i) {
			joining = append(joining, i)
		}
	}
	if len(joining) == 0 && s.random.IntN(150) == 0 && !s.stopped { // a planned move
		slices.Reverse(replicas)
	}
	return wire.Placement{Replicas: replicas, Joining: joining}
}
