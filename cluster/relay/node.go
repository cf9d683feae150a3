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

// heartbeatInterval is how often a parent tells its children that it lives.
const heartbeatInterval = 500 * time.Millisecond

// Heartbeats say that a parent lives, and the uplink gives it up: pings are hardly needed.
const (
	pingInterval      = 2 * time.Second
	connectionTimeout = 5 * time.Second
)

// NodeConfig says what a Node is and whom it tells.
type NodeConfig struct {
	Self     string  // Member.ID
	Root     bool    // it has no parent, and any number of children
	Link     float64 // bytes a second that the machine's link carries; 0: not known, and nothing is paced
	OnUpdate func(topic wire.Topic, version wire.Version, payload []byte)
	Leader   func() *rpc.Conn // a connection to the leader, if there is one; nil: never
	Log      *slog.Logger
	Host     host.Host // nil: host.System
}

// Node is a process's place in the relay tree. Its methods may be called by any goroutine.
type Node struct {
	config  NodeConfig
	box     *mailbox.Mailbox
	host    host.Host
	started time.Duration

	// The rest belongs to the goroutine of Run.
	topics         Topics
	children       *Children[*rpc.Conn]
	uplink         *Uplink
	link           host.Link
	heartbeatDue   time.Duration
	parentVersions Versions // what the parent said that it has
	pace           pace
	deferred       bool // some update waits for the pace
	stopped        bool
}

// NewNode makes a node that does nothing before Run.
func NewNode(config NodeConfig) *Node {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	limit := MaxChildren
	if config.Root {
		limit = 0
	}
	machine := host.Or(config.Host)
	random := rand.New(rand.NewPCG(machine.Uint64(), machine.Uint64()))
	return &Node{
		config: config, box: mailbox.New(), host: machine, started: machine.Now(),
		children: NewChildren[*rpc.Conn](limit), uplink: NewUplink(random), pace: newPace(config.Link),
	}
}

// Register has a Mux pass children's requests to the node that current names. While it names none, children are refused.
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

// Run takes part in the tree until the context ends. It lets its children go then.
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

// Publish sets a topic's newest version. Its payload must not be changed any more.
func (n *Node) Publish(topic wire.Topic, version wire.Version, payload []byte) {
	n.box.Post(func() {
		if n.topics.Publish(topic, version, payload) {
			n.changed(topic)
		}
	})
}

// SetParents gives the addresses of parents, the best first.
func (n *Node) SetParents(parents []string) {
	n.box.Post(func() { n.uplink.SetParents(n.now(), parents) })
}

// Named takes note of versions that exist somewhere; what stays missing is fetched.
func (n *Node) Named(heads []wire.Version) {
	n.box.Post(func() { n.topics.Named(n.now(), heads) })
}

// Take applies an update that came outside of the tree.
func (n *Node) Take(update *wire.Update) {
	n.box.Post(func() { n.take(update) })
}

func (n *Node) now() time.Duration { return n.host.Now() - n.started }

func (n *Node) changed(topic wire.Topic) {
	n.push()
	if n.config.OnUpdate != nil {
		n.config.OnUpdate(topic, n.topics.Versions()[topic], n.topics.Payload(topic))
	}
}

func (n *Node) push() {
	sends, deferred := n.children.Push(&n.topics, n.may)
	n.deferred = deferred
	for _, send := range sends {
		if err := send.Child.Notify(wire.MethodUpdate, send.Update); err != nil {
			n.children.Remove(send.Child)
		}
	}
}

// may says whether an update of so many bytes may be sent now.
func (n *Node) may(size int) bool { return n.pace.take(n.now(), size) }

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
	if !n.may(len(update.Payload)) { // it asks again
		update = wire.Update{Topic: fetch.Topic}
	}
	reply.Send(&update)
}

func (n *Node) take(update *wire.Update) {
	newer, err := n.topics.Apply(update)
	if err != nil { // the topic is missing now, and is fetched in full
		n.topics.Named(n.now(), headOf(update))
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
	if n.deferred && now >= n.pace.next() {
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
	if n.deferred && (!found || n.pace.next() < next) {
		next, found = n.pace.next(), true
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

// connect has the link go where the uplink wants it.
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
			n.uplink.Heard(n.now(), address)
			n.take(update)
		})
	})
	rpc.Handle(mux, wire.MethodHeartbeat, func(_ *rpc.Conn, heartbeat *wire.Heartbeat, _ rpc.Reply) {
		n.box.Post(func() {
			n.uplink.Heard(n.now(), address)
			n.parentVersions = VersionsOf(heartbeat.Heads)
			n.topics.Named(n.now(), heartbeat.Heads)
		})
	})
	return mux
}

func (n *Node) join(c *rpc.Conn, address string) {
	versions := n.topics.Versions()
	subscribe := wire.Subscribe{Member: n.config.Self, Have: versions.List()}
	c.Start(wire.MethodSubscribe, &subscribe, func(payload []byte, err error) {
		var reply wire.SubscribeReply
		if err == nil {
			_, err = reply.UnmarshalMsg(payload)
		}
		accepted := err == nil && reply.Accepted
		n.box.Post(func() { n.joined(c, address, accepted) })
	})
}

func (n *Node) joined(c *rpc.Conn, address string, accepted bool) {
	if !accepted {
		c.Close()
		n.uplink.Failed(n.now(), address)
		return
	}
	n.parentVersions = Versions{}
	n.uplink.Accepted(n.now(), address)
}

// fetch asks the parent for a topic, and the leader every other time, or if there is no parent. If the parent itself is behind, the
// leader is asked first.
func (n *Node) fetch(repair Repair) {
	conn := n.fetchFrom(repair)
	if conn == nil {
		return
	}
	fetch := wire.Fetch{Topic: repair.Topic, Have: repair.Have}
	conn.Start(wire.MethodFetch, &fetch, func(payload []byte, err error) {
		update := new(wire.Update)
		if err == nil {
			_, err = update.UnmarshalMsg(payload)
		}
		if err == nil && len(update.Payload) > 0 {
			n.Take(update)
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
