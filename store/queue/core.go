package queue

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// Time is the time of an event by two clocks.
type Time struct {
	Steady time.Duration // monotonic time since the start of the process
	UnixMs int64         // time of day in milliseconds; may jump
}

// Replier answers one request. Exactly one of its methods is called, once.
type Replier interface {
	Send(message msgp.Marshaler)
	Fail(err error)
}

// Journal is the store's write-ahead log; package journal implements it. A position is the number of bytes appended
// since the journal was opened, so positions from before and after a reopening can't be compared.
type Journal interface {
	Append(payload []byte) (at journal.Location, position uint64)
	Position() uint64
	Read(at journal.Location) ([]byte, error)
	Remove(segment uint32)
	Segments() (oldest, newest uint32)
	Used() int64
}

// Host is the process around the core.
type Host interface {
	WakeAt(steady time.Duration) // requests a call of Tick at this time of the steady clock
	StatusChanged()              // reports that Status has changed in a way that the control plane waits for
	Fail(err error)              // reports a disk error after which the store can't continue
}

// Core is one store's part of the queue. It handles events, each with its time, and isn't safe for concurrent use.
type Core struct {
	config Config
	host   Host
	now    Time // time of the event that is being handled

	view         *wire.StoreView // the current placement; nil until the first SetView
	viewSeen     bool            // the first view since the start has been applied
	newestEpoch  uint64          // the newest epoch seen, a fencing token: requests of older epochs are refused
	sequence     uint64          // the newest sequence number issued or seen
	lastID       uint64          // last number issued to a comparison or an assignment
	messageCount int

	disk       diskState
	peers      peerSet
	primaries  primaryConns
	edges      edgeSet
	partitions []*partition // by number; nil if this store has no state of the partition
	unowned    unownedHeap
	// Unowned messages that no edge may be assigned, as they were accepted under a newer configuration than any edge has.
	awaitingConfig []unownedMessage
	regrants       regrantQueue
	schedule       schedule
	mutations      mutations
}

// mutations are deliberate faults. Only tests set them, to show that the checks detect them.
type mutations struct {
	assignsToOutdatedEdges bool // an edge is assigned messages that were accepted under a newer configuration than it has
	dropsForAnyReport      bool // a message is dropped whatever configuration the reporting edge had
	ignoresAcceptOrder     bool // of several connections of a peer, the one whose message is handled last counts as the newest
	trustsEdgeList         bool // a new primary takes the list of edges for complete, however old it is
}

// New returns an empty core. Recover fills it from the journal.
func New(config Config, host Host) *Core {
	return &Core{
		config: config.withDefaults(), host: host, disk: newDiskState(), peers: newPeerSet(), primaries: newPrimaryConns(), edges: newEdgeSet(),
		regrants: newRegrantQueue(), schedule: newSchedule(),
	}
}

// never is a point of the steady clock that is never reached: no deadline is set.
const never = time.Duration(1<<63 - 1)

// Start sets the journal, after all of its records have been passed to Recover. The core appends to it from then on.
func (c *Core) Start(now Time, j Journal) {
	c.now = now
	c.disk.open(j)
	c.wakeAt(c.schedule.maintenance)
}

// epoch returns the epoch of the current placement, zero if there is none yet.
func (c *Core) epoch() uint64 {
	if c.view == nil {
		return 0
	}
	return c.view.Epoch
}

// nextSequence returns a new sequence number. It is larger than all earlier ones, including those issued by any store
// under an older epoch.
func (c *Core) nextSequence() uint64 {
	c.sequence = max(c.sequence+1, c.epoch()<<32)
	return c.sequence
}

// wakeAt makes sure that Tick is called at the given time or earlier.
func (c *Core) wakeAt(steady time.Duration) {
	if steady < c.schedule.wakeup {
		c.schedule.wakeup = steady
		c.host.WakeAt(steady)
	}
}

func (c *Core) millis() uint32 { return uint32(c.now.Steady / time.Millisecond) }

func (c *Core) seconds() uint32 { return uint32(c.now.Steady / time.Second) }

// flushPeers sends the records that the event has queued for other stores.
func (c *Core) flushPeers() { c.peers.flush(c.epoch()) }

// Status returns the store's report to the control plane.
func (c *Core) Status() wire.StoreStatus {
	status := wire.StoreStatus{Epoch: c.epoch(), Messages: uint64(c.messageCount), Stalled: c.disk.stalled}
	for _, p := range c.partitions {
		if p == nil {
			continue
		}
		status.Pending += uint64(p.pending)
		if p.joining && p.filledEpoch == status.Epoch && status.Epoch > 0 {
			status.Synced = append(status.Synced, p.number)
		}
	}
	return status
}

// Primary reports whether the store is the primary of any partition.
func (c *Core) Primary() bool {
	for _, p := range c.partitions {
		if p != nil && p.primary {
			return true
		}
	}
	return false
}

// Tick does all work that is due, and requests the next call through Host.WakeAt.
func (c *Core) Tick(now Time) {
	c.now = now
	c.schedule.wakeup = never
	c.checkStall()
	c.expireEdges()
	c.openPartitions()
	c.regrantDue()
	c.assignDue()
	c.maintain()
	c.flushPeers()
	c.wakeAt(c.nextWake())
}

// nextWake returns the next time at which Tick has work to do.
func (c *Core) nextWake() time.Duration {
	next := min(c.schedule.maintenance, c.schedule.scrub, c.disk.stallDue(), c.regrants.due(), c.edges.claimsDue(c.config.ReconnectTimeout))
	for _, p := range c.partitions {
		if p != nil && p.primary && !p.ready && !p.isMergePending() {
			next = min(next, p.primarySince+p.claimWindow)
		}
	}
	if len(c.unowned) > 0 {
		due := time.Duration(c.unowned[0].due) * time.Millisecond
		if due > c.now.Steady { // messages that are already due wait for an edge, not for a time
			next = min(next, due)
		}
	}
	return next
}
