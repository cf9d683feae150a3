package simulation

import (
	"fmt"
	"slices"
	"time"
)

// partitionSpan draws how long a partition lasts. Half of them last 6 to 20 s: another leader has taken over long
// before their end, and messages that they held up are outdated.
func (w *world) partitionSpan() time.Duration {
	if w.random.IntN(2) == 0 {
		return w.drawBetween(6*time.Second, 20*time.Second)
	}
	return w.faultDuration()
}

// seedsNow returns the addresses of up to three control machines that have not been removed.
func (w *world) seedsNow() []string {
	var seeds []string
	for _, c := range w.controls() {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", c.settings.IP, firstPort))
		}
	}
	return seeds
}

// partitionFor starts a partition that ends by itself, and returns its duration; 0: one side is empty and there is no
// partition.
func (w *world) partitionFor(name string, side, others []*machine, oneWay bool) time.Duration {
	if len(side) == 0 || len(others) == 0 {
		return 0
	}
	w.countFault(name)
	span := w.partitionSpan()
	w.network.partition(side, others, oneWay, 1)
	w.afterUnlessCalm(span, func() { w.network.partition(side, others, oneWay, -1) })
	return span
}

// minority draws control machines: fewer than half of the core, and no more than may fail now.
func (w *world) minority() []*machine {
	core := w.coreMachines()
	most := min(w.toleratedLosses(), (len(core)-1)/2)
	if most == 0 {
		return nil
	}
	w.random.Shuffle(len(core), func(i, j int) { core[i], core[j] = core[j], core[i] })
	return core[:1+w.random.IntN(most)]
}

func without(all, some []*machine) []*machine {
	var rest []*machine
	for _, m := range all {
		if !slices.Contains(some, m) {
			rest = append(rest, m)
		}
	}
	return rest
}

func (w *world) partitionCore(name string, oneWay, all bool) {
	side := w.minority()
	others := without(w.coreMachines(), side)
	if all {
		others = w.others(side)
	}
	if oneWay && w.random.IntN(2) == 0 {
		side, others = others, side
	}
	w.partitionFor(name, side, others, oneWay)
}

// partitionNear partitions a minority of the core from the rest of the core and from all machines of other zones.
func (w *world) partitionNear(name string) {
	side := w.minority()
	if len(side) == 0 {
		return
	}
	var others []*machine
	for _, m := range w.others(side) {
		_, core := m.program.(*control)
		if core || m.zone != side[0].zone {
			others = append(others, m)
		}
	}
	w.partitionFor(name, side, others, false)
}

// partitionLeader partitions the leader from the rest of the core, but from no edge or store.
func (w *world) partitionLeader(name string) {
	if leader := w.leader(); leader != nil && w.toleratedLosses() > 0 {
		side := []*machine{leader.machine}
		w.partitionFor(name, side, without(w.coreMachines(), side), w.random.IntN(4) == 0)
	}
}

// restartWithPartitionedSeeds partitions a minority of the core, makes it the first seeds of all members and restarts a
// third of them.
func (w *world) restartWithPartitionedSeeds(name string) {
	side := w.minority()
	if w.partitionFor(name, side, without(w.coreMachines(), side), false) == 0 {
		return
	}
	w.setSeeds(side)
	for _, p := range w.processes() {
		if w.random.IntN(3) == 0 && p.incarnation != nil {
			p.end(false)
			w.afterUnlessCalm(w.drawUpTo(500*time.Millisecond), p.machine.start)
		}
	}
}

// setSeeds gives all members a list of seeds that begins with the given control machines.
func (w *world) setSeeds(first []*machine) {
	var seeds []string
	for _, m := range first {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.program.(*control).settings.IP, firstPort))
	}
	for _, seed := range w.seedsNow() {
		if !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	for _, p := range w.processes() {
		p.settings.Seeds = seeds
		if p.incarnation != nil && !p.frozen {
			p.agent.SetSettings(&p.settings)
		}
	}
}

func (w *world) partitionSeeds(name string) {
	side := w.minority()
	if w.partitionFor(name, side, without(w.coreMachines(), side), false) == 0 {
		return
	}
	w.setSeeds(side)
	for _, p := range w.processes() {
		if w.random.IntN(2) == 0 && p.incarnation != nil {
			p.end(false)
			w.afterUnlessCalm(w.drawUpTo(time.Second), p.machine.start)
		}
	}
}

// partitionBoth partitions a minority of the core and restarts it, and 1 s later the rest of the core.
func (w *world) partitionBoth(name string) {
	side := w.minority()
	others := without(w.coreMachines(), side)
	if w.partitionFor(name, side, others, false) == 0 {
		return
	}
	for _, m := range side {
		m.end(false)
		w.afterUnlessCalm(w.drawUpTo(500*time.Millisecond), m.start)
	}
	w.afterUnlessCalm(time.Second, func() {
		for _, m := range others {
			m.end(false)
			w.afterUnlessCalm(w.drawUpTo(500*time.Millisecond), m.start)
		}
	})
}

func (w *world) partitionNode(name string, all bool) {
	side := []*machine{w.anyProcess(w.random.IntN(3) > 0)}
	others := w.coreMachines()
	if all {
		others = w.others(side)
	}
	w.partitionFor(name, side, others, w.random.IntN(4) == 0)
}

// partitionEdge partitions an edge from all machines but the stores and the workers: it goes on delivering, and learns
// nothing of the control plane.
func (w *world) partitionEdge(name string) {
	side := []*machine{w.anyProcess(true)}
	var others []*machine
	for _, m := range w.others(side) {
		if p, ok := m.program.(*process); !ok || p.edge {
			others = append(others, m)
		}
	}
	w.partitionFor(name, side, others, false)
}

func (w *world) changeSeeds(name string) {
	w.countFault(name)
	w.setSeeds([]*machine{w.anyControl()})
}

func (w *world) resetAll(name string) {
	count := 0
	for _, m := range slices.Clone(w.machines) {
		if w.random.IntN(3) == 0 {
			count += w.network.resetConnections(m, 0.5)
		}
	}
	if count > 0 {
		w.countFault(name)
	}
}
