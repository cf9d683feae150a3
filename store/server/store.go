package server

import (
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/store/journal"
	"ravendale/store/queue"
)

// Names, limits and timeouts of a store.
const (
	journalFolder   = "journal"
	bytesPerMessage = 500 // memory per message, including all data structures for it
	memoryShare     = 2   // messages may use at most 1/memoryShare of the process's memory
	minSegmentBytes = 1 << 20
	segmentsPerDisk = 45
	retentionMargin = 5 * time.Second // finished messages are kept this much longer than statusS
	connectTimeout  = 300 * time.Millisecond
)

// Config configures a Store.
type Config struct {
	Settings      *settings.Settings
	Disk          string       // from Identity; OpenDisk sets it
	Mux           *rpc.Mux     // Open registers the store's handlers on it
	StatusChanged func()       // called when Status has changed in a way that the control plane waits for; may be nil
	Failed        func(error)  // called when the disk has failed: the process must exit
	Log           *slog.Logger // slog.Default if nil
}

// Store is the queue on one storage machine. It is safe for concurrent use.
type Store struct {
	config  Config
	started time.Time
	journal *journal.Journal

	mu            sync.Mutex // guards core and the following fields
	core          *queue.Core
	timer         *time.Timer
	links         map[string]*rpc.Link // by disk identity
	statusChanged bool                 // call Config.StatusChanged once the lock is released
	failure       error
	closed        bool

	tasks tasks
}

// Open reads the store's journal and registers its handlers. The store is inactive until SetView is called. Open fails
// with journal.ErrDamaged if the journal is damaged.
func Open(config Config) (*Store, error) {
	config.Log = logger(&config)
	s := &Store{config: config, started: time.Now(), links: make(map[string]*rpc.Link)}
	s.core = queue.New(coreConfig(&s.config), host{s})
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.recover(); err != nil {
		s.timer.Stop()
		return nil, err
	}
	s.core.Start(s.now(), s.journal)
	s.register()
	return s, nil
}

func logger(config *Config) *slog.Logger {
	if config.Log == nil {
		return slog.Default()
	}
	return config.Log
}

func coreConfig(config *Config) queue.Config {
	s := config.Settings
	return queue.Config{
		Disk: config.Disk, Zone: s.Zone, Copies: s.Copies(),
		FinishedRetention: settings.Seconds(s.Bounds.StatusS) + retentionMargin,
		DiskBytes:         max(int64(s.DiskMb)<<20-quarantinedBytes(s.DataDir), 0),
		MaxMessages:       s.MemoryMb << 20 / memoryShare / bytesPerMessage,
		Log:               config.Log,
	}
}

func (s *Store) recover() error {
	options := journal.Options{OnSync: s.onSync, OnError: s.fail, OnFull: s.onDiskFull}
	if s.config.Settings.DiskMb > 0 {
		options.SegmentBytes = min(max(s.config.Settings.DiskMb<<20/segmentsPerDisk, minSegmentBytes), journal.DefaultSegmentBytes)
	}
	dir := filepath.Join(s.config.Settings.DataDir, journalFolder)
	j, err := journal.Open(dir, options, func(at journal.Location, payload []byte) error {
		return s.core.Recover(s.now(), at, payload)
	})
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := journal.SyncFolder(s.config.Settings.DataDir); err != nil {
		return errors.Join(err, j.Close())
	}
	s.journal = j
	return nil
}

func (s *Store) now() queue.Time {
	return queue.Time{Steady: time.Since(s.started), UnixMs: time.Now().UnixMilli()}
}

// handle runs f, which passes an event to the core, with the lock held. After it has released the lock it calls the
// functions of Config that the core has requested. It does nothing if the store is closed or has failed.
func (s *Store) handle(f func(now queue.Time)) {
	s.mu.Lock()
	if s.closed || s.failure != nil {
		s.mu.Unlock()
		return
	}
	f(s.now())
	statusChanged, failure := s.statusChanged, s.failure
	s.statusChanged = false
	s.mu.Unlock()
	if failure != nil {
		s.config.Failed(failure)
	}
	if statusChanged && s.config.StatusChanged != nil {
		s.config.StatusChanged()
	}
}

func (s *Store) onSync(position uint64) {
	s.handle(func(now queue.Time) { s.core.JournalSynced(now, position) })
}

func (s *Store) onDiskFull() { s.handle(s.core.DiskFull) }

// fail stops the store after a failure of its disk.
func (s *Store) fail(err error) {
	s.mu.Lock()
	first := s.failure == nil && !s.closed
	s.failure = errors.Join(s.failure, err)
	s.mu.Unlock()
	if first {
		s.config.Failed(err)
	}
}

func (s *Store) tick() { s.handle(s.core.Tick) }

// Status returns the status that the store reports to the control plane.
func (s *Store) Status() wire.StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Status()
}

// Primary reports whether the store is the primary of any partition.
func (s *Store) Primary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Primary()
}

// SetView applies a newer placement.
func (s *Store) SetView(view *wire.StoreView) {
	if view == nil {
		return
	}
	s.handle(func(now queue.Time) {
		s.core.SetView(now, view)
		s.updateLinks()
	})
	s.reconnectLinks()
}

// reconnectLinks makes links that are down reconnect at once. A restarted store is a member again before the links would
// retry by themselves, and messages that its peers accept meanwhile wait for it.
func (s *Store) reconnectLinks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, link := range s.links {
		link.ReconnectNow()
	}
}

// SetEdges sets the edges that the control plane lists as members: a new primary waits until all of them have sent
// their claims.
func (s *Store) SetEdges(members *wire.Members) {
	if members == nil {
		return
	}
	s.handle(func(now queue.Time) { s.core.SetEdges(now, members.Edges) })
}

// Close closes the links, writes and syncs all queued records, and waits for the store's goroutines. It returns the
// error of closing the journal. Handlers that are called afterwards do nothing.
func (s *Store) Close() error {
	s.mu.Lock()
	s.timer.Stop()
	links := s.links
	s.links = nil
	s.mu.Unlock()
	for _, link := range links {
		link.Close()
	}
	err := s.journal.Close()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.tasks.wait()
	return err
}

// updateLinks connects to all other stores of the placement, and closes the links to stores that are no longer in it.
func (s *Store) updateLinks() {
	if s.links == nil {
		return
	}
	peers := s.core.Peers()
	for disk, link := range s.links {
		if !slices.ContainsFunc(peers, func(w wire.Store) bool { return w.Disk == disk && w.Address == link.Address() }) {
			s.tasks.start(link.Close)
			delete(s.links, disk)
		}
	}
	for _, other := range peers {
		if s.links[other.Disk] == nil {
			s.links[other.Disk] = s.link(other.Disk, other.Address)
		}
	}
}

func (s *Store) link(disk, address string) *rpc.Link {
	options := rpc.Options{Mux: s.replicaHandlers(), ConnectTimeout: connectTimeout}
	return rpc.NewLink(address, options, func(c *rpc.Conn) { s.handshake(c, disk) }, nil)
}

// handshake verifies that the peer has the expected disk. If it has, the core is notified that the peer is up, unless the
// connection belongs to a link that was replaced because the disk has moved to another address. If not, the connection is
// closed.
func (s *Store) handshake(c *rpc.Conn, disk string) {
	c.OnClose(func(error) {
		s.tasks.start(func() { s.handle(func(now queue.Time) { s.core.PeerDown(now, c) }) })
	})
	reply := new(queue.HelloReply)
	c.StartCall(queue.MethodHello, &queue.Hello{From: s.config.Disk, To: disk}, reply, func(err error) {
		if err != nil || !reply.Accepted {
			s.tasks.start(c.Close)
			return
		}
		s.handle(func(now queue.Time) {
			if link := s.links[disk]; c.Err() == nil && link != nil && link.Conn() == c {
				s.core.PeerUp(now, disk, c)
			}
		})
	})
}

// host implements queue.Host. Its methods are called with the lock held.
type host struct{ store *Store }

func (h host) WakeAt(steady time.Duration) {
	h.store.timer.Reset(max(steady-time.Since(h.store.started), 0))
}

func (h host) StatusChanged() { h.store.statusChanged = true }

func (h host) Fail(err error) { h.store.failure = errors.Join(h.store.failure, err) }
