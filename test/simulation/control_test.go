package simulation

import (
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/core"
	"ravendale/control/discovery"
	"ravendale/control/leader"
	"ravendale/control/lease"
	"ravendale/control/slots"
	"ravendale/control/slots/slotstest"
	"ravendale/control/state"
	"ravendale/control/view"
)

// Timeouts of a control process, as in the real program.
const (
	submitTimeout = 2 * time.Second
)

// control is a machine with a control process: a member of the core with its state machine and the leader's service.
type control struct {
	*machine
	settings     settings.Settings
	folder       *slotstest.Folder
	mayBootstrap bool // it may bootstrap the core
	wiped        bool
	minLogBytes  int

	// State of one incarnation.
	store           *slots.Store
	node            *core.Node
	state           *recorder
	service         *leader.Service
	handlers        *rpc.Mux
	writes          []core.DiskWrite
	writing         bool
	pendingCommands map[uint64]func(core.Completion) // callbacks of submitted commands, by command number
	resultPositions map[*byte]int                    // position of each result in the sequence of commands, by the address of its first byte
	stopLeading     func()                           // cancels the leader task; nil while the process does not lead
	leaderTaskRuns  bool                             // the leader task has not ended yet
	diskDelay       time.Duration                    // maximum extra delay of a disk write
	diskStalled     bool
}

func (w *world) newControl(number int, zone string, seeds []string, fresh bool) *control {
	ip := ipOf(controlNet, number)
	c := &control{
		folder: slotstest.New(), mayBootstrap: fresh, minLogBytes: 500 << w.random.IntN(7),
		settings: settings.Settings{
			Node: "control-" + ip, IP: ip, PortRange: []int{firstPort, firstPort + 2}, Zone: zone, Seeds: seeds, Bootstrap: fresh,
			HeartbeatMs: w.settings.heartbeatMs, ToleratedNodes: w.settings.faultTolerance, ProviderRate: 10,
			Bounds: settings.Bounds{DrainMs: 3000},
		},
	}
	c.machine = w.newMachine(c.settings.Node, zone, c.settings.ControlAddress(ip), c)
	return c
}

func (c *control) mux() *rpc.Mux { return c.handlers }

// start implements program.
func (c *control) start(l *incarnation) {
	store, snapshot, records, err := slots.OpenFolder(c.folder)
	if err != nil {
		c.world.fail("%s: %v", c.name, err)
		return
	}
	c.store, c.writes, c.writing, c.stopLeading, c.leaderTaskRuns = store, nil, false, nil, false
	c.pendingCommands, c.resultPositions = make(map[uint64]func(core.Completion)), make(map[*byte]int)
	c.state = newRecorder(c)
	c.handlers = rpc.NewMux()
	terms, down := lease.DefaultTiming, core.DownAfter(catchupBound)
	if c.world.mutant == keepsVotesTooLong {
		down = 2 * catchupBound
	}
	if c.world.mutant == noLeaseMargin {
		terms.Margin = 0
	}
	config := core.NodeConfig{
		Address: c.address, Zone: c.zone, Seeds: c.settings.SeedAddresses(), Bootstrap: c.mayBootstrap && snapshot == nil, Disk: true, Candidate: true,
		Durability: view.Durability{Copies: c.world.settings.faultTolerance + 1}, DownAfter: down, LearnerExpiry: core.LearnerExpiry(catchupBound), Terms: terms, MinLogBytes: c.minLogBytes, MaxLogRecords: c.minLogBytes / 4,
		Machine: c.state, Random: l.Uint64,
	}
	if c.node, err = core.NewNode(l.now(), config, snapshot, records); err != nil {
		c.world.fail("%s: %v", c.name, err)
		return
	}
	c.service = leader.NewService(leader.Config{
		Settings: &c.settings, Mux: c.handlers, Log: l.log(), Host: l, Submit: c.submit, State: c.state.machine.Current,
		Leader: func() (string, bool) { address := c.node.Leader(c.clock()); return address, address != "" },
		Core:   func() []string { return c.node.Addresses() }, Read: c.world.readWorkers,
	})
	c.execute(l)
	c.tick(l, l.now())
}

// stopped implements program. Half of the time a pending write is interrupted at a random point.
func (c *control) stopped(powerLoss bool) {
	if c.stopLeading != nil {
		c.stopLeading()
	}
	if len(c.writes) > 0 && c.world.random.IntN(2) == 0 {
		c.folder.FailAfter(c.world.random.IntN(6))
		_, _ = c.flushWrites()
		c.folder.FailAfter(-1)
	}
	if powerLoss {
		c.folder.PowerLoss(c.world.random)
	}
}

// tick calls the node's Tick at the time that the node asked for, over and over.
func (c *control) tick(l *incarnation, at time.Duration) {
	l.after(l.worldDuration(at-l.now())+c.world.drawUpTo(2*time.Millisecond), func() {
		next := c.node.Tick(l.now())
		c.execute(l)
		c.tick(l, next)
	})
}

// step calls the node and then handles its output.
func (c *control) step(l *incarnation, do func(now time.Duration)) {
	do(l.now())
	c.execute(l)
}

// execute handles the node's output, lets it apply some of the committed commands, and handles the resulting output.
func (c *control) execute(l *incarnation) {
	c.handleOutput(l, c.node.Take())
	if c.node.ApplyDue() {
		c.node.Apply(l.now())
		c.handleOutput(l, c.node.Take())
	}
	c.startWrite(l)
	c.updateLeadership(l)
	c.world.history.checkLease()
}

func (c *control) handleOutput(l *incarnation, actions core.Output) {
	for _, write := range actions.Writes {
		c.writes = append(c.writes, write)
		if c.world.mutant == acksBeforeWrite { // reports the write as done before it is
			l.after(0, func() { c.step(l, func(now time.Duration) { c.node.OnDisk(now, write.Batch) }) })
		}
	}
	for _, post := range actions.Messages {
		c.send(l, post)
	}
	for _, end := range actions.Completions {
		if done := c.pendingCommands[end.Number]; done != nil {
			delete(c.pendingCommands, end.Number)
			done(end)
		}
	}
	if actions.Applied {
		c.service.Changed()
	}
}

// updateLeadership starts the leader task when the node gets the lease, and cancels it when the lease is lost.
func (c *control) updateLeadership(l *incarnation) {
	pending := c.holdsLease() || c.leadsWithoutLease()
	switch {
	case pending && c.stopLeading == nil && !c.leaderTaskRuns:
		ctx, cancel := context.WithCancel(context.Background())
		c.stopLeading, c.leaderTaskRuns = cancel, true
		c.world.log("%s acquired the leader lease", c.name)
		l.startTask(func() {
			c.service.Lead(ctx, c.mayLead)
			c.leaderTaskRuns = false
		})
	case !pending && c.stopLeading != nil:
		c.world.log("%s lost the leader lease", c.name)
		c.stopLeading()
		c.stopLeading = nil
		l.wakeSleepers()
	}
}

func (c *control) holdsLease() bool {
	return c.incarnation != nil && c.node != nil && c.clock() < c.node.LeaseExpiresAt()
}

// mayLead is the check that the leader makes before each action.
func (c *control) mayLead() bool { return c.holdsLease() || c.leadsWithoutLease() }

// leadsWithoutLease implements the mutant leadsAfterLeaseEnd: a leader whose lease has expired leads until it learns of
// another leader.
func (c *control) leadsWithoutLease() bool {
	if c.world.mutant != leadsAfterLeaseEnd || c.stopLeading == nil {
		return false
	}
	leader := c.node.Leader(c.clock())
	return leader == "" || leader == c.address
}

func (c *control) startWrite(l *incarnation) {
	if c.writing || len(c.writes) == 0 {
		return
	}
	c.writing = true
	wait := c.world.drawBetween(200*time.Microsecond, time.Millisecond)
	if c.world.slowDisks {
		wait += c.world.drawUpTo(40 * time.Millisecond)
	}
	if c.diskDelay > 0 {
		wait += c.world.drawUpTo(c.diskDelay)
		c.world.countFault("disk_slow: a write was late")
	}
	l.after(wait, func() { c.finishWrite(l) })
}

func (c *control) finishWrite(l *incarnation) {
	if c.diskStalled {
		c.world.countFault("disk_stall: a write waited")
		l.after(50*time.Millisecond, func() { c.finishWrite(l) })
		return
	}
	last, err := c.flushWrites()
	if err != nil {
		c.world.fail("%s: disk: %v", c.name, err)
		return
	}
	c.writing = false
	if c.world.mutant != acksBeforeWrite {
		c.step(l, func(now time.Duration) { c.node.OnDisk(now, last) })
	}
	c.startWrite(l)
}

// flushWrites writes all pending writes to the disk.
func (c *control) flushWrites() (last uint64, err error) {
	for _, write := range c.writes {
		if write.Image != nil {
			err = c.store.Snapshot(write.Image)
		} else {
			err = c.store.Append(write.Records...)
		}
		if err != nil {
			return 0, err
		}
		last = write.Batch
	}
	c.writes = nil
	return last, nil
}

// send carries a message to another member of the core.
func (c *control) send(l *incarnation, p core.OutboundMessage) {
	w, n := c.world, c.world.network
	to := w.byHost[p.To]
	if to == nil || to.poweredOff || !n.reaches(c.machine, to) || n.lossPercent > 0 && w.random.IntN(100) < n.lossPercent {
		return
	}
	if to.incarnation == nil {
		l.after(2*time.Millisecond, func() {
			if n.reaches(to, c.machine) {
				c.step(l, func(now time.Duration) { c.node.Refused(now, p.To) })
			}
		})
		return
	}
	message, err := core.CopyMessage(p.Message)
	if err != nil {
		w.fail("%s: %v", c.name, err)
		return
	}
	from, target := c.node.Self(), to.program.(*control)
	delay := n.latency(c.machine, to)
	if n.lossPercent > 0 && w.random.IntN(20) == 0 {
		delay += w.drawUpTo(400 * time.Millisecond)
	}
	receiver := to.incarnation
	w.after(delay, receiver.guard(func() {
		if n.reaches(c.machine, to) {
			target.step(receiver, func(now time.Duration) { target.node.Receive(now, from, message) })
		}
	}))
}

// submitCommand submits a command and calls done with its completion. After the given time it cancels the command and
// reports that result.
func (c *control) submitCommand(l *incarnation, command []byte, within time.Duration, done func(core.Completion)) {
	number := c.node.Submit(l.now(), command)
	c.pendingCommands[number] = done
	c.execute(l)
	l.after(l.worldDuration(within), func() {
		if c.pendingCommands[number] == nil {
			return
		}
		err, ended := c.node.Cancel(number)
		if ended {
			err = core.ErrUnknown
		}
		delete(c.pendingCommands, number)
		done(core.Completion{Number: number, Err: err})
	})
}

// submit submits a command of the leader, which runs in a task, and waits for its completion.
func (c *control) submit(_ context.Context, command []byte) ([]byte, error) {
	t := c.world.running
	var end *core.Completion
	c.submitCommand(t.incarnation, command, submitTimeout, func(e core.Completion) {
		end = &e
		t.wake(0)
	})
	for end == nil {
		t.pause()
	}
	return end.Result, end.Err
}

// wipe replaces the disk with an empty one.
func (c *control) wipe() {
	c.folder = slotstest.New()
	c.mayBootstrap, c.wiped = false, true
}

// readWorkers returns the platform's list of workers. One of ten calls fails.
func (w *world) readWorkers(context.Context, time.Duration) (*wire.Workers, int, error) {
	if w.random.IntN(10) == 0 {
		return nil, 0, errors.New("simulation: platform did not answer")
	}
	list := &wire.Workers{}
	for _, id := range w.workers {
		list.Entries = append(list.Entries, wire.Worker{ID: id, Service: "other", Address: id + ":1", Zone: w.zone(0), Capacity: 4})
	}
	for i, id := range slices.Sorted(maps.Keys(w.servers)) {
		s := w.servers[id]
		list.Entries = append(list.Entries, wire.Worker{ID: id, Service: s.service, Address: id + ":1", Zone: w.zone(i), Capacity: uint32(s.capacity)})
	}
	return discovery.Sort(list.Entries), 1, nil
}

// recorder is a state machine that reports each applied command and its position to the history.
type recorder struct {
	control *control
	machine *state.Machine
	count   int
}

func newRecorder(c *control) *recorder { return &recorder{control: c, machine: state.NewMachine()} }

// Apply implements core.Machine.
func (r *recorder) Apply(command []byte) []byte {
	result := r.machine.Apply(command)
	r.control.world.history.applied(r.control, r.count, command, result)
	r.control.resultPositions[&result[0]] = r.count
	r.count++
	return result
}

// sequenceSize is the length of the position stored in front of a snapshot.
const sequenceSize = 8

// Snapshot implements core.Machine.
func (r *recorder) Snapshot() []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(r.count)), r.machine.Snapshot()...)
}

// Restore implements core.Machine.
func (r *recorder) Restore(snapshot []byte) error {
	if len(snapshot) < sequenceSize {
		return errors.New("simulation: snapshot is shorter than its position field")
	}
	r.count = int(binary.BigEndian.Uint64(snapshot))
	return r.machine.Restore(snapshot[sequenceSize:])
}
