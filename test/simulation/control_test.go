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

// Times of a control process, as its shell has them.
const (
	submitWithin = 2 * time.Second
)

// control is a machine that serves the control plane: a member of the core, its state machine and the leader's service.
type control struct {
	*machine
	settings settings.Settings
	folder   *slotstest.Folder
	fresh    bool // it may found the core
	wiped    bool
	leastLog int

	// Of one incarnation.
	store   *slots.Store
	node    *core.Node
	state   *recorder
	service *leader.Service
	box     *rpc.Mux
	writes  []core.DiskWrite
	writing bool
	calls   map[uint64]func(core.Completion) // commands by number
	applied map[*byte]int                    // the place of a result, by its first byte
	lead    func()                           // ends leading; nil while the lease is not held
	leading bool                             // the task of a leader runs
	slowBy  time.Duration                    // of the disk
	stalled bool
}

func (w *world) newControl(number int, zone string, seeds []string, fresh bool) *control {
	ip := ipOf(controlNet, number)
	c := &control{
		folder: slotstest.New(), fresh: fresh, leastLog: 500 << w.random.IntN(7),
		settings: settings.Settings{
			Node: "control-" + ip, IP: ip, PortRange: []int{firstPort, firstPort + 2}, Zone: zone, Seeds: seeds, Bootstrap: fresh,
			HeartbeatMs: w.settings.heartbeatMs, ToleratedNodes: w.settings.faultTolerance, ProviderRate: 10,
			Bounds: settings.Bounds{DrainMs: 3000},
		},
	}
	c.machine = w.newMachine(c.settings.Node, zone, c.settings.ControlAddress(ip), c)
	return c
}

func (c *control) mux() *rpc.Mux { return c.box }

// start implements program.
func (c *control) start(l *incarnation) {
	store, snapshot, records, err := slots.OpenFolder(c.folder)
	if err != nil {
		c.world.fail("%s: %v", c.name, err)
		return
	}
	c.store, c.writes, c.writing, c.lead, c.leading = store, nil, false, nil, false
	c.calls, c.applied = make(map[uint64]func(core.Completion)), make(map[*byte]int)
	c.state = newRecorder(c)
	c.box = rpc.NewMux()
	terms, down := lease.DefaultTiming, core.DownAfter(catchup)
	if c.world.mutant == keepsVotes {
		down = 2 * catchup
	}
	if c.world.mutant == noMargin {
		terms.Margin = 0
	}
	config := core.NodeConfig{
		Address: c.address, Zone: c.zone, Seeds: c.settings.SeedAddresses(), Bootstrap: c.fresh && snapshot == nil, Disk: true, Candidate: true,
		Durability: view.Durability{Copies: c.world.settings.faultTolerance + 1}, DownAfter: down, LearnerExpiry: core.LearnerExpiry(catchup), Terms: terms, MinLogBytes: c.leastLog, MaxLogRecords: c.leastLog / 4,
		Machine: c.state, Random: l.Uint64,
	}
	if c.node, err = core.NewNode(l.now(), config, snapshot, records); err != nil {
		c.world.fail("%s: %v", c.name, err)
		return
	}
	c.service = leader.NewService(leader.Config{
		Settings: &c.settings, Mux: c.box, Log: l.log(), Host: l, Submit: c.submit, State: c.state.machine.Current,
		Leader: func() (string, bool) { address := c.node.Leader(c.clock()); return address, address != "" },
		Core:   func() []string { return c.node.Addresses() }, Read: c.world.readWorkers,
	})
	c.execute(l)
	c.tick(l, l.now())
}

// stopped implements program. The disk may be caught in the middle of a write.
func (c *control) stopped(powerLoss bool) {
	if c.lead != nil {
		c.lead()
	}
	if len(c.writes) > 0 && c.world.random.IntN(2) == 0 {
		c.folder.FailAfter(c.world.random.IntN(6))
		_, _ = c.put()
		c.folder.FailAfter(-1)
	}
	if powerLoss {
		c.folder.PowerLoss(c.world.random)
	}
}

// tick calls the node when it wants.
func (c *control) tick(l *incarnation, at time.Duration) {
	l.after(l.real(at-l.now())+c.world.upTo(2*time.Millisecond), func() {
		next := c.node.Tick(l.now())
		c.execute(l)
		c.tick(l, next)
	})
}

// step has the node do something, and does what it wants.
func (c *control) step(l *incarnation, do func(now time.Duration)) {
	do(l.now())
	c.execute(l)
}

// execute does what the node wants, and then has it apply some of what is committed.
func (c *control) execute(l *incarnation) {
	c.carryOut(l, c.node.Take())
	if c.node.ApplyDue() {
		c.node.Apply(l.now())
		c.carryOut(l, c.node.Take())
	}
	c.write(l)
	c.follow(l)
	c.world.history.checkLease()
}

func (c *control) carryOut(l *incarnation, actions core.Output) {
	for _, write := range actions.Writes {
		c.writes = append(c.writes, write)
		if c.world.mutant == unsyncedAck { // the disk says so before it has done it
			l.after(0, func() { c.step(l, func(now time.Duration) { c.node.OnDisk(now, write.Batch) }) })
		}
	}
	for _, post := range actions.Messages {
		c.send(l, post)
	}
	for _, end := range actions.Completions {
		if done := c.calls[end.Number]; done != nil {
			delete(c.calls, end.Number)
			done(end)
		}
	}
	if actions.Applied {
		c.service.Changed()
	}
}

// follow starts and ends leading as the node gets and loses the lease.
func (c *control) follow(l *incarnation) {
	pending := c.holds() || c.leadsOn()
	switch {
	case pending && c.lead == nil && !c.leading:
		ctx, cancel := context.WithCancel(context.Background())
		c.lead, c.leading = cancel, true
		c.world.log("%s holds the lease", c.name)
		l.begin(func() {
			c.service.Lead(ctx, c.mayLead)
			c.leading = false
		})
	case !pending && c.lead != nil:
		c.world.log("%s lost the lease", c.name)
		c.lead()
		c.lead = nil
		l.wakeSleepers()
	}
}

func (c *control) holds() bool {
	return c.incarnation != nil && c.node != nil && c.clock() < c.node.LeaseExpiresAt()
}

// mayLead is what the leader asks before each act.
func (c *control) mayLead() bool { return c.holds() || c.leadsOn() }

// leadsOn is a mistake: a leader whose lease is over leads until it hears of another.
func (c *control) leadsOn() bool {
	if c.world.mutant != leadsOn || c.lead == nil {
		return false
	}
	leader := c.node.Leader(c.clock())
	return leader == "" || leader == c.address
}

func (c *control) write(l *incarnation) {
	if c.writing || len(c.writes) == 0 {
		return
	}
	c.writing = true
	wait := c.world.between(200*time.Microsecond, time.Millisecond)
	if c.world.slowDisks {
		wait += c.world.upTo(40 * time.Millisecond)
	}
	if c.slowBy > 0 {
		wait += c.world.upTo(c.slowBy)
		c.world.took("disk_slow: a write was late")
	}
	l.after(wait, func() { c.written(l) })
}

func (c *control) written(l *incarnation) {
	if c.stalled {
		c.world.took("disk_stall: a write waited")
		l.after(50*time.Millisecond, func() { c.written(l) })
		return
	}
	last, err := c.put()
	if err != nil {
		c.world.fail("%s: disk: %v", c.name, err)
		return
	}
	c.writing = false
	if c.world.mutant != unsyncedAck {
		c.step(l, func(now time.Duration) { c.node.OnDisk(now, last) })
	}
	c.write(l)
}

// put brings all that waits to the disk.
func (c *control) put() (last uint64, err error) {
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
	if to == nil || to.dark || !n.passes(c.machine, to) || n.lossy > 0 && w.random.IntN(100) < n.lossy {
		return
	}
	if to.incarnation == nil {
		l.after(2*time.Millisecond, func() {
			if n.passes(to, c.machine) {
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
	way := n.way(c.machine, to)
	if n.lossy > 0 && w.random.IntN(20) == 0 {
		way += w.upTo(400 * time.Millisecond)
	}
	receiver := to.incarnation
	w.after(way, receiver.guard(func() {
		if n.passes(c.machine, to) {
			target.step(receiver, func(now time.Duration) { target.node.Receive(now, from, message) })
		}
	}))
}

// order submits a command, and tells its end. After so long nobody waits for it any more.
func (c *control) order(l *incarnation, command []byte, within time.Duration, done func(core.Completion)) {
	number := c.node.Submit(l.now(), command)
	c.calls[number] = done
	c.execute(l)
	l.after(l.real(within), func() {
		if c.calls[number] == nil {
			return
		}
		err, ended := c.node.Cancel(number)
		if ended {
			err = core.ErrUnknown
		}
		delete(c.calls, number)
		done(core.Completion{Number: number, Err: err})
	})
}

// submit is how the leader, which runs in a task, has a command decided.
func (c *control) submit(_ context.Context, command []byte) ([]byte, error) {
	t := c.world.running
	var end *core.Completion
	c.order(t.incarnation, command, submitWithin, func(e core.Completion) {
		end = &e
		t.wake(0)
	})
	for end == nil {
		t.pause()
	}
	return end.Result, end.Err
}

// wipe replaces the disk by an empty one.
func (c *control) wipe() {
	c.folder = slotstest.New()
	c.fresh, c.wiped = false, true
}

// readWorkers is the platform's list.
func (w *world) readWorkers(context.Context, time.Duration) (*wire.Workers, int, error) {
	if w.random.IntN(10) == 0 {
		return nil, 0, errors.New("simulation: the platform does not answer")
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

// recorder is the state machine, which tells the history what it applies and in which place.
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
	r.control.applied[&result[0]] = r.count
	r.count++
	return result
}

// sequenceSize is the length of the place in front of a snapshot.
const sequenceSize = 8

// Snapshot implements core.Machine.
func (r *recorder) Snapshot() []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(r.count)), r.machine.Snapshot()...)
}

// Restore implements core.Machine.
func (r *recorder) Restore(snapshot []byte) error {
	if len(snapshot) < sequenceSize {
		return errors.New("simulation: snapshot without a place")
	}
	r.count = int(binary.BigEndian.Uint64(snapshot))
	return r.machine.Restore(snapshot[sequenceSize:])
}
