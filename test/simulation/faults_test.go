package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// fault is something that goes wrong, or that is done, and ends by itself. It counts what took effect.
type fault struct {
	name string
	play func(w *world, name string)
}

// faults are the kinds of disruptions that the bench knows and that apply to what is in the world, and some of our own.
var faults = []fault{
	{"node_kill control", func(w *world, name string) { w.kill(name, w.anyControl(), false) }},
	{"node_kill control power", func(w *world, name string) { w.kill(name, w.anyControl(), true) }},
	{"node_kill edge", func(w *world, name string) { w.kill(name, w.anyProcess(true), false) }},
	{"node_kill edge power", func(w *world, name string) { w.kill(name, w.anyProcess(true), true) }},
	{"node_kill store", func(w *world, name string) { w.kill(name, w.anyProcess(false), false) }},
	{"node_freeze control", func(w *world, name string) { w.freeze(name, w.anyControl()) }},
	{"node_freeze member", func(w *world, name string) { w.freeze(name, w.anyProcess(w.random.IntN(3) > 0)) }},
	{"node_freeze leader", func(w *world, name string) {
		if leader := w.leader(); leader != nil {
			w.freeze(name, leader.machine)
		}
	}},
	{"node_slow", func(w *world, name string) { w.slow(name, w.anyMachine()) }},
	{"roll_term control", (*world).rollControls},
	{"roll_term edge", (*world).rollEdges},
	{"herd_kill core", func(w *world, name string) { w.herd(name, w.coreMachines(), false) }},
	{"herd_kill core power", func(w *world, name string) { w.herd(name, w.coreMachines(), true) }},
	{"herd_kill all power", func(w *world, name string) { w.herd(name, w.machines, true) }},
	{"herd_kill all power taken", func(w *world, name string) { w.afterAck(func() { w.herd(name, w.machines, true) }) }},
	{"after_ack_kill", (*world).afterAckKill},
	{"after_ack_wipe", (*world).afterAckWipe},
	{"replace_core", func(w *world, name string) { w.replace(name, false) }},
	{"replace_core planned", func(w *world, name string) { w.replace(name, true) }},
	{"core_cut", func(w *world, name string) { w.partitionCore(name, false, false) }},
	{"core_cut one_way", func(w *world, name string) { w.partitionCore(name, true, false) }},
	{"core_cut all", func(w *world, name string) { w.partitionCore(name, false, true) }},
	{"core_cut near", (*world).partitionNear},
	{"core_cut leader", (*world).partitionLeader},
	{"core_cut leader", (*world).partitionLeader}, // the day that users meet most
	{"core_cut lure", (*world).lure},
	{"core_cut seeds", (*world).partitionSeeds},
	{"core_cut both", (*world).partitionBoth},
	{"node_cut", func(w *world, name string) { w.partitionNode(name, false) }},
	{"node_cut all", func(w *world, name string) { w.partitionNode(name, true) }},
	{"seed_turnover", (*world).turnSeeds},
	{"reset_conns", (*world).resetAll},
	{"disk_slow", (*world).slowDisk},
	{"disk_stall", (*world).stallDisk},
	{"ack_lost", (*world).loseAcks},
	{"config_race", (*world).raceThrice},
	{"messages lost", (*world).lose},
	{"add_nodes", (*world).addEdge},
	{"node_kill store power", func(w *world, name string) { w.kill(name, w.anyProcess(false), true) }},
	{"node_freeze store", func(w *world, name string) { w.freeze(name, w.anyProcess(false)) }},
	{"herd_kill stores power", func(w *world, name string) { w.herd(name, w.storeMachines(), true) }},
	{"after_ack_wipe store", (*world).wipeStore},
	{"disk_slow store", (*world).slowStore},
	{"disk_stall store", (*world).stallStore},
	{"clock_step", (*world).stepClocks},
	{"srv_crash", (*world).crashServers},
	{"release", (*world).release},
	{"garble", func(w *world, _ string) { w.spoil(func(s *server, share int) { s.garbles = share }) }},
	{"answer_lost", func(w *world, _ string) { w.spoil(func(s *server, share int) { s.lossy = share }) }},
}

// later does something after a while, unless calm comes first: then it is not wanted any more.
func (w *world) later(wait time.Duration, run func()) {
	period := w.period
	w.after(wait, func() {
		if w.period == period {
			run()
		}
	})
}

// span is how long a disruption lasts: mostly short, now and then long.
func (w *world) span() time.Duration {
	if w.random.IntN(5) == 0 {
		return w.between(6*time.Second, 20*time.Second)
	}
	return w.between(50*time.Millisecond, 4*time.Second)
}

// partitionSpan is how long a partition lasts: often so long that another leader has long led, and what it sent is old.
func (w *world) partitionSpan() time.Duration {
	if w.random.IntN(2) == 0 {
		return w.between(6*time.Second, 20*time.Second)
	}
	return w.span()
}

func (w *world) anyControl() *machine {
	controls := w.controls()
	return controls[w.random.IntN(len(controls))].machine
}

func (w *world) anyProcess(edge bool) *machine {
	var fit []*machine
	for _, p := range w.processes() {
		if p.edge == edge && !p.removed {
			fit = append(fit, p.machine)
		}
	}
	return fit[w.random.IntN(len(fit))]
}

func (w *world) anyMachine() *machine {
	for {
		if m := w.machines[w.random.IntN(len(w.machines))]; !m.removed {
			return m
		}
	}
}

func (w *world) coreMachines() []*machine {
	var machines []*machine
	for _, c := range w.controls() {
		machines = append(machines, c.machine)
	}
	return machines
}

func (w *world) others(of []*machine) []*machine {
	var others []*machine
	for _, m := range w.machines {
		if !m.removed && !slices.Contains(of, m) {
			others = append(others, m)
		}
	}
	return others
}

func (w *world) leader() *control {
	for _, c := range w.controls() {
		if c.holds() {
			return c
		}
	}
	return nil
}

// mayLose says whether a machine may be lost now.
func (w *world) mayLose(m *machine) bool {
	_, core := m.program.(*control)
	return !core || w.spare() > 0
}

func (w *world) kill(name string, m *machine, power bool) {
	if m.incarnation == nil || !w.mayLose(m) {
		return
	}
	m.end(power)
	w.took(name)
	w.later(w.span(), m.start)
}

func (w *world) freeze(name string, m *machine) {
	if w.mayLose(m) && m.freeze() {
		w.took(name)
		l := m.incarnation
		w.later(w.span(), func() {
			if m.incarnation == l {
				m.thaw()
			}
		})
	}
}

func (w *world) slow(name string, m *machine) {
	w.took(name)
	w.network.slow[m]++
	m.harm()
	w.later(w.span(), func() { w.network.slow[m]--; m.harm() })
}

// rollControls stops one control process after the other in order, and starts it again.
func (w *world) rollControls(name string) {
	for i, c := range w.controls() {
		w.later(time.Duration(i)*time.Second, func() { c.stop(name, w.upTo(time.Second), true) })
	}
}

// stop ends a control process in order.
func (c *control) stop(name string, away time.Duration, back bool) {
	l := c.incarnation
	if l == nil || c.frozen {
		return
	}
	c.harm()
	c.world.took(name)
	c.step(l, func(now time.Duration) { c.node.BeginStop(now) })
	c.world.later(20*time.Millisecond, func() { c.endIncarnation(l) })
	if back {
		c.world.later(20*time.Millisecond+away, c.machine.start)
	}
}

func (w *world) rollEdges(name string) {
	at := time.Duration(0)
	for _, p := range w.processes() {
		if !p.edge || w.random.IntN(2) == 0 {
			continue
		}
		at += w.upTo(time.Second)
		w.later(at, func() {
			if p.incarnation == nil || p.frozen || p.removed {
				return
			}
			w.took(name)
			p.leave()
			w.later(time.Second+w.upTo(time.Second), p.machine.start)
		})
	}
}

// herd ends many at once.
func (w *world) herd(name string, machines []*machine, power bool) {
	w.took(name)
	for _, m := range slices.Clone(machines) {
		if m.removed {
			continue
		}
		m.end(power)
		w.later(w.upTo(time.Second), m.start)
	}
}

// afterAck has something done within some milliseconds of the next acknowledgement.
func (w *world) afterAck(then func()) {
	newest, until := w.history.newest, w.now+2*time.Second
	var wait func()
	wait = func() {
		switch {
		case w.history.newest != newest:
			w.later(w.upTo(4*time.Millisecond), then)
		case w.now < until:
			w.later(time.Millisecond, wait)
		}
	}
	wait()
}

func (w *world) afterAckKill(name string) {
	w.afterAck(func() {
		if leader := w.leader(); leader != nil && w.random.IntN(2) == 0 {
			w.kill(name, leader.machine, true)
			return
		}
		w.kill(name, w.anyControl(), true)
	})
}

// afterAckWipe has as many machines as may be lost lose their disks, and others of the core power.
func (w *world) afterAckWipe(name string) {
	if !w.complete() {
		return
	}
	w.afterAck(func() {
		if !w.complete() {
			return
		}
		controls := w.controls()
		w.random.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
		for i, c := range controls {
			if i < w.settings.faultTolerance {
				w.losing()
				c.end(true)
				c.wipe()
				w.took(name)
				w.later(w.upTo(2*time.Second), c.machine.start)
			} else if w.random.IntN(3) == 0 {
				c.end(true)
				w.later(w.upTo(time.Second), c.machine.start)
			}
		}
	})
}

// losing notes that a disk of the core is lost, so that no other one is before the system has caught up.
func (w *world) losing() {
	if w.now-w.diskLostAt >= lossEvery {
		w.disksLost = 0
	}
	w.diskLostAt = w.now
	w.disksLost++
}

// replace has a control machine go for good, and an empty one come at another address.
func (w *world) replace(name string, planned bool) {
	if !w.complete() || w.replaced >= 2 {
		return
	}
	w.replaced++
	old := w.anyControl().program.(*control)
	fresh := w.newControl(w.number(controlNet), old.zone, w.seedsNow(), false)
	come := func() { fresh.machine.start() }
	if planned {
		come()
		w.later(w.between(500*time.Millisecond, 3*time.Second), func() { w.retire(name, old) })
		return
	}
	old.end(true)
	w.remove(old)
	w.took(name)
	w.later(time.Second+w.upTo(time.Second), come)
}

// retire stops a control machine for good, once another may be lost.
func (w *world) retire(name string, old *control) {
	if old.incarnation == nil || w.spare() == 0 {
		w.later(200*time.Millisecond, func() { w.retire(name, old) })
		return
	}
	old.stop(name, 0, false)
	old.removed = true
	w.later(50*time.Millisecond, func() { w.remove(old) })
}

// remove takes a control machine away for good.
func (w *world) remove(c *control) {
	w.losing()
	if c.incarnation != nil {
		c.end(true)
	}
	c.removed = true
	seeds := w.seedsNow()
	for _, other := range w.controls() {
		other.settings.Seeds = seeds
	}
	for _, p := range w.processes() {
		p.settings.Seeds = seeds
	}
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

func (w *world) slowDisk(string) {
	c := w.anyControl().program.(*control)
	if !w.mayLose(c.machine) {
		return
	}
	c.slowBy = w.between(20*time.Millisecond, 300*time.Millisecond)
	c.harm()
	w.later(w.span(), func() { c.slowBy = 0; c.harm() })
}

func (w *world) stallDisk(string) {
	c := w.anyControl().program.(*control)
	if !w.mayLose(c.machine) {
		return
	}
	c.stalled = true
	c.harm()
	w.later(w.span(), func() { c.stalled = false; c.harm() })
}

func (w *world) loseAcks(string) {
	w.ackLoss = 70
	w.later(w.span(), func() { w.ackLoss = 0 })
}

func (w *world) raceThrice(string) {
	for i := range 3 {
		w.later(time.Duration(i)*w.upTo(time.Second), w.race)
	}
}

func (w *world) lose(name string) {
	w.took(name)
	w.network.lossy = 1 + w.random.IntN(10)
	w.later(w.upTo(2*time.Second), func() { w.network.lossy = 0; w.coreHarmed = w.now })
}

func (w *world) addEdge(name string) {
	if len(w.machines) > 30 {
		return
	}
	w.took(name)
	number := w.number(edgeNet)
	w.newProcess(number, w.zone(number), w.seedsNow(), true).machine.start()
}

func (w *world) storeMachines() []*machine {
	var machines []*machine
	for _, p := range w.processes() {
		if !p.edge {
			machines = append(machines, p.machine)
		}
	}
	return machines
}

// wipeStore has a store lose its disk, if all partitions are complete without it.
func (w *world) wipeStore(name string) {
	p := w.anyProcess(false).program.(*process)
	if p.incarnation == nil || p.frozen || w.unplaced(-1) != "" || w.now-w.wipedAt < lossEvery {
		return
	}
	for _, other := range w.processes() {
		if !other.edge && (other.incarnation == nil || other.frozen || other.stalled) {
			return
		}
	}
	w.took(name)
	w.wipedAt = w.now
	p.end(true)
	p.wipe()
	w.later(w.upTo(2*time.Second), p.machine.start)
}

func (w *world) slowStore(string) {
	p := w.anyProcess(false).program.(*process)
	p.slowBy = w.between(20*time.Millisecond, 300*time.Millisecond)
	w.later(w.span(), func() { p.slowBy = 0 })
}

func (w *world) stallStore(string) {
	p := w.anyProcess(false).program.(*process)
	p.stalled = true
	w.later(w.span(), func() { p.stalled = false })
}

// stepClocks has the time of day jump on some machines, and back.
func (w *world) stepClocks(name string) {
	step := w.random.Int64N(4000) - 2000
	for _, p := range w.processes() {
		if w.random.IntN(3) == 0 {
			w.took(name)
			p.skewMs += step
			w.after(w.span(), func() { p.skewMs -= step })
		}
	}
}

func (w *world) anyServer() *server {
	names := slices.Sorted(maps.Keys(w.servers))
	return w.servers[names[w.random.IntN(len(names))]]
}

// crashServers has a worker go dark: what it runs is lost.
func (w *world) crashServers(name string) {
	s := w.anyServer()
	if s.dark {
		return
	}
	w.took(name)
	s.dark = true
	s.incarnations++
	s.running = make(map[string]bool)
	w.after(w.span(), func() { s.dark = false })
}

// release has another worker come in the place of one, which goes.
func (w *world) release(name string) {
	old := w.anyServer()
	w.races++
	w.took(name)
	w.newServer(fmt.Sprint(old.service, "-new-", w.races), old.service)
	w.after(w.between(4*time.Second, 8*time.Second), func() {
		old.dark = true
		old.incarnations++
		delete(w.servers, old.name)
	})
}

func (w *world) spoil(set func(s *server, share int)) {
	for range 2 {
		s := w.anyServer()
		set(s, 5+w.random.IntN(20))
		w.after(w.span(), func() { set(s, 0) })
	}
}

// calm ends all disruptions.
func (w *world) calm() {
	w.period++
	n := w.network
	n.partitioned, n.slow, n.lossy, w.ackLoss = make(map[[2]*machine]int), make(map[*machine]int), 0, 0
	w.coreHarmed = w.now
	for _, s := range w.servers {
		s.dark, s.lossy, s.garbles = false, 0, 0
	}
	for _, m := range slices.Clone(w.machines) {
		m.harm()
		m.thaw()
		switch program := m.program.(type) {
		case *control:
			program.slowBy, program.stalled = 0, false
		case *process:
			program.slowBy, program.stalled = 0, false
		}
		m.start()
	}
}
