package queue

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// Time is when an event happens.
type Time struct {
	Steady time.Duration // since the start of the process; never steps
	UnixMs int64         // time of day; may step
}

// Remote is a connection to an edge or another store.
type Remote interface {
	// Notify sends a notification. It fails if the connection is closed, which the core hears of by EdgeDown or PeerDown as well.
	Notify(method wire.Method, message msgp.Marshaler) error
}

// Replier answers one request, once: with a reply, or an error.
type Replier interface {
	Send(message msgp.Marshaler)
	Fail(err error)
}

// Journal is the store's write-ahead log; package journal has one. Positions are bytes appended since it was opened; they are not
// comparable between two openings.
type Journal interface {
	Append(payload []byte) (at journal.Location, position uint64)
	Position() uint64
	Read(at journal.Location) ([]byte, error)
	Remove(segment uint32)
	Segments() (oldest, newest uint32)
	Used() int64
}

// Host is what the core asks of its shell.
type Host interface {
	WakeAt(steady time.Duration) // call Tick then
	StatusChanged()              // Status has something that the control plane waits for
	Fail(err error)              // the disk can't be trusted
}

// Core is one store's part of the queue: a coordinator that gets events with their time, and shares them out to its parts. It is used by
// one goroutine at a time.
type Core struct {
	config Config
	host   Host
	now    Time // of the event that is being handled

	view         *wire.StoreView // the placement in force; nil before the first
	viewSeen     bool            // the first view since the start has been put into force
	newestEpoch  uint64          // the newest epoch seen: what is older is refused (a fencing token)
	sequence     uint64          // the newest sequence given or seen
	lastID       uint64          // of comparisons and assignments
	messageCount int

	disk       diskState
	peers      peerSet
	edges      edgeSet
	partitions []*partition // by number; nil where the store knows nothing
	unowned    unownedHeap
	regrants   regrantQueue
	schedule   schedule
}

// New returns a core that knows nothing. Recover fills it from the journal.
func New(config Config, host Host) *Core {
	return &Core{
		config: config.withDefaults(), host: host, disk: newDiskState(), peers: newPeerSet(), edges: newEdgeSet(),
		regrants: newRegrantQueue(), schedule: newSchedule(),
	}
}

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)

// Start has the core use its journal, once all records have gone through Recover.
func (c *Core) Start(now Time, j Journal) {
	c.now = now
	c.disk.open(j)
	c.wakeAt(c.schedule.maintenance)
}

// epoch is that of the placement in force; zero before the first.
func (c *Core) epoch() uint64 {
	if c.view == nil {
		return 0
	}
	return c.view.Epoch
}

// nextSequence grows, and is larger than any that was given under an older epoch.
func (c *Core) nextSequence() uint64 {
	c.sequence = max(c.sequence+1, c.epoch()<<32)
	return c.sequence
}

// wakeAt has Tick called at a time at the latest.
func (c *Core) wakeAt(steady time.Duration) {
	if steady < c.schedule.wakeup {
		c.schedule.wakeup = steady
		c.host.WakeAt(steady)
	}
}

func (c *Core) millis() uint32 { return uint32(c.now.Steady / time.Millisecond) }

func (c *Core) seconds() uint32 { return uint32(c.now.Steady / time.Second) }

// flushPeers sends what the event has produced.
func (c *Core) flushPeers() { c.peers.flush(c.epoch()) }

// Status is what the store reports to the control plane.
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

// Primary says whether the store is the primary of any partition.
func (c *Core) Primary() bool {
	for _, p := range c.partitions {
		if p != nil && p.primary {
			return true
		}
	}
	return false
}

// Tick does what is due. The next one is asked for through Host.WakeAt.
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

// nextWake is when Tick has something to do.
func (c *Core) nextWake() time.Duration {
	next := min(c.schedule.maintenance, c.schedule.scrub, c.disk.stallDue(), c.regrants.due(), c.edges.claimsDue(c.config.ReconnectTimeout))
	for _, p := range c.partitions {
		if p != nil && p.primary && !p.ready && !p.isMergePending() {
			next = min(next, p.primarySince+p.claimWindow)
		}
	}
	if len(c.unowned) > 0 {
		due := time.Duration(c.unowned[0].due) * time.Millisecond
		if due > c.now.Steady { // else they wait for an edge
			next = min(next, due)
		}
	}
	return next
}
