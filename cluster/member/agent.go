package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/relay"
	"ravendale/cluster/relay/mailbox"
	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
)

// Timing of the connection to a control process. Renewals detect an unresponsive one soon enough, so pings are rarely
// needed.
const (
	connectTimeout = 200 * time.Millisecond
	pingInterval   = 2 * time.Second
	failureTimeout = 5 * time.Second
)

// Config is the configuration of an Agent.
type Config struct {
	Settings *settings.Settings
	Self     wire.Member             // Ready and Leaving are filled in by the agent
	Mux      *rpc.Mux                // New registers the relay tree's handlers on it; the main program serves it
	Status   func() wire.StoreStatus // reports the store's status; only set in stores
	Ready    func() bool             // reports whether the process is ready; nil: always ready
	Log      *slog.Logger            // nil: the default
	Host     host.Host               // nil: host.System
}

// Agent maintains a process's membership and receives the topics. All methods but OnChange may be called from any
// goroutine.
type Agent struct {
	config          Config
	log             *slog.Logger
	host            host.Host
	started         time.Duration
	box             *mailbox.Mailbox
	node            *relay.Node
	snapshot        atomic.Pointer[Snapshot]
	onChange        []func(wire.Topic, *Snapshot)
	onConfirm       func(at time.Duration)
	initialVersions atomic.Pointer[relay.Versions] // newest versions, as in the first granted renewal that listed them
	leaseEnd        atomic.Int64                   // host time since started, in nanoseconds
	confirmedAt     atomic.Int64                   // the configuration was the newest then: host time since started, in nanoseconds; negative: never
	leader          atomic.Pointer[rpc.Conn]       // to the control process that granted the last renewal

	// The fields below are used only by the goroutine of Run.
	session       *session
	confirmation  confirmation
	link          host.Link
	conn          *rpc.Conn
	leaving       bool
	leaveWaiters  []chan struct{} // closed once a leader has acknowledged that the process is leaving
	parents       parentsKey
	leaseGranted  bool // a lease was granted at least once; limits logging
	currentLogged bool // logCurrent has logged
}

// New returns an agent and registers its handlers on the Mux. It does nothing else before Run.
func New(config Config) *Agent {
	machine := host.OrSystem(config.Host)
	a := &Agent{config: config, log: config.Log, host: machine, started: machine.Now(), box: mailbox.New()}
	if a.log == nil {
		a.log = slog.Default()
	}
	a.snapshot.Store(&Snapshot{})
	a.confirmedAt.Store(neverConfirmed)
	heartbeat := settings.Milliseconds(float64(config.Settings.HeartbeatMs))
	random := rand.New(rand.NewPCG(machine.Uint64(), machine.Uint64()))
	a.session = newSession(random, heartbeat, config.Settings.SeedAddresses())
	a.node = relay.NewNode(relay.NodeConfig{
		Self: config.Self.ID, LinkBandwidth: config.Settings.BytesPerSecond(), OnUpdate: a.updated, Leader: a.leader.Load, Log: a.log, Host: machine,
	})
	relay.Register(config.Mux, func() *relay.Node { return a.node })
	return a
}

// OnChange registers f, which is called after each change of a topic, in order, on the goroutine of Run. It must be
// called before Run.
func (a *Agent) OnChange(f func(topic wire.Topic, s *Snapshot)) { a.onChange = append(a.onChange, f) }

// Run renews the lease and receives the topics until the context ends.
func (a *Agent) Run(ctx context.Context) {
	tasks := a.host.Tasks()
	tasks.Go(func() { a.node.Run(ctx) })
	a.host.Serve(ctx, a.box, a.tick)
	if a.link != nil {
		a.link.Close()
	}
	tasks.Wait()
}

// Snapshot returns the newest state. It is never nil.
func (a *Agent) Snapshot() *Snapshot { return a.snapshot.Load() }

// Current reports whether each topic is at least as new as in the first granted renewal since the start of the process
// that listed versions.
func (a *Agent) Current() bool {
	initial := a.initialVersions.Load()
	return initial != nil && a.Snapshot().atLeast(initial)
}

// Leased reports whether the membership lease is valid now. Without it, the leader may no longer count the process as a
// member.
func (a *Agent) Leased() bool { return int64(a.now()) < a.leaseEnd.Load() }

// Leave notifies the leader that the process is being stopped. It returns when the leader has acknowledged that or the
// context ends.
func (a *Agent) Leave(ctx context.Context) {
	acknowledged := make(chan struct{})
	a.box.Post(func() {
		a.leaving = true
		a.leaveWaiters = append(a.leaveWaiters, acknowledged)
		a.session.renewNow(a.now())
	})
	select {
	case <-acknowledged:
	case <-ctx.Done():
	}
}

// RenewNow renews the lease at once, for example when a store's status or the process's readiness has changed.
func (a *Agent) RenewNow() {
	a.box.Post(func() { a.session.renewNow(a.now()) })
}

// SetSettings updates the agent to changed settings. Only the seeds are used.
func (a *Agent) SetSettings(s *settings.Settings) {
	seeds := s.SeedAddresses()
	a.box.Post(func() { a.session.setSeeds(seeds) })
}

func (a *Agent) now() time.Duration { return a.host.Now() - a.started }

func (a *Agent) tick() time.Duration {
	a.connect()
	if a.session.tick(a.now(), a.conn != nil && a.link.Address() == a.session.target) {
		a.renew()
	}
	a.connect()
	return max(a.session.next()-a.now(), time.Millisecond)
}

// connect points the link at the session's target. It makes no link during a pause: where nothing listens a connect
// fails at once, and each failure would select another target.
func (a *Agent) connect() {
	target := a.session.target
	if a.link != nil && a.link.Address() == target {
		return
	}
	if a.link != nil {
		a.link.Close()
		a.link, a.conn = nil, nil
	}
	if target == "" || a.session.pausing {
		return
	}
	options := rpc.Options{Mux: a.config.Mux, ConnectTimeout: connectTimeout, PingAfter: pingInterval, FailureTimeout: failureTimeout}
	up := func(c *rpc.Conn) { a.box.Post(func() { a.connected(c) }) }
	down := func(error) { a.box.Post(func() { a.disconnected(target) }) }
	a.link = a.host.Connect(target, options, up, down)
}

func (a *Agent) connected(c *rpc.Conn) {
	if a.link != nil && a.link.Conn() == c { // not one of an earlier link to the same address
		a.conn = c
	}
}

func (a *Agent) disconnected(address string) {
	if a.link != nil && a.link.Address() == address {
		a.conn = nil
		a.session.disconnected(a.now(), address)
	}
}

func (a *Agent) renew() {
	conn, address, sentAt, leaving := a.conn, a.session.target, a.now(), a.leaving
	renew := a.request()
	reply := new(wire.RenewReply)
	conn.StartCall(wire.MethodRenew, &renew, reply, func(err error) {
		a.box.Post(func() { a.replied(conn, address, sentAt, leaving, reply, err) })
	})
}

func (a *Agent) request() wire.Renew {
	self := a.config.Self
	self.Leaving = a.leaving
	self.Ready = !a.leaving && (a.config.Ready == nil || a.config.Ready())
	renew := wire.Renew{Member: self, Have: relay.Versions(a.Snapshot().Versions).List()}
	if a.config.Status != nil {
		renew.Store = a.config.Status()
	}
	return renew
}

func (a *Agent) replied(conn *rpc.Conn, address string, sentAt time.Duration, leaving bool, reply *wire.RenewReply, err error) {
	if err != nil {
		if conn == a.conn { // otherwise another attempt is in progress, perhaps at the same address
			a.session.failed(a.now(), address)
		}
		return
	}
	now := a.now()
	a.session.replied(now, sentAt, address, reply)
	if !reply.Granted || now >= sentAt+leaseOf(reply) {
		return // refused, or so late that the sender may no longer be the leader and its versions may be old
	}
	a.granted(conn, reply)
	a.confirm(confirmation{sentAt: sentAt, heads: reply.Heads})
	if leaving {
		for _, acknowledged := range a.leaveWaiters {
			close(acknowledged)
		}
		a.leaveWaiters = nil
	}
}

func (a *Agent) granted(conn *rpc.Conn, reply *wire.RenewReply) {
	if !a.leaseGranted {
		a.leaseGranted = true
		a.log.Debug("joined the cluster", "leader", a.session.leader, "after", a.now())
	}
	a.leader.Store(conn)
	a.leaseEnd.Store(int64(a.session.renewedAt + a.session.lease))
	a.recordInitialVersions(reply.Heads)
	a.node.RecordHeads(reply.Heads)
	a.updateParents()
}

// recordInitialVersions stores the versions in the first granted renewal that lists them; see Current.
func (a *Agent) recordInitialVersions(heads []wire.Version) {
	if a.initialVersions.Load() != nil {
		return
	}
	if len(heads) != int(wire.TopicCount) {
		a.session.headsUnavailable(a.now())
		return
	}
	versions := relay.VersionsOf(heads)
	a.initialVersions.Store(&versions)
	a.session.headsReceived = true
	a.logCurrent()
}

// logCurrent logs, once, that the state is current and how long that took since the start.
func (a *Agent) logCurrent() {
	if a.currentLogged || !a.Current() {
		return
	}
	a.currentLogged = true
	a.log.Info("state is current", "leader", a.session.leader, "after", a.now())
}

// parentsKey is the input from which the process's parents in the relay tree are computed.
type parentsKey struct {
	leader  string
	members *wire.Members
	stores  int
}

func (a *Agent) updateParents() {
	snapshot := a.Snapshot()
	key := parentsKey{leader: a.session.leader, members: snapshot.Members}
	if snapshot.Stores != nil {
		key.stores = len(snapshot.Stores.Stores)
	}
	if key.leader == "" || key == a.parents {
		return
	}
	a.parents = key
	a.node.SetParents(relay.Parents(a.config.Self, key.members, key.stores, key.leader))
}

// updated is called by the relay node for each newer version of a topic.
func (a *Agent) updated(topic wire.Topic, version wire.Version, payload []byte) {
	a.box.Post(func() { a.apply(topic, version, payload) })
}

func (a *Agent) apply(topic wire.Topic, version wire.Version, payload []byte) {
	old := a.Snapshot()
	if !old.Versions[topic].Less(version) {
		return
	}
	snapshot, err := old.with(topic, version, payload, a.config.Self.Edge)
	if err != nil {
		a.log.Error("ignoring an update that can't be decoded", "topic", topic, "version", version, "error", err)
		return
	}
	a.snapshot.Store(snapshot)
	a.logCurrent()
	if topic == wire.TopicMembers && len(snapshot.Members.Core) > 0 {
		a.session.setCore(snapshot.Members.Core)
	}
	a.updateParents()
	for _, f := range a.onChange {
		f(topic, snapshot)
	}
	a.confirm(a.confirmation)
}
