// Package queueclient is an edge's side of the queue: it keeps a connection to each store of the placement, tells the stores what
// the edge holds, and routes puts, reports and questions to those that can answer them.
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

// Times of the client.
const (
	putPatience    = 150 * time.Millisecond  // a put without an answer for so long is made elsewhere
	mostPatience   = time.Second             // ... and at most, while all answers are slow
	lastPatience   = 2500 * time.Millisecond // for answers that are missing when the time to try is over
	suspectFor     = time.Second             // a store that left a put unanswered is passed over for so long
	refusalPause   = 25 * time.Millisecond   // before a put that was refused is tried again
	reportPatience = 500 * time.Millisecond  // a report without an answer for so long is sent again
	reportPause    = 50 * time.Millisecond   // before a report that was refused is sent again
	claimPause     = 50 * time.Millisecond   // before a claim that was refused is sent again
	findPatience   = 300 * time.Millisecond  // a question without an answer for so long goes to others, too
	findLimit      = 1500 * time.Millisecond // askers wait two seconds
)

// Config of a Client. Its functions are called by goroutines that read connections: they must not wait.
type Config struct {
	Edge    string // Member.ID
	Zone    string
	Options rpc.Options // of connections to stores; Mux is filled in

	// Kept hears of each message that was put with Dispatch and kept, before any grant of it.
	Kept func(m *wire.Message, granted bool)
	// Granted hears of grants.
	Granted func(g *wire.Grant)
	// Acknowledged hears that a report which ends a message, or gives it back, is on disk.
	Acknowledged func(id string)
	// Unknown hears of a held message that a store does not know as pending.
	Unknown func(id string)
	// Held lists the messages that the edge holds.
	Held func() []string

	Log  *slog.Logger // nil: the default
	Host host.Host    // nil: host.System
}

// Client of the queue. Its methods may be called by any goroutine.
type Client struct {
	config  Config
	host    host.Host
	started time.Duration
	view    atomic.Pointer[view]
	names   atomic.Uint64
	answer  atomic.Int64  // mean time of an answer to a put
	life    string        // makes the names of this life unlike all others
	last    time.Duration // lastPatience, but for tests

	mu       sync.Mutex
	stores   map[string]*store // by disk
	tries    map[string]*try   // of puts without a result, by message
	draining bool
	closed   bool

	reports reports
}

// view is a placement with the stores' connections. It is immutable.
type view struct {
	*wire.StoreView
	stores []*store // by index in StoreView.Stores
	host   host.Host
	own    []uint16 // partitions whose primary is in the edge's zone
}

// New returns a client without a placement.
func New(config Config) *Client {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	machine := host.Or(config.Host)
	c := &Client{
		config: config, host: machine, started: machine.Now(), last: lastPatience, life: strconv.FormatUint(machine.Uint64()>>16, 36),
		stores: make(map[string]*store), tries: make(map[string]*try),
	}
	c.reports.init(c)
	mux := rpc.NewMux()
	c.Handle(mux)
	c.config.Options.Mux = mux
	return c
}

// Handle registers what stores may call.
func (c *Client) Handle(mux *rpc.Mux) {
	rpc.Handle(mux, wire.MethodGrant, func(conn *rpc.Conn, g *wire.Grant, _ rpc.Reply) { c.granted(conn, g) })
}

func (c *Client) granted(conn *rpc.Conn, g *wire.Grant) {
	if c.isOver(conn, g) {
		return
	}
	if !g.Whole && c.grantTry(g.ID) {
		return
	}
	if g.Whole && c.reports.releasing(g.ID) { // the store takes the repeat of the release for one of this grant
		c.Report(wire.Report{ID: g.ID, Kind: wire.ReportReleased, Failed: g.Failed})
		return
	}
	c.config.Granted(g)
}

// isOver says whether a grant came too late to count: it is from a store that is not the partition's primary any more, or from a
// connection before the present one. The claims that this edge has made since do not name its message, which may be another's.
func (c *Client) isOver(conn *rpc.Conn, g *wire.Grant) bool {
	v := c.view.Load()
	if v == nil || g.Epoch > v.Epoch {
		return false // this edge is the one that is behind
	}
	primary := v.primary(g.Partition)
	return primary == nil || primary.conn() != conn
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
	gone := c.stores
	c.stores = make(map[string]*store, len(next.Stores))
	for i := range next.Stores {
		v.stores = append(v.stores, c.adopt(&next.Stores[i], gone))
	}
	v.own = ownPartitions(next, c.config.Zone)
	c.view.Store(v)
	c.mu.Unlock()
	for _, disk := range slices.Sorted(maps.Keys(gone)) {
		gone[disk].link.Close()
	}
	c.reports.resend() // first: what has ended needs no claim
	for _, s := range v.stores {
		s.link.Hurry() // a new placement may tell that it is back
		s.claim()
	}
}

// adopt returns the store of an entry: the one known, taken out of gone, or a new one.
func (c *Client) adopt(entry *wire.Store, gone map[string]*store) *store {
	s := gone[entry.Disk]
	if s != nil && s.address == entry.Address {
		delete(gone, entry.Disk)
	} else {
		s = newStore(c, entry)
	}
	c.stores[entry.Disk] = s
	return s
}

func ownPartitions(v *wire.StoreView, zone string) []uint16 {
	var own []uint16
	for i, p := range v.Partitions {
		if len(p.Replicas) > 0 && int(p.Replicas[0]) < len(v.Stores) && v.Stores[p.Replicas[0]].Zone == zone {
			own = append(own, uint16(i))
		}
	}
	return own
}

// Usable says whether messages can be put: there is a placement, and a primary of it is connected.
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

// Drain tells the stores to hand nothing more to this edge.
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

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	stores := c.all()
	c.mu.Unlock()
	c.reports.stop()
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

// replicas of a partition, the primary first.
func (v *view) replicas(partition uint16) []*store {
	if int(partition) >= len(v.Partitions) {
		return nil
	}
	var found []*store
	for _, i := range v.Partitions[partition].Replicas {
		if int(i) < len(v.stores) {
			found = append(found, v.stores[i])
		}
	}
	return found
}

func (v *view) primary(partition uint16) *store {
	if int(partition) >= len(v.Partitions) {
		return nil
	}
	replicas := v.Partitions[partition].Replicas
	if len(replicas) == 0 || int(replicas[0]) >= len(v.stores) {
		return nil
	}
	return v.stores[replicas[0]]
}

// answers says whether nothing tells against a partition's stores.
func (v *view) answers(partition uint16, now time.Duration) bool {
	replicas := v.Partitions[partition].Replicas
	for _, i := range replicas {
		if int(i) >= len(v.stores) || v.stores[i].suspect(now) {
			return false
		}
	}
	return len(replicas) > 0
}

// mayPut says whether a put to a partition may be tried now. While its stores leave puts unanswered one goes there at a time: the
// rest would promise nothing to their clients either, who do better if they are refused in time.
func (v *view) mayPut(partition uint16, now time.Duration) bool {
	for _, s := range v.replicas(partition) {
		if time.Duration(s.suspectUntil.Load()) > now {
			return v.primary(partition).unanswered.Load() == 0
		}
	}
	return true
}

// choose draws a partition for a message without an order: in the own zone and with stores that answer, if there is one; else
// anywhere with such stores; else with a primary that is connected. Those tried before come last. While another try may still be
// answered, only a partition that is not tried and answers is worth one more.
func (v *view) choose(now time.Duration, tried []uint16, waiting bool) (uint16, bool) {
	everywhere := func(i int) uint16 { return uint16(i) }
	own := func(i int) uint16 { return v.own[i] }
	answers := func(p uint16) bool { return v.answers(p, now) }
	connected := func(p uint16) bool { s := v.primary(p); return s != nil && s.conn() != nil }
	for _, untried := range []bool{true, false} {
		skip := func(p uint16) bool { return untried && slices.Contains(tried, p) }
		if p, ok := v.draw(len(v.own), own, skip, answers); ok {
			return p, true
		}
		if p, ok := v.draw(len(v.Partitions), everywhere, skip, answers); ok {
			return p, true
		}
		if waiting {
			break
		}
		if p, ok := v.draw(len(v.Partitions), everywhere, skip, connected); ok {
			return p, true
		}
	}
	return 0, false
}

// draw returns the first that will do of count partitions, from a random one on.
func (v *view) draw(count int, at func(int) uint16, skip, will func(uint16) bool) (uint16, bool) {
	if count == 0 {
		return 0, false
	}
	start := int(v.host.Uint64() % uint64(count))
	for i := range count {
		if p := at((start + i) % count); !skip(p) && will(p) {
			return p, true
		}
	}
	return 0, false
}
