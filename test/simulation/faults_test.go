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
	{"after_ack_wipe all power", (*world).wipeAndPowerOff},
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
	{"garble", func(w *world, _ string) { w.breakServers(func(s *server, share int) { s.garbles = share }) }},
	{"answer_lost", func(w *world, _ string) { w.breakServers(func(s *server, share int) { s.lossy = share }) }},
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

func (w *world) raceThrice(string) {
	for i := range 3 {
		w.later(time.Duration(i)*w.upTo(time.Second), w.race)
	}
}

func (w *world) addEdge(name string) {
	if len(w.machines) > 30 {
		return
	}
	w.took(name)
	number := w.number(edgeNet)
	w.newProcess(number, w.zone(number), w.seedsNow(), true).machine.start()
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

func (w *world) breakServers(set func(s *server, share int)) {
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
