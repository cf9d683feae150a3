package queue

import (
	"fmt"
	"slices"
	"time"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// simStore is a simulated store with its disk.
type simStore struct {
	sim       *sim
	copies    int
	core      *Core
	disk      *simDisk
	up        bool
	downAt    time.Duration
	upAt      time.Duration
	skew      int64         // error of its time of day, in milliseconds
	retention time.Duration // FinishedRetention of its core
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

// simJournal is a store's journal. For the mutant ackBeforeSync it reports records as synced at once.
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

func (h simHost) StatusChanged() { h.store.sim.after(ms, h.store.sim.runLeader) }

func (h simHost) Fail(err error) { h.store.sim.fail("%s: %v", h.store.disk.name, err) }

func (n *simStore) stop(power bool) {
	n.up = false
	n.downAt = n.sim.now
	n.disk.stop(power)
	for _, c := range n.conns {
		if power {
			n.sim.after(1200*ms, c.close) // the other end notices the loss of power late
			c.ends[0].handle = ignore
			c.ends[1].handle = ignore
			continue
		}
		c.close()
	}
	n.conns = nil
}

func ignore(wire.Method, []byte, *simReply) {}

// link connects to the other stores of the view, and repeats that periodically.
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
		c.ends[0].handle = func(method wire.Method, payload []byte, _ *simReply) {
			if n.up && n.disk.incarnation == incarnation {
				n.receiveAnswer(c.ends[0], method, payload)
			}
		}
		c.ends[1].handle = func(method wire.Method, payload []byte, reply *simReply) {
			if other.up && other.disk.incarnation == otherIncarnation {
				other.receive(c.ends[1], method, payload, reply)
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

func (n *simStore) receiveAnswer(from *simEnd, method wire.Method, payload []byte) {
	switch method {
	case MethodAcked:
		n.core.Acked(n.time(), from, decode[Acked](payload))
	case MethodDiffer:
		n.core.Differ(n.time(), from, decode[Differ](payload))
	case MethodFetched:
		n.core.Fetched(n.time(), from, decode[Fetched](payload))
	}
}

func (n *simStore) receive(from *simEnd, method wire.Method, payload []byte, reply *simReply) {
	now := n.time()
	switch method {
	case MethodReplicate:
		n.core.Replicate(now, from, decode[Replicate](payload))
	case MethodCompare:
		n.core.Compare(now, from, decode[Compare](payload))
	case MethodFetch:
		n.core.Fetch(now, from, decode[Fetch](payload))
	case MethodFilled:
		n.core.Filled(now, from, decode[Filled](payload))
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
	n.applyMutant()
}

// applyMutant makes the changes of the mutants ackWithoutMembers and grantEarly.
func (n *simStore) applyMutant() {
	m := n.sim.mutant
	for _, p := range n.core.partitions {
		if p == nil || !p.primary {
			continue
		}
		if m.ackWithoutMembers {
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
