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

// modelScope is what may happen in a model of the core. The counts bound how often.
type modelScope struct {
	members   int      // the first three bootstrap the core, the others join
	tolerated int      // losses that are tolerated
	orders    []string // "AT BASE NAME": each may be given once, at member AT, at any time
	steps     int      // of time
	fine      bool     // steps are half as long
	orderAt   []int    // steps in which orders are given; nil: all
	faultAt   []int    // steps in which faults strike; nil: all
	backAt    []int    // steps in which faults end; nil: all
	rates     []int    // of the members' clocks, in thousandths; nil: all alike
	crashes   int      // kills and losses of power, after which a member returns with its disk
	wipes     int      // losses of power after which it returns with an empty one
	freezes   int
	cuts      int           // of one member from all others
	deaf      int           // the same, one way: it hears nobody
	lose      int           // messages lost
	duplicate int           // messages delivered twice
	late      int           // messages that arrive after later steps of time
	stops     int           // orderly ends, after which a member returns
	only      []int         // members that faults strike; nil: all
	later     bool          // joiners start during the search
	reorder   int           // deliveries before others that were sent earlier; negative: no bound
	unordered bool          // messages of one link overtake one another
	replaces  bool          // the last member is the first one's successor, if that is down as it starts or stops in order; it does not return
	slowDisks bool          // what is written is on disk at any time later, within a step; else at once
	hasty     bool          // a disk says that it has what it has not
	margin    time.Duration // other than that of the lease, by which its holder stops before the voters forget it
	lateDown  bool          // a voter that is down keeps its vote as long as one that is gone
	mutations mutations
}

// modelStep is how far a step of time goes. Within one, messages and disks may take as long as they like, but no longer: so the model is
// coarser than the core's timers, and late messages are faults of their own.
const modelStep = 200 * time.Millisecond

func (s *modelScope) step() time.Duration {
	if s.fine {
		return modelStep / 2
	}
	return modelStep
}

// modelCatchup is the bound of a new machine.
const modelCatchup = 2 * time.Second

// modelMember is a machine. It is copied before it is changed.
type modelMember struct {
	address     string
	node        *node // nil while it is down
	machine     *orderLog
	disk        modelDisk
	writes      []diskWrite
	incarnation int
	disks       int // how many it has lost
	frozen      bool
	partitioned bool // from all others
	deaf        bool
	refusing    bool          // killed: others find its address closed
	soundAt     time.Duration // from then it does not count as lost, unless it is
	stopBy      time.Duration // by then it ends, having been told to stop; zero if it was not
	state       []byte        // encoded, nil if that is to be done
}

// model is a core whose every order of events is searched. What it observes belongs to its state.
type model struct {
	scope   *modelScope
	members []*modelMember
	owned   []bool // members that were copied since the last Clone
	mail    []modelMessage
	elapsed time.Duration
	steps   int
	given   []bool
	budget  modelScope // counts that are left

	order    []string          // of commands, as first applied
	answers  []string          // to orders, by their place in the scope
	numbers  map[[3]int]int    // member, incarnation and number: which order
	views    map[uint64]string // decided, by epoch
	replaced bool              // the last member counts in the place of the first
	exceeded bool              // more were lost at once than may be
	broken   string
}

func newModel(scope *modelScope) *model {
	m := &model{
		scope: scope, budget: *scope, given: make([]bool, len(scope.orders)), answers: make([]string, len(scope.orders)),
		numbers: make(map[[3]int]int), views: make(map[uint64]string), elapsed: time.Hour,
	}
	for i := range scope.members {
		m.members = append(m.members, &modelMember{address: fmt.Sprintf("%c", 'a'+i)})
		m.owned = append(m.owned, true)
	}
	m.stabilize()
	return m
}

// stabilize bootstraps the core, and has it run until all is calm: that is where the search starts.
func (m *model) stabilize() {
	for i := range min(3, len(m.members)) {
		m.start(i)
	}
	for range m.scope.settling() {
		m.calm()
		m.tick()
	}
	if !m.scope.later {
		for i := 3; i < len(m.members); i++ {
			m.start(i)
		}
		for range m.scope.settling() {
			m.calm()
			m.tick()
		}
	}
	m.calm()
	m.steps = 0
	for _, member := range m.members {
		member.soundAt, member.state = 0, nil
	}
}

func (s *modelScope) settling() int { return int(2400 * time.Millisecond / s.step()) }

// calm delivers all there is, in order.
func (m *model) calm() {
	for {
		switch {
		case m.syncing() >= 0:
			m.sync(m.syncing())
		case len(m.mail) > 0:
			m.deliver(0)
		default:
			return
		}
	}
}

func (m *model) syncing() int {
	return slices.IndexFunc(m.members, func(member *modelMember) bool { return len(member.writes) > 0 && member.node != nil && !member.frozen })
}

// own makes a member this model's own, so that it may be changed.
func (m *model) own(at int) *modelMember {
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
	copied.machine = copied.node.config.Machine.(*orderLog)
	return &copied
}

func (m *model) Clone() explore.System {
	copied := *m
	copied.members = slices.Clone(m.members)
	copied.owned = make([]bool, len(m.members))
	clear(m.owned)
	copied.mail = slices.Clone(m.mail)
	copied.given, copied.answers, copied.order = slices.Clone(m.given), slices.Clone(m.answers), slices.Clone(m.order)
	copied.numbers, copied.views = explore.Clone(m.numbers), explore.Clone(m.views)
	return &copied
}

// clock is a member's steady time.
func (m *model) clock(at int) time.Duration {
	if m.scope.rates == nil {
		return m.elapsed
	}
	return m.elapsed / 1000 * time.Duration(m.scope.rates[at])
}

func (m *model) start(at int) {
	member := m.own(at)
	member.incarnation++
	m.replaced = m.replaced || m.scope.replaces && at == len(m.members)-1 && m.members[0].node == nil
	member.refusing, member.frozen, member.soundAt = false, false, m.elapsed+modelCatchup
	member.machine = &orderLog{}
	var seeds []string
	for _, seed := range m.members[:min(3, len(m.members))] {
		seeds = append(seeds, seed.address)
	}
	incarnation, disks, drawn := member.incarnation, member.disks, 0
	config := nodeConfig{
		Address: member.address, Zone: member.address, Seeds: seeds, Bootstrap: m.views[1] == "" && disks == 0, Disk: true, Candidate: true,
		Durability: view.Durability{Copies: m.scope.tolerated + 1}, DownAfter: m.downAfter(),
		LearnerExpiry: LearnerExpiry(modelCatchup), Terms: m.terms(), MinLogBytes: 1 << 20, Machine: member.machine,
		Random: func() uint64 { // the first draw is the incarnation, the second the disk
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
	node.config.Random = func() uint64 { return 0 } // no state of its own, or copies would share it
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

// execute does what a node wants.
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
	} else if m.scope.hasty && len(output.Writes) > 0 {
		member.node.OnDisk(m.clock(at), output.Writes[len(output.Writes)-1].Batch)
		m.execute(at)
	}
}

// tick lets a step of time pass.
func (m *model) tick() {
	m.elapsed += m.scope.step()
	m.steps++
	for at := range m.members {
		m.own(at) // their times are others now
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

// endStopped ends members that were told to stop and have left, or can't wait any longer.
func (m *model) endStopped() {
	for at, member := range m.members {
		if member.stopBy != 0 && !member.frozen && (m.elapsed >= member.stopBy || member.node.StopComplete(m.clock(at))) {
			m.land(member)
			m.end(at, true)
			m.replaced = m.replaced || m.scope.replaces && at == 0
		}
	}
}

func (m *model) submit(number int) {
	m.given[number] = true
	var at, base int
	var name string
	if _, err := fmt.Sscan(m.scope.orders[number], &at, &base, &name); err != nil {
		panic(err)
	}
	member := m.own(at)
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
	if m.broken == "" {
		m.broken = fmt.Sprintf(format, arguments...)
	}
}
