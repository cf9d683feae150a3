package core

import (
	"time"

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
	Terms         lease.Timing
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
