package core

import (
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

// Times by which a member judges others.
const (
	heartbeatInterval    = 200 * time.Millisecond
	failureTimeout       = 700 * time.Millisecond // then a member counts as down
	joinDelay            = 300 * time.Millisecond // so long a member is heard of before it is taken in
	startupDelay         = 300 * time.Millisecond // after a start, so long is waited for others before the chain is changed
	startupWindow        = 500 * time.Millisecond // after a start, so long others may not have started yet
	proposerStagger      = 150 * time.Millisecond // by which each further proposer waits longer
	candidateStagger     = 400 * time.Millisecond // by which each further candidate waits longer
	previousHolderWindow = 400 * time.Millisecond // after a start, so long the lease is left to whoever held it last
	leaseRetryInterval   = 250 * time.Millisecond // between rounds of a candidate
	proposeRetryInterval = 200 * time.Millisecond // after which a command that was sent to the head is sent again
	diskStallTimeout     = time.Second            // a member whose disk takes longer steps aside
	diskRetryInterval    = 500 * time.Millisecond // between attempts at a disk that fails
	pauseThreshold       = 400 * time.Millisecond // a member that was not run for so long judges nobody at first
	unknownPeerTimeout   = 10 * time.Second       // a stranger that is silent for longer is forgotten
	disklessPeerTimeout  = 10 * time.Minute       // the same of a process without a disk, where stores are the core
	minLogBytes          = 64 << 10               // of nodeConfig.LeastLog
	maxLogRecords        = 64                     // of nodeConfig.MostRecords: each may take some 10 ms to apply again
	maxLogBytes          = 8 << 20                // bytes of log after which a snapshot is taken, however large that is
)

// nodeConfig is what a node must know from the start.
type nodeConfig struct {
	Address       string
	Zone          string
	Seeds         []string // rpc addresses
	Bootstrap     bool
	Disk          bool
	Candidate     bool
	Storage       bool // the disk is a store's
	Durability    view.Durability
	DownAfter     time.Duration // a voter that is silent for longer may lose its vote
	LearnerExpiry time.Duration // a learner that is silent for longer is forgotten
	Terms         lease.Terms
	MinLogBytes   int // bytes of log before a snapshot is taken
	// MaxLogRecords are in the log before a snapshot is taken, however short they are: a member that starts applies them again, and until
	// then neither answers nor leads.
	MaxLogRecords int
	Machine       Machine
	Random        func() uint64
	DiskFault     string // what is read can't be synced, and why; empty: it is lasting
	mutations     mutations
}

// mutations are mistakes that tests make on purpose, to see that they would be caught.
type mutations struct {
	seedForgetsVote bool // a seed without a disk votes on the founding in each of its lives
	minorityDecides bool // a view is decided by a single voter
	skipsSync       bool // what waits for the disk does not
	forgetsGrant    bool // a voter that starts takes it that it granted nothing
	commitsAlone    bool // a member commits what it alone has on its disk
	appliesAll      bool // a member that is behind applies all at once
	learnsDetached  bool // a member that is not attached learns what is committed, and so answers
	keepsStaleState bool // another member's image moves the log's place and not the machine's state
	keepsVoteOnStop bool // a node that is told to stop keeps its vote
	votesAtOnce     bool // a newcomer gets a vote at once
	countsUnfilled  bool // a newcomer counts as whole before it is filled
}

// outboundMessage is a message to send. Its type tells the method.
type outboundMessage struct {
	To      string
	Message msgp.Marshaler
}

// diskWrite is a change on disk: records to append, or a whole new image. The node hears OnDisk with its batch when it is lasting.
type diskWrite struct {
	Batch   uint64
	Records [][]byte
	Image   []byte
}

// completion is the end of a command submitted here.
type completion struct {
	Number uint64
	Result []byte
	Err    error
}

// output is what a node wants done, in any order but that of the writes.
type output struct {
	Writes        []diskWrite
	Messages      []outboundMessage
	Completions   []completion
	ChainChanges  []chainChange
	DiskChanges   []diskChange
	QuorumChanges []quorumChange
	Applied       bool
}

// node is a member of the core without clock, sockets or disk: each method takes the steady time and returns what is to be done.
type node struct {
	config           nodeConfig
	self             view.Member
	bootstrapMembers []string
	origin           uint64 // of commands submitted in this life
	started          time.Duration
	suspectFrom      time.Duration // until then nobody is judged silent
	lastTick         time.Duration

	view        view.View
	vote        view.Vote
	chain       *chain.Chain
	voter       *lease.Voter
	cannotOrder bool // the head, but started in this epoch

	storeBootstrap   *storeBootstrap // by seeds without a disk, in the first life of the system; nil: not here
	decommissioning  bool            // it asks to be no voter any more
	decommissionedAt time.Duration   // since when
	abstainUntil     time.Duration   // until then it does not seek the leader lease

	uninitialized bool // its identity is not on disk yet
	stopping      bool // it has been told to stop

	peers              map[string]*peer // by address
	heartbeatDue       time.Duration
	unresponsive       []view.ID
	proposer           *view.Proposer
	ballotNumber       uint64
	changePendingSince time.Duration // since when another view is wanted, negative if none is
	retryAt            time.Duration
	quorum             quorumWatch

	holder           *lease.Holder
	nextRequestAt    time.Duration
	knownLeader      string
	knownLeaderUntil time.Duration
	leaderlessSince  time.Duration
	dropCause        string // why the lease was given back, empty if it was not
	grantBatch       uint64 // the write that holds whom the voter granted last

	pending map[uint64]*command
	number  uint64

	output         output
	inbox          []inboundMessage // from itself
	deferred       []deferredMessage
	writeOffsets   []writeOffset
	lastBatch      uint64 // newest given to the disk
	durableBatch   uint64 // newest known to be on disk
	pendingRecords [][]byte
	snapshotDue    bool // the next write is the whole image
	logBytes       int
	logRecords     int           // records since the snapshot
	stateBytes     int           // of the machine's newest snapshot
	writingSince   time.Duration // since when a write is under way
	degradation    degradation
}

type peer struct {
	member       view.Member
	heartbeat    heartbeat
	heardAt      time.Duration
	healthyAt    time.Duration // heard last while it was not aside
	heardSince   time.Duration // heard without a pause since
	refused      bool
	contacted    bool // was heard at least once
	wantsRemoval bool // it wishes to be no voter any more
	removalSince time.Duration
	abstainUntil time.Duration // until then it does not seek the leader lease
}

type command struct {
	number  uint64
	command []byte
	epoch   uint64 // in which it was sent to the head; zero: it surely is not on its way
	sentAt  time.Duration
}

type inboundMessage struct {
	from    view.Member
	message any
}

type deferredMessage struct {
	batch   uint64
	message outboundMessage
}

type writeOffset struct {
	batch  uint64
	offset chain.Mark
}

// newNode makes a node from what is on its disk, nil if nothing is; then the first output has a write, and the node is silent until
// that is on disk.
func newNode(now time.Duration, config nodeConfig, snapshot []byte, records [][]byte) (*node, error) {
	n := &node{
		config: config, started: now, lastTick: now, suspectFrom: now + failureTimeout, changePendingSince: -1, quorum: quorumWatch{unavailableSince: -1},
		peers: make(map[string]*peer), pending: make(map[uint64]*command), leaderlessSince: now,
		origin: config.Random() | 1, heartbeatDue: now,
	}
	n.self = view.Member{Address: config.Address, Zone: config.Zone, Storage: config.Storage}
	if !config.Disk {
		n.chain = chain.New(0, chain.State{}, config.Machine)
		n.voter = lease.NewVoter(now, config.Terms, lease.Past{Unknown: true})
		n.holder = lease.NewHolder(config.Terms, n.origin)
		n.storeBootstrap = newStoreBootstrap(&config)
		return n, nil
	}
	kept, err := n.load(snapshot, records)
	if err != nil {
		return nil, err
	}
	n.self.ID, n.bootstrapMembers, n.view, n.vote = kept.ID, kept.BootstrapMembers, kept.View, kept.Vote
	n.chain = chain.New(n.self.ID, kept.Chain, config.Machine)
	if config.mutations.appliesAll {
		n.chain.Unbounded()
	}
	if config.mutations.learnsDetached {
		n.chain.Eager()
	}
	if config.mutations.forgetsGrant {
		kept.Lease = lease.Past{}
	}
	n.voter = lease.NewVoter(now, config.Terms, kept.Lease)
	n.holder = lease.NewHolder(config.Terms, n.origin)
	if n.view.Epoch > 0 {
		n.follow(now, true)
	}
	if snapshot == nil {
		n.snapshotDue, n.uninitialized = true, true
	}
	if config.DiskFault != "" {
		n.grantBatch = n.lastBatch + 1
		n.degrade(now, config.DiskFault)
		n.degradation.retryAt = now + diskRetryInterval
	}
	n.finish(now)
	return n, nil
}

// ready says whether the node's identity is on disk, so that it may speak.
func (n *node) ready() bool { return !n.uninitialized }

// Take returns what is to be done.
func (n *node) Take() output {
	out := n.output
	n.output = output{}
	return out
}

// finish ends each step: it delivers what the node sent to itself, and gives the changes to the disk.
func (n *node) finish(now time.Duration) {
	n.drain(now)
	for len(n.inbox) > 0 {
		message := n.inbox[0]
		n.inbox = n.inbox[1:]
		n.dispatch(now, message.from, message.message)
		n.drain(now)
	}
	n.flush(now)
}

// drain turns the chain's actions into the node's.
func (n *node) drain(now time.Duration) {
	for {
		actions := n.chain.Take()
		if actions.Install == nil && len(actions.Writes)+len(actions.Commits)+len(actions.Sends) == 0 {
			return
		}
		if actions.Install != nil {
			n.install(actions.Install)
		}
		for i := range actions.Writes {
			n.appendRecord(&record{Write: &actions.Writes[i]})
		}
		for i := range actions.Commits {
			n.apply(now, &actions.Commits[i])
		}
		for _, send := range actions.Sends {
			n.send(send.To, send.Message.(msgp.Marshaler))
		}
	}
}

func (n *node) install(fill *chain.Fill) {
	if n.config.mutations.keepsStaleState {
		n.snapshotDue, n.pendingRecords = true, nil
		return
	}
	if err := n.config.Machine.Restore(fill.Snapshot); err != nil {
		panic(fmt.Sprintf("core: snapshot of another member: %v", err)) // its state can't be trusted any more
	}
	n.snapshotDue, n.pendingRecords = true, nil
	n.output.Applied = true
	for _, pending := range n.pending {
		if pending.epoch != 0 {
			n.end(pending, nil, ErrUnknown)
		}
	}
}

func (n *node) apply(now time.Duration, entry *chain.Entry) {
	for _, pending := range n.pending {
		if pending.epoch != 0 && pending.epoch < entry.Epoch {
			pending.epoch = 0 // what was ordered in that epoch has been applied, and this was not in it
		}
	}
	if entry.Origin == 0 {
		return
	}
	result := n.config.Machine.Apply(entry.Command)
	n.output.Applied = true
	if entry.Origin != n.origin {
		return
	}
	if pending := n.pending[entry.Number]; pending != nil {
		n.end(pending, result, nil)
	}
}

func (n *node) end(pending *command, result []byte, err error) {
	delete(n.pending, pending.number)
	n.output.Completions = append(n.output.Completions, completion{Number: pending.number, Result: result, Err: err})
}

// follow makes the chain follow the node's view.
func (n *node) follow(now time.Duration, restarted bool) {
	n.chain.Adopt(now, &n.view, n.config.Durability.Met(&n.view), restarted)
	n.cannotOrder = restarted && n.chain.Position() == 0
	if n.vote.Sealed(n.view.Epoch) {
		n.chain.Seal()
	}
	n.proposer, n.changePendingSince = nil, -1
}

// adopt moves to a view that is decided.
func (n *node) adopt(now time.Duration, next *view.View) {
	if next.Epoch <= n.view.Epoch {
		return
	}
	n.output.ChainChanges = append(n.output.ChainChanges, n.chainChange(now, next))
	n.voter.Adopt(now, &n.view, next)
	n.view = *next
	n.appendRecord(&record{View: next})
	n.follow(now, false)
	n.drain(now)
	if n.chain.Position() < 0 && n.holder.Valid(now) {
		n.dropLease(lossChain)
	}
	n.heartbeatDue = now
}

// Tick does what is due, and returns when to call it again at the latest.
func (n *node) Tick(now time.Duration) time.Duration {
	if now-n.lastTick > pauseThreshold {
		n.suspectFrom = now + failureTimeout
		n.writingSince = now // the process stood still, not the disk
	}
	n.lastTick = now
	n.checkDiskStall(now)
	switch {
	case n.degradation.fault != "":
		n.tickDegraded(now)
	case n.ready():
		n.tickMember(now)
	}
	n.finish(now)
	return n.next(now)
}

func (n *node) tickMember(now time.Duration) {
	n.updateResponsiveness(now)
	if now >= n.heartbeatDue {
		n.sendHeartbeats(now)
	}
	if !n.config.Disk {
		n.bootstrapOnStores(now)
		return
	}
	n.bootstrap(now)
	n.watchQuorum(now)
	if n.logRecords > n.config.MaxLogRecords && n.chain.Unapplied() == 0 && !n.writing() {
		n.snapshotDue = true // what was long is applied: the next start need not do it again
	}
	n.chain.Tick(now)
	n.checkViewChange(now)
	n.checkLease(now)
	n.submitAll(now)
}

// next is when something is due: often while something is under way, else with the next beat.
func (n *node) next(now time.Duration) time.Duration {
	const brisk = 20 * time.Millisecond
	if n.chain.Behind() && n.degradation.fault == "" {
		return now + time.Millisecond
	}
	at := max(n.heartbeatDue, now+brisk)
	if n.degradation.fault != "" {
		if !n.writing() {
			at = min(at, max(n.degradation.retryAt, now+brisk))
		}
		return at
	}
	busy := n.proposer != nil || n.changePendingSince >= 0 || n.wantsLease(now) || n.chain.Position() >= 0 && !n.chain.Attached()
	if busy {
		return now + brisk
	}
	if n.holder.Valid(now) {
		requestedAt, granted := n.holder.Asked()
		wait := leaseRetryInterval
		if granted {
			wait = n.config.Terms.Renew
		}
		at = min(at, max(requestedAt+wait, now+brisk))
	}
	return at
}
