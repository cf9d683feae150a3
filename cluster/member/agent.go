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

// Times of the connection to a control process. Renewals show soon enough when it is unresponsive, so that pings
// are hardly needed.
const (
	connectTimeout = 200 * time.Millisecond
	pingInterval   = 2 * time.Second
	failureTimeout = 5 * time.Second
)

// Config of an Agent.
type Config struct {
	Settings *settings.Settings
	Self     wire.Member             // Ready and Leaving are filled in by the agent
	Mux      *rpc.Mux                // gets the handlers of the relay tree; the main program listens with it
	Status   func() wire.StoreStatus // stores only
	Ready    func() bool             // nil: always
	Log      *slog.Logger            // nil: the default
	Host     host.Host               // nil: host.System
}

// Agent is a process's part in membership and distribution. Its methods may be called by any goroutine, but for OnChange.
type Agent struct {
	config   Config
	log      *slog.Logger
	host     host.Host
	started  time.Duration
	box      *mailbox.Mailbox
	node     *relay.Node
	snapshot atomic.Pointer[Snapshot]
	onChange []func(wire.Topic, *Snapshot)
	first    atomic.Pointer[relay.Versions] // what the first granted renewal named
	leaseEnd atomic.Int64                   // steady time since started
	leader   atomic.Pointer[rpc.Conn]       // to who granted last, while it is up

	// The rest belongs to the goroutine of Run.
	session       *session
	link          host.Link
	conn          *rpc.Conn
	leaving       bool
	left          []chan struct{} // closed once a leader knows that the process is leaving
	parents       parentsKey
	granting      bool // it was granted a lease
	currentLogged bool // the log says that the state is current
}

// New makes an agent and registers its handlers on the Mux. Nothing else happens before Run.
func New(config Config) *Agent {
	machine := host.Or(config.Host)
	a := &Agent{config: config, log: config.Log, host: machine, started: machine.Now(), box: mailbox.New()}
	if a.log == nil {
		a.log = slog.Default()
	}
	a.snapshot.Store(&Snapshot{})
	heartbeat := settings.Milliseconds(float64(config.Settings.HeartbeatMs))
	random := rand.New(rand.NewPCG(machine.Uint64(), machine.Uint64()))
	a.session = newSession(random, heartbeat, config.Settings.SeedAddresses())
	a.node = relay.NewNode(relay.NodeConfig{
		Self: config.Self.ID, Link: config.Settings.BytesPerSecond(), OnUpdate: a.updated, Leader: a.leader.Load, Log: a.log, Host: machine,
	})
	relay.Register(config.Mux, func() *relay.Node { return a.node })
	return a
}

// OnChange has f called after each change of a topic, in order, on one goroutine. It must be called before Run.
func (a *Agent) OnChange(f func(topic wire.Topic, s *Snapshot)) { a.onChange = append(a.onChange, f) }

// Run renews the lease and follows the topics until the context ends.
func (a *Agent) Run(ctx context.Context) {
	tasks := a.host.Tasks()
	tasks.Go(func() { a.node.Run(ctx) })
	a.host.Serve(ctx, a.box, a.tick)
	if a.link != nil {
		a.link.Close()
	}
	tasks.Wait()
}

// Snapshot is the newest state known, never nil.
func (a *Agent) Snapshot() *Snapshot { return a.snapshot.Load() }

// Current says whether each topic is at least as new as the leader said in this life's first granted renewal.
func (a *Agent) Current() bool {
	first := a.first.Load()
	return first != nil && a.Snapshot().covers(first)
}

// Leased says whether the lease of membership holds now: without it the process may not be counted among the members.
func (a *Agent) Leased() bool { return int64(a.now()) < a.leaseEnd.Load() }

// Leave tells the leader that the process is being stopped, and returns once that was answered or the context ends.
func (a *Agent) Leave(ctx context.Context) {
	acknowledged := make(chan struct{})
	a.box.Post(func() {
		a.leaving = true
		a.left = append(a.left, acknowledged)
		a.session.hurry(a.now())
	})
	select {
	case <-acknowledged:
	case <-ctx.Done():
	}
}

// RenewNow renews at once, as when a store's status or the process's readiness changed.
func (a *Agent) RenewNow() {
	a.box.Post(func() { a.session.hurry(a.now()) })
}

// SetSettings gives the agent settings that were read again: the seeds are looked at anew.
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

// connect has the link go to the session's target. In a pause no link is made: where nothing listens a connect fails at once, and each failure
// names another target.
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
	up := func(c *rpc.Conn) { a.box.Post(func() { a.connected(c, target) }) }
	down := func(error) { a.box.Post(func() { a.disconnected(target) }) }
	a.link = a.host.Connect(target, options, up, down)
}

func (a *Agent) connected(c *rpc.Conn, address string) {
	if a.link != nil && a.link.Address() == address {
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
	conn.Start(wire.MethodRenew, &renew, func(payload []byte, err error) {
		reply := new(wire.RenewReply)
		if err == nil {
			_, err = reply.UnmarshalMsg(payload)
		}
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
		a.session.failed(a.now(), address)
		return
	}
	now := a.now()
	a.session.replied(now, sentAt, address, reply)
	if !reply.Granted || now >= sentAt+leaseOf(reply) {
		return // or so late that who granted it may lead no more: the versions that it names may be old
	}
	a.granted(conn, reply)
	if leaving {
		for _, acknowledged := range a.left {
			close(acknowledged)
		}
		a.left = nil
	}
}

func (a *Agent) granted(conn *rpc.Conn, reply *wire.RenewReply) {
	if !a.granting {
		a.granting = true
		a.log.Debug("member of the system", "leader", a.session.leader, "after", a.now())
	}
	a.leader.Store(conn)
	a.leaseEnd.Store(int64(a.session.renewed + a.session.lease))
	a.named(reply.Heads)
	a.node.Named(reply.Heads)
	a.updateParents()
}

// named notes the versions that the first renewal names which does so.
func (a *Agent) named(heads []wire.Version) {
	if a.first.Load() != nil {
		return
	}
	if len(heads) != int(wire.TopicCount) {
		a.session.unnamed(a.now())
		return
	}
	first := relay.VersionsOf(heads)
	a.first.Store(&first)
	a.session.named = true
	a.logCurrent()
}

// logCurrent logs once that the process has the newest state, and how long that took.
func (a *Agent) logCurrent() {
	if a.currentLogged || !a.Current() {
		return
	}
	a.currentLogged = true
	a.log.Info("state is current", "leader", a.session.leader, "after", a.now())
}

// parentsKey is what the process's parents follow from.
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

// updated is called by the relay node for each newer version.
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
		a.log.Error("an update can't be read and is kept out", "topic", topic, "version", version, "error", err)
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
}
