package core

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/lease"
	"ravendale/control/slots"
	"ravendale/control/slots/slotstest"
	"ravendale/control/view"
)

// simulated is one machine.
type simulated struct {
	s             *simulation
	address       string
	zone          string
	storage       bool // its disk is a store's
	folder        *slotstest.Folder
	store         *slots.Store
	node          *node
	machine       *register
	incarnation   int
	running       bool
	frozen        bool
	thawed        []func()
	rate          float64 // of its steady clock
	offset        time.Duration
	fresh         bool // bootstrap
	diskless      bool
	idSeed        uint64
	writes        []diskWrite
	writing       bool
	calls         map[uint64]string // commands by number
	chainChanges  []chainChange     // of the chain, as told
	quorumChanges []quorumChange    // of the voters, as told
	counted       int               // commands applied, of which the time has been taken
	stalled       time.Duration     // until then the disk ends nothing
	diskChanges   []diskChange
}

func (m *simulated) clock() time.Duration {
	return m.offset + time.Duration(float64(m.s.now)*m.rate)
}

// guard runs f unless the machine has been started anew since; a frozen machine does it when it thaws.
func (m *simulated) guard(f func()) func() {
	incarnation := m.incarnation
	var guarded func()
	guarded = func() {
		if m.incarnation != incarnation || !m.running {
			return
		}
		if m.frozen {
			m.thawed = append(m.thawed, guarded)
			return
		}
		f()
	}
	return guarded
}

func (m *simulated) start() {
	if m.running {
		return
	}
	var store *slots.Store
	var snapshot []byte
	var records [][]byte
	if !m.diskless {
		var err error
		if store, snapshot, records, err = slots.OpenFolder(m.folder); err != nil {
			m.s.fail("%s: %v", m.address, err)
			return
		}
	}
	fault := ""
	if store != nil && store.Err() != nil {
		fault = store.Err().Error()
	}
	m.incarnation++
	m.running, m.frozen, m.thawed = true, false, nil
	m.store, m.writes, m.writing = store, nil, false
	m.machine, m.calls = &register{s: m.s}, make(map[uint64]string)
	node, err := newNode(m.clock(), m.nodeConfig(m.fresh && snapshot == nil, fault), snapshot, records)
	if err != nil {
		m.s.fail("%s: %v", m.address, err)
		return
	}
	m.node = node
	m.execute()
	m.schedule(m.clock())
}

// nodeConfig is what the member's node is started with.
func (m *simulated) nodeConfig(bootstrap bool, fault string) nodeConfig {
	drawn := 0
	random := rand.New(rand.NewPCG(m.idSeed, uint64(m.incarnation)))
	terms := lease.DefaultTiming
	switch m.s.mutant {
	case noMargin:
		terms.Margin = 0
	case lingeringLeader:
		terms.Margin = -terms.Duration
	}
	return nodeConfig{
		Address: m.address, Zone: m.zone, Seeds: m.s.seeds(), Bootstrap: bootstrap, Disk: !m.diskless, Candidate: true,
		Storage:    m.storage || len(m.s.fronts) > 0,
		Durability: view.Durability{Copies: m.s.tolerated + 1}, DownAfter: m.s.downAfter(), LearnerExpiry: LearnerExpiry(m.s.catchup), Terms: terms,
		MinLogBytes: m.s.minLogBytes, MaxLogRecords: cmp.Or(m.s.maxLogRecords, m.s.minLogBytes/4), Machine: m.machine,
		Random: func() uint64 {
			drawn++
			if drawn == 2 && m.s.mutant == keptIdentity { // the first draw names the incarnation, the second the disk
				return m.idSeed*2 + 1
			}
			return random.Uint64()
		},
		DiskFault: fault,
		mutations: m.s.mutant.mutations(),
	}
}

func (m *simulated) schedule(at time.Duration) {
	wait := max(0, time.Duration(float64(at-m.clock())/m.rate)) + time.Duration(m.s.random.Int64N(int64(2*time.Millisecond)))
	m.s.after(wait, m.guard(func() {
		next := m.node.Tick(m.clock())
		m.execute()
		m.schedule(next)
	}))
}

// execute does what the node wants, and then has it apply some of what is committed.
func (m *simulated) execute() {
	m.carryOut(m.node.Take())
	if m.node.ApplyDue() {
		m.node.Apply(m.clock())
		m.carryOut(m.node.Take())
	}
	m.write()
	m.s.checkLease()
	m.takeTime()
}

func (m *simulated) carryOut(output output) {
	m.chainChanges = append(m.chainChanges, output.ChainChanges...)
	m.diskChanges = append(m.diskChanges, output.DiskChanges...)
	m.quorumChanges = append(m.quorumChanges, output.QuorumChanges...)
	for _, write := range output.Writes {
		m.writes = append(m.writes, write)
		if m.s.mutant == unsyncedAck { // the disk says so before it has done it
			m.s.after(0, m.guard(func() { m.node.OnDisk(m.clock(), write.Batch); m.execute() }))
		}
	}
	for _, message := range output.Messages {
		m.checkDegraded(message)
		m.send(message)
	}
	for _, end := range output.Completions {
		m.complete(end)
	}
}

// takeTime has the member stand still for as long as what it has just applied takes.
func (m *simulated) takeTime() {
	applied := m.machine.count - m.counted
	m.counted = m.machine.count
	if m.s.applyTime == 0 || applied <= 0 || m.frozen {
		return
	}
	m.frozen = true
	incarnation := m.incarnation
	m.s.after(time.Duration(applied)*m.s.applyTime, func() {
		if m.incarnation == incarnation {
			m.thaw()
		}
	})
}

func (m *simulated) write() {
	if m.writing || len(m.writes) == 0 {
		return
	}
	m.writing = true
	wait := 500*time.Microsecond + time.Duration(m.s.random.Int64N(int64(time.Millisecond)))
	if m.s.slowDisks || m.s.random.IntN(100) == 0 {
		wait += time.Duration(m.s.random.Int64N(int64(40 * time.Millisecond)))
	}
	m.s.after(max(wait, m.stalled-m.s.now), m.guard(m.written))
}

// fillDisk has the disk take nothing more until it is given room.
func (m *simulated) fillDisk() { m.folder.Break(m.s.random.IntN(3)) }

func (m *simulated) freeDisk() { m.folder.Break(-1) }

func (m *simulated) stallDisk(d time.Duration) { m.stalled = m.s.now + d }

// checkDegraded makes sure that a member that can't write neither leads, orders nor votes. It may pass on what is on its
// disk: a write that was slow and ended lets it.
func (m *simulated) checkDegraded(p outboundMessage) {
	if !m.node.degraded() {
		return
	}
	switch p.Message.(type) {
	case *view.Prepare, *view.Promise, *view.Accept, *view.AcceptReply, *lease.Request, *propose, *decided:
		m.s.fail("%s is degraded and sent %T to %s: answered", m.address, p.Message, p.To)
	}
	if m.node.lease.holder.Valid(m.clock()) {
		m.s.fail("%s holds the leader lease while it is degraded", m.address)
	}
}

func (m *simulated) written() {
	last, err := m.store1()
	m.writing = false
	if err != nil {
		m.writes = nil
		m.node.DiskFailed(m.clock(), err.Error())
		m.execute()
		return
	}
	if m.s.mutant != unsyncedAck {
		m.node.OnDisk(m.clock(), last)
		m.execute()
	}
	m.write()
}

// store1 puts all that waits on the disk.
func (m *simulated) store1() (last uint64, err error) {
	for _, write := range m.writes {
		if write.Image != nil {
			err = m.store.Snapshot(write.Image)
		} else {
			err = m.store.Append(write.Records...)
		}
		if err != nil && m.s.mutant != heedlessDisk {
			return 0, err
		}
		last = write.Batch
	}
	m.writes = nil
	return last, nil
}

// send carries a message, encoded and decoded as on a real connection.
func (m *simulated) send(p outboundMessage) {
	target, s := m.s.byAddr[p.To], m.s
	if target == nil || s.partitioned[[2]string{m.address, p.To}] {
		return
	}
	if s.lossy && s.random.Float64() < s.loss {
		return
	}
	if !target.running {
		s.after(2*time.Millisecond, m.guard(func() { m.node.Refused(m.clock(), p.To); m.execute() }))
		return
	}
	data, err := p.Message.MarshalMsg(nil)
	if err != nil {
		s.fail("%T: %v", p.Message, err)
		return
	}
	message := emptyLike(p.Message)
	from := m.node.self
	wait := time.Millisecond + time.Duration(s.random.Int64N(int64(9*time.Millisecond)))
	if s.lossy && s.random.IntN(20) == 0 {
		wait += time.Duration(s.random.Int64N(int64(400 * time.Millisecond)))
	}
	s.after(wait, target.guard(func() {
		if s.partitioned[[2]string{m.address, p.To}] {
			return
		}
		if _, err := message.UnmarshalMsg(data); err != nil {
			s.fail("%T: %v", message, err)
			return
		}
		target.node.Receive(target.clock(), from, message)
		target.execute()
	}))
}

func emptyLike(message msgp.Marshaler) msgp.Unmarshaler {
	for _, kind := range kinds {
		if empty := kind.empty(); fmt.Sprintf("%T", empty) == fmt.Sprintf("%T", message) {
			return empty
		}
	}
	panic(fmt.Sprintf("%T has no method", message))
}

func (m *simulated) kill() {
	if !m.running {
		return
	}
	m.running = false
	if len(m.writes) > 0 && m.s.random.IntN(2) == 0 {
		m.folder.Break(m.s.random.IntN(6))
		_, _ = m.store1()
		m.folder.Break(-1)
	}
}

// terminate tells the process to stop, in order, and calls done when it has.
func (m *simulated) terminate(done func()) {
	m.node.BeginStop(m.clock())
	m.execute()
	deadline := m.s.now + stopTimeout
	var wait func()
	wait = func() {
		if m.running && m.s.now < deadline && !m.node.StopComplete(m.clock()) {
			m.s.after(stopPollInterval, wait)
			return
		}
		m.kill()
		done()
	}
	m.s.after(stopPollInterval, wait)
}

// powerLoss may catch the disk in the middle of a write.
func (m *simulated) powerLoss() {
	m.running = false
	if len(m.writes) > 0 && m.store != nil {
		m.folder.Break(m.s.random.IntN(6))
		_, _ = m.store1()
	}
	m.folder.PowerLoss(m.s.random)
}

func (m *simulated) wipe() {
	m.powerLoss()
	m.folder = slotstest.New()
	m.fresh = false
}

func (m *simulated) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	deferred := m.thawed
	m.thawed = nil
	for _, f := range deferred {
		f()
	}
}

// submit plays one client's call at this member.
func (m *simulated) submit() {
	if !m.running || m.frozen {
		return
	}
	s := m.s
	name := len(s.operations) + 1
	command := fmt.Sprintf("%d read", name)
	if s.random.IntN(3) > 0 {
		command = fmt.Sprintf("%d set %d %d", name, m.machine.value, name)
	}
	s.operations[command] = &operation{from: s.now, to: endless}
	number := m.node.Submit(m.clock(), []byte(command))
	m.calls[number] = command
	m.execute()
	s.after(3*time.Second, m.guard(func() {
		if m.calls[number] == "" {
			return
		}
		if err, done := m.node.Cancel(number); !done {
			m.complete(completion{Number: number, Err: err})
		}
	}))
}

func (m *simulated) complete(end completion) {
	command := m.calls[end.Number]
	if command == "" {
		return
	}
	delete(m.calls, end.Number)
	operation := m.s.operations[command]
	switch {
	case end.Err == nil:
		m.s.answered++
		m.s.newest = m.s.now
		operation.to, operation.output = m.s.now, string(end.Result)
	case errors.Is(end.Err, ErrUnavailable):
		operation.to, operation.output = m.s.now, "never"
	}
}
