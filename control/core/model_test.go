package core

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"ravendale/control/lease"
	"ravendale/control/view"
	"ravendale/internal/explore"
)

// modelScope defines what may happen in a model of the core. The counts limit how often.
type modelScope struct {
	members         int      // the first three bootstrap the core, the others join
	tolerated       int      // number of failures that the core tolerates
	commands        []string // "AT BASE NAME": each may be submitted once, at member AT, at any time
	steps           int      // number of time steps
	halfSteps       bool     // time steps have half the length
	submitAt        []int    // time steps in which commands are submitted; nil: all
	faultAt         []int    // time steps in which faults occur; nil: all
	recoverAt       []int    // time steps in which faults end; nil: all
	rates           []int    // rates of the members' clocks, in thousandths; nil: all equal
	crashes         int      // kills and losses of power, after which a member restarts with its disk
	wipes           int      // losses of power, after which a member restarts with an empty disk
	freezes         int
	cuts            int           // partitions of one member from all others
	inboundCuts     int           // partitions in which one member receives no messages
	lose            int           // messages lost
	duplicate       int           // messages delivered twice
	late            int           // messages that may arrive in later time steps
	stops           int           // orderly stops, after which a member restarts
	faultMembers    []int         // members at which faults occur; nil: all
	joinLater       bool          // members that join are started during the search
	reorder         int           // deliveries ahead of messages that were sent earlier; negative: unlimited
	unordered       bool          // messages of one link may overtake one another
	replaces        bool          // the first member does not restart; the last one, started while it is down or stopping, replaces it
	slowDisks       bool          // a write may become durable at any time within a time step; otherwise it does at once
	earlySyncReport bool          // mutation: a write is reported as durable before it is
	margin          time.Duration // replaces lease.Timing.Margin, unless zero
	lateDown        bool          // mutation: a voter that is down loses its vote only after LearnerExpiry
	mutations       mutations
}

// modelStep is the length of a time step. Messages and writes take any time within a step, but do not extend beyond it:
// so the model is coarser than the core's timers, and late messages are a separate fault.
const modelStep = 200 * time.Millisecond

func (s *modelScope) step() time.Duration {
	if s.halfSteps {
		return modelStep / 2
	}
	return modelStep
}

// modelCatchup is the time that a new machine has to catch up.
const modelCatchup = 2 * time.Second

// modelMember is a machine. It is copied before it is changed.
type modelMember struct {
	address     string
	node        *node // nil while the process is down
	machine     *commandLog
	disk        modelDisk
	writes      []diskWrite
	incarnation int
	disks       int // number of disks that it has lost
	frozen      bool
	partitioned bool // from all other members
	inboundCut  bool
	refusing    bool          // it was killed, and its address refuses connections
	reliableAt  time.Duration // from then on it does not count as lost, if it is up
	stopBy      time.Duration // a stopping member ends at that time at the latest; zero if it is not stopping
	state       []byte        // encoded state; nil if it has to be encoded again
}

// model is a core of which all orders of events are searched. The observations are part of its state.
type model struct {
	scope     *modelScope
	members   []*modelMember
	owned     []bool // which members were copied since the last Clone
	inFlight  []modelMessage
	elapsed   time.Duration
	steps     int
	submitted []bool
	budget    modelScope // counts that are left

	appliedCommands []string          // commands, as first applied
	answers         []string          // answers to scope.commands, by index
	numbers         map[[3]int]int    // index in scope.commands, by member, incarnation and command number
	views           map[uint64]string // decided views, by epoch
	replaced        bool              // the last member counts in place of the first
	exceeded        bool              // more machines were lost at once than tolerated
	violation       string
}

func newModel(scope *modelScope) *model {
	m := &model{
		scope: scope, budget: *scope, submitted: make([]bool, len(scope.commands)), answers: make([]string, len(scope.commands)),
		numbers: make(map[[3]int]int), views: make(map[uint64]string), elapsed: time.Hour,
	}
	for i := range scope.members {
		m.members = append(m.members, &modelMember{address: fmt.Sprintf("%c", 'a'+i)})
		m.owned = append(m.owned, true)
	}
	m.stabilize()
	return m
}

// stabilize bootstraps the core, and runs it until nothing is pending: the search starts from that state.
func (m *model) stabilize() {
	for i := range min(3, len(m.members)) {
		m.start(i)
	}
	for range m.scope.settleSteps() {
		m.drain()
		m.tick()
	}
	if !m.scope.joinLater {
		for i := 3; i < len(m.members); i++ {
			m.start(i)
		}
		for range m.scope.settleSteps() {
			m.drain()
			m.tick()
		}
	}
	m.drain()
	m.steps = 0
	for _, member := range m.members {
		member.reliableAt, member.state = 0, nil
	}
}

func (s *modelScope) settleSteps() int { return int(2400 * time.Millisecond / s.step()) }

// drain delivers all messages and completes all writes, in order.
func (m *model) drain() {
	for {
		switch {
		case m.pendingSync() >= 0:
			m.sync(m.pendingSync())
		case len(m.inFlight) > 0:
			m.deliver(0)
		default:
			return
		}
	}
}

func (m *model) pendingSync() int {
	return slices.IndexFunc(m.members, func(member *modelMember) bool { return len(member.writes) > 0 && member.node != nil && !member.frozen })
}

// mutableMember returns a copy of a member that belongs to this model, so that it may be changed.
func (m *model) mutableMember(at int) *modelMember {
	if !m.owned[at] {
		m.owned[at] = true
		m.members[at] = m.members[at].clone()
	}
	m.members[at].state = nil
	return m.members[at]
}

func (member *modelMember) clone() *modelMember {
	copied := *member
	copied.writes = slices.Clone(member.writes)
	if member.node == nil {
		return &copied
	}
	copied.node = explore.Clone(member.node)
	copied.machine = copied.node.config.Machine.(*commandLog)
	return &copied
}

func (m *model) Clone() explore.System {
	copied := *m
	copied.members = slices.Clone(m.members)
	copied.owned = make([]bool, len(m.members))
	clear(m.owned)
	copied.inFlight = slices.Clone(m.inFlight)
	copied.submitted, copied.answers, copied.appliedCommands = slices.Clone(m.submitted), slices.Clone(m.answers), slices.Clone(m.appliedCommands)
	copied.numbers, copied.views = explore.Clone(m.numbers), explore.Clone(m.views)
	return &copied
}

// clock returns a member's steady time.
func (m *model) clock(at int) time.Duration {
	if m.scope.rates == nil {
		return m.elapsed
	}
	return m.elapsed / 1000 * time.Duration(m.scope.rates[at])
}

func (m *model) start(at int) {
	member := m.mutableMember(at)
	member.incarnation++
	m.replaced = m.replaced || m.scope.replaces && at == len(m.members)-1 && m.members[0].node == nil
	member.refusing, member.frozen, member.reliableAt = false, false, m.elapsed+modelCatchup
	member.machine = &commandLog{}
	var seeds []string
	for _, seed := range m.members[:min(3, len(m.members))] {
		seeds = append(seeds, seed.address)
	}
	incarnation, disks, drawn := member.incarnation, member.disks, 0
	config := nodeConfig{
		Address: member.address, Zone: member.address, Seeds: seeds, Bootstrap: m.views[1] == "" && disks == 0, Disk: true, Candidate: true,
		Durability: view.Durability{Copies: m.scope.tolerated + 1}, DownAfter: m.downAfter(),
		LearnerExpiry: LearnerExpiry(modelCatchup), Terms: m.terms(), MinLogBytes: 1 << 20, Machine: member.machine,
		Random: func() uint64 { // the first number identifies the incarnation, the second one the disk
			drawn++
			switch drawn {
			case 1:
				return uint64(1000*(at+1) + 10*incarnation)
			case 2:
				return uint64(100*(at+1) + 2*disks)
			}
			return 0
		},
		mutations: m.scope.mutations,
	}
	node, err := newNode(m.clock(at), config, member.disk.snapshot, member.disk.records)
	if err != nil {
		m.fail("%s: %v", member.address, err)
		return
	}
	node.config.Random = func() uint64 { return 0 } // without state, which copies of the model would share
	member.node = node
	m.execute(at)
}

func (m *model) downAfter() time.Duration {
	if m.scope.lateDown {
		return LearnerExpiry(modelCatchup)
	}
	return DownAfter(modelCatchup)
}

func (m *model) terms() lease.Timing {
	terms := lease.DefaultTiming
	if m.scope.margin != 0 {
		terms.Margin = m.scope.margin
	}
	return terms
}

// execute executes a node's output.
func (m *model) execute(at int) {
	member := m.members[at]
	output := member.node.Take()
	member.writes = append(member.writes, output.Writes...)
	for _, message := range output.Messages {
		m.send(at, message)
	}
	m.observe(at)
	for _, end := range output.Completions {
		m.complete(at, end)
	}
	if member.node.ApplyDue() {
		member.node.Apply(m.clock(at))
		m.execute(at)
	}
	if !m.scope.slowDisks && len(member.writes) > 0 {
		m.sync(at)
	} else if m.scope.earlySyncReport && len(output.Writes) > 0 {
		member.node.OnDisk(m.clock(at), output.Writes[len(output.Writes)-1].Batch)
		m.execute(at)
	}
}

// tick advances the time by one step.
func (m *model) tick() {
	m.elapsed += m.scope.step()
	m.steps++
	for at := range m.members {
		m.mutableMember(at) // their clocks change
	}
	for at, member := range m.members {
		if member.node == nil || member.frozen {
			continue
		}
		for _, other := range m.members {
			if other.refusing && !member.partitioned {
				member.node.Refused(m.clock(at), other.address)
			}
		}
		member.node.Tick(m.clock(at))
		m.execute(at)
	}
	m.deliverHeartbeats()
	m.endStopped()
}

// endStopped ends stopping members that the others have removed, or whose time to stop has ended.
func (m *model) endStopped() {
	for at, member := range m.members {
		if member.stopBy != 0 && !member.frozen && (m.elapsed >= member.stopBy || member.node.StopComplete(m.clock(at))) {
			m.completeWrites(member)
			m.endProcess(at, true)
			m.replaced = m.replaced || m.scope.replaces && at == 0
		}
	}
}

func (m *model) submit(number int) {
	m.submitted[number] = true
	var at, base int
	var name string
	if _, err := fmt.Sscan(m.scope.commands[number], &at, &base, &name); err != nil {
		panic(err)
	}
	member := m.mutableMember(at)
	command := member.node.Submit(m.clock(at), fmt.Appendf(nil, "%d %s", base, name))
	m.numbers[[3]int{at, member.incarnation, int(command)}] = number
	m.execute(at)
}

func (m *model) complete(at int, end completion) {
	number, known := m.numbers[[3]int{at, m.members[at].incarnation, int(end.Number)}]
	if !known {
		return
	}
	switch {
	case end.Err == nil:
		m.answers[number] = string(end.Result)
		m.checkAnswer(number)
	case errors.Is(end.Err, ErrUnavailable):
		m.answers[number] = "never"
	default:
		m.answers[number] = "unknown"
	}
}

func (m *model) fail(format string, arguments ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, arguments...)
	}
}
