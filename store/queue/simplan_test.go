package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
	"ravendale/control/placement"
	"ravendale/store/journal"
)

// The simulation of this file has the real planner place the partitions. Stores are lost, replaced, retired and added in any overlap, as
// long as no more of them count as lost at once than may be: a store counts from its loss until catchUp after it is back. What is not a
// loss comes at any time: a connection that is reset, for which the leader drops a store that has lost nothing; a disk that takes no
// more; a retirement; a new store.

// plannedRetention is how long finished messages are known: as in use, much longer than a store that is not a member any more keeps what it
// had (wipeDelay). Else a store that joins with what it had long ago can bring back a message that all others have forgotten.
const plannedRetention = 2 * wipeDelay

// catchUp is how long a store counts as lost after its return.
const catchUp = 4400 * ms

// planMutant breaks the placement on purpose.
type planMutant struct {
	forgetFormer bool // what dropped members have is forgotten
	retireEarly  bool // a retirement is done once one other store holds all
	takeUnfilled bool // a joining store is called complete though it does not say so
}

// planned is a simulation under the real planner.
type planned struct {
	*sim
	config  placement.Config
	mutant  planMutant
	nodes   []*plannedNode
	retired []string
	effects map[string]int
	trace   func(format string, args ...any) // nil: none
}

// plannedNode is what the leader and the world know of a machine.
type plannedNode struct {
	store    *simStore
	name     string
	reported placement.Store // of the last renewal
	heard    bool            // it holds a lease
	removed  bool            // the machine is removed for good
	counted  bool            // it counts as lost
	losses   int
}

func newPlanned(t *testing.T, seed uint64, m planMutant) *planned {
	copies := 2 + int(seed%4/3)
	count := copies + 1 + int(seed/2%2)
	s := newSim(t, seed, count, 2, 4, copies, mutant{})
	p := &planned{
		sim: s, mutant: m, effects: make(map[string]int),
		config: placement.Config{Copies: copies, Partitions: 4},
	}
	s.leader = p.lead
	for i, store := range s.stores {
		p.adopt(store, fmt.Sprintf("node%d", i))
	}
	var live []placement.Store
	for _, n := range p.nodes {
		live = append(live, n.reported)
	}
	view, founded := placement.Plan(nil, live, p.config)
	require.True(t, founded)
	view.Epoch = s.view.Epoch + 1
	s.enact(view)
	return p
}

func (p *planned) adopt(store *simStore, name string) *plannedNode {
	n := &plannedNode{store: store, name: name, heard: true}
	store.retention = plannedRetention
	if store.core != nil {
		store.core.config.FinishedRetention = plannedRetention
	}
	n.renew()
	p.nodes = append(p.nodes, n)
	return n
}

// renew is a renewal.
func (n *plannedNode) renew() {
	n.reported = placement.Store{Disk: n.store.disk.name, Node: n.name, Address: n.name, Zone: n.name, Leaving: n.reported.Leaving}
	if n.store.core != nil {
		status := n.store.core.Status()
		n.reported.Epoch, n.reported.Synced, n.reported.Stalled = status.Epoch, status.Synced, status.Stalled
	}
}

// lead places the partitions anew if they should be, and has a store that is retired removed with its disk.
func (p *planned) lead() {
	var live []placement.Store
	for _, n := range p.nodes {
		if n.store.up && n.heard {
			n.renew()
		}
		if n.heard {
			live = append(live, p.mutated(n.reported))
		}
	}
	view := p.view
	for _, name := range p.retired {
		view = p.early(view, name)
	}
	next, changed := placement.Plan(view, live, p.config)
	if p.mutant.forgetFormer {
		for i := range next.Partitions {
			next.Partitions[i].Former, next.Partitions[i].Unsure = nil, false
		}
	}
	if changed || view != p.view {
		p.enact(next)
		p.logEvent("%+v", next.Partitions)
	}
	for _, n := range p.nodes {
		if _, _, done := placement.Retirement(p.view, n.name); done && !n.removed {
			p.remove(n)
			p.strike("after retirement")
		}
	}
}

// strike has another store lose its disk right after something has made up for a loss, as often as not.
func (p *planned) strike(when string) {
	if p.stopped || p.random.IntN(2) == 0 {
		return
	}
	p.after(p.between(0, 60*ms), func() {
		if n := p.nodes[p.random.IntN(len(p.nodes))]; p.play("wipe", n) {
			p.logEvent("wipe %s %s", when, n.name)
			p.effects["wipe "+when]++
		}
	})
}

func (p *planned) mutated(reported placement.Store) placement.Store {
	if p.mutant.takeUnfilled && reported.Epoch == p.view.Epoch {
		reported.Synced = nil
		for number := range p.view.Partitions {
			reported.Synced = append(reported.Synced, uint16(number))
		}
	}
	return reported
}

// early takes a retiring store out once one other replica is complete, as the mutant does.
func (p *planned) early(view *wire.StoreView, name string) *wire.StoreView {
	at := slices.IndexFunc(view.Stores, func(s wire.Store) bool { return s.Node == name && s.Retiring })
	if !p.mutant.retireEarly || at < 0 || !placement.IsMember(view, at) {
		return view
	}
	next := *view
	next.Partitions = slices.Clone(view.Partitions)
	for i, placed := range next.Partitions {
		rest := slices.DeleteFunc(slices.Clone(placed.Replicas), func(s uint16) bool { return int(s) == at })
		if len(rest) > 0 {
			next.Partitions[i].Replicas = rest
		}
	}
	return &next
}

// startLoss says whether another store may be lost now, and that one counts from now on.
func (p *planned) startLoss(n *plannedNode) bool {
	failed := 0
	for _, other := range p.nodes {
		if other.counted {
			failed++
		}
	}
	if n.counted || n.removed || !n.store.up || failed >= p.config.Copies-1 {
		return false
	}
	n.counted = true
	n.losses++
	return true
}

// endLoss has a store that is back count no more after its time.
func (p *planned) endLoss(n *plannedNode) {
	losses := n.losses
	p.after(catchUp, func() {
		if n.losses == losses {
			n.counted = false
			p.strike("after return")
		}
	})
}

// down stops a store; the leader finds out a little later.
func (p *planned) down(n *plannedNode, power bool) {
	n.store.stop(power)
	incarnation := n.store.disk.incarnation
	p.after(p.between(150*ms, 700*ms), func() {
		if n.store.disk.incarnation == incarnation && !n.store.up {
			n.heard = false
		}
	})
}

func (p *planned) back(n *plannedNode, pause time.Duration) {
	p.after(pause, func() {
		if n.removed {
			return
		}
		n.store.start()
		n.reported.Leaving = false
		p.hear(n, p.between(50*ms, 300*ms))
		p.endLoss(n)
	})
}

func (p *planned) hear(n *plannedNode, pause time.Duration) {
	incarnation := n.store.disk.incarnation
	p.after(pause, func() {
		if n.store.up && n.store.disk.incarnation == incarnation {
			n.heard = true
			n.renew()
		}
	})
}

// wipe gives a store that is down an empty disk.
func (p *planned) wipe(n *plannedNode) {
	old := n.store.disk
	n.store.disk = &simDisk{name: fmt.Sprintf("%s+%d", old.name, n.losses), sim: p.sim, owner: n.store, incarnation: old.incarnation}
	p.checkStored()
}

// remove takes a machine away for good, with its disk. An empty one of another name and address comes in its place.
func (p *planned) remove(n *plannedNode) {
	n.removed = true
	if n.store.up {
		p.down(n, true)
	}
	p.after(p.between(0, 2*time.Second), func() {
		p.add()
		p.endLoss(n) // it counts until its successor has caught up
	})
	p.checkStored()
}

func (p *planned) add() {
	store := newSimStore(p.sim, len(p.stores), p.config.Copies)
	p.stores = append(p.stores, store)
	n := p.adopt(store, fmt.Sprintf("node%d", len(p.nodes)))
	n.heard = false
	store.start()
	p.hear(n, p.between(50*ms, 300*ms))
}

// playFaults plays events until the end.
func (p *planned) playFaults() {
	p.after(p.between(100*ms, 1500*ms), func() {
		if p.stopped {
			return
		}
		p.event()
		p.playFaults()
	})
}

func (p *planned) event() {
	n := p.nodes[p.random.IntN(len(p.nodes))]
	name := []string{"kill", "power", "wipe", "replace", "reset", "reset", "retire", "leave", "edge", "all", "add", "stall"}[p.random.IntN(12)]
	if p.play(name, n) {
		p.logEvent("%s %s", name, n.name)
		p.effects[name]++
	}
}

// logEvent logs what happens in a history that is traced.
func (p *planned) logEvent(format string, args ...any) {
	if p.trace != nil {
		p.trace("%v "+format, append([]any{p.now}, args...)...)
	}
}

// play says whether an event took effect.
func (p *planned) play(name string, n *plannedNode) bool {
	switch name {
	case "kill", "power", "leave":
		if !p.startLoss(n) {
			return false
		}
		n.reported.Leaving = name == "leave"
		p.after(p.between(0, 400*ms), func() {
			p.down(n, name == "power")
			p.back(n, p.between(100*ms, 3*time.Second))
		})
	case "wipe": // now and then all others lose power as well
		if !p.startLoss(n) {
			return false
		}
		all := p.random.IntN(3) == 0
		p.down(n, true)
		p.wipe(n)
		p.back(n, p.between(100*ms, 3*time.Second))
		if all {
			p.blackout(n)
		}
	case "replace":
		if !p.startLoss(n) {
			return false
		}
		p.remove(n)
	case "reset":
		return p.reset(n)
	case "stall":
		n.store.disk.stalled = p.now + p.between(200*ms, 4*time.Second)
		return n.store.up && !n.removed
	case "retire":
		return p.retire(n)
	case "edge":
		return p.restartEdge(p.edges[p.random.IntN(len(p.edges))])
	case "all":
		if slices.ContainsFunc(p.nodes, func(n *plannedNode) bool { return n.counted }) {
			return false
		}
		p.blackout(nil)
	case "add":
		if len(p.nodes) > 8 {
			return false
		}
		p.add()
	}
	return true
}

// blackout has all stores but one lose power. They count as lost until they have caught up.
func (p *planned) blackout(but *plannedNode) {
	for _, n := range p.nodes {
		if n == but || n.removed || !n.store.up {
			continue
		}
		n.counted = true
		n.losses++
		p.down(n, true)
		p.back(n, p.between(100*ms, 800*ms))
	}
}

// reset breaks a store's connections: the leader may drop it though it runs on.
func (p *planned) reset(n *plannedNode) bool {
	if !n.store.up || n.removed {
		return false
	}
	for _, c := range n.store.conns {
		c.close()
	}
	p.after(150*ms, func() {
		if n.store.up && !n.removed {
			n.heard = false
			p.hear(n, p.between(20*ms, 400*ms))
		}
	})
	return true
}

func (p *planned) retire(n *plannedNode) bool {
	var live []placement.Store
	for _, other := range p.nodes {
		if other.heard {
			live = append(live, other.reported)
		}
	}
	marked, _, enough := placement.Retire(p.view, live, p.config, n.name)
	if !enough || slices.Contains(p.retired, n.name) || n.removed {
		return false
	}
	p.retired = append(p.retired, n.name)
	p.enact(marked)
	return true
}

func (p *planned) restartEdge(e *simEdge) bool {
	if e.up {
		e.stop()
		p.after(p.between(100*ms, time.Second), e.start)
	}
	return e.up
}

// checkStored finds out whether all that was accepted and is not finished is on some disk that is left, of a store that has, or had, a part
// in its partition.
func (p *planned) checkStored() {
	stored := make(map[string]bool)
	for _, n := range p.nodes {
		at := slices.IndexFunc(p.view.Stores, func(s wire.Store) bool { return s.Disk == n.store.disk.name })
		if n.removed || at < 0 {
			continue
		}
		core := n.store.recovered()
		for number, placed := range p.view.Partitions {
			if !slices.Contains(slices.Concat(placed.Replicas, placed.Joining, placed.Former), uint16(at)) || core.lookUpPartition(uint16(number)) == nil {
				continue
			}
			for _, e := range core.partition(uint16(number)).entries {
				stored[e.id] = true
			}
		}
	}
	for _, id := range p.names {
		if m := p.messages[id]; m.acceptedAt > 0 && m.finishedAt == 0 && !stored[id] {
			p.fail("message %s was accepted at %v, and no store that counts has it:%s", id, m.acceptedAt, p.describe(id))
			return
		}
	}
}

// recovered is what a store would know if it lost power now.
func (n *simStore) recovered() *Core {
	core := New(Config{Disk: n.disk.name, Copies: n.copies}, simHost{n, n.disk.incarnation})
	for i := n.disk.first; i < n.disk.durable; i++ {
		at := journal.Location{Segment: uint32(i/simSegment) + 1, Offset: uint32(i % simSegment)}
		if err := core.Recover(n.time(), at, n.disk.records[i]); err != nil {
			n.sim.fail("recovery: %v", err)
		}
	}
	return core
}
