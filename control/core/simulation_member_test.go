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

// simProcess is one machine, with a member of the core or a process without a disk.
type simProcess struct {
	s              *simulation
	address        string
	zone           string
	storage        bool // its disk belongs to a store
	folder         *slotstest.Folder
	store          *slots.Store
	node           *node
	machine        *registerMachine
	incarnation    int
	running        bool
	frozen         bool
	deferredEvents []func()
	rate           float64 // rate of its steady clock
	offset         time.Duration
	firstStart     bool // started with nodeConfig.Bootstrap while its disk is empty
	diskless       bool
	idSeed         uint64
	writes         []diskWrite
	writing        bool
	calls          map[uint64]string // commands by number
	chainChanges   []chainChange     // as reported by the node
	quorumChanges  []quorumChange    // as reported by the node
	appliedSeen    int               // applied commands for which applyTime has been spent
	stalledUntil   time.Duration     // no write ends before
	diskChanges    []diskChange
}

func (m *simProcess) clock() time.Duration {
	return m.offset + time.Duration(float64(m.s.now)*m.rate)
}

// whileRunning returns a function that runs f unless the machine was restarted in between or is down. On a frozen
// machine f runs when it is thawed.
func (m *simProcess) whileRunning(f func()) func() {
	incarnation := m.incarnation
	var guarded func()
	guarded = func() {
		if m.incarnation != incarnation || !m.running {
			return
		}
		if m.frozen {
			m.deferredEvents = append(m.deferredEvents, guarded)
			return
		}
		f()
	}
	return guarded
}

func (m *simProcess) start() {
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
	m.running, m.frozen, m.deferredEvents = true, false, nil
	m.store, m.writes, m.writing = store, nil, false
	m.machine, m.calls = &registerMachine{s: m.s}, make(map[uint64]string)
	node, err := newNode(m.clock(), m.nodeConfig(m.firstStart && snapshot == nil, fault), snapshot, records)
	if err != nil {
		m.s.fail("%s: %v", m.address, err)
		return
	}
	m.node = node
	m.execute()
	m.schedule(m.clock())
}

// nodeConfig returns the parameters of the machine's node.
func (m *simProcess) nodeConfig(bootstrap bool, fault string) nodeConfig {
	drawn := 0
	random := rand.New(rand.NewPCG(m.idSeed, uint64(m.incarnation)))
	terms := lease.DefaultTiming
	switch m.s.mutant {
	case noMargin:
		terms.Margin = 0
	case negativeMargin:
		terms.Margin = -terms.Duration
	}
	return nodeConfig{
		Address: m.address, Zone: m.zone, Seeds: m.s.seeds(), Bootstrap: bootstrap, Disk: !m.diskless, Candidate: true,
		Storage:    m.storage || len(m.s.diskless) > 0,
		Durability: view.Durability{Copies: m.s.tolerated + 1}, DownAfter: m.s.downAfter(), LearnerExpiry: LearnerExpiry(m.s.catchup), Terms: terms,
		MinLogBytes: m.s.minLogBytes, MaxLogRecords: cmp.Or(m.s.maxLogRecords, m.s.minLogBytes/4), Machine: m.machine,
		Random: func() uint64 {
			drawn++
			if drawn == 2 && m.s.mutant == keptIdentity { // the first number identifies the incarnation, the second one the disk
				return m.idSeed*2 + 1
			}
			return random.Uint64()
		},
		DiskFault: fault,
		mutations: m.s.mutant.mutations(),
	}
}

func (m *simProcess) schedule(at time.Duration) {
	wait := max(0, time.Duration(float64(at-m.clock())/m.rate)) + time.Duration(m.s.random.Int64N(int64(2*time.Millisecond)))
	m.s.after(wait, m.whileRunning(func() {
		next := m.node.Tick(m.clock())
		m.execute()
		m.schedule(next)
	}))
}

// execute executes the node's output, and then makes it apply some committed commands.
func (m *simProcess) execute() {
	m.executeOutput(m.node.Take())
	if m.node.ApplyDue() {
		m.node.Apply(m.clock())
		m.executeOutput(m.node.Take())
	}
	m.write()
	m.s.checkLease()
	m.pauseForApply()
}

func (m *simProcess) executeOutput(output output) {
	m.chainChanges = append(m.chainChanges, output.ChainChanges...)
	m.diskChanges = append(m.diskChanges, output.DiskChanges...)
	m.quorumChanges = append(m.quorumChanges, output.QuorumChanges...)
	for _, write := range output.Writes {
		m.writes = append(m.writes, write)
		if m.s.mutant == unsyncedAck { // the write is reported as durable before it is
			m.s.after(0, m.whileRunning(func() { m.node.OnDisk(m.clock(), write.Batch); m.execute() }))
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

// pauseForApply freezes the machine for the time that it takes to apply the newly applied commands.
func (m *simProcess) pauseForApply() {
	applied := m.machine.count - m.appliedSeen
	m.appliedSeen = m.machine.count
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

func (m *simProcess) write() {
	if m.writing || len(m.writes) == 0 {
		return
	}
	m.writing = true
	wait := 500*time.Microsecond + time.Duration(m.s.random.Int64N(int64(time.Millisecond)))
	if m.s.slowDisks || m.s.random.IntN(100) == 0 {
		wait += time.Duration(m.s.random.Int64N(int64(40 * time.Millisecond)))
	}
	m.s.after(max(wait, m.stalledUntil-m.s.now), m.whileRunning(m.onWritten))
}

// fillDisk makes all writes fail until freeDisk.
func (m *simProcess) fillDisk() { m.folder.FailAfter(m.s.random.IntN(3)) }

func (m *simProcess) freeDisk() { m.folder.FailAfter(-1) }

func (m *simProcess) stallDisk(d time.Duration) { m.stalledUntil = m.s.now + d }

// checkDegraded checks that a degraded member does not lead, order commands or vote. It may pass on what is on its
// disk, when a slow write has ended.
func (m *simProcess) checkDegraded(p outboundMessage) {
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

func (m *simProcess) onWritten() {
	last, err := m.storePending()
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

// storePending executes all pending writes.
func (m *simProcess) storePending() (last uint64, err error) {
	for _, write := range m.writes {
		if write.Image != nil {
			err = m.store.Snapshot(write.Image)
		} else {
			err = m.store.Append(write.Records...)
		}
		if err != nil && m.s.mutant != ignoredWriteError {
			return 0, err
		}
		last = write.Batch
	}
	m.writes = nil
	return last, nil
}

// send delivers a message after a delay, encoded and decoded as on a real connection.
func (m *simProcess) send(p outboundMessage) {
	target, s := m.s.byAddress[p.To], m.s
	if target == nil || s.partitioned[[2]string{m.address, p.To}] {
		return
	}
	if s.lossy && s.random.Float64() < s.loss {
		return
	}
	if !target.running {
		s.after(2*time.Millisecond, m.whileRunning(func() { m.node.Refused(m.clock(), p.To); m.execute() }))
		return
	}
	data, err := p.Message.MarshalMsg(nil)
	if err != nil {
		s.fail("%T: %v", p.Message, err)
		return
	}
	message := newMessageLike(p.Message)
	from := m.node.self
	wait := time.Millisecond + time.Duration(s.random.Int64N(int64(9*time.Millisecond)))
	if s.lossy && s.random.IntN(20) == 0 {
		wait += time.Duration(s.random.Int64N(int64(400 * time.Millisecond)))
	}
	s.after(wait, target.whileRunning(func() {
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

func newMessageLike(message msgp.Marshaler) msgp.Unmarshaler {
	for _, kind := range messageKinds {
		if empty := kind.newMessage(); fmt.Sprintf("%T", empty) == fmt.Sprintf("%T", message) {
			return empty
		}
	}
	panic(fmt.Sprintf("%T has no method", message))
}

func (m *simProcess) kill() {
	if !m.running {
		return
	}
	m.running = false
	if len(m.writes) > 0 && m.s.random.IntN(2) == 0 {
		m.folder.FailAfter(m.s.random.IntN(6))
		_, _ = m.storePending()
		m.folder.FailAfter(-1)
	}
}

// terminate stops the process in an orderly way, and calls done when it has ended.
func (m *simProcess) terminate(done func()) {
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

// powerLoss ends the process, possibly in the middle of a write.
func (m *simProcess) powerLoss() {
	m.running = false
	if len(m.writes) > 0 && m.store != nil {
		m.folder.FailAfter(m.s.random.IntN(6))
		_, _ = m.storePending()
	}
	m.folder.PowerLoss(m.s.random)
}

func (m *simProcess) wipe() {
	m.powerLoss()
	m.folder = slotstest.New()
	m.firstStart = false
}

func (m *simProcess) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	deferred := m.deferredEvents
	m.deferredEvents = nil
	for _, f := range deferred {
		f()
	}
}

// submit submits a client's command at this member.
func (m *simProcess) submit() {
	if !m.running || m.frozen {
		return
	}
	s := m.s
	name := len(s.operations) + 1
	command := fmt.Sprintf("%d read", name)
	if s.random.IntN(3) > 0 {
		command = fmt.Sprintf("%d set %d %d", name, m.machine.value, name)
	}
	s.operations[command] = &operation{from: s.now, to: maxDuration}
	number := m.node.Submit(m.clock(), []byte(command))
	m.calls[number] = command
	m.execute()
	s.after(3*time.Second, m.whileRunning(func() {
		if m.calls[number] == "" {
			return
		}
		if err, done := m.node.Cancel(number); !done {
			m.complete(completion{Number: number, Err: err})
		}
	}))
}

func (m *simProcess) complete(end completion) {
	command := m.calls[end.Number]
	if command == "" {
		return
	}
	delete(m.calls, end.Number)
	operation := m.s.operations[command]
	switch {
	case end.Err == nil:
		m.s.answered++
		m.s.lastAnswerAt = m.s.now
		operation.to, operation.output = m.s.now, string(end.Result)
	case errors.Is(end.Err, ErrUnavailable):
		operation.to, operation.output = m.s.now, "never"
	}
}
