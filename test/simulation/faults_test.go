package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// fault is a failure or an administrative action that ends by itself. inject counts it under its name if it takes
// effect.
type fault struct {
	name   string
	inject func(w *world, name string)
}

// faults lists the faults of the benchmark that apply to this world, by the benchmark's names, and some further ones.
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
	{"herd_kill core", func(w *world, name string) { w.killAll(name, w.coreMachines(), false) }},
	{"herd_kill core power", func(w *world, name string) { w.killAll(name, w.coreMachines(), true) }},
	{"herd_kill all power", func(w *world, name string) { w.killAll(name, w.machines, true) }},
	{"herd_kill all power taken", func(w *world, name string) { w.afterAck(func() { w.killAll(name, w.machines, true) }) }},
	{"after_ack_kill", (*world).afterAckKill},
	{"after_ack_wipe", (*world).afterAckWipe},
	{"after_ack_wipe all power", (*world).wipeAndPowerOff},
	{"replace_core", func(w *world, name string) { w.replace(name, false) }},
	{"replace_core planned", func(w *world, name string) { w.replace(name, true) }},
	{"core_cut", func(w *world, name string) { w.partitionCore(name, false, false) }},
	{"core_cut one_way", func(w *world, name string) { w.partitionCore(name, true, false) }},
	{"core_cut all", func(w *world, name string) { w.partitionCore(name, false, true) }},
	{"core_cut near", (*world).partitionNear},
	{"core_cut leader", (*world).partitionLeader},
	{"core_cut leader", (*world).partitionLeader}, // listed twice: users meet this fault most often
	{"core_cut lure", (*world).restartWithPartitionedSeeds},
	{"core_cut seeds", (*world).partitionSeeds},
	{"core_cut both", (*world).partitionBoth},
	{"node_cut", func(w *world, name string) { w.partitionNode(name, false) }},
	{"edge_cut", (*world).partitionEdge},
	{"node_cut all", func(w *world, name string) { w.partitionNode(name, true) }},
	{"seed_turnover", (*world).changeSeeds},
	{"reset_conns", (*world).resetAll},
	{"disk_slow", (*world).slowDisk},
	{"disk_stall", (*world).stallDisk},
	{"ack_lost", (*world).loseAcks},
	{"config_race", (*world).raceOrdersThreeTimes},
	{"messages lost", (*world).dropMessages},
	{"add_nodes", (*world).addEdge},
	{"node_kill store power", func(w *world, name string) { w.kill(name, w.anyProcess(false), true) }},
	{"node_freeze store", func(w *world, name string) { w.freeze(name, w.anyProcess(false)) }},
	{"herd_kill stores power", func(w *world, name string) { w.killAll(name, w.storeMachines(), true) }},
	{"after_ack_wipe store", (*world).wipeStore},
	{"disk_slow store", (*world).slowStore},
	{"disk_stall store", (*world).stallStore},
	{"clock_step", (*world).stepClocks},
	{"srv_crash", (*world).crashServers},
	{"release", (*world).replaceServer},
	{"garble", func(w *world, _ string) { w.breakServers(func(s *server, share int) { s.brokenAnswerPercent = share }) }},
	{"answer_lost", func(w *world, _ string) { w.breakServers(func(s *server, share int) { s.answerLossPercent = share }) }},
}

// afterUnlessCalm schedules run after a delay. It is cancelled if all faults are ended before that.
func (w *world) afterUnlessCalm(wait time.Duration, run func()) {
	period := w.faultPeriod
	w.after(wait, func() {
		if w.faultPeriod == period {
			run()
		}
	})
}

// faultDuration draws how long a fault lasts: mostly below 4 s, in one of five cases 6 to 20 s.
func (w *world) faultDuration() time.Duration {
	if w.random.IntN(5) == 0 {
		return w.drawBetween(6*time.Second, 20*time.Second)
	}
	return w.drawBetween(50*time.Millisecond, 4*time.Second)
}

func (w *world) anyControl() *machine {
	controls := w.controls()
	return controls[w.random.IntN(len(controls))].machine
}

func (w *world) anyProcess(edge bool) *machine {
	var candidates []*machine
	for _, p := range w.processes() {
		if p.edge == edge && !p.removed {
			candidates = append(candidates, p.machine)
		}
	}
	return candidates[w.random.IntN(len(candidates))]
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
		if c.holdsLease() {
			return c
		}
	}
	return nil
}

// canLose reports whether a machine may fail now without exceeding the fault tolerance of the core.
func (w *world) canLose(m *machine) bool {
	_, core := m.program.(*control)
	return !core || w.toleratedLosses() > 0
}

func (w *world) kill(name string, m *machine, power bool) {
	if m.incarnation == nil || !w.canLose(m) {
		return
	}
	m.end(power)
	w.countFault(name)
	w.afterUnlessCalm(w.faultDuration(), m.start)
}

func (w *world) freeze(name string, m *machine) {
	if w.canLose(m) && m.freeze() {
		w.countFault(name)
		l := m.incarnation
		w.afterUnlessCalm(w.faultDuration(), func() {
			if m.incarnation == l {
				m.thaw()
			}
		})
	}
}

func (w *world) slow(name string, m *machine) {
	w.countFault(name)
	w.network.slowCount[m]++
	m.noteDisturbance()
	w.afterUnlessCalm(w.faultDuration(), func() { w.network.slowCount[m]--; m.noteDisturbance() })
}

// rollControls stops the control processes gracefully, one every second, and restarts each.
func (w *world) rollControls(name string) {
	for i, c := range w.controls() {
		w.afterUnlessCalm(time.Duration(i)*time.Second, func() { c.stopGracefully(name, w.drawUpTo(time.Second), true) })
	}
}

// stopGracefully stops a control process gracefully, and restarts it after the downtime if restart is set.
func (c *control) stopGracefully(name string, downtime time.Duration, restart bool) {
	l := c.incarnation
	if l == nil || c.frozen {
		return
	}
	c.noteDisturbance()
	c.world.countFault(name)
	c.step(l, func(now time.Duration) { c.node.BeginStop(now) })
	c.world.afterUnlessCalm(20*time.Millisecond, func() { c.endIncarnation(l) })
	if restart {
		c.world.afterUnlessCalm(20*time.Millisecond+downtime, c.machine.start)
	}
}

func (w *world) rollEdges(name string) {
	at := time.Duration(0)
	for _, p := range w.processes() {
		if !p.edge || w.random.IntN(2) == 0 {
			continue
		}
		at += w.drawUpTo(time.Second)
		w.afterUnlessCalm(at, func() {
			if p.incarnation == nil || p.frozen || p.removed {
				return
			}
			w.countFault(name)
			p.leave()
			w.afterUnlessCalm(time.Second+w.drawUpTo(time.Second), p.machine.start)
		})
	}
}

// killAll ends many processes at once and restarts each within 1 s.
func (w *world) killAll(name string, machines []*machine, power bool) {
	w.countFault(name)
	for _, m := range slices.Clone(machines) {
		if m.removed {
			continue
		}
		m.end(power)
		w.afterUnlessCalm(w.drawUpTo(time.Second), m.start)
	}
}

// afterAck runs then within 4 ms or so of the next acknowledgement to an operator, if one comes within 2 s.
func (w *world) afterAck(then func()) {
	newest, until := w.history.lastAckAt, w.now+2*time.Second
	var wait func()
	wait = func() {
		switch {
		case w.history.lastAckAt != newest:
			w.afterUnlessCalm(w.drawUpTo(4*time.Millisecond), then)
		case w.now < until:
			w.afterUnlessCalm(time.Millisecond, wait)
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

func (w *world) raceOrdersThreeTimes(string) {
	for i := range 3 {
		w.afterUnlessCalm(time.Duration(i)*w.drawUpTo(time.Second), w.raceOrders)
	}
}

func (w *world) addEdge(name string) {
	if len(w.machines) > 30 {
		return
	}
	w.countFault(name)
	number := w.nextNumber(edgeNet)
	w.newProcess(number, w.zone(number), w.seedsNow(), true).machine.start()
}

// stepClocks moves the time of day of some edges and stores by up to 2 s, and back after a while.
func (w *world) stepClocks(name string) {
	step := w.random.Int64N(4000) - 2000
	for _, p := range w.processes() {
		if w.random.IntN(3) == 0 {
			w.countFault(name)
			p.skewMs += step
			w.after(w.faultDuration(), func() { p.skewMs -= step })
		}
	}
}

func (w *world) anyServer() *server {
	names := slices.Sorted(maps.Keys(w.servers))
	return w.servers[names[w.random.IntN(len(names))]]
}

// crashServers crashes a worker for a while. Its runs are lost.
func (w *world) crashServers(name string) {
	s := w.anyServer()
	if s.unreachable {
		return
	}
	w.countFault(name)
	s.unreachable = true
	s.incarnations++
	s.running = make(map[string]bool)
	w.after(w.faultDuration(), func() { s.unreachable = false })
}

// replaceServer adds a worker and removes the one that it replaces some seconds later.
func (w *world) replaceServer(name string) {
	old := w.anyServer()
	w.raceCount++
	w.countFault(name)
	w.newServer(fmt.Sprint(old.service, "-new-", w.raceCount), old.service)
	w.after(w.drawBetween(4*time.Second, 8*time.Second), func() {
		old.unreachable = true
		old.incarnations++
		delete(w.servers, old.name)
	})
}

func (w *world) breakServers(set func(s *server, share int)) {
	for range 2 {
		s := w.anyServer()
		set(s, 5+w.random.IntN(20))
		w.after(w.faultDuration(), func() { set(s, 0) })
	}
}

// endFaults ends all faults and starts all processes that do not run.
func (w *world) endFaults() {
	w.faultPeriod++
	n := w.network
	n.partitioned, n.slowCount, n.lossPercent, w.ackLossPercent = make(map[[2]*machine]int), make(map[*machine]int), 0, 0
	w.coreDisturbedAt = w.now
	for _, s := range w.servers {
		s.unreachable, s.answerLossPercent, s.brokenAnswerPercent = false, 0, 0
	}
	for _, m := range slices.Clone(w.machines) {
		m.noteDisturbance()
		m.thaw()
		switch program := m.program.(type) {
		case *control:
			program.diskDelay, program.diskStalled = 0, false
		case *process:
			program.diskDelay, program.diskStalled = 0, false
		}
		m.start()
	}
}
