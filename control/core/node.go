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
	beatEvery           = 200 * time.Millisecond
	silentAfter         = 700 * time.Millisecond // then a member counts as down
	joinAfter           = 300 * time.Millisecond // so long a member is heard of before it is taken in
	settleAfter         = 300 * time.Millisecond // after a start, so long is waited for others before the chain is changed
	startWithin         = 500 * time.Millisecond // after a start, so long others may not have started yet
	rankPause           = 150 * time.Millisecond // by which each further proposer waits longer
	leaderPause         = 400 * time.Millisecond // by which each further candidate waits longer
	heirPause           = 400 * time.Millisecond // after a start, so long the lease is left to whoever held it last
	askAgain            = 250 * time.Millisecond // between rounds of a candidate
	proposeAgain        = 200 * time.Millisecond // after which a command that was sent to the head is sent again
	stuckAfter          = time.Second            // a member whose disk takes longer steps aside
	diskRetry           = 500 * time.Millisecond // between attempts at a disk that fails
	absentGap           = 400 * time.Millisecond // a member that was not run for so long judges nobody at first
	forgetAfter         = 10 * time.Second       // a stranger that is silent for longer is forgotten
	forgetDisklessAfter = 10 * time.Minute       // the same of a process without a disk, where stores are the core
	leastLog            = 64 << 10               // of nodeConfig.LeastLog
	mostRecords         = 64                     // of nodeConfig.MostRecords: each may take some 10 ms to apply again
	mostLog             = 8 << 20                // bytes of log after which a snapshot is taken, however large that is
)

// nodeConfig is what a node must know from the start.
type nodeConfig struct {
	Address    string
	Zone       string
	Seeds      []string // rpc addresses
	Bootstrap  bool
	Disk       bool
	Candidate  bool
	Storage    bool // the disk is a store's
	Durability view.Durability
	DownAfter  time.Duration // a voter that is silent for longer may lose its vote
	GoneAfter  time.Duration // a learner that is silent for longer is forgotten
	Terms      lease.Timing
	LeastLog   int // bytes of log before a snapshot is taken
	// MostRecords are in the log before a snapshot is taken, however short they are: a member that starts applies them again, and until
	// then neither answers nor leads.
	MostRecords int
	Machine     Machine
	Random      func() uint64
	DiskFault   string // what is read can't be synced, and why; empty: it is lasting
	faults      faults
}

// faults are mistakes that tests make on purpose, to see that they would be caught.
type faults struct {
	amnesiac   bool // a seed without a disk votes on the founding in each of its lives
	minority   bool // a view is decided by a single voter
	unsyncedOK bool // what waits for the disk does not
	forgetful  bool // a voter that starts takes it that it granted nothing
	alone      bool // a member commits what it alone has on its disk
	unbounded  bool // a member that is behind applies all at once
	eager      bool // a member that is not attached learns what is committed, and so answers
	staleImage bool // another member's image moves the log's place and not the machine's state
	staying    bool // a node that is told to stop keeps its vote
	voting     bool // a newcomer gets a vote at once
	hollow     bool // a newcomer counts as whole before it is filled
}

// post is a message to send. Its type tells the method.
type post struct {
	To      string
	Message msgp.Marshaler
}

// diskWrite is a change on disk: records to append, or a whole new image. The node hears OnDisk with its batch when it is lasting.
type diskWrite struct {
	Batch   uint64
	Records [][]byte
	Image   []byte
}

// ended is the end of a command submitted here.
type ended struct {
	Number uint64
	Result []byte
	Err    error
}

// output is what a node wants done, in any order but that of the writes.
type output struct {
	Writes  []diskWrite
	Posts   []post
	Ended   []ended
	Changes []change
	Disk    []diskChange
	Quorum  []quorumChange
	Applied bool
}

// node is a member of the core without clock, sockets or disk: each method takes the steady time and returns what is to be done.
type node struct {
	config  nodeConfig
	self    view.Member
	founder []string
	origin  uint64 // of commands submitted in this life
	started time.Duration
	grace   time.Duration // until then nobody is judged silent
	ticked  time.Duration

	view  view.View
	vote  view.Vote
	chain *chain.Chain
	voter *lease.Voter
	idle  bool // the head, but started in this epoch

	founding    *founding     // by seeds without a disk, in the first life of the system; nil: not here
	departing   bool          // it asks to be no voter any more
	leaveAt     time.Duration // since when
	abstainTill time.Duration // until then it does not seek the leader lease

	unborn  bool // its identity is not on disk yet
	leaving bool // it has been told to stop

	peers    map[string]*peer // by address
	beatAt   time.Duration
	missing  []view.ID
	proposer *view.Proposer
	round    uint64
	wanted   time.Duration // since when another view is wanted, negative if none is
	retryAt  time.Duration
	quorum   quorumWatch

	holder     *lease.Holder
	askAt      time.Duration
	leader     string
	leaderTill time.Duration
	leaderLost time.Duration
	lostFor    string // why the lease was given back, empty if it was not
	pastBatch  uint64 // the write that holds whom the voter granted last

	pending map[uint64]*command
	number  uint64

	out       output
	inbox     []letter // from itself
	held      []heldPost
	marks     []batchMark
	batch     uint64 // newest given to the disk
	lasting   uint64 // newest known to be on disk
	records   [][]byte
	whole     bool // the next write is the whole image
	logBytes  int
	logged    int           // records since the snapshot
	stateSize int           // of the machine's newest snapshot
	busySince time.Duration // since when a write is under way
	aside     aside
}

type peer struct {
	member       view.Member
	beat         beat
	heard        time.Duration
	well         time.Duration // heard last while it was not aside
	since        time.Duration // heard without a pause since
	refused      bool
	contacted    bool // was heard at least once
	leaving      bool // it wishes to be no voter any more
	leavingSince time.Duration
	abstainTill  time.Duration // until then it does not seek the leader lease
}

type command struct {
	number  uint64
	command []byte
	epoch   uint64 // in which it was sent to the head; zero: it surely is not on its way
	sentAt  time.Duration
}

type letter struct {
	from    view.Member
	message any
}

type heldPost struct {
	batch uint64
	post  post
}

type batchMark struct {
	batch uint64
	mark  chain.LogOffset
}

// newNode makes a node from what is on its disk, nil if nothing is; then the first output has a write, and the node is silent until
// that is on disk.
func newNode(now time.Duration, config nodeConfig, snapshot []byte, records [][]byte) (*node, error) {
	n := &node{
		config: config, started: now, ticked: now, grace: now + silentAfter, wanted: -1, quorum: quorumWatch{lostAt: -1},
		peers: make(map[string]*peer), pending: make(map[uint64]*command), leaderLost: now,
		origin: config.Random() | 1, beatAt: now,
	}
	n.self = view.Member{Address: config.Address, Zone: config.Zone, Storage: config.Storage}
	if !config.Disk {
		n.chain = chain.New(0, chain.State{}, config.Machine)
		n.voter = lease.NewVoter(now, config.Terms, lease.PreviousGrant{Unknown: true})
		n.holder = lease.NewHolder(config.Terms, n.origin)
		n.founding = newFounding(&config)
		return n, nil
	}
	kept, err := n.load(snapshot, records)
	if err != nil {
		return nil, err
	}
	n.self.ID, n.founder, n.view, n.vote = kept.ID, kept.Founders, kept.View, kept.Vote
	n.chain = chain.New(n.self.ID, kept.Chain, config.Machine)
	if config.faults.unbounded {
		n.chain.MutateUnboundedApply()
	}
	if config.faults.eager {
		n.chain.MutateEarlyCommit()
	}
	if config.faults.forgetful {
		kept.Lease = lease.PreviousGrant{}
	}
	n.voter = lease.NewVoter(now, config.Terms, kept.Lease)
	n.holder = lease.NewHolder(config.Terms, n.origin)
	if n.view.Epoch > 0 {
		n.follow(now, true)
	}
	if snapshot == nil {
		n.whole, n.unborn = true, true
	}
	if config.DiskFault != "" {
		n.pastBatch = n.batch + 1
		n.stepAside(now, config.DiskFault)
		n.aside.tryAt = now + diskRetry
	}
	n.finish(now)
	return n, nil
}

// ready says whether the node's identity is on disk, so that it may speak.
func (n *node) ready() bool { return !n.unborn }

// Take returns what is to be done.
func (n *node) Take() output {
	out := n.out
	n.out = output{}
	return out
}

// finish ends each step: it delivers what the node sent to itself, and gives the changes to the disk.
func (n *node) finish(now time.Duration) {
	n.drain()
	for len(n.inbox) > 0 {
		letter := n.inbox[0]
		n.inbox = n.inbox[1:]
		n.dispatch(now, letter.from, letter.message)
		n.drain()
	}
	n.flush(now)
}

// drain turns the chain's actions into the node's.
func (n *node) drain() {
	for {
		actions := n.chain.Take()
		if actions.Install == nil && len(actions.Writes)+len(actions.Commits)+len(actions.Sends) == 0 {
			return
		}
		if actions.Install != nil {
			n.install(actions.Install)
		}
		for i := range actions.Writes {
			n.log(&record{Write: &actions.Writes[i]})
		}
		for i := range actions.Commits {
			n.apply(&actions.Commits[i])
		}
		for _, send := range actions.Sends {
			n.send(send.To, send.Message.(msgp.Marshaler))
		}
	}
}

func (n *node) install(fill *chain.Fill) {
	if n.config.faults.staleImage {
		n.whole, n.records = true, nil
		return
	}
	if err := n.config.Machine.Restore(fill.Snapshot); err != nil {
		panic(fmt.Sprintf("core: snapshot of another member: %v", err)) // its state can't be trusted any more
	}
	n.whole, n.records = true, nil
	n.out.Applied = true
	for _, pending := range n.pending {
		if pending.epoch != 0 {
			n.end(pending, nil, ErrUnknown)
		}
	}
}

func (n *node) apply(entry *chain.Entry) {
	for _, pending := range n.pending {
		if pending.epoch != 0 && pending.epoch < entry.Epoch {
			pending.epoch = 0 // what was ordered in that epoch has been applied, and this was not in it
		}
	}
	if entry.Origin == 0 {
		return
	}
	result := n.config.Machine.Apply(entry.Command)
	n.out.Applied = true
	if entry.Origin != n.origin {
		return
	}
	if pending := n.pending[entry.Number]; pending != nil {
		n.end(pending, result, nil)
	}
}

func (n *node) end(pending *command, result []byte, err error) {
	delete(n.pending, pending.number)
	n.out.Ended = append(n.out.Ended, ended{Number: pending.number, Result: result, Err: err})
}

// follow makes the chain follow the node's view.
func (n *node) follow(now time.Duration, restarted bool) {
	n.chain.Adopt(now, &n.view, n.config.Durability.Met(&n.view), restarted)
	n.idle = restarted && n.chain.Position() == 0
	if n.vote.Sealed(n.view.Epoch) {
		n.chain.Seal()
	}
	n.proposer, n.wanted = nil, -1
}

// adopt moves to a view that is decided.
func (n *node) adopt(now time.Duration, next *view.View) {
	if next.Epoch <= n.view.Epoch {
		return
	}
	n.out.Changes = append(n.out.Changes, n.change(now, next))
	n.voter.Adopt(now, &n.view, next)
	n.view = *next
	n.log(&record{View: next})
	n.follow(now, false)
	n.drain()
	if n.chain.Position() < 0 && n.holder.Valid(now) {
		n.drop(lossChain)
	}
	n.beatAt = now
}

// Tick does what is due, and returns when to call it again at the latest.
func (n *node) Tick(now time.Duration) time.Duration {
	if now-n.ticked > absentGap {
		n.grace = now + silentAfter
		n.busySince = now // the process stood still, not the disk
	}
	n.ticked = now
	n.watchDisk(now)
	switch {
	case n.aside.from != "":
		n.workAside(now)
	case n.ready():
		n.work(now)
	}
	n.finish(now)
	return n.next(now)
}

func (n *node) work(now time.Duration) {
	n.watch(now)
	if now >= n.beatAt {
		n.sendBeats(now)
	}
	if !n.config.Disk {
		n.foundOnStores(now)
		return
	}
	n.found(now)
	n.watchQuorum(now)
	if n.logged > n.config.MostRecords && n.chain.Unapplied() == 0 && !n.writing() {
		n.whole = true // what was long is applied: the next start need not do it again
	}
	n.chain.Tick(now)
	n.seekView(now)
	n.seekLease(now)
	n.submitAll(now)
}

// next is when something is due: often while something is under way, else with the next beat.
func (n *node) next(now time.Duration) time.Duration {
	const brisk = 20 * time.Millisecond
	if n.chain.HasUnapplied() && n.aside.from == "" {
		return now + time.Millisecond
	}
	at := max(n.beatAt, now+brisk)
	if n.aside.from != "" {
		if !n.writing() {
			at = min(at, max(n.aside.tryAt, now+brisk))
		}
		return at
	}
	busy := n.proposer != nil || n.wanted >= 0 || n.seeking(now) || n.chain.Position() >= 0 && !n.chain.Attached()
	if busy {
		return now + brisk
	}
	if n.holder.Valid(now) {
		asked, granted := n.holder.LastRequest()
		wait := askAgain
		if granted {
			wait = n.config.Terms.RenewInterval
		}
		at = min(at, max(asked+wait, now+brisk))
	}
	return at
}
