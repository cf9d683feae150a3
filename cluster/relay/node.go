package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/relay/mailbox"
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// heartbeatInterval is the time between a parent's heartbeats to its children.
const heartbeatInterval = 500 * time.Millisecond

// Pings are rarely needed: the uplink detects a failed parent by missing heartbeats.
const (
	pingInterval      = 2 * time.Second
	connectionTimeout = 5 * time.Second
)

// NodeConfig is the configuration of a Node.
type NodeConfig struct {
	Self          string  // Member.ID
	Root          bool    // the node has no parent, and an unlimited number of children
	LinkBandwidth float64 // bytes a second of the network link; 0: unknown, updates are not paced
	OnUpdate      func(topic wire.Topic, version wire.Version, payload []byte)
	Leader        func() *rpc.Conn // returns a connection to the leader, or nil; may be nil itself
	Log           *slog.Logger
	Host          host.Host // nil: host.System
}

// Node is a process's node in the relay tree. Its methods may be called from any goroutine.
type Node struct {
	config  NodeConfig
	box     *mailbox.Mailbox
	host    host.Host
	started time.Duration

	// The fields below are used only by the goroutine of Run.
	topics         Topics
	children       *Children[*rpc.Conn]
	uplink         *Uplink
	link           host.Link
	heartbeatDue   time.Duration
	parentVersions Versions // the parent's versions, as in its last heartbeat
	pacer          pacer
	deferred       bool // some update waits until the pacer allows it
	stopped        bool
}

// NewNode returns a node that does nothing before Run.
func NewNode(config NodeConfig) *Node {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	limit := MaxChildren
	if config.Root {
		limit = 0
	}
	machine := host.OrSystem(config.Host)
	random := rand.New(rand.NewPCG(machine.Uint64(), machine.Uint64()))
	return &Node{
		config: config, box: mailbox.New(), host: machine, started: machine.Now(),
		children: NewChildren[*rpc.Conn](limit), uplink: NewUplink(random), pacer: newPacer(config.LinkBandwidth),
	}
}

// Register registers handlers that pass children's requests to the node that current returns. While current returns
// nil, children are refused.
func Register(mux *rpc.Mux, current func() *Node) {
	rpc.Handle(mux, wire.MethodSubscribe, func(c *rpc.Conn, subscribe *wire.Subscribe, reply rpc.Reply) {
		node := current()
		if node == nil || !node.box.Post(func() { node.subscribe(c, subscribe, reply) }) {
			reply.Send(&wire.SubscribeReply{})
		}
	})
	rpc.Handle(mux, wire.MethodFetch, func(_ *rpc.Conn, fetch *wire.Fetch, reply rpc.Reply) {
		node := current()
		if node == nil || !node.box.Post(func() { node.answer(fetch, reply) }) {
			reply.Send(&wire.Update{Topic: fetch.Topic})
		}
	})
}

// Run takes part in the tree until the context ends. It then closes its children's connections.
func (n *Node) Run(ctx context.Context) {
	n.host.Serve(ctx, n.box, n.tick)
	n.stop()
}

func (n *Node) stop() {
	n.stopped = true
	if n.link != nil {
		n.link.Close()
	}
	for _, child := range n.children.List() {
		child.Close()
	}
}

// Publish sets a topic's newest version. The payload must not be modified afterwards.
func (n *Node) Publish(topic wire.Topic, version wire.Version, payload []byte) {
	n.box.Post(func() {
		if n.topics.Publish(topic, version, payload) {
			n.changed(topic)
		}
	})
}

// SetParents sets the addresses of possible parents in order of preference.
func (n *Node) SetParents(parents []string) {
	n.box.Post(func() { n.uplink.SetParents(n.now(), parents) })
}

// RecordHeads records versions that are known to exist. Those that do not arrive in time are fetched.
func (n *Node) RecordHeads(heads []wire.Version) {
	n.box.Post(func() { n.topics.RecordHeads(n.now(), heads) })
}

// Apply applies an update that was received outside the tree.
func (n *Node) Apply(update *wire.Update) {
	n.box.Post(func() { n.apply(update) })
}

func (n *Node) now() time.Duration { return n.host.Now() - n.started }

func (n *Node) changed(topic wire.Topic) {
	n.push()
	if n.config.OnUpdate != nil {
		n.config.OnUpdate(topic, n.topics.Versions()[topic], n.topics.Payload(topic))
	}
}

func (n *Node) push() {
	sends, deferred := n.children.Push(&n.topics, n.allow)
	n.deferred = deferred
	for _, send := range sends {
		if err := send.Child.Notify(wire.MethodUpdate, send.Update); err != nil {
			n.children.Remove(send.Child)
		}
	}
}

// allow reports whether an update of size bytes may be sent now, and if so accounts for it.
func (n *Node) allow(size int) bool { return n.pacer.allow(n.now(), size) }

func (n *Node) subscribe(c *rpc.Conn, subscribe *wire.Subscribe, reply rpc.Reply) {
	if subscribe.Member == n.config.Self || !n.children.Add(c, VersionsOf(subscribe.Have)) {
		reply.Send(&wire.SubscribeReply{})
		return
	}
	c.OnClose(func(error) { n.box.Post(func() { n.children.Remove(c) }) })
	reply.Send(&wire.SubscribeReply{Accepted: true})
	n.push()
}

func (n *Node) answer(fetch *wire.Fetch, reply rpc.Reply) {
	update := n.topics.Answer(fetch)
	if !n.allow(len(update.Payload)) { // the child repeats its request later
		update = wire.Update{Topic: fetch.Topic}
	}
	reply.Send(&update)
}

func (n *Node) apply(update *wire.Update) {
	newer, err := n.topics.Apply(update)
	if err != nil { // record the version as missing, so that Repairs fetches it
		n.topics.RecordHeads(n.now(), headOf(update))
		return
	}
	if newer {
		n.changed(update.Topic)
	}
}

func headOf(update *wire.Update) []wire.Version {
	var heads Versions
	heads[update.Topic] = update.To
	return heads[:]
}

func (n *Node) tick() time.Duration {
	now := n.now()
	n.uplink.Tick(now)
	n.connect()
	n.sendHeartbeats(now)
	if n.deferred && now >= n.pacer.next() {
		n.push()
	}
	for _, repair := range n.topics.Repairs(now) {
		n.fetch(repair)
	}
	return n.next(now)
}

func (n *Node) next(now time.Duration) time.Duration {
	next, found := n.uplink.Next()
	if at, ok := n.topics.Next(); ok && (!found || at < next) {
		next, found = at, true
	}
	if len(n.children.List()) > 0 && (!found || n.heartbeatDue < next) {
		next, found = n.heartbeatDue, true
	}
	if n.deferred && (!found || n.pacer.next() < next) {
		next, found = n.pacer.next(), true
	}
	if !found {
		return 0
	}
	return max(next-now, time.Millisecond)
}

func (n *Node) sendHeartbeats(now time.Duration) {
	if now < n.heartbeatDue || len(n.children.List()) == 0 {
		return
	}
	n.heartbeatDue = now + heartbeatInterval
	versions := n.topics.Versions()
	heartbeat := wire.Heartbeat{Heads: versions.List()}
	for _, child := range slices.Clone(n.children.List()) {
		if err := child.Notify(wire.MethodHeartbeat, &heartbeat); err != nil {
			n.children.Remove(child)
		}
	}
}

// connect points the link at the uplink's target.
func (n *Node) connect() {
	target := n.uplink.Target()
	if n.link != nil && n.link.Address() == target {
		return
	}
	if n.link != nil {
		n.link.Close()
		n.link = nil
	}
	if target == "" || n.stopped {
		return
	}
	options := rpc.Options{Mux: n.parentMux(target), ConnectTimeout: joinTimeout, PingAfter: pingInterval, FailureTimeout: connectionTimeout}
	up := func(c *rpc.Conn) { n.box.Post(func() { n.join(c, target) }) }
	down := func(error) { n.box.Post(func() { n.uplink.Failed(n.now(), target) }) }
	n.link = n.host.Connect(target, options, up, down)
}

func (n *Node) parentMux(address string) *rpc.Mux {
	mux := rpc.NewMux()
	rpc.Handle(mux, wire.MethodUpdate, func(_ *rpc.Conn, update *wire.Update, _ rpc.Reply) {
		n.box.Post(func() {
			n.uplink.Received(n.now(), address)
			n.apply(update)
		})
	})
	rpc.Handle(mux, wire.MethodHeartbeat, func(_ *rpc.Conn, heartbeat *wire.Heartbeat, _ rpc.Reply) {
		n.box.Post(func() {
			n.uplink.Received(n.now(), address)
			n.parentVersions = VersionsOf(heartbeat.Heads)
			n.topics.RecordHeads(n.now(), heartbeat.Heads)
		})
	})
	return mux
}

func (n *Node) join(c *rpc.Conn, address string) {
	versions := n.topics.Versions()
	subscribe := wire.Subscribe{Member: n.config.Self, Have: versions.List()}
	var reply wire.SubscribeReply
	c.StartCall(wire.MethodSubscribe, &subscribe, &reply, func(err error) {
		accepted := err == nil && reply.Accepted
		n.box.Post(func() { n.joined(c, address, accepted) })
	})
}

// joined handles the answer to a subscription. An answer on a connection that the link has replaced says nothing about
// the current one, also if both lead to the same address.
func (n *Node) joined(c *rpc.Conn, address string, accepted bool) {
	if n.link == nil || n.link.Conn() != c {
		return
	}
	if !accepted {
		c.Close()
		n.uplink.Failed(n.now(), address)
		return
	}
	n.parentVersions = Versions{}
	n.uplink.Accepted(n.now(), address)
}

// fetch requests a topic from the parent and the leader alternately, or from the leader only if there is no parent. The
// leader is first if the parent itself lacks the version.
func (n *Node) fetch(repair Repair) {
	conn := n.fetchFrom(repair)
	if conn == nil {
		return
	}
	fetch := wire.Fetch{Topic: repair.Topic, Have: repair.Have}
	update := new(wire.Update)
	conn.StartCall(wire.MethodFetch, &fetch, update, func(err error) {
		if err == nil && len(update.Payload) > 0 {
			n.Apply(update)
		}
	})
}

func (n *Node) fetchFrom(repair Repair) *rpc.Conn {
	var parent, leader *rpc.Conn
	if n.link != nil && n.uplink.Joined() {
		parent = n.link.Conn()
	}
	if n.config.Leader != nil {
		leader = n.config.Leader()
	}
	behind := n.parentVersions[repair.Topic].Less(repair.Head)
	if parent == nil || leader != nil && (repair.Attempts%2 == 1) != behind {
		return leader
	}
	return parent
}
