package queueclient

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// Timeouts and pauses of the client.
const (
	minAttemptTimeout = 150 * time.Millisecond  // minimum time without an answer before a put is attempted elsewhere
	maxAttemptTimeout = time.Second             // maximum of the same time, applied while all answers are slow
	lastAnswerTimeout = 2500 * time.Millisecond // how long to wait for answers missing at the end of the attempts
	suspectTimeout    = time.Second             // how long a store that left a put unanswered is avoided
	rejectedPause     = 25 * time.Millisecond   // before a rejected put is attempted again
	reportTimeout     = 500 * time.Millisecond  // a report without an answer by then is sent again
	reportRetryPause  = 50 * time.Millisecond   // before a rejected report is sent again
	claimRetryPause   = 50 * time.Millisecond   // before a rejected claim is sent again
	findStageTimeout  = 300 * time.Millisecond  // a lookup without an answer by then also goes to the next stage
	findTimeout       = 1500 * time.Millisecond // clients of a lookup wait 2 s
)

// Config configures a Client. Its functions run on goroutines that read connections: they must not block.
type Config struct {
	Edge string // Member.ID
	Zone string

	Heartbeat time.Duration // interval of the membership heartbeat; 0: too long to affect the standstill limit

	Options rpc.Options // of connections to stores; New sets Mux

	// Accepted is called for each message that was put with dispatch and accepted, before any grant of it.
	Accepted func(m *wire.Message, granted bool)
	// Granted is called for each grant.
	Granted func(g *wire.Grant)
	// Acknowledged is called when a store has acknowledged that a report which completes, releases or drops a message
	// is on disk.
	Acknowledged func(id string)
	// Confirmed is called with the IDs of messages whose leases a store has confirmed, and the time on the host's clock at
	// which they were claimed. It may be nil.
	Confirmed func(ids []string, claimedAt time.Duration)
	// Unknown is called for a leased message that is not pending at the primary of its partition.
	Unknown func(id string)
	// Leased returns the IDs of the messages that are leased to the edge.
	Leased func() []string

	Log  *slog.Logger // nil: slog.Default
	Host host.Host    // nil: host.System
}

// Client is an edge's client of the queue. It is safe for concurrent use.
type Client struct {
	config      Config
	host        host.Host
	started     time.Duration
	view        atomic.Pointer[view]
	issuedIDs   atomic.Uint64
	meanLatency atomic.Int64  // time.Duration: mean latency of a put
	incarnation string        // random part of message IDs, unique to this process instance
	lastTimeout time.Duration // lastAnswerTimeout; tests shorten it

	mu       sync.Mutex
	stores   map[string]*store   // by disk identity
	attempts map[string]*attempt // of puts without a result, by message ID
	draining bool
	closed   bool

	configVersion atomic.Uint64 // of the configuration that the edge applies; 0: none yet

	reports    reports
	standstill standstill
}

// New returns a client without a placement: puts are rejected until SetView is called.
func New(config Config) *Client {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	machine := host.OrSystem(config.Host)
	c := &Client{
		config: config, host: machine, started: machine.Now(), lastTimeout: lastAnswerTimeout, incarnation: strconv.FormatUint(machine.Uint64()>>16, 36),
		stores: make(map[string]*store), attempts: make(map[string]*attempt),
	}
	c.reports.init(c)
	mux := rpc.NewMux()
	c.Handle(mux)
	c.config.Options.Mux = mux
	c.watchStandstill()
	return c
}

// Handle registers the methods that stores may call.
func (c *Client) Handle(mux *rpc.Mux) {
	rpc.Handle(mux, wire.MethodGrant, func(conn *rpc.Conn, g *wire.Grant, _ rpc.Reply) { c.handleGrant(conn, g) })
}

func (c *Client) handleGrant(conn *rpc.Conn, g *wire.Grant) {
	c.recordRunning()
	if c.isStale(conn, g) {
		return
	}
	if c.grantAttempt(g.ID) || c.reports.isDropping(g.ID) {
		return
	}
	if g.HasMessage && c.reports.isReleasing(g.ID) { // a repeated release may still arrive and undo the grant
		c.Report(wire.Report{ID: g.ID, Kind: wire.ReportReleased, Failed: g.Failed})
		return
	}
	c.config.Granted(g)
}

// isStale reports whether a grant must be ignored: its sender is no longer the partition's primary, or it was received
// on a connection that has been replaced, or on one that was open while the process was paused. The claims that this
// edge has sent since do not list the message, so it may have been granted to another edge.
func (c *Client) isStale(conn *rpc.Conn, g *wire.Grant) bool {
	v := c.view.Load()
	if v == nil || g.Epoch > v.Epoch {
		return false // this edge has the older placement, not the store
	}
	primary := v.primary(g.Partition)
	return primary == nil || primary.conn() != conn || primary.outdated.Load() == conn
}

func (c *Client) now() time.Duration { return c.host.Now() - c.started }

// SetView installs a placement, unless the client has the same or a newer one. It closes the links to stores that are
// no longer in it.
func (c *Client) SetView(next *wire.StoreView) {
	c.mu.Lock()
	if old := c.view.Load(); next == nil || c.closed || old != nil && old.Epoch >= next.Epoch {
		c.mu.Unlock()
		return
	}
	v := &view{StoreView: next, host: c.host}
	removed := c.stores
	c.stores = make(map[string]*store, len(next.Stores))
	for i := range next.Stores {
		v.stores = append(v.stores, c.adopt(&next.Stores[i], removed))
	}
	v.ownZone = ownPartitions(next, c.config.Zone)
	c.view.Store(v)
	c.mu.Unlock()
	for _, disk := range slices.Sorted(maps.Keys(removed)) {
		removed[disk].link.Close()
	}
	c.reports.resend() // before the claims: a completed message needs no claim
	for _, s := range v.stores {
		s.link.ReconnectNow() // the new placement may mean that the store has restarted
		s.claim()
	}
}

// adopt returns the store for an entry of the placement and adds it to c.stores. It reuses the store from the map
// known, and removes it there, if disk and address are unchanged.
func (c *Client) adopt(entry *wire.Store, known map[string]*store) *store {
	s := known[entry.Disk]
	if s != nil && s.address == entry.Address {
		delete(known, entry.Disk)
	} else {
		s = newStore(c, entry)
	}
	c.stores[entry.Disk] = s
	return s
}

// SetConfigVersion notifies the stores of the version of the configuration that the edge applies from now on. They
// assign it no messages that were accepted under a newer one.
func (c *Client) SetConfigVersion(version uint64) {
	c.configVersion.Store(version)
	c.mu.Lock()
	stores := c.allStores()
	c.mu.Unlock()
	for _, s := range stores {
		s.announceConfig(s.conn())
	}
}

// Usable reports whether messages can be put: there is a placement, and at least one primary in it is connected.
func (c *Client) Usable() bool {
	v := c.view.Load()
	if v == nil {
		return false
	}
	for i := range v.Partitions {
		if s := v.primary(uint16(i)); s != nil && s.conn() != nil {
			return true
		}
	}
	return false
}

// Drain notifies the stores that this edge accepts no more grants.
func (c *Client) Drain() {
	c.mu.Lock()
	c.draining = true
	stores := c.allStores()
	c.mu.Unlock()
	for _, s := range stores {
		s.attach(s.link.Conn(), nil)
	}
}

// Pending returns the number of messages with reports that are not yet acknowledged.
func (c *Client) Pending() int { return c.reports.pending() }

// Close stops the retries of reports and closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	stores := c.allStores()
	c.mu.Unlock()
	c.reports.stop()
	c.stopWatch()
	for _, s := range stores {
		s.link.Close()
	}
}

// allStores returns the stores in the order of their disks.
func (c *Client) allStores() []*store {
	stores := make([]*store, 0, len(c.stores))
	for _, disk := range slices.Sorted(maps.Keys(c.stores)) {
		stores = append(stores, c.stores[disk])
	}
	return stores
}
