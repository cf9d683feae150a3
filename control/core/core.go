package core

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
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

// Errors of Submit, by what is known of the command: a caller may submit it again only after ErrUnavailable.
var (
	ErrUnavailable = errors.New("core: unavailable, the command was not and will not be applied")
	ErrUnknown     = errors.New("core: the command may or may not be applied")
	ErrTooLong     = errors.New("core: the command is too long, it was not and will not be applied")
)

// MaxCommand bounds a command, in bytes.
const MaxCommand = 5 << 20

// maxMessageEntries bounds the commands in one message of the chain: those that waited when the last snapshot was taken, the log after it, and
// what came with its last write. A Fill with a snapshot has only those that wait.
const maxMessageEntries = 2*(chain.MaxUncommitted+MaxCommand) + maxLogBytes

const _ = uint(rpc.MaxFrame - maxMessageEntries - 1<<20) // they fit a frame, with room for what is around them

// How long a member may be unresponsive before it counts as gone.
const (
	downFraction     = 0.7                     // of the time that a new machine has to catch up: by then the one that it replaces has no vote
	maxDownAfter     = 1500 * time.Millisecond // by then a lease that it held has ended, so that the next holder need not wait for the new voters
	minLearnerExpiry = 10 * time.Second
)

// An orderly stop waits for the others to go on without this process.
const (
	stopTimeout      = 1500 * time.Millisecond // at most
	stopFraction     = 0.25                    // and of the time that the process has to stop
	stopPollInterval = 20 * time.Millisecond   // between looks, and the time in which the release of the lease may be sent
)

// Machine is the replicated state machine. Its methods are called one at a time, on goroutines of the core's, and must depend on
// nothing but what they are given; they must not call the Core.
type Machine interface {
	// Apply executes a committed command. The result goes to whoever submitted it.
	Apply(command []byte) (result []byte)
	// Snapshot is the complete state.
	Snapshot() []byte
	// Restore replaces the complete state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Config is what Open needs.
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
	ID             view.ID // of this process's disk; zero if it has none
	Epoch          uint64
	Voters         []view.Member
	Learners       []view.Member
	RequiredVoters int // voters that bear the losses which the settings name
	Chain          []view.ID
	Attached       bool // this process follows the chain
	Durable        bool // the chain has enough disks to commit
	Last           uint64
	Committed      uint64
	Leader         string // rpc address, empty if unknown
	DiskFault      string // why this process is degraded, empty if it is not
}

// Core is this process's part of the core: it drives a node on sockets and files. Its methods may be called by any goroutine.
type Core struct {
	config  Config
	address string
	started time.Time

	mu          sync.Mutex
	node        *node
	running     bool
	waiting     map[uint64]chan completion
	timer       *time.Timer
	due         time.Duration // when the timer fires
	leaseRunner leaseRunner
	links       links

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
		waiting: make(map[uint64]chan completion), disk: diskQueue{wake: make(chan struct{}, 1)},
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
		DownAfter: DownAfter(durationOf(settings.Bounds.CatchupS)), LearnerExpiry: LearnerExpiry(durationOf(settings.Bounds.CatchupS)), Terms: lease.DefaultTiming, MinLogBytes: minLogBytes, MaxLogRecords: maxLogRecords,
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
			c.store, snapshot, records, err = c.resetSlots()
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

// resetSlots sets a damaged disk's files aside, and opens an empty store.
func (c *Core) resetSlots() (*slots.Store, []byte, [][]byte, error) {
	if err := slots.SetAside(c.folder()); err != nil {
		return nil, nil, nil, err
	}
	return c.openSlots()
}

// DurabilityOf is what the chain must have by the losses that the settings name.
func DurabilityOf(s *settings.Settings) view.Durability {
	return view.Durability{
		Copies: s.Copies(), ToleratedZones: s.ToleratedZones, ToleratedRegions: s.ToleratedRegions,
		RegionOf: func(zone string) string { return s.Zones[zone] },
	}
}

// DownAfter is after how long an unresponsive voter may lose its vote to another, by the time that a new machine has to catch up: before its successor
// counts as reliable, or it would be missed in two places.
func DownAfter(catchup time.Duration) time.Duration {
	return min(maxDownAfter, time.Duration(downFraction*float64(catchup)))
}

// LearnerExpiry is after how long an unresponsive learner is removed, by the time that a new machine has to catch up.
func LearnerExpiry(catchup time.Duration) time.Duration { return max(minLearnerExpiry, 2*catchup) }

func durationOf(seconds float64) time.Duration { return settings.Seconds(seconds) }

// random draws numbers that no other process draws, even where sources of chance are alike.
func (c *Core) random() uint64 {
	return rand.Uint64() ^ xxhash.Sum64String(fmt.Sprint(c.address, time.Now().UnixNano()))
}

func (c *Core) now() time.Duration { return time.Since(c.started) }

// Run takes part in the core until ctx ends. While the disk fails or stalls this process is degraded: it only forwards what is submitted.
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
	c.stopGracefully()
	c.stop()
	select {
	case <-diskDone:
	case <-time.After(diskCloseTimeout):
	}
}

const (
	diskCloseTimeout = time.Second // for the disk to end what it does
)

// stopGracefully has the others go on without this process, as far as they can in time.
func (c *Core) stopGracefully() {
	deadline := c.now() + min(stopTimeout, durationOf(stopFraction*c.config.Settings.Bounds.GraceS))
	c.step(func(now time.Duration) { c.node.BeginStop(now) })
	for left := false; !left && c.now() < deadline; {
		time.Sleep(stopPollInterval)
		c.step(func(now time.Duration) { left = c.node.StopComplete(now) })
	}
}

func (c *Core) stop() {
	c.mu.Lock()
	c.running = false
	c.timer.Stop()
	c.leaseRunner.end()
	for number, done := range c.waiting {
		done <- completion{Err: ErrUnknown}
		delete(c.waiting, number)
	}
	c.mu.Unlock()
	c.links.close()
}

func (c *Core) tick() {
	c.step(func(now time.Duration) { c.node.Tick(now) })
}

// step has the node do something, executes its output, and then has it apply what is committed.
func (c *Core) step(do func(now time.Duration)) {
	c.mu.Lock()
	if !c.running {
		c.mu.Unlock()
		return
	}
	now := c.now()
	do(now)
	applied := c.execute(c.node.Take())
	if c.node.ApplyDue() {
		runtime.Gosched() // to the connections' writers: on one processor the messages would not go out before this goroutine is done
		c.node.Apply(now)
		applied = c.execute(c.node.Take()) || applied
	}
	c.leaseRunner.follow(c, now)
	c.schedule(now)
	c.mu.Unlock()
	if applied && c.config.Applied != nil {
		c.config.Applied()
	}
}

// execute carries out what the node wants, and reports whether commands were applied.
func (c *Core) execute(output output) (applied bool) {
	c.disk.add(output.Writes)
	c.links.send(output.Messages)
	for _, end := range output.Completions {
		if done := c.waiting[end.Number]; done != nil {
			done <- end
			delete(c.waiting, end.Number)
		}
	}
	for i := range output.ChainChanges {
		output.ChainChanges[i].log(c.config.Log)
	}
	for i := range output.DiskChanges {
		output.DiskChanges[i].log(c.config.Log)
	}
	for i := range output.QuorumChanges {
		output.QuorumChanges[i].log(c.config.Log)
	}
	return output.Applied
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

// BootstrapsOnStores says whether this process is to have stores take part in a core that is not bootstrapped yet, since no seed has a disk.
func (c *Core) BootstrapsOnStores() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running && c.node.bootstrapsOnStores(c.now())
}

// Abdicate gives the leader lease, if this process has it, to another, and leaves it to others for a while.
func (c *Core) Abdicate() {
	c.step(func(now time.Duration) { c.node.Abdicate(now) })
}

// Leave has the other members take this one out of the voters as soon as they can spare it.
func (c *Core) Leave() {
	c.step(func(now time.Duration) { c.node.Leave(now) })
}

// Removed says whether the others have removed this process after Leave: it may stop, and its disk holds nothing that they lack.
func (c *Core) Removed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Removed()
}

// Status tells how this process sees the core.
func (c *Core) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.node
	return Status{
		ID: n.self.ID, Epoch: n.view.Epoch, Voters: slices.Clone(n.view.Voters), Learners: slices.Clone(n.view.Learners),
		RequiredVoters: n.config.Durability.Voters(),
		Chain:          slices.Clone(n.view.Chain), Attached: n.chain.Attached(), Durable: n.config.Durability.Met(&n.view),
		Last: n.chain.Last(), Committed: n.chain.Committed(), Leader: n.leaderAddress(c.now()), DiskFault: n.durability.degradation.fault,
	}
}
