package core

import (
	"time"

	"ravendale/control/lease"
	"ravendale/control/view"
)

// Timing of a member, and bounds of its log.
const (
	heartbeatInterval    = 200 * time.Millisecond
	failureTimeout       = 700 * time.Millisecond // without a heartbeat, after which a member is taken for failed
	joinDelay            = 300 * time.Millisecond // for which a process is heard without a gap before it joins the chain
	startupDelay         = 300 * time.Millisecond // after a start, before the chain is changed for members that have not been heard
	startupWindow        = 500 * time.Millisecond // after a start, in which others may not have started yet
	proposerStagger      = 150 * time.Millisecond // by which each further proposer waits longer
	candidateStagger     = 400 * time.Millisecond // by which each further candidate waits longer
	previousHolderWindow = 400 * time.Millisecond // after a start, in which the lease is left to the previous holder
	leaseRetryInterval   = 250 * time.Millisecond // between the election rounds of a candidate
	proposeRetryInterval = 200 * time.Millisecond // after which a command that was sent to the head is sent again
	diskStallTimeout     = time.Second            // a member whose disk takes longer to write is degraded
	diskRetryInterval    = 500 * time.Millisecond // between attempts at a disk that fails
	pauseThreshold       = 400 * time.Millisecond // a member that did not run for longer suspects nobody at first
	unknownPeerTimeout   = 10 * time.Second       // an unknown peer that does not respond for longer is forgotten
	disklessPeerTimeout  = 10 * time.Minute       // the same of a process without a disk, where stores are the members
	minLogBytes          = 64 << 10               // default of nodeConfig.MinLogBytes
	maxLogRecords        = 64                     // default of nodeConfig.MaxLogRecords: each may take some 10 ms to apply again
	maxLogBytes          = 8 << 20                // bytes of log after which a snapshot is taken, however large that is
)

// nodeConfig is what a node must know from the start.
type nodeConfig struct {
	Address       string   // rpc address of this process
	Zone          string   // failure domain of its machine
	Seeds         []string // rpc addresses
	Bootstrap     bool     // this may be the first incarnation of the system
	Disk          bool     // without one it is no member, and only forwards
	Candidate     bool     // it seeks the leader lease
	Storage       bool     // the disk is a store's
	Durability    view.Durability
	DownAfter     time.Duration // a voter that does not respond for longer may lose its vote
	LearnerExpiry time.Duration // a learner that does not respond for longer is removed
	Terms         lease.Timing
	MinLogBytes   int // bytes of log before a snapshot is taken
	// MaxLogRecords are in the log before a snapshot is taken, however short they are: a member that starts applies them again, and until
	// then neither answers nor leads.
	MaxLogRecords int
	Machine       Machine
	Random        func() uint64 // draws that no other process makes
	DiskFault     string        // why what was read could not be synced; empty: it is durable
	mutations     mutations
}

// mutations are mistakes that tests make on purpose, to see that they would be caught.
type mutations struct {
	seedForgetsVote bool // a seed without a disk votes on the bootstrap in each of its incarnations
	minorityDecides bool // a view is decided by a single voter
	skipsSync       bool // what waits for the disk does not
	forgetsGrant    bool // a voter that starts takes it that it granted nothing
	commitsAlone    bool // a member commits what it alone has on its disk
	appliesAll      bool // a member that is behind applies all at once
	learnsDetached  bool // a member that is not attached learns what is committed, and so answers
	keepsStaleState bool // another member's image moves the log's base and not the machine's state
	keepsVoteOnStop bool // a node that is stopping keeps its vote
	votesAtOnce     bool // a newcomer gets a vote at once
	countsUnfilled  bool // a newcomer counts as complete before it is filled
	sparesNobody    bool // a voter that wishes to leave is let go though the others can't spare it
}
