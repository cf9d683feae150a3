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

// Time-outs and pauses of the client.
const (
	minAttemptTimeout = 150 * time.Millisecond  // a put without an answer by then is attempted elsewhere
	maxAttemptTimeout = time.Second             // ... and at most, while all answers are slow
	lastAnswerTimeout = 2500 * time.Millisecond // for answers that are missing when the time for attempts is over
	suspectTimeout    = time.Second             // a store that left a put unanswered is avoided for so long
	rejectedPause     = 25 * time.Millisecond   // before a rejected put is attempted again
	reportTimeout     = 500 * time.Millisecond  // a report without an answer by then is sent again
	reportRetryPause  = 50 * time.Millisecond   // before a rejected report is sent again
	claimRetryPause   = 50 * time.Millisecond   // before a rejected claim is sent again
	findStageTimeout  = 300 * time.Millisecond  // a question without an answer for so long goes to others, too
	findTimeout       = 1500 * time.Millisecond // askers wait two seconds
)

// Config of a Client. Its functions are called by goroutines that read connections: they must not wait.
type Config struct {
	Edge string // Member.ID
	Zone string

	Heartbeat time.Duration // of the membership lease; 0: longer than matters

	Options rpc.Options // of connections to stores; Mux is filled in

	// Accepted is called for each message that was put with dispatch and accepted, before any grant of it.
	Accepted func(m *wire.Message, granted bool)
	// Granted is called for each grant.
	Granted func(g *wire.Grant)
	// Acknowledged is called when a report that completes a message, or releases it, is on disk.
	Acknowledged func(id string)
	// Unknown is called for a leased message that a store does not know as pending.
	Unknown func(id string)
	// Leased lists the IDs of the messages that are leased to the edge.
	Leased func() []string

	Log  *slog.Logger // nil: the default
	Host host.Host    // nil: host.System
}

// Client is an edge's client of the queue. Its methods may be called by any goroutine.
type Client struct {
	config      Config
	host        host.Host
	started     time.Duration
	view        atomic.Pointer[view]
	issuedIDs   atomic.Uint64
	meanLatency atomic.Int64  // time.Duration: mean time of an answer to a put
	incarnation string        // makes the IDs of this start of the process unlike all others
	lastTimeout time.Duration // lastAnswerTimeout, but for tests

	mu       sync.Mutex
	stores   map[string]*store   // by disk
	attempts map[string]*attempt // of puts without a result, by message ID
	draining bool
	closed   bool

	reports    reports
	standstill standstill
}

// New returns a client without a placement.
func New(config Config) *Client {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	machine := host.Or(config.Host)
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
	c.noteAlive()
	if c.isStale(conn, g) {
		return
	}
	if c.grantAttempt(g.ID) || c.reports.isDropping(g.ID) {
		return
	}
	if g.HasMessage && c.reports.isReleasing(g.ID) { // the store takes the repeat of the release for one of this grant
		c.Report(wire.Report{ID: g.ID, Kind: wire.ReportReleased, Failed: g.Failed})
		return
	}
	c.config.Granted(g)
}

// isStale reports whether a grant came too late to count: it is from a store that is not the partition's primary any more, or from a
// connection before the present one, or from one that was up while the process stood still. The claims that this edge has made since do not name its message, which may be another's.
func (c *Client) isStale(conn *rpc.Conn, g *wire.Grant) bool {
	v := c.view.Load()
	if v == nil || g.Epoch > v.Epoch {
		return false // this edge is the one that is behind
	}
	primary := v.primary(g.Partition)
	return primary == nil || primary.conn() != conn || primary.outdated.Load() == conn
}

func (c *Client) now() time.Duration { return c.host.Now() - c.started }

// SetView takes a placement, unless a newer one is known.
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
	c.reports.resend() // first: what is completed needs no claim
	for _, s := range v.stores {
		s.link.Hurry() // a new placement may mean that it is back
		s.claim()
	}
}

// adopt returns the store of an entry: the known one, taken out of the map, or a new one.
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

// Usable reports whether messages can be put: there is a placement, and a primary of it is connected.
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

// Drain notifies the stores that this edge takes no more grants.
func (c *Client) Drain() {
	c.mu.Lock()
	c.draining = true
	stores := c.all()
	c.mu.Unlock()
	for _, s := range stores {
		s.attach(s.conn())
	}
}

// Pending counts reports that are not yet acknowledged.
func (c *Client) Pending() int { return c.reports.pending() }

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	stores := c.all()
	c.mu.Unlock()
	c.reports.stop()
	c.stopWatch()
	for _, s := range stores {
		s.link.Close()
	}
}

func (c *Client) all() []*store {
	stores := make([]*store, 0, len(c.stores))
	for _, s := range c.stores {
		stores = append(stores, s)
	}
	return stores
}
