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

// The simulation of this file places the partitions with the real planner. Stores fail, and are replaced, retired and
// added in any combination, but at most copies-1 of them count as lost at a time: a store counts from its failure until
// catchUp after its return. Events that lose no data happen at any time: a reset connection, which makes the leader
// drop a store that has lost nothing; a stalled disk; a retirement; a new store.

// plannedRetention is the retention of finished messages. As in production, it is much longer than wipeDelay, the time
// for which a store keeps a partition that it is no longer a member of. Otherwise a store that joins again with old
// content could bring back a message that all other stores have removed.
const plannedRetention = 2 * wipeDelay

// catchUp is the time for which a store counts as lost after its return.
const catchUp = 4400 * ms

// planMutant adds one fault to the placement on purpose, to show that the simulation finds it.
type planMutant struct {
	dropFormer      bool // the planner's record of former members is dropped
	retireEarly     bool // a retirement is finished once one other store has everything
	promoteUnfilled bool // a joining store is promoted to a replica although it has not reported the partition as synced
}

// plannedSim is a simulation with the real planner.
type plannedSim struct {
	*sim
	config  placement.Config
	mutant  planMutant
	nodes   []*plannedNode
	retired []string
	effects map[string]int
	trace   func(format string, args ...any) // logs events; nil if the history isn't traced
}

// plannedNode is the state of a machine, as the leader and the simulation see it.
type plannedNode struct {
	store       *simStore
	name        string
	reported    placement.Store // report of the last lease renewal
	leased      bool            // the leader has a valid lease of the node
	removed     bool            // the machine is removed for good
	countedLost bool            // the store counts as lost
	losses      int
}

func newPlanned(t *testing.T, seed uint64, m planMutant) *plannedSim {
	copies := 2 + int(seed%4/3)
	count := copies + 1 + int(seed/2%2)
	s := newSim(t, seed, count, 2, 4, copies, mutant{})
	p := &plannedSim{
		sim: s, mutant: m, effects: make(map[string]int),
		config: placement.Config{Copies: copies, Partitions: 4},
	}
	s.leader = p.runLeader
	for i, store := range s.stores {
		p.addNode(store, fmt.Sprintf("node%d", i))
	}
	var live []placement.Store
	for _, n := range p.nodes {
		live = append(live, n.reported)
	}
	view, founded := placement.Plan(nil, live, p.config)
	require.True(t, founded)
	view.Epoch = s.view.Epoch + 1
	s.installView(view)
	return p
}

func (p *plannedSim) addNode(store *simStore, name string) *plannedNode {
	n := &plannedNode{store: store, name: name, leased: true}
	store.retention = plannedRetention
	if store.core != nil {
		store.core.config.FinishedRetention = plannedRetention
	}
	n.renew()
	p.nodes = append(p.nodes, n)
	return n
}

// renew updates the node's report to the leader, as a lease renewal does.
func (n *plannedNode) renew() {
	n.reported = placement.Store{Disk: n.store.disk.name, Node: n.name, Address: n.name, Zone: n.name, Leaving: n.reported.Leaving}
	if n.store.core != nil {
		status := n.store.core.Status()
		n.reported.Epoch, n.reported.Synced, n.reported.Stalled = status.Epoch, status.Synced, status.Stalled
	}
}

// runLeader applies the planner's next view, if it differs, and removes nodes whose retirement is finished, with their
// disks.
func (p *plannedSim) runLeader() {
	var live []placement.Store
	for _, n := range p.nodes {
		if n.store.up && n.leased {
			n.renew()
		}
		if n.leased {
			live = append(live, p.mutateReport(n.reported))
		}
	}
	view := p.view
	for _, name := range p.retired {
		view = p.retireEarly(view, name)
	}
	next, changed := placement.Plan(view, live, p.config)
	if p.mutant.dropFormer {
		for i := range next.Partitions {
			next.Partitions[i].Former, next.Partitions[i].Unsure = nil, false
		}
	}
	if changed || view != p.view {
		p.installView(next)
		p.logEvent("%+v", next.Partitions)
	}
	for _, n := range p.nodes {
		if _, _, done := placement.Retirement(p.view, n.name); done && !n.removed {
			p.remove(n)
			p.wipeSoonAfter("after retirement")
		}
	}
}

// wipeSoonAfter makes a random store lose its disk shortly after a store is replaced or complete again, with a
// probability of one half. At that moment a loss counts as made up for, so that another one must be tolerated.
func (p *plannedSim) wipeSoonAfter(when string) {
	if p.stopped || p.random.IntN(2) == 0 {
		return
	}
	p.after(p.between(0, 60*ms), func() {
		if n := p.nodes[p.random.IntN(len(p.nodes))]; p.applyEvent("wipe", n) {
			p.logEvent("wipe %s %s", when, n.name)
			p.effects["wipe "+when]++
		}
	})
}

func (p *plannedSim) mutateReport(reported placement.Store) placement.Store {
	if p.mutant.promoteUnfilled && reported.Epoch == p.view.Epoch {
		reported.Synced = nil
		for number := range p.view.Partitions {
			reported.Synced = append(reported.Synced, uint16(number))
		}
	}
	return reported
}

// retireEarly implements the mutant retireEarly: it removes a retiring store from all partitions that have another
// replica.
func (p *plannedSim) retireEarly(view *wire.StoreView, name string) *wire.StoreView {
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

// startLoss reports whether a store may be lost now. If so, the store counts as lost from now on.
func (p *plannedSim) startLoss(n *plannedNode) bool {
	failed := 0
	for _, other := range p.nodes {
		if other.countedLost {
			failed++
		}
	}
	if n.countedLost || n.removed || !n.store.up || failed >= p.config.Copies-1 {
		return false
	}
	n.countedLost = true
	n.losses++
	return true
}

// endLoss stops counting a store that is back as lost after catchUp.
func (p *plannedSim) endLoss(n *plannedNode) {
	losses := n.losses
	p.after(catchUp, func() {
		if n.losses == losses {
			n.countedLost = false
			p.wipeSoonAfter("after return")
		}
	})
}

// stopNode stops a store. The leader notices it after a random delay.
func (p *plannedSim) stopNode(n *plannedNode, power bool) {
	n.store.stop(power)
	incarnation := n.store.disk.incarnation
	p.after(p.between(150*ms, 700*ms), func() {
		if n.store.disk.incarnation == incarnation && !n.store.up {
			n.leased = false
		}
	})
}

func (p *plannedSim) restartNode(n *plannedNode, pause time.Duration) {
	p.after(pause, func() {
		if n.removed {
			return
		}
		n.store.start()
		n.reported.Leaving = false
		p.renewLease(n, p.between(50*ms, 300*ms))
		p.endLoss(n)
	})
}

func (p *plannedSim) renewLease(n *plannedNode, pause time.Duration) {
	incarnation := n.store.disk.incarnation
	p.after(pause, func() {
		if n.store.up && n.store.disk.incarnation == incarnation {
			n.leased = true
			n.renew()
		}
	})
}

// wipe replaces the disk of a stopped store by an empty one.
func (p *plannedSim) wipe(n *plannedNode) {
	old := n.store.disk
	n.store.disk = &simDisk{name: fmt.Sprintf("%s+%d", old.name, n.losses), sim: p.sim, owner: n.store, incarnation: old.incarnation}
	p.checkStored()
}

// remove removes a machine with its disk for good. An empty machine with another name and address replaces it.
func (p *plannedSim) remove(n *plannedNode) {
	n.removed = true
	if n.store.up {
		p.stopNode(n, true)
	}
	p.after(p.between(0, 2*time.Second), func() {
		p.addStore()
		p.endLoss(n) // it counts as lost until the new machine has caught up
	})
	p.checkStored()
}

func (p *plannedSim) addStore() {
	store := newSimStore(p.sim, len(p.stores), p.config.Copies)
	p.stores = append(p.stores, store)
	n := p.addNode(store, fmt.Sprintf("node%d", len(p.nodes)))
	n.leased = false
	store.start()
	p.renewLease(n, p.between(50*ms, 300*ms))
}

// scheduleEvents injects events at random intervals until the simulation is stopped.
func (p *plannedSim) scheduleEvents() {
	p.after(p.between(100*ms, 1500*ms), func() {
		if p.stopped {
			return
		}
		p.injectEvent()
		p.scheduleEvents()
	})
}

func (p *plannedSim) injectEvent() {
	n := p.nodes[p.random.IntN(len(p.nodes))]
	name := []string{"kill", "power", "wipe", "replace", "reset", "reset", "retire", "leave", "edge", "all", "add", "stall"}[p.random.IntN(12)]
	if p.applyEvent(name, n) {
		p.logEvent("%s %s", name, n.name)
		p.effects[name]++
	}
}

// logEvent logs an event if the history is traced.
func (p *plannedSim) logEvent(format string, args ...any) {
	if p.trace != nil {
		p.trace("%v "+format, append([]any{p.now}, args...)...)
	}
}

// applyEvent applies an event to a node, if it is possible now, and reports whether it took effect.
func (p *plannedSim) applyEvent(name string, n *plannedNode) bool {
	switch name {
	case "kill", "power", "leave":
		if !p.startLoss(n) {
			return false
		}
		n.reported.Leaving = name == "leave"
		p.after(p.between(0, 400*ms), func() {
			p.stopNode(n, name == "power")
			p.restartNode(n, p.between(100*ms, 3*time.Second))
		})
	case "wipe": // in one of three cases all other stores lose power as well
		if !p.startLoss(n) {
			return false
		}
		othersFail := p.random.IntN(3) == 0
		p.stopNode(n, true)
		p.wipe(n)
		p.restartNode(n, p.between(100*ms, 3*time.Second))
		if othersFail {
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
		n.store.disk.stalledUntil = p.now + p.between(200*ms, 4*time.Second)
		return n.store.up && !n.removed
	case "retire":
		return p.retire(n)
	case "edge":
		return p.restartEdge(p.edges[p.random.IntN(len(p.edges))])
	case "all":
		if slices.ContainsFunc(p.nodes, func(n *plannedNode) bool { return n.countedLost }) {
			return false
		}
		p.blackout(nil)
	case "add":
		if len(p.nodes) > 8 {
			return false
		}
		p.addStore()
	}
	return true
}

// blackout makes all stores except one lose power. They count as lost until they have caught up.
func (p *plannedSim) blackout(except *plannedNode) {
	for _, n := range p.nodes {
		if n == except || n.removed || !n.store.up {
			continue
		}
		n.countedLost = true
		n.losses++
		p.stopNode(n, true)
		p.restartNode(n, p.between(100*ms, 800*ms))
	}
}

// reset closes a store's connections. The leader may drop the store although it keeps running.
func (p *plannedSim) reset(n *plannedNode) bool {
	if !n.store.up || n.removed {
		return false
	}
	for _, c := range n.store.conns {
		c.close()
	}
	p.after(150*ms, func() {
		if n.store.up && !n.removed {
			n.leased = false
			p.renewLease(n, p.between(20*ms, 400*ms))
		}
	})
	return true
}

func (p *plannedSim) retire(n *plannedNode) bool {
	var live []placement.Store
	for _, other := range p.nodes {
		if other.leased {
			live = append(live, other.reported)
		}
	}
	marked, _, enough := placement.Retire(p.view, live, p.config, n.name)
	if !enough || slices.Contains(p.retired, n.name) || n.removed {
		return false
	}
	p.retired = append(p.retired, n.name)
	p.installView(marked)
	return true
}

func (p *plannedSim) restartEdge(e *simEdge) bool {
	if e.up {
		e.stop()
		p.after(p.between(100*ms, time.Second), e.start)
	}
	return e.up
}

// checkStored verifies that each message that was accepted and isn't finished is on the disk of a current or former
// member of its partition.
func (p *plannedSim) checkStored() {
	stored := make(map[string]bool)
	for _, n := range p.nodes {
		at := slices.IndexFunc(p.view.Stores, func(s wire.Store) bool { return s.Disk == n.store.disk.name })
		if n.removed || at < 0 {
			continue
		}
		core := n.store.recoveredCore()
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
			p.fail("message %s was accepted at %v, and no current or former member has it on disk:%s", id, m.acceptedAt, p.describeMessage(id))
			return
		}
	}
}

// recoveredCore returns a core with the state that the store would recover if it lost power now.
func (n *simStore) recoveredCore() *Core {
	core := New(Config{Disk: n.disk.name, Copies: n.copies}, simHost{n, n.disk.incarnation})
	for i := n.disk.first; i < n.disk.durable; i++ {
		at := journal.Location{Segment: uint32(i/simSegment) + 1, Offset: uint32(i % simSegment)}
		if err := core.Recover(n.time(), at, n.disk.records[i]); err != nil {
			n.sim.fail("recovery of a durable record: %v", err)
		}
	}
	return core
}
