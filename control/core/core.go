// Package core is the replicated core of the control plane: it orders commands for a state machine so that none that was acknowledged
// is lost, and grants one process at a time the leader lease. The node does all thinking, without clock, sockets or disk; Core runs it.
package core

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/slots"
	"ravendale/control/view"
)

// Errors of Submit.
var (
	ErrUnavailable = errors.New("core: unavailable, the command was not and will not be applied")
	ErrUnknown     = errors.New("core: the command may or may not be applied")
	ErrTooLong     = errors.New("core: the command is too long, it was not and will not be applied")
)

// MaxCommand bounds a command, in bytes.
const MaxCommand = 5 << 20

// mostEntries bounds the commands in one message of the chain: those that waited when the last snapshot was taken, the log after it, and
// what came with its last write. A Fill with a snapshot has only those that wait.
const mostEntries = 2*(chain.MaxUncommitted+MaxCommand) + mostLog

const _ = uint(rpc.MaxFrame - mostEntries - 1<<20) // they fit a frame, with room for what is around them
// How long a voter may be silent.
const (
	downShare      = 0.7                     // of the time that a new machine has to catch up: by then the one that it replaces has no vote
	mostDownAfter  = 1500 * time.Millisecond // by then a lease that it held has ended, so that the next holder need not wait for the new voters
	leastGoneAfter = 10 * time.Second
)

// An orderly end waits for the others to go on without this process.
const (
	leaveWithin  = 1500 * time.Millisecond // at most
	leaveShare   = 0.25                    // and of the time that the process has for its end
	releasePause = 20 * time.Millisecond   // at least, in which word of the lease that is given back may leave
)

// Machine is the state that is kept alike at all members. Its methods are called one at a time, on goroutines of the core's, and must depend on
// nothing but what they are given; they must not call the Core.
type Machine interface {
	// Apply executes a committed command. The result goes to whoever submitted it.
	Apply(command []byte) (result []byte)
	// Snapshot is the whole state.
	Snapshot() []byte
	// Restore replaces the whole state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Config of a core process.
type Config struct {
	Settings *settings.Settings
	Machine  Machine
	Mux      *rpc.Mux // Open registers the core's handlers here: call rpc.Listen on settings.ControlAddress(settings.IP) after Open
	Log      *slog.Logger
	// Lead is called on a goroutine of its own when this process gets the leader lease, once an earlier call has returned. Its context
	// ends when the lease is lost, which may be noticed late: before each act it asks lease.Valid. Nil: the lease is never sought.
	Lead func(ctx context.Context, lease *Lease)
	// Storage says that the disk is that of a store, which serves as a member where too few control processes have a disk.
	Storage bool
	// Applied is called after commands were applied to the local machine, on the goroutine that did it: it must not wait. May be nil.
	Applied func()

	folder slots.Folder // in place of the data folder, for tests
}

// Status is what an operator may want to know of the core.
type Status struct {
	ID        view.ID // of this process's disk; zero if it has none
	Epoch     uint64
	Voters    []view.Member
	Learners  []view.Member
	Wanted    int // voters that bear the losses which the settings name
	Chain     []view.ID
	Attached  bool // this process follows the chain
	Durable   bool // the chain has enough disks to commit
	Last      uint64
	Committed uint64
	Leader    string // rpc address, empty if unknown
	DiskFault string // why this process stands aside, empty if it does not
}

// Core is this process's part of the core.
type Core struct {
	config  Config
	address string
	started time.Time

	mu      sync.Mutex
	node    *node
	running bool
	waiting map[uint64]chan ended
	timer   *time.Timer
	due     time.Duration // when the timer fires
	leading leading
	links   links

	store *slots.Store
	disk  diskQueue
}

// Open reads the disk and restores the machine. A process without a disk only forwards what is submitted.
func Open(config Config) (*Core, error) {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	c := &Core{
		config: config, address: config.Settings.ControlAddress(config.Settings.IP), started: time.Now(),
		waiting: make(map[uint64]chan ended), disk: diskQueue{wake: make(chan struct{}, 1)},
	}
	c.links.init(c)
	if err := c.load(); err != nil {
		return nil, err
	}
	c.register()
	return c, nil
}

func (c *Core) load() error {
	settings := c.config.Settings
	config := nodeConfig{
		Address: c.address, Zone: settings.Zone, Seeds: settings.SeedAddresses(), Bootstrap: settings.Bootstrap,
		Disk: settings.DataDir != "", Candidate: c.config.Lead != nil, Storage: c.config.Storage, Durability: DurabilityOf(settings),
		DownAfter: DownAfter(durationOf(settings.Bounds.CatchupS)), GoneAfter: GoneAfter(durationOf(settings.Bounds.CatchupS)), Terms: lease.DefaultTiming, LeastLog: leastLog, MostRecords: mostRecords,
		Machine: c.config.Machine, Random: c.random,
	}
	var snapshot []byte
	var records [][]byte
	var err error
	if config.Disk {
		c.store, snapshot, records, err = c.openSlots()
		if errors.Is(err, slots.ErrDamaged) {
			c.config.Log.Error("the core's disk is damaged: what is left is set aside, and this process joins anew", "folder", settings.DataDir, "error", err)
			config.Bootstrap = false
			c.store, snapshot, records, err = c.slotsAnew()
		}
		if err != nil {
			return fmt.Errorf("core: %w", err)
		}
		if err := c.store.Err(); err != nil {
			config.DiskFault = err.Error()
		}
	}
	c.node, err = newNode(c.now(), config, snapshot, records)
	if err != nil || !config.Disk {
		return err
	}
	c.config.Log.Info("the core's disk is read",
		"disk", c.node.self.ID, "empty", snapshot == nil, "bootstrap", config.Bootstrap,
		"epoch", c.node.view.Epoch, "voters", len(c.node.view.Voters), "votes", c.node.isVoter(c.node.self.ID))
	return nil
}

func (c *Core) openSlots() (*slots.Store, []byte, [][]byte, error) {
	if c.config.folder != nil {
		return slots.OpenFolder(c.config.folder)
	}
	return slots.Open(c.config.Settings.DataDir)
}

// folder is where the store is.
func (c *Core) folder() slots.Folder {
	if c.config.folder != nil {
		return c.config.folder
	}
	return slots.OSFolder(c.config.Settings.DataDir)
}

// slotsAnew sets a damaged disk's files aside.
func (c *Core) slotsAnew() (*slots.Store, []byte, [][]byte, error) {
	if err := slots.SetAside(c.folder()); err != nil {
		return nil, nil, nil, err
	}
	return c.openSlots()
}

// DurabilityOf is what the chain must have by the losses that the settings name.
func DurabilityOf(s *settings.Settings) view.Durability {
	return view.Durability{
		Copies: s.Copies(), ToleratedZones: s.LostZones, ToleratedRegions: s.LostRegions,
		RegionOf: func(zone string) string { return s.Zones[zone] },
	}
}

// DownAfter is when a silent voter may lose its vote to another: before its successor counts as reliable, or it would be missed in two
// places.
func DownAfter(catchup time.Duration) time.Duration {
	return min(mostDownAfter, time.Duration(downShare*float64(catchup)))
}

// GoneAfter is when a silent learner is forgotten.
func GoneAfter(catchup time.Duration) time.Duration { return max(leastGoneAfter, 2*catchup) }

func durationOf(seconds float64) time.Duration { return settings.Seconds(seconds) }

// random draws numbers that no other process draws, even where sources of chance are alike.
func (c *Core) random() uint64 {
	return rand.Uint64() ^ xxhash.Sum64String(fmt.Sprint(c.address, time.Now().UnixNano()))
}

func (c *Core) now() time.Duration { return time.Since(c.started) }

// Run takes part in the core until ctx ends. While the disk fails or stalls this process stands aside: it only forwards what is submitted.
func (c *Core) Run(ctx context.Context) {
	diskDone := make(chan struct{})
	go func() {
		defer close(diskDone)
		c.writeDisk(ctx)
	}()
	c.mu.Lock()
	c.running = true
	c.due = c.now()
	c.timer = time.AfterFunc(0, c.tick)
	c.mu.Unlock()
	<-ctx.Done()
	c.leave()
	c.stop()
	select {
	case <-diskDone:
	case <-time.After(diskPause):
	}
}

const (
	diskPause = time.Second // for the disk to end what it does
)

// leave has the others go on without this process, as far as they can in time.
func (c *Core) leave() {
	deadline := c.now() + min(leaveWithin, durationOf(leaveShare*c.config.Settings.Bounds.GraceS))
	c.step(func(now time.Duration) { c.node.Release(now) })
	for left := false; !left && c.now() < deadline; {
		time.Sleep(releasePause)
		c.step(func(now time.Duration) { left = c.node.Left(now) })
	}
}

func (c *Core) stop() {
	c.mu.Lock()
	c.running = false
	c.timer.Stop()
	c.leading.end()
	for number, done := range c.waiting {
		done <- ended{Err: ErrUnknown}
		delete(c.waiting, number)
	}
	c.mu.Unlock()
	c.links.close()
}

func (c *Core) tick() {
	c.step(func(now time.Duration) { c.node.Tick(now) })
}

// step has the node do something, and does what it wants done.
func (c *Core) step(do func(now time.Duration)) {
	c.mu.Lock()
	if !c.running {
		c.mu.Unlock()
		return
	}
	now := c.now()
	do(now)
	out := c.node.Take()
	c.disk.add(out.Writes)
	c.links.post(out.Posts)
	for _, end := range out.Ended {
		if done := c.waiting[end.Number]; done != nil {
			done <- end
			delete(c.waiting, end.Number)
		}
	}
	for i := range out.Changes {
		out.Changes[i].log(c.config.Log)
	}
	for i := range out.Disk {
		out.Disk[i].log(c.config.Log)
	}
	for i := range out.Quorum {
		out.Quorum[i].log(c.config.Log)
	}
	c.leading.follow(c, now)
	c.schedule(now)
	c.mu.Unlock()
	if out.Applied && c.config.Applied != nil {
		c.config.Applied()
	}
}

// schedule sets the timer for when the node has something to do. It is only moved when it would fire too late, or has fired.
func (c *Core) schedule(now time.Duration) {
	next := c.node.next(now)
	if c.due > now && c.due <= next {
		return
	}
	c.due = next
	c.timer.Reset(next - now)
}

// Leader is the rpc address of the process that holds the leader lease, as far as this process knows.
func (c *Core) Leader() (address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address = c.node.leaderAddress(c.now())
	return address, address != ""
}

// LeaderIsStore says whether the process that holds the leader lease runs beside a store, as far as this process knows.
func (c *Core) LeaderIsStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	leader := c.node.leaderAddress(c.now())
	return slices.ContainsFunc(c.node.view.Members(), func(member view.Member) bool { return member.Storage && member.Address == leader })
}

// Leads says whether this process holds the leader lease.
func (c *Core) Leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.leads(c.now())
}

// Addresses are the rpc addresses of all processes of the core that this one knows.
func (c *Core) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Addresses()
}

// WantsStores says whether this process is to have stores take part in a core that is not founded yet, since no seed has a disk.
func (c *Core) WantsStores() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running && c.node.foundsOnStores(c.now())
}

// Abdicate gives the leader lease, if this process has it, to another, and leaves it to others for a while.
func (c *Core) Abdicate() {
	c.step(func(now time.Duration) { c.node.Abdicate(now) })
}

// Leave has the other members take this one out of the voters as soon as they can spare it.
func (c *Core) Leave() {
	c.step(func(now time.Duration) { c.node.Leave(now) })
}

// LeftOut says whether the others have let this process go after Leave: it may end, and its disk holds nothing that they lack.
func (c *Core) LeftOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.LeftOut()
}

// Status tells how this process sees the core.
func (c *Core) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.node
	return Status{
		ID: n.self.ID, Epoch: n.view.Epoch, Voters: slices.Clone(n.view.Voters), Learners: slices.Clone(n.view.Learners),
		Wanted: n.config.Durability.Voters(),
		Chain:  slices.Clone(n.view.Chain), Attached: n.chain.Attached(), Durable: n.config.Durability.Met(&n.view),
		Last: n.chain.Last(), Committed: n.chain.Committed(), Leader: n.leaderAddress(c.now()), DiskFault: n.aside.from,
	}
}
