package core

import (
	"time"

	"ravendale/control/lease"
	"ravendale/control/view"
)

// Timing of a member, and limits of its log.
const (
	heartbeatInterval    = 200 * time.Millisecond
	failureTimeout       = 700 * time.Millisecond // a member is taken for failed when no heartbeat was received for longer
	joinDelay            = 300 * time.Millisecond // a process joins the chain after it was responsive for that long without a gap
	startupDelay         = 300 * time.Millisecond // after a start, in which members may send their first heartbeat before a head is replaced
	startupWindow        = 500 * time.Millisecond // after a start, in which other processes may not have started yet
	proposerStagger      = 150 * time.Millisecond // additional wait per proposer of higher rank
	candidateStagger     = 400 * time.Millisecond // additional wait per candidate of higher rank
	previousHolderWindow = 400 * time.Millisecond // after a start, in which only the previous holder requests the lease
	leaseRetryInterval   = 250 * time.Millisecond // between the election rounds of a candidate
	proposeRetryInterval = 200 * time.Millisecond // a command is sent to the head again when it has not completed for that long
	diskStallTimeout     = time.Second            // a member whose disk takes longer for a write is degraded
	diskRetryInterval    = 500 * time.Millisecond // between attempts to write to a disk that failed
	pauseThreshold       = 400 * time.Millisecond // a member that did not run for longer suspects nobody for failureTimeout
	unknownPeerTimeout   = 10 * time.Second       // an unknown peer that is unresponsive for longer is removed from the tracker
	disklessPeerTimeout  = 10 * time.Minute       // the same for a process without a disk, at members that are stores
	minLogBytes          = 64 << 10               // default of nodeConfig.MinLogBytes
	maxLogRecords        = 64                     // default of nodeConfig.MaxLogRecords: applying a record again may take some 10 ms
	maxLogBytes          = 8 << 20                // bytes of log after which a snapshot is taken, whatever the size of the state
)

// nodeConfig holds the parameters of a node.
type nodeConfig struct {
	Address       string   // rpc address of this process
	Zone          string   // failure domain of its machine
	Seeds         []string // rpc addresses
	Bootstrap     bool     // this may be the first incarnation of the system
	Disk          bool     // if false, the process is no member and only forwards commands
	Candidate     bool     // it requests the leader lease
	Storage       bool     // the disk belongs to a store
	Durability    view.Durability
	DownAfter     time.Duration // a voter that is unresponsive for longer may lose its vote
	LearnerExpiry time.Duration // a learner that is unresponsive for longer is removed
	Terms         lease.Timing
	MinLogBytes   int // bytes of log after which a snapshot is taken, unless the state is larger
	// MaxLogRecords is the number of records in the log after which a snapshot is taken, even if they are small: a
	// member that starts applies them again, and neither answers nor leads before it has done so.
	MaxLogRecords int
	Machine       Machine
	Random        func() uint64 // returns numbers that differ from those of any other process
	DiskFault     string        // why the files that were read could not be synced; empty if they are durable
	mutations     mutations
}

// mutations are faults that tests inject, to check that they would detect them.
type mutations struct {
	seedForgetsVote    bool // a seed without a disk votes on the bootstrap in each of its incarnations
	minorityDecides    bool // a single voter decides a view
	skipsSync          bool // messages do not wait for the writes that they depend on
	forgetsGrant       bool // a voter assumes after a start that it had granted no lease
	commitsAlone       bool // a member commits what is on its own disk only
	appliesAll         bool // a member that is behind applies all committed commands at once
	learnsDetached     bool // a member that is not attached learns which commands are committed, and so answers
	keepsStaleState    bool // another member's snapshot replaces the log's base, but not the machine's state
	keepsVoteOnStop    bool // a node that is stopping keeps its vote
	votesAtOnce        bool // a new member gets a vote at once
	countsUnfilled     bool // a new member counts as complete before it has received the missing log
	removesNeededVoter bool // a voter that asks to leave is removed even if the core still needs it
}
