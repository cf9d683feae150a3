package core

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/lease"
	"ravendale/control/slots"
	"ravendale/control/slots/slotstest"
	"ravendale/control/view"
)

// mutant is a mistake that the simulation must catch.
type mutant int

const (
	sound mutant = iota
	unsyncedAck
	minorityView
	noMargin
	keptIdentity
	lingeringLeader
	loneCommit
	applyAll
	heedlessDisk
	staleImage
	eagerMember
	lateDown    // a voter that is down keeps its vote as long as one that is gone
	stayingVote // a member that is told to stop keeps its vote
	eagerVote   // a newcomer gets a vote at once
	hollowChain // a newcomer counts as whole before it is filled
)

// register is a machine that holds one number and changes it by compare-and-set. It counts what it applies, and shows that to the
// simulation: all registers, in all lives, must apply the same commands in the same places.
type register struct {
	s     *simulation
	value int
	count int
}

// Apply implements Machine. A command is a name of its own, followed by "read", or by "set" and two numbers.
func (r *register) Apply(command []byte) []byte {
	r.s.applied(r.count, string(command))
	r.count++
	operation, from, to := parseCommand(string(command))
	if operation == "read" {
		return []byte(strconv.Itoa(r.value))
	}
	if r.value != from {
		return []byte("refused")
	}
	r.value = to
	return []byte("taken")
}

func parseCommand(command string) (operation string, from, to int) {
	_, rest, _ := strings.Cut(command, " ")
	if rest == "read" {
		return rest, 0, 0
	}
	if _, err := fmt.Sscanf(rest, "set %d %d", &from, &to); err != nil {
		panic(err)
	}
	return "set", from, to
}

// Snapshot implements Machine.
func (r *register) Snapshot() []byte { return []byte(fmt.Sprint(r.value, r.count)) }

// Restore implements Machine.
func (r *register) Restore(snapshot []byte) error {
	_, err := fmt.Sscan(string(snapshot), &r.value, &r.count)
	return err
}

// simulation is a whole core in simulated time.
type simulation struct {
	random      *rand.Rand
	mutant      mutant
	now         time.Duration
	queue       []event // heap by time, then by order of making
	made        uint64
	members     []*simulated
	fronts      []*simulated // processes without a disk: then they are the seeds, and the members are stores
	byAddr      map[string]*simulated
	cut         map[[2]string]bool // from, to
	loss        float64
	lossy       bool
	lost        int // LostNodes
	slowDisks   bool
	leastLog    int           // bytes of log before a snapshot
	mostRecords int           // in the log before a snapshot; zero: as many as fit with leastLog
	applyTime   time.Duration // for which a member stands still to apply a command
	catchup     time.Duration // bound of a new machine

	operations map[string]*operation // by command
	order      []string              // of commands, as the first to apply each saw it
	broken     string
	answered   int
	newest     time.Duration // when an operation was last answered
}

// operation is one client's call. It may take effect at any time from its start to its end, and with an unknown outcome at any
// time later, or never.
type operation struct {
	from, to time.Duration
	output   string // "never" surely has no effect; empty: nobody knows
}

const endless = time.Duration(math.MaxInt64)

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// simulated is one machine.
type simulated struct {
	s        *simulation
	address  string
	zone     string
	storage  bool // its disk is a store's
	folder   *slotstest.Folder
	store    *slots.Store
	node     *node
	machine  *register
	life     int
	running  bool
	frozen   bool
	thawed   []func()
	rate     float64 // of its steady clock
	offset   time.Duration
	fresh    bool // bootstrap
	diskless bool
	idSeed   uint64
	writes   []diskWrite
	writing  bool
	calls    map[uint64]string // commands by number
	changes  []change          // of the chain, as told
	quorum   []quorumChange    // of the voters, as told
	counted  int               // commands applied, of which the time has been taken
	stalled  time.Duration     // until then the disk ends nothing
	told     []diskChange
}

func newSimulation(seed uint64, members, lost int, m mutant) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), mutant: m, byAddr: make(map[string]*simulated),
		cut: make(map[[2]string]bool), lost: lost, catchup: catchupBound, operations: make(map[string]*operation),
	}
	s.slowDisks = s.random.IntN(4) == 0
	s.leastLog = 300 << s.random.IntN(8)
	for i := range members {
		member := &simulated{
			s: s, address: fmt.Sprintf("10.0.0.%d:1", i+1), zone: fmt.Sprint("zone-", i%3), folder: slotstest.New(),
			rate: 0.965 + 0.07*s.random.Float64(), offset: time.Duration(s.random.Int64N(int64(time.Hour))), fresh: true,
			idSeed: seed*100 + uint64(i),
		}
		s.members = append(s.members, member)
		s.byAddr[member.address] = member
		s.after(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), func() { member.start() })
	}
	return s
}

func (s *simulation) seeds() []string {
	var seeds []string
	seeding := s.members
	if len(s.fronts) > 0 {
		seeding = s.fronts
	}
	for _, member := range seeding[:min(3, len(seeding))] {
		seeds = append(seeds, member.address)
	}
	return seeds
}

func (s *simulation) downAfter() time.Duration {
	if s.mutant == lateDown {
		return GoneAfter(s.catchup)
	}
	return DownAfter(s.catchup)
}

func (s *simulation) after(wait time.Duration, run func()) {
	s.made++
	s.queue = append(s.queue, event{s.now + wait, s.made, run})
	for i := len(s.queue) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s.before(i, parent) {
			break
		}
		s.queue[i], s.queue[parent] = s.queue[parent], s.queue[i]
		i = parent
	}
}

func (s *simulation) before(i, j int) bool {
	a, b := &s.queue[i], &s.queue[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (s *simulation) pop() event {
	first := s.queue[0]
	last := len(s.queue) - 1
	s.queue[0] = s.queue[last]
	s.queue = s.queue[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && s.before(child+1, child) {
			child++
		}
		if !s.before(child, i) {
			break
		}
		s.queue[i], s.queue[child] = s.queue[child], s.queue[i]
		i = child
	}
	return first
}

// run plays until a time, or until a rule is broken.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until && s.broken == "" {
		event := s.pop()
		s.now = event.at
		event.run()
	}
	s.now = until
}

func (s *simulation) fail(format string, arguments ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, arguments...)
	}
}

func (m *simulated) clock() time.Duration {
	return m.offset + time.Duration(float64(m.s.now)*m.rate)
}

// guard runs f unless the machine has been started anew since; a frozen machine does it when it thaws.
func (m *simulated) guard(f func()) func() {
	life := m.life
	var guarded func()
	guarded = func() {
		if m.life != life || !m.running {
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
	m.life++
	m.running, m.frozen, m.thawed = true, false, nil
	m.store, m.writes, m.writing = store, nil, false
	m.machine, m.calls = &register{s: m.s}, make(map[uint64]string)
	drawn := 0
	random := rand.New(rand.NewPCG(m.idSeed, uint64(m.life)))
	terms := lease.DefaultTiming
	switch m.s.mutant {
	case noMargin:
		terms.Margin = 0
	case lingeringLeader:
		terms.Margin = -terms.Duration
	}
	config := nodeConfig{
		Address: m.address, Zone: m.zone, Seeds: m.s.seeds(), Bootstrap: m.fresh && snapshot == nil, Disk: !m.diskless, Candidate: true,
		Storage:    m.storage || len(m.s.fronts) > 0,
		Durability: view.Durability{Copies: m.s.lost + 1}, DownAfter: m.s.downAfter(), GoneAfter: GoneAfter(m.s.catchup), Terms: terms, LeastLog: m.s.leastLog, MostRecords: cmp.Or(m.s.mostRecords, m.s.leastLog/4), Machine: m.machine,
		Random: func() uint64 {
			drawn++
			if drawn == 2 && m.s.mutant == keptIdentity { // the first draw names the life, the second the disk
				return m.idSeed*2 + 1
			}
			return random.Uint64()
		},
		DiskFault: fault,
		faults: faults{
			minority: m.s.mutant == minorityView, unsyncedOK: m.s.mutant == unsyncedAck, forgetful: m.s.mutant == forgetfulVoter,
			staleImage: m.s.mutant == staleImage, eager: m.s.mutant == eagerMember, alone: m.s.mutant == loneCommit, amnesiac: m.s.mutant == amnesiacSeed, unbounded: m.s.mutant == applyAll,
			staying: m.s.mutant == stayingVote, voting: m.s.mutant == eagerVote, hollow: m.s.mutant == hollowChain,
		},
	}
	node, err := newNode(m.clock(), config, snapshot, records)
	if err != nil {
		m.s.fail("%s: %v", m.address, err)
		return
	}
	m.node = node
	m.carryOut()
	m.schedule(m.clock())
}

func (m *simulated) schedule(at time.Duration) {
	wait := max(0, time.Duration(float64(at-m.clock())/m.rate)) + time.Duration(m.s.random.Int64N(int64(2*time.Millisecond)))
	m.s.after(wait, m.guard(func() {
		next := m.node.Tick(m.clock())
		m.carryOut()
		m.schedule(next)
	}))
}

// carryOut does what the node wants.
func (m *simulated) carryOut() {
	out := m.node.Take()
	m.changes = append(m.changes, out.Changes...)
	m.told = append(m.told, out.Disk...)
	m.quorum = append(m.quorum, out.Quorum...)
	for _, write := range out.Writes {
		m.writes = append(m.writes, write)
		if m.s.mutant == unsyncedAck { // the disk says so before it has done it
			m.s.after(0, m.guard(func() { m.node.OnDisk(m.clock(), write.Batch); m.carryOut() }))
		}
	}
	for _, post := range out.Posts {
		m.checkAside(post)
		m.post(post)
	}
	for _, end := range out.Ended {
		m.ended(end)
	}
	m.write()
	m.s.checkLease()
	m.takeTime()
}

// takeTime has the member stand still for as long as what it has just applied takes.
func (m *simulated) takeTime() {
	applied := m.machine.count - m.counted
	m.counted = m.machine.count
	if m.s.applyTime == 0 || applied <= 0 || m.frozen {
		return
	}
	m.frozen = true
	life := m.life
	m.s.after(time.Duration(applied)*m.s.applyTime, func() {
		if m.life == life {
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

// fill has the disk take nothing more until it is given room.
func (m *simulated) fill() { m.folder.Break(m.s.random.IntN(3)) }

func (m *simulated) room() { m.folder.Break(-1) }

func (m *simulated) stall(d time.Duration) { m.stalled = m.s.now + d }

// checkAside makes sure that a member that can't write neither leads, orders nor votes. It may pass on what is on its
// disk: a write that was slow and ended lets it.
func (m *simulated) checkAside(p post) {
	if m.node.aside.from == "" {
		return
	}
	switch p.Message.(type) {
	case *view.Prepare, *view.Promise, *view.Accept, *view.AcceptReply, *lease.Request, *propose, *decided:
		m.s.fail("%s is aside and sent %T to %s: answered", m.address, p.Message, p.To)
	}
	if m.node.holder.Valid(m.clock()) {
		m.s.fail("%s holds the leader lease while it is aside", m.address)
	}
}

func (m *simulated) written() {
	last, err := m.store1()
	m.writing = false
	if err != nil {
		m.writes = nil
		m.node.DiskFailed(m.clock(), err.Error())
		m.carryOut()
		return
	}
	if m.s.mutant != unsyncedAck {
		m.node.OnDisk(m.clock(), last)
		m.carryOut()
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

// post carries a message, encoded and decoded as on a real connection.
func (m *simulated) post(p post) {
	target, s := m.s.byAddr[p.To], m.s
	if target == nil || s.cut[[2]string{m.address, p.To}] {
		return
	}
	if s.lossy && s.random.Float64() < s.loss {
		return
	}
	if !target.running {
		s.after(2*time.Millisecond, m.guard(func() { m.node.Refused(m.clock(), p.To); m.carryOut() }))
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
		if s.cut[[2]string{m.address, p.To}] {
			return
		}
		if _, err := message.UnmarshalMsg(data); err != nil {
			s.fail("%T: %v", message, err)
			return
		}
		target.node.Receive(target.clock(), from, message)
		target.carryOut()
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
	m.node.Release(m.clock())
	m.carryOut()
	deadline := m.s.now + leaveWithin
	var wait func()
	wait = func() {
		if m.running && m.s.now < deadline && !m.node.Left(m.clock()) {
			m.s.after(releasePause, wait)
			return
		}
		m.kill()
		done()
	}
	m.s.after(releasePause, wait)
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
	held := m.thawed
	m.thawed = nil
	for _, f := range held {
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
	m.carryOut()
	s.after(3*time.Second, m.guard(func() {
		if m.calls[number] == "" {
			return
		}
		if err, done := m.node.Cancel(number); !done {
			m.ended(ended{Number: number, Err: err})
		}
	}))
}

func (m *simulated) ended(end ended) {
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

// applied hears from a register what it applies as its count-th command.
func (s *simulation) applied(count int, command string) {
	switch {
	case count == len(s.order):
		s.order = append(s.order, command)
	case count > len(s.order):
		s.fail("command %d is applied before the one in front of it", count)
	case s.order[count] != command:
		s.fail("command %d is %q here, but was %q elsewhere", count, command, s.order[count])
	}
}

// checkHistory sees whether the order in which commands were applied explains all answers: then the history is linearizable.
func (s *simulation) checkHistory() {
	value := 0
	seen := make(map[string]bool)
	for at, command := range s.order {
		name, from, to := parseCommand(command)
		output := "refused"
		if name == "read" {
			output = strconv.Itoa(value)
		} else if value == from {
			value, output = to, "taken"
		}
		operation := s.operations[command]
		if operation.output != "" && operation.output != output {
			s.fail("command %d %q was answered %q and not %q", at, command, operation.output, output)
		}
		if seen[command] {
			s.fail("command %d %q was applied twice", at, command)
		}
		seen[command] = true
	}
	earliest := endless
	for at := len(s.order) - 1; at >= 0; at-- {
		operation := s.operations[s.order[at]]
		if operation.from > earliest {
			s.fail("command %d %q was submitted after a later one was answered", at, s.order[at])
		}
		earliest = min(earliest, operation.to)
	}
	for command, operation := range s.operations {
		if operation.output != "" && operation.output != "never" && !seen[command] {
			s.fail("%q was answered %q but never applied", command, operation.output)
		}
	}
}

// checkLease looks for two valid holders at once. A frozen one counts: it may be thawed and act.
func (s *simulation) checkLease() {
	var holders []string
	for _, member := range s.members {
		if member.running && member.node != nil && member.node.holder.Valid(member.clock()) {
			holders = append(holders, member.address)
		}
	}
	if len(holders) > 1 {
		s.fail("%v hold the leader lease at once", holders)
	}
}

func (s *simulation) pick() *simulated { return s.members[s.random.IntN(len(s.members))] }

// trouble makes one thing go wrong.
func (s *simulation) trouble() {
	back := time.Duration(s.random.Int64N(int64(1500 * time.Millisecond)))
	member := s.pick()
	switch s.random.IntN(13) {
	case 10, 11: // the disk is full
		member.fill()
		s.after(3*back, member.room)
	case 12:
		member.stall(3 * back)
	case 0, 1:
		member.kill()
		s.after(back, member.start)
	case 2:
		if !member.running {
			return
		}
		member.powerLoss()
		s.after(back, member.start)
	case 3:
		member.frozen = member.running
		s.after(back*2, member.thaw)
	case 4: // one way
		other := s.pick()
		s.cut[[2]string{member.address, other.address}] = true
		s.after(2*back, func() { delete(s.cut, [2]string{member.address, other.address}) })
	case 5: // a side is cut off
		side := s.members[:s.random.IntN(len(s.members))]
		s.separate(side, true)
		s.after(2*back, func() { s.separate(side, false) })
	case 6:
		s.lossy, s.loss = true, 0.1*s.random.Float64()
		s.after(back, func() { s.lossy = false })
	case 9: // one alone for long: it comes back with much to learn
		member.kill()
		s.after(3*time.Second, member.start)
	case 7: // the whole core
		for _, member := range s.members {
			if s.random.IntN(2) == 0 {
				member.kill()
			} else if member.running {
				member.powerLoss()
			}
			s.after(time.Duration(s.random.Int64N(int64(time.Second))), member.start)
		}
	case 8: // the holder of the lease alone is cut off
		for _, member := range s.members {
			if member.running && member.node.holder.Valid(member.clock()) {
				s.separate([]*simulated{member}, true)
				s.after(2*back, func() { s.separate([]*simulated{member}, false) })
			}
		}
	}
}

func (s *simulation) separate(side []*simulated, cut bool) {
	for _, a := range side {
		for _, b := range s.members {
			if slices.Contains(side, b) {
				continue
			}
			if cut {
				s.cut[[2]string{a.address, b.address}], s.cut[[2]string{b.address, a.address}] = true, true
			} else {
				delete(s.cut, [2]string{a.address, b.address})
				delete(s.cut, [2]string{b.address, a.address})
			}
		}
	}
}

// calm ends all troubles.
func (s *simulation) calm() {
	s.cut, s.lossy = make(map[[2]string]bool), false
	for _, member := range s.members {
		member.room()
		member.stalled = 0
		member.thaw()
		member.start()
	}
}

// load has clients submit for as long as the simulation runs.
func (s *simulation) load(every time.Duration) {
	s.pick().submit()
	s.after(time.Duration(s.random.Int64N(int64(2*every))), func() { s.load(every) })
}

// disaster is the final fault: right after an answer as many machines as may be lost lose their disks, the others power.
func (s *simulation) disaster() {
	wiped := s.random.Perm(len(s.members))[:s.random.IntN(s.lost+1)]
	for i, member := range s.members {
		if slices.Contains(wiped, i) {
			member.wipe()
		} else if s.random.IntN(3) > 0 {
			member.powerLoss()
		} else {
			member.kill()
		}
	}
	for _, member := range s.members {
		s.after(time.Duration(s.random.Int64N(int64(time.Second))), member.start)
	}
}

// play is one whole history: founding, troubles, calm, the disaster, calm. It returns what was broken.
func play(seed uint64, members, lost int, m mutant) string {
	s := newSimulation(seed, members, lost, m)
	s.run(1500 * time.Millisecond)
	s.load(60 * time.Millisecond)
	for range 2 + s.random.IntN(6) {
		s.run(s.now + time.Duration(s.random.Int64N(int64(1200*time.Millisecond))))
		if s.broken != "" {
			return s.broken
		}
		s.trouble()
	}
	s.run(s.now + 2*time.Second)
	s.calm()
	s.run(s.now + 6*time.Second)
	s.expectService("after calm", 500*time.Millisecond)
	s.disasters(1 + s.random.IntN(2))
	if s.broken == "" {
		s.checkHistory()
	}
	return s.broken
}

// disasters plays final faults, one after the other.
func (s *simulation) disasters(count int) {
	for range count {
		s.awaitAnswer()
		s.disaster()
		s.run(s.now + time.Second + restartBound)
		s.expectService("after a disaster", 500*time.Millisecond)
		s.run(s.now + catchupBound - restartBound)
	}
}

// playDisasters is a history of nothing but final faults.
func playDisasters(seed uint64, members, lost int, m mutant) string {
	s := newSimulation(seed, members, lost, m)
	s.run(1500 * time.Millisecond)
	s.load(60 * time.Millisecond)
	s.disasters(3)
	if s.broken == "" {
		s.checkHistory()
	}
	return s.broken
}

// Bounds that the core must keep.
const (
	restartBound = 4 * time.Second // from the start of the last process of a core to service
	catchupBound = 5 * time.Second // from there no machine counts as lost
)

// awaitAnswer plays until just after the next answer, so that a fault hits what was acknowledged last.
func (s *simulation) awaitAnswer() {
	answered, until := s.answered, s.now+time.Second
	for len(s.queue) > 0 && s.answered == answered && s.now < until && s.broken == "" {
		s.run(s.queue[0].at)
	}
}

func (s *simulation) expectService(when string, within time.Duration) {
	if s.broken != "" {
		return
	}
	if s.now-s.newest > within {
		s.fail("%s: nothing was answered for %v\n%s", when, s.now-s.newest, s.describe())
	}
	holders := 0
	for _, member := range s.members {
		if member.running && member.node.holder.Valid(member.clock()) {
			holders++
		}
		if member.running && !member.node.chain.Attached() {
			s.fail("%s: %s is not in the chain\n%s", when, member.address, s.describe())
		}
	}
	if holders != 1 {
		s.fail("%s: %d members hold the leader lease\n%s", when, holders, s.describe())
	}
}

func (s *simulation) describe() string {
	var text strings.Builder
	for _, member := range s.members {
		n := member.node
		if n == nil {
			continue
		}
		fmt.Fprintf(&text, "%s id %v running %v epoch %d chain %v voters %d learners %d position %d whole %v attached %v sealed %v aside %q idle %v last %d synced %d committed %d missing %v wanted %v proposer %v leader %q\n",
			member.address, n.self.ID, member.running, n.view.Epoch, n.view.Chain, len(n.view.Voters), len(n.view.Learners), n.chain.Position(), n.chain.Complete(), n.chain.Attached(),
			n.vote.Sealed(n.view.Epoch), n.aside.from, n.idle, n.chain.Last(), n.chain.Synced(), n.chain.Committed(), n.missing, n.wanted, n.proposer != nil, n.leaderAddress(member.clock()))
	}
	return text.String()
}
