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

// Errors of Submit. A caller may submit the command again only after ErrUnavailable.
var (
	ErrUnavailable = errors.New("core: unavailable, the command was not and will not be applied")
	ErrUnknown     = errors.New("core: the command may or may not be applied")
	ErrTooLong     = errors.New("core: the command exceeds the maximum size, it was not and will not be applied")
)

// MaxCommand is the maximum size of a command in bytes.
const MaxCommand = 5 << 20

// maxMessageEntries bounds the size in bytes of the commands in one chain message: those that were uncommitted when the
// last snapshot was taken, the log since then, and the commands of its last write. A Fill with a snapshot carries
// uncommitted commands only.
const maxMessageEntries = 2*(chain.MaxUncommitted+MaxCommand) + maxLogBytes

const _ = uint(rpc.MaxFrame - maxMessageEntries - 1<<20) // compile-time check: they fit a frame, with 1 MiB for the rest

// How long a member may be unresponsive before it loses its vote or is removed.
const (
	downFraction     = 0.7                     // of the catch-up time of a new machine: by then the machine it replaces has no vote
	maxDownAfter     = 1500 * time.Millisecond // by then a lease of the voter has expired: the next holder need not wait for new voters
	minLearnerExpiry = 10 * time.Second
)

// An orderly stop waits until the other members have decided a view without this process.
const (
	stopTimeout      = 1500 * time.Millisecond // maximum time that the process waits
	stopFraction     = 0.25                    // maximum fraction of settings.Bounds.GraceS, the time to stop
	stopPollInterval = 20 * time.Millisecond   // interval between checks, in which the release of the lease may also be sent
)

// Machine is the replicated state machine. The Core calls its methods one at a time, on its own goroutines. The results
// must depend on nothing but the arguments and earlier calls. The methods must not call the Core.
type Machine interface {
	// Apply executes a committed command. The result is returned to the caller of Submit.
	Apply(command []byte) (result []byte)
	// Snapshot returns the complete state.
	Snapshot() []byte
	// Restore replaces the complete state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Config holds the parameters of Open.
type Config struct {
	Settings *settings.Settings
	Machine  Machine
	Mux      *rpc.Mux // Open registers the core's handlers here; call rpc.Listen on settings.ControlAddress(settings.IP) after Open
	Log      *slog.Logger
	// Lead is called on a goroutine of its own when this process obtains the leader lease and the previous call has
	// returned. Its context is cancelled when the lease is lost. That may be noticed late, so Lead must check
	// lease.Valid before each action. If Lead is nil, the process does not request the lease.
	Lead func(ctx context.Context, lease *Lease)
	// Storage is true if the disk belongs to a store, which serves as a member where too few control processes have a
	// disk.
	Storage bool
	// Applied is called after commands were applied to the local machine, on the goroutine that applied them, and must
	// not block. It may be nil.
	Applied func()

	folder slots.Folder // replaces the data folder in tests
}

// Status describes the core for operators, as this process sees it.
type Status struct {
	ID             view.ID // of this process's disk; zero if the process has no disk
	Epoch          uint64
	Voters         []view.Member
	Learners       []view.Member
	RequiredVoters int // number of voters needed to tolerate the failures that the settings name
	Chain          []view.ID
	Attached       bool // this process is attached to the chain
	Durable        bool // the chain has enough disks to commit
	Last           uint64
	Committed      uint64
	Leader         string // rpc address, empty if unknown
	DiskFault      string // why this process is degraded; empty if it is not
}

// Core runs this process's node on sockets and files. Its methods may be called by any goroutine.
type Core struct {
	config  Config
	address string
	started time.Time

	mu          sync.Mutex
	node        *node
	running     bool
	waiters     map[uint64]chan completion
	timer       *time.Timer
	timerDue    time.Duration // time at which timer fires
	leaseRunner leaseRunner
	links       links

	store *slots.Store
	disk  diskQueue
}

// Open reads the disk and restores the machine. A process without a disk only forwards submitted commands to members.
func Open(config Config) (*Core, error) {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	c := &Core{
		config: config, address: config.Settings.ControlAddress(config.Settings.IP), started: time.Now(),
		waiters: make(map[uint64]chan completion), disk: diskQueue{wake: make(chan struct{}, 1)},
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
			c.config.Log.Error("the core's disk is damaged: renaming its files and rejoining with an empty disk", "folder", settings.DataDir, "error", err)
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
	c.config.Log.Info("the core's state was read from disk",
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

// folder returns the folder of the store.
func (c *Core) folder() slots.Folder {
	if c.config.folder != nil {
		return c.config.folder
	}
	return slots.OSFolder(c.config.Settings.DataDir)
}

// resetSlots renames the files of a damaged disk, so that they are kept, and opens an empty store.
func (c *Core) resetSlots() (*slots.Store, []byte, [][]byte, error) {
	if err := slots.SetAside(c.folder()); err != nil {
		return nil, nil, nil, err
	}
	return c.openSlots()
}

// DurabilityOf returns what the chain needs to tolerate the failures that the settings name.
func DurabilityOf(s *settings.Settings) view.Durability {
	return view.Durability{
		Copies: s.Copies(), ToleratedZones: s.ToleratedZones, ToleratedRegions: s.ToleratedRegions,
		RegionOf: func(zone string) string { return s.Zones[zone] },
	}
}

// DownAfter returns how long a voter may be unresponsive before its vote may go to another member, given the time that
// a new machine has to catch up. The vote must have moved by the time the successor counts as reliable: otherwise the
// core would still lack a voter while another failure is already allowed.
func DownAfter(catchup time.Duration) time.Duration {
	return min(maxDownAfter, time.Duration(downFraction*float64(catchup)))
}

// LearnerExpiry returns how long a learner may be unresponsive before it is removed, given the time that a new machine
// has to catch up.
func LearnerExpiry(catchup time.Duration) time.Duration { return max(minLearnerExpiry, 2*catchup) }

func durationOf(seconds float64) time.Duration { return settings.Seconds(seconds) }

// random returns a number that differs from those of other processes, even if their random sources have the same seed.
func (c *Core) random() uint64 {
	return rand.Uint64() ^ xxhash.Sum64String(fmt.Sprint(c.address, time.Now().UnixNano()))
}

func (c *Core) now() time.Duration { return time.Since(c.started) }

// Run runs the member until ctx ends. While the disk fails or stalls, this process is degraded and only forwards
// submitted commands.
func (c *Core) Run(ctx context.Context) {
	diskDone := make(chan struct{})
	go func() {
		defer close(diskDone)
		c.writeDisk(ctx)
	}()
	c.mu.Lock()
	c.running = true
	c.timerDue = c.now()
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
	diskCloseTimeout = time.Second // how long Run waits for the disk writer to return
)

// stopGracefully asks the other members to go on without this process, and waits for that for a limited time.
func (c *Core) stopGracefully() {
	deadline := c.now() + min(stopTimeout, durationOf(stopFraction*c.config.Settings.Bounds.GraceS))
	c.step(func(now time.Duration) { c.node.BeginStop(now) })
	for complete := false; !complete && c.now() < deadline; {
		time.Sleep(stopPollInterval)
		c.step(func(now time.Duration) { complete = c.node.StopComplete(now) })
	}
}

func (c *Core) stop() {
	c.mu.Lock()
	c.running = false
	c.timer.Stop()
	c.leaseRunner.end()
	for number, done := range c.waiters {
		done <- completion{Err: ErrUnknown}
		delete(c.waiters, number)
	}
	c.mu.Unlock()
	c.links.close()
}

func (c *Core) tick() {
	c.step(func(now time.Duration) { c.node.Tick(now) })
}

// step calls do on the node and executes the node's output, then lets the node apply committed commands.
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
		// Lets the connections' writers run: on one processor the messages would otherwise not go out before this
		// goroutine has finished.
		runtime.Gosched()
		c.node.Apply(now)
		applied = c.execute(c.node.Take()) || applied
	}
	c.leaseRunner.update(c, now)
	c.schedule(now)
	c.mu.Unlock()
	if applied && c.config.Applied != nil {
		c.config.Applied()
	}
}

// execute executes a node's output, and reports whether commands were applied.
func (c *Core) execute(output output) (applied bool) {
	c.disk.add(output.Writes)
	c.links.send(output.Messages)
	for _, completed := range output.Completions {
		if done := c.waiters[completed.Number]; done != nil {
			done <- completed
			delete(c.waiters, completed.Number)
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

// schedule sets the timer for the node's next Tick. It moves the timer only if it would fire too late or has already
// fired.
func (c *Core) schedule(now time.Duration) {
	next := c.node.nextTick(now)
	if c.timerDue > now && c.timerDue <= next {
		return
	}
	c.timerDue = next
	c.timer.Reset(next - now)
}

// Leader returns the rpc address of the process that holds the leader lease, as far as this process knows.
func (c *Core) Leader() (address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address = c.node.leaderAddress(c.now())
	return address, address != ""
}

// LeaderIsStore reports whether the process that holds the leader lease runs beside a store, as far as this process
// knows.
func (c *Core) LeaderIsStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	leader := c.node.leaderAddress(c.now())
	return slices.ContainsFunc(c.node.view.Members(), func(member view.Member) bool { return member.Storage && member.Address == leader })
}

// Leads reports whether this process holds the leader lease.
func (c *Core) Leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.leads(c.now())
}

// Addresses returns the rpc addresses of all processes of the core that this process knows.
func (c *Core) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Addresses()
}

// BootstrapsOnStores reports whether this process is to bootstrap the core with stores as members, since no seed has a
// disk.
func (c *Core) BootstrapsOnStores() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running && c.node.bootstrapsOnStores(c.now())
}

// Resign gives up the leader lease, if this process holds it, and does not request it again for a while.
func (c *Core) Resign() {
	c.step(func(now time.Duration) { c.node.Resign(now) })
}

// Leave asks the other members to remove this one from the voters as soon as the core tolerates that.
func (c *Core) Leave() {
	c.step(func(now time.Duration) { c.node.Leave(now) })
}

// Removed reports whether the other members have removed this process after Leave. It may then stop: they have all that
// is on its disk.
func (c *Core) Removed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Removed()
}

// Status returns the state of the core as this process sees it.
func (c *Core) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.node
	return Status{
		ID: n.self.ID, Epoch: n.view.Epoch, Voters: slices.Clone(n.view.Voters), Learners: slices.Clone(n.view.Learners),
		RequiredVoters: n.config.Durability.RequiredVoters(),
		Chain:          slices.Clone(n.view.Chain), Attached: n.chain.Attached(), Durable: n.config.Durability.Met(&n.view),
		Last: n.chain.Last(), Committed: n.chain.Committed(), Leader: n.leaderAddress(c.now()), DiskFault: n.durability.degradation.fault,
	}
}
