package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// worldSettings are the parameters of a world.
type worldSettings struct {
	controls       int
	edges          int
	stores         int
	zones          int
	faultTolerance int // number of machines that may fail at once
	heartbeatMs    int
	noTraffic      bool   // clients send no messages
	keepsService   bool   // the route that changes leads to the same service wherever it is there
	asksRunning    bool   // operators send orders only to running control processes
	only           string // name of the only fault to inject; empty: all faults
}

// mutant is a deliberate bug, mostly a removed guard, that the simulation must detect.
type mutant int

const (
	noMutation                 mutant = iota
	leadsAfterLeaseEnd                // a leader whose lease has expired keeps leading until it learns of another leader
	refusesByLocalState               // an order is refused on the basis of the local, possibly stale, state of a control process
	reportsUnknownAsNotApplied        // an order of unknown outcome is reported as not applied
	keepsVotesTooLong                 // a failed voter keeps its vote beyond the time when the next machine may fail
	noLeaseMargin                     // the holder uses its lease for the whole time granted by the voters, without a safety margin
	acksBeforeWrite                   // a control process's disk confirms a write before it has written it
	acksUnsyncedRecord                // a store's journal reports a record as synced when it is only in memory
	trustsOwnConfig                   // an edge takes its configuration for the newest whenever it is granted a message, and accepts messages without the version
	dropsByOwnConfig                  // the same, in worlds in which the configuration can't lead a message to another service
	takesLastConnection               // a store takes the connection on which an edge has attached last for its newest, as an earlier version of the program does
	acceptsWithoutVersion             // an edge accepts messages as one of an earlier version of the program does; not a bug
)

// Bounds that the system must keep: the defaults of the settings.
const (
	contactBound  = 4 * time.Second
	convergeBound = 3 * time.Second
	catchupBound  = 5 * time.Second              // after this time a failed machine no longer counts as failed
	lossInterval  = catchupBound + 2*time.Second // minimum time between losses of core disks: up to 2 s until a replacement starts, and its catch-up
	recoveryBound = 8 * time.Second              // from the end of all faults until every process serves
)

const (
	firstPort  = 7000
	controlNet = 0
	edgeNet    = 1
	storeNet   = 2
)

func ipOf(net, number int) string { return fmt.Sprintf("10.%d.%d.%d", net, number/200, number%200+1) }

func (w *world) nextNumber(net int) int {
	w.nextNumbers[net]++
	return w.nextNumbers[net] - 1
}

func (w *world) zones() []string {
	var zones []string
	for i := range w.settings.zones {
		zones = append(zones, w.zone(i))
	}
	return zones
}

func (w *world) zone(number int) string { return fmt.Sprint("zone-", number%w.settings.zones) }

// bootstrap creates all machines and starts each at a random time within 300 ms.
func (w *world) bootstrap() {
	s := w.settings
	var seeds []string
	for i := range min(3, s.controls) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ipOf(controlNet, i), firstPort))
	}
	for range s.controls {
		number := w.nextNumber(controlNet)
		w.startSoon(w.newControl(number, w.zone(number), seeds, true).machine)
	}
	for range s.edges {
		number := w.nextNumber(edgeNet)
		w.startSoon(w.newProcess(number, w.zone(number), seeds, true).machine)
	}
	for range s.stores {
		number := w.nextNumber(storeNet)
		w.startSoon(w.newProcess(number, w.zone(number), seeds, false).machine)
	}
	w.workers = []string{"worker-0", "worker-1"}
	for i := range 4 {
		w.newServer(fmt.Sprint("jobs-", i), plainService)
	}
	for i := range 2 {
		w.newServer(fmt.Sprint("limited-", i), limitedService)
		w.newServer(fmt.Sprint("alternate-", i), alternateService)
	}
	if !w.settings.noTraffic {
		w.after(2*time.Second, w.submitMessages)
	}
	for i := range 2 {
		o := &operator{world: w, name: fmt.Sprint("operator-", i)}
		w.operators = append(w.operators, o)
		w.after(time.Second+w.drawUpTo(time.Second), o.sendNext)
	}
	w.after(checkInterval, w.checkContinuously)
	w.after(time.Second, w.changeWorkers)
}

func (w *world) startSoon(m *machine) { w.after(w.drawUpTo(300*time.Millisecond), m.start) }

const checkInterval = 50 * time.Millisecond

// checkContinuously checks the rules that hold at all times, and runs itself again after checkInterval.
func (w *world) checkContinuously() {
	w.history.checkServing()
	for _, m := range w.machines {
		if m.incarnation != nil {
			m.incarnation.dropClosedEndpoints()
		}
	}
	w.after(checkInterval, w.checkContinuously)
}

// changeWorkers changes the platform's list of workers at random intervals.
func (w *world) changeWorkers() {
	if !w.operatorsStopped {
		w.raceCount++
		w.workers = append(w.workers, fmt.Sprint("worker-", len(w.workers), "-", w.raceCount))
		if len(w.workers) > 6 {
			w.workers = append([]string(nil), w.workers[3:]...)
		}
	}
	w.after(w.drawBetween(500*time.Millisecond, 3*time.Second), w.changeWorkers)
}

// controls returns the control machines that have not been removed.
func (w *world) controls() []*control {
	var controls []*control
	for _, m := range w.machines {
		if c, ok := m.program.(*control); ok && !m.removed {
			controls = append(controls, c)
		}
	}
	return controls
}

// processes returns the edges and stores.
func (w *world) processes() []*process {
	var processes []*process
	for _, m := range w.machines {
		if p, ok := m.program.(*process); ok {
			processes = append(processes, p)
		}
	}
	return processes
}

func (w *world) linked(a, b *machine) bool { return w.network.reaches(a, b) && w.network.reaches(b, a) }

// reachesMajority reports whether a control machine can exchange packets with more than half of the core, itself
// included.
func (w *world) reachesMajority(c *control, core []*control) bool {
	count := 0
	for _, other := range core {
		if other.incarnation != nil && !other.frozen && w.linked(c.machine, other.machine) {
			count++
		}
	}
	return 2*count > len(core)
}

// reachesCore reports whether a machine can exchange packets with every running control machine that reaches a majority
// of the core. It is false if there is no such control machine.
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

// coreStable reports whether the core was not disturbed within the contact bound and a connected majority of it runs.
func (w *world) coreStable() bool {
	if w.now-w.coreDisturbedAt < contactBound || w.network.lossPercent > 0 {
		return false
	}
	core := w.controls()
	complete := false
	for _, c := range core {
		if w.network.slowCount[c.machine] > 0 || c.diskDelay > 0 || c.diskStalled {
			return false
		}
		complete = complete || c.incarnation != nil && !c.frozen && w.reachesMajority(c, core)
	}
	return complete
}

// toleratedLosses returns how many more control machines may fail now; a fault that would exceed this is not injected.
// A machine that lost its disk counts as failed until lossInterval has passed, so that the system has had time to catch
// up.
func (w *world) toleratedLosses() int {
	spare := w.settings.faultTolerance
	if w.diskLostAt > 0 && w.now-w.diskLostAt < lossInterval {
		spare -= w.disksLost
	}
	core := w.controls()
	for _, c := range core {
		if c.incarnation == nil || c.frozen || c.diskStalled || !c.node.Attached() || !w.reachesAll(c, core) {
			spare--
		}
	}
	return max(0, spare)
}

// reachesAll reports whether a control machine reaches a majority of the core and every other control machine that also
// reaches a majority.
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

// coreComplete reports whether no control machine counts as failed.
func (w *world) coreComplete() bool { return w.toleratedLosses() == w.settings.faultTolerance }

// debugString describes the state of each process, for failure messages.
func (w *world) debugString() string {
	var text strings.Builder
	for _, c := range w.controls() {
		if c.node != nil {
			fmt.Fprintf(&text, "%s: running %v, frozen %v, holds the lease %v, leader %q, %s\n", c.name, c.incarnation != nil, c.frozen, c.holdsLease(), c.node.Leader(c.clock()), c.node.DebugString())
		}
	}
	for _, p := range w.processes() {
		versions, serves := p.serves()
		fmt.Fprintf(&text, "%s: running %v, frozen %v, serves %v, versions %v\n", p.name, p.incarnation != nil, p.frozen, serves, versions)
	}
	return text.String()
}

// expectService fails the world if the system is not fully in service.
func (w *world) expectService(when string) {
	if w.violation != "" {
		return
	}
	if problem := w.serviceProblem(); problem != "" {
		w.fail("%s: %s\n%s", when, problem, w.debugString())
	}
}

// serviceProblem describes the first shortcoming of a system that should be fully in service; empty: there is none.
func (w *world) serviceProblem() string {
	if w.now-w.history.lastAckAt > 2*time.Second {
		return fmt.Sprintf("no order was acknowledged for %v", w.now-w.history.lastAckAt)
	}
	holders := 0
	for _, c := range w.controls() {
		if c.holdsLease() {
			holders++
		}
		if !c.node.Attached() {
			return c.name + " is not in the replication chain"
		}
	}
	if holders != 1 {
		return fmt.Sprintf("%d control processes hold the leader lease, want 1", holders)
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
	if problem := w.placementProblem(edges); problem != "" {
		return problem
	}
	return w.contactProblem()
}

// contactProblem describes the first edge of which a store doesn't know that it runs; empty: there is none. A connection
// that is lost at one end must not stay open at the other.
func (w *world) contactProblem() string {
	for _, store := range w.processes() {
		if store.edge || store.removed {
			continue
		}
		connected := store.queue.ConnectedEdges()
		for _, edge := range w.processes() {
			if edge.edge && !edge.removed && !slices.Contains(connected, edge.memberID) {
				return fmt.Sprintf("%s does not know that %s runs", store.name, edge.name)
			}
		}
	}
	return ""
}

// placementProblem describes the first error in the processes' member lists and store placement; empty: there is none.
// A negative number of edges is not compared.
func (w *world) placementProblem(edges int) string {
	for _, p := range w.processes() {
		if p.removed {
			continue
		}
		if p.agent == nil {
			continue
		}
		snapshot := p.agent.Snapshot()
		if snapshot.Members == nil {
			return p.name + " has received no member list"
		}
		if listed := len(snapshot.Members.Edges); edges >= 0 && listed != edges {
			return fmt.Sprintf("%s lists %d edges, want %d", p.name, listed, edges)
		}
		if snapshot.Stores == nil {
			return p.name + " has received no store placement"
		}
		for number, partition := range snapshot.Stores.Partitions {
			if len(partition.Replicas) != int(snapshot.Stores.Copies) || len(partition.Joining) > 0 {
				return fmt.Sprintf("%s has partition %d with replicas %v, joining %v", p.name, number, partition.Replicas, partition.Joining)
			}
		}
	}
	return ""
}
