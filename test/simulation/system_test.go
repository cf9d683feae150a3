package simulation

import (
	"fmt"
	"strings"
	"time"
)

// worldSettings is what a world is made of.
type worldSettings struct {
	controls       int
	edges          int
	stores         int
	zones          int
	faultTolerance int // machines that may be lost at once
	heartbeatMs    int
	noTraffic      bool   // clients send nothing
	asksRunning    bool   // operators ask only control machines that run
	only           string // the name of the disruption that comes again and again; empty: all kinds
}

// mutant is a guard taken out, which the simulation must notice.
type mutant int

const (
	sound            mutant = iota
	leadsOn                 // a leader that has lost its lease goes on until it hears of another
	refusesByApplied        // an order is refused by the state that a process happens to have
	unknownIsNever          // an order whose outcome is not known is said to have had no effect
	keepsVotes              // a voter that has gone keeps its vote for longer than until another may be lost
	noMargin                // a holder uses its lease as long as voters grant it
	unsyncedAck             // a disk says that it has what it has not written yet
	unsyncedRecord          // a store's journal says that a record is synced once it is in memory
)

// Bounds that the system must keep, as settings have them by default.
const (
	contact   = 4 * time.Second
	converge  = 3 * time.Second
	catchup   = 5 * time.Second         // from then on a lost machine counts no more
	lossEvery = catchup + 2*time.Second // from the loss of a disk of the core to the next: two until another is there
	recovery  = 8 * time.Second         // from the end of all faults to service by all
)

const (
	firstPort  = 7000
	controlNet = 0
	edgeNet    = 1
	storeNet   = 2
)

func ipOf(net, number int) string { return fmt.Sprintf("10.%d.%d.%d", net, number/200, number%200+1) }

func (w *world) number(net int) int {
	w.numbers[net]++
	return w.numbers[net] - 1
}

func (w *world) zones() []string {
	var zones []string
	for i := range w.settings.zones {
		zones = append(zones, w.zone(i))
	}
	return zones
}

func (w *world) zone(number int) string { return fmt.Sprint("zone-", number%w.settings.zones) }

// found makes all machines, and starts them within a short time.
func (w *world) found() {
	s := w.settings
	var seeds []string
	for i := range min(3, s.controls) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ipOf(controlNet, i), firstPort))
	}
	for range s.controls {
		number := w.number(controlNet)
		w.startSoon(w.newControl(number, w.zone(number), seeds, true).machine)
	}
	for range s.edges {
		number := w.number(edgeNet)
		w.startSoon(w.newProcess(number, w.zone(number), seeds, true).machine)
	}
	for range s.stores {
		number := w.number(storeNet)
		w.startSoon(w.newProcess(number, w.zone(number), seeds, false).machine)
	}
	w.workers = []string{"worker-0", "worker-1"}
	for i := range 4 {
		w.newServer(fmt.Sprint("jobs-", i), plainService)
	}
	for i := range 2 {
		w.newServer(fmt.Sprint("limited-", i), limitedService)
	}
	if !w.settings.noTraffic {
		w.after(2*time.Second, w.submitMessages)
	}
	for i := range 2 {
		o := &operator{world: w, name: fmt.Sprint("operator-", i)}
		w.operators = append(w.operators, o)
		w.after(time.Second+w.upTo(time.Second), o.work)
	}
	w.after(lookEvery, w.look)
	w.after(time.Second, w.changeWorkers)
}

func (w *world) startSoon(m *machine) { w.after(w.upTo(300*time.Millisecond), m.start) }

const lookEvery = 50 * time.Millisecond

// look checks what holds at each moment.
func (w *world) look() {
	w.history.checkServing()
	for _, m := range w.machines {
		if m.incarnation != nil {
			m.incarnation.tidy()
		}
	}
	w.after(lookEvery, w.look)
}

// changeWorkers has the platform's list change now and then.
func (w *world) changeWorkers() {
	if !w.ordersDone {
		w.races++
		w.workers = append(w.workers, fmt.Sprint("worker-", len(w.workers), "-", w.races))
		if len(w.workers) > 6 {
			w.workers = append([]string(nil), w.workers[3:]...)
		}
	}
	w.after(w.between(500*time.Millisecond, 3*time.Second), w.changeWorkers)
}

// controls are the control machines that have not been removed.
func (w *world) controls() []*control {
	var controls []*control
	for _, m := range w.machines {
		if c, ok := m.program.(*control); ok && !m.removed {
			controls = append(controls, c)
		}
	}
	return controls
}

// processes are the edges and stores.
func (w *world) processes() []*process {
	var processes []*process
	for _, m := range w.machines {
		if p, ok := m.program.(*process); ok {
			processes = append(processes, p)
		}
	}
	return processes
}

func (w *world) linked(a, b *machine) bool { return w.network.passes(a, b) && w.network.passes(b, a) }

// reachesMajority says whether a control machine reaches more than half of the core, itself included.
func (w *world) reachesMajority(c *control, core []*control) bool {
	count := 0
	for _, other := range core {
		if other.incarnation != nil && !other.frozen && w.linked(c.machine, other.machine) {
			count++
		}
	}
	return 2*count > len(core)
}

// reachesCore says whether a machine has a path both ways to each running control machine that reaches more than half of the core.
func (w *world) reachesCore(p *process) bool {
	core := w.controls()
	any := false
	for _, c := range core {
		if c.incarnation == nil || c.frozen || !w.reachesMajority(c, core) {
			continue
		}
		any = true
		if !w.linked(p.machine, c.machine) {
			return false
		}
	}
	return any
}

// coreStable says whether nothing has been done to the core for a while, and more than half of it runs and is connected.
func (w *world) coreStable() bool {
	if w.now-w.coreHarmed < contact || w.network.lossy > 0 {
		return false
	}
	core := w.controls()
	complete := false
	for _, c := range core {
		if w.network.slow[c.machine] > 0 || c.slowBy > 0 || c.stalled {
			return false
		}
		complete = complete || c.incarnation != nil && !c.frozen && w.reachesMajority(c, core)
	}
	return complete
}

// spare is how many more control machines may be lost now: the bench has what would lose more wait its turn. A machine whose disk was
// lost counts as lost until the system has had the time to catch up.
func (w *world) spare() int {
	spare := w.settings.faultTolerance
	if w.diskLostAt > 0 && w.now-w.diskLostAt < lossEvery {
		spare -= w.disksLost
	}
	core := w.controls()
	for _, c := range core {
		if c.incarnation == nil || c.frozen || c.stalled || !c.node.Attached() || !w.reachesAll(c, core) {
			spare--
		}
	}
	return max(0, spare)
}

// reachesAll says whether a control machine is partitioned from none of the core, but for those that many are partitioned from.
func (w *world) reachesAll(c *control, core []*control) bool {
	if !w.reachesMajority(c, core) {
		return false
	}
	for _, other := range core {
		if !w.linked(c.machine, other.machine) && w.reachesMajority(other, core) {
			return false
		}
	}
	return true
}

// complete says whether nothing of the core is lost.
func (w *world) complete() bool { return w.spare() == w.settings.faultTolerance }

// describe tells how the system stands.
func (w *world) describe() string {
	var text strings.Builder
	for _, c := range w.controls() {
		if c.node != nil {
			fmt.Fprintf(&text, "%s runs %v frozen %v holds %v leader %q %s\n", c.name, c.incarnation != nil, c.frozen, c.holds(), c.node.Leader(c.clock()), c.node.DebugString())
		}
	}
	for _, p := range w.processes() {
		versions, serves := p.serves()
		fmt.Fprintf(&text, "%s runs %v frozen %v serves %v %v\n", p.name, p.incarnation != nil, p.frozen, serves, versions)
	}
	return text.String()
}

// expectService sees whether all is well.
func (w *world) expectService(when string) {
	if w.broken != "" {
		return
	}
	if problem := w.unwell(); problem != "" {
		w.fail("%s: %s\n%s", when, problem, w.describe())
	}
}

// unwell says what is not as it should be when nothing has been in the way for a while.
func (w *world) unwell() string {
	if w.now-w.history.newest > 2*time.Second {
		return fmt.Sprintf("no order was acknowledged for %v", w.now-w.history.newest)
	}
	holders := 0
	for _, c := range w.controls() {
		if c.holds() {
			holders++
		}
		if !c.node.Attached() {
			return c.name + " is not in the chain"
		}
	}
	if holders != 1 {
		return fmt.Sprintf("%d hold the lease", holders)
	}
	edges := 0
	for _, p := range w.processes() {
		if p.removed {
			continue
		}
		if p.edge {
			edges++
		}
		if _, serves := p.serves(); !serves {
			return p.name + " does not serve"
		}
	}
	return w.unplaced(edges)
}

// unplaced says what is wrong with the lists of members and the placement.
func (w *world) unplaced(edges int) string {
	for _, p := range w.processes() {
		if p.removed {
			continue
		}
		if p.agent == nil {
			continue
		}
		snapshot := p.agent.Snapshot()
		if snapshot.Members == nil {
			return p.name + " knows no members"
		}
		if listed := len(snapshot.Members.Edges); edges >= 0 && listed != edges {
			return fmt.Sprintf("%s lists %d of %d edges", p.name, listed, edges)
		}
		if snapshot.Stores == nil {
			return p.name + " knows no placement"
		}
		for number, partition := range snapshot.Stores.Partitions {
			if len(partition.Replicas) != int(snapshot.Stores.Copies) || len(partition.Joining) > 0 {
				return fmt.Sprintf("%s has partition %d at %v, joining %v", p.name, number, partition.Replicas, partition.Joining)
			}
		}
	}
	return ""
}
