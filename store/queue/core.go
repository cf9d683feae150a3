package queue

import (
	"log/slog"
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
	Notify(method wire.Method, message msgp.Marshaler) error
}

// Replier answers one request.
type Replier interface {
	Send(message msgp.Marshaler)
	Fail(err error)
}

// Journal is the store's disk.
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

// Config of a Core. Durations of zero stand for the defaults.
type Config struct {
	Disk          string // own identity
	Zone          string
	Copies        int           // disks that hold a message before it is accepted, at least
	Remember      time.Duration // how long ended messages are known
	DiskBytes     int64         // of the journal at most
	MaxMessages   int           // in memory at most
	ClaimWindow   time.Duration // after a takeover nothing is handed out so long
	RestartWindow time.Duration // the same after a restart
	EdgeGrace     time.Duration // an edge that has gone has so long to come back
	ClockSlack    time.Duration // by which the time of day may be wrong: messages are held so much longer after a restart
	Log           *slog.Logger
}

// Defaults of Config, and other figures.
const (
	DefaultClaimWindow   = 400 * time.Millisecond
	DefaultRestartWindow = 800 * time.Millisecond
	DefaultEdgeGrace     = 400 * time.Millisecond
	DefaultClockSlack    = 15 * time.Second

	maintenanceEvery = 2 * time.Second
	scrubEvery       = 4 * time.Second
	remindEvery      = 4 * time.Second // longer than an edge waits for the answer to a put
	maxHandedOver    = 64              // messages that an edge was given whole and that have not ended
	otherZone        = 8               // handed-over messages that an edge of the own zone may have more than others
	releasedFor      = 20 * time.Second
	fillBytes        = 32 << 10 // of one batch that fills a member
	fetchCount       = 256      // names in one Fetch
	rewriteBytes     = 512 << 10
	scrubRound       = 4 // scrubs in which each partition is compared once
	// A primary hands out messages only if all members took something from it so recently: one that was frozen, and replaced
	// meanwhile, finds out first.
	confirmedFor = 300 * time.Millisecond
	// A disk that has taken nothing for so long is stalled.
	stalledAfter = 500 * time.Millisecond
	refuseAbove  = 85 // percent of the disk: new messages are refused
	rewriteAbove = 50 // percent of the disk: old segments are rewritten
)

func (c Config) withDefaults() Config {
	if c.ClaimWindow <= 0 {
		c.ClaimWindow = DefaultClaimWindow
	}
	if c.RestartWindow <= 0 {
		c.RestartWindow = DefaultRestartWindow
	}
	if c.EdgeGrace <= 0 {
		c.EdgeGrace = DefaultEdgeGrace
	}
	if c.ClockSlack <= 0 {
		c.ClockSlack = DefaultClockSlack
	}
	if c.Log == nil {
		c.Log = slog.Default()
	}
	return c
}

// Core is one store's part of the queue. It is used by one goroutine at a time.
type Core struct {
	config  Config
	journal Journal
	host    Host
	now     Time

	view       *wire.StoreView
	fence      uint64        // newest epoch seen: what is older is refused
	sequence   uint64        // newest given or seen
	durable    uint64        // position up to which the journal is on disk
	waiting    time.Duration // since when what was appended waits for the disk; never: nothing does
	stalled    bool          // as it was told last
	started    bool          // the first view since the start has come
	partitions []*partition
	peers      map[string]*peer // by disk
	peerList   []*peer
	byRemote   map[Remote]*peer
	dirty      []*peer // with records that wait to be sent
	edges      map[string]*edge
	edgeOf     map[Remote]*edge
	edgeList   []*edge
	listed     []string // edges that the control plane names
	orphans    orphanHeap
	local      []localWait // changes that wait for the own disk
	acks       []ackWait   // what is acknowledged once it is on the own disk
	reminders  []reminder  // by time
	reminding  map[*entry]bool
	segments   map[uint32]int
	messages   int
	round      uint64
	wake       time.Duration
	nextWork   time.Duration
	nextScrub  time.Duration
	scrubbed   int
	epochAt    uint32 // segment that holds the newest epoch
}

// New returns a core that knows nothing. Recover fills it from the journal.
func New(config Config, host Host) *Core {
	return &Core{
		config: config.withDefaults(), host: host, peers: make(map[string]*peer), byRemote: make(map[Remote]*peer),
		edges: make(map[string]*edge), edgeOf: make(map[Remote]*edge), segments: make(map[uint32]int),
		reminding: make(map[*entry]bool), wake: never, waiting: never,
		nextWork: maintenanceEvery, nextScrub: scrubEvery,
	}
}

const never = time.Duration(1<<63 - 1)

// Start gives the core its journal, once all of it has gone through Recover.
func (c *Core) Start(now Time, j Journal) {
	c.now = now
	c.journal = j
	c.durable = j.Position()
	c.wakeAt(c.nextWork)
}

// partition is one partition as the store knows it.
type partition struct {
	table
	number    uint16
	primary   bool
	replica   bool
	joining   bool
	since     time.Duration // from when the store has been primary
	window    time.Duration // nothing is handed out so long after
	ready     bool          // of a primary: it may hand out
	members   []*peer       // all others that hold it or are being filled
	unmerged  []*peer       // replicas that may still know more than the new primary
	absent    bool          // of a primary that is unsure: former members that may know more are away
	fillers   []*peer       // joining members
	syncs     []*filling
	ops       []*op
	released  time.Duration // when what is left of it is forgotten; zero: it is held
	filledFor uint64        // epoch for which the primary said that this store has it whole
	confirmed time.Duration // when the newest change or barrier began that all members have taken
	barrier   *op           // under way
	parked    []orphanEntry // wait for the barrier
}

// at returns a partition, made if need be.
func (c *Core) at(number uint16) *partition {
	for int(number) >= len(c.partitions) {
		c.partitions = append(c.partitions, nil)
	}
	if c.partitions[number] == nil {
		c.partitions[number] = &partition{table: newTable(), number: number}
	}
	return c.partitions[number]
}

// known returns a partition, nil if there is none of the number.
func (c *Core) known(number uint16) *partition {
	if int(number) >= len(c.partitions) {
		return nil
	}
	return c.partitions[number]
}

func (c *Core) epoch() uint64 {
	if c.view == nil {
		return 0
	}
	return c.view.Epoch
}

func (c *Core) nextSequence() uint64 {
	c.sequence = max(c.sequence+1, c.epoch()<<32)
	return c.sequence
}

func (c *Core) wakeAt(steady time.Duration) {
	if steady < c.wake {
		c.wake = steady
		c.host.WakeAt(steady)
	}
}

func (c *Core) millis() uint32 { return uint32(c.now.Steady / time.Millisecond) }

// finish sends what the event has produced.
func (c *Core) finish() {
	for _, p := range c.dirty {
		p.flush(c.epoch())
	}
	c.dirty = c.dirty[:0]
}

// Status is what the control plane is told.
func (c *Core) Status() wire.StoreStatus {
	status := wire.StoreStatus{Epoch: c.epoch(), Messages: uint64(c.messages), Stalled: c.stalled}
	for _, p := range c.partitions {
		if p == nil {
			continue
		}
		status.Pending += uint64(p.pending)
		if p.joining && p.filledFor == status.Epoch && status.Epoch > 0 {
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

// Tick does what is due. NextWake is asked for through Host.WakeAt.
func (c *Core) Tick(now Time) {
	c.now = now
	c.wake = never
	c.watchDisk()
	c.dropEdges()
	c.openAll()
	c.remind()
	c.handOver()
	c.maintain()
	c.finish()
	c.wakeAt(c.nextWake())
}

// nextWake is when Tick has something to do.
func (c *Core) nextWake() time.Duration {
	next := min(c.nextWork, c.nextScrub)
	if c.waiting != never && !c.stalled {
		next = min(next, c.waiting+stalledAfter)
	}
	for _, p := range c.partitions {
		if p != nil && p.primary && !p.ready && !p.untold() {
			next = min(next, p.since+p.window)
		}
	}
	if len(c.reminders) > 0 {
		next = min(next, c.reminders[0].at)
	}
	for _, e := range c.edgeList {
		if e.stale {
			next = min(next, e.since+c.config.EdgeGrace)
		}
	}
	if len(c.orphans) > 0 {
		due := time.Duration(c.orphans[0].due) * time.Millisecond
		if due > c.now.Steady { // else they wait for an edge
			next = min(next, due)
		}
	}
	return next
}
