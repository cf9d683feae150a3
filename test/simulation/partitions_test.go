package simulation

import (
	"fmt"
	"slices"
	"time"
)

// partitionSpan is how long a partition lasts: often so long that another leader has long led, and what it sent is old.
func (w *world) partitionSpan() time.Duration {
	if w.random.IntN(2) == 0 {
		return w.between(6*time.Second, 20*time.Second)
	}
	return w.span()
}

// seedsNow are addresses of control machines that are there.
func (w *world) seedsNow() []string {
	var seeds []string
	for _, c := range w.controls() {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", c.settings.IP, firstPort))
		}
	}
	return seeds
}

// partitionFor holds a partition for a while.
func (w *world) partitionFor(name string, side, others []*machine, oneWay bool) time.Duration {
	if len(side) == 0 || len(others) == 0 {
		return 0
	}
	w.took(name)
	span := w.partitionSpan()
	w.network.partition(side, others, oneWay, 1)
	w.later(span, func() { w.network.partition(side, others, oneWay, -1) })
	return span
}

// minority draws control machines, no more than may be lost now.
func (w *world) minority() []*machine {
	core := w.coreMachines()
	most := min(w.spare(), (len(core)-1)/2)
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

// partitionNear cuts some off from the rest of the core and from all machines of other zones.
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

// partitionLeader cuts the leader off from the core, and leaves it all others.
func (w *world) partitionLeader(name string) {
	if leader := w.leader(); leader != nil && w.spare() > 0 {
		side := []*machine{leader.machine}
		w.partitionFor(name, side, without(w.coreMachines(), side), w.random.IntN(4) == 0)
	}
}

// lure has some members start anew with seeds that are partitioned.
func (w *world) lure(name string) {
	side := w.minority()
	if w.partitionFor(name, side, without(w.coreMachines(), side), false) == 0 {
		return
	}
	w.seed(side)
	for _, p := range w.processes() {
		if w.random.IntN(3) == 0 && p.incarnation != nil {
			p.end(false)
			w.later(w.upTo(500*time.Millisecond), p.machine.start)
		}
	}
}

// seed gives members the seeds of some control machines first.
func (w *world) seed(first []*machine) {
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
	w.seed(side)
	for _, p := range w.processes() {
		if w.random.IntN(2) == 0 && p.incarnation != nil {
			p.end(false)
			w.later(w.upTo(time.Second), p.machine.start)
		}
	}
}

// partitionBoth restarts those that are partitioned, and then the others of the core.
func (w *world) partitionBoth(name string) {
	side := w.minority()
	others := without(w.coreMachines(), side)
	if w.partitionFor(name, side, others, false) == 0 {
		return
	}
	for _, m := range side {
		m.end(false)
		w.later(w.upTo(500*time.Millisecond), m.start)
	}
	w.later(time.Second, func() {
		for _, m := range others {
			m.end(false)
			w.later(w.upTo(500*time.Millisecond), m.start)
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

func (w *world) turnSeeds(name string) {
	w.took(name)
	w.seed([]*machine{w.anyControl()})
}

func (w *world) resetAll(name string) {
	count := 0
	for _, m := range slices.Clone(w.machines) {
		if w.random.IntN(3) == 0 {
			count += w.network.reset(m, 0.5)
		}
	}
	if count > 0 {
		w.took(name)
	}
}
