package leader

import (
	"context"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/relay"
	"ravendale/cluster/relay/mailbox"
	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/registry"
)

// invalidPause is how long a term whose leader lease does not hold waits before it looks again.
const invalidPause = 50 * time.Millisecond

// leadership is what the parts of a term share. It is not changed once the term runs.
type leadership struct {
	service *Service
	number  uint64 // of the term, as the state machine gave it
	valid   func() bool
	started time.Duration // by the host's clock
	box     *mailbox.Mailbox
	tasks   host.Tasks
	done    chan struct{} // closed once the term has ended
}

// now is the time since the term began.
func (l *leadership) now() time.Duration { return l.service.host.Now() - l.started }

func (l *leadership) address() string {
	s := l.service.settings.Load()
	return s.ControlAddress(s.IP)
}

// term is one leadership: it passes events on to its parts, and has each do what is due. All but run belongs to the goroutine of run.
type term struct {
	*leadership
	node     *relay.Node
	topics   *publisher
	leases   *memberLeases
	takeover *takeover
	members  *memberList
	workers  *workerList
	placer   *placer
}

func newTerm(s *Service, number uint64, valid func() bool) *term {
	l := &leadership{
		service: s, number: number, valid: valid, started: s.host.Now(), box: mailbox.New(), tasks: s.host.Tasks(), done: make(chan struct{}),
	}
	node := relay.NewNode(relay.NodeConfig{Root: true, Link: s.settings.Load().BytesPerSecond(), Log: s.log, Host: s.host})
	heartbeat := settings.Milliseconds(float64(s.settings.Load().HeartbeatMs))
	topics := &publisher{node: node, term: number, log: s.log}
	leases := newMemberLeases(registry.DefaultConfig(heartbeat))
	takeover := &takeover{leadership: l}
	return &term{
		leadership: l, node: node, topics: topics, leases: leases, takeover: takeover,
		members: newMemberList(l, topics, leases, takeover),
		workers: &workerList{leadership: l, topics: topics},
		placer:  newPlacer(l, leases.registry),
	}
}

// run leads until the context ends, and returns once all that it started has ended.
func (t *term) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	t.tasks.Go(func() { t.node.Run(ctx) })
	t.tasks.Go(func() { t.workers.discover(ctx) })
	t.inherit()
	t.service.host.Serve(ctx, t.box, func() time.Duration { return t.tick(ctx) })
	cancel()
	close(t.done)
	t.tasks.Wait()
}

// inherit counts the schedulers that an earlier leader saved until they have renewed or had the time to: the list may be too long for
// a while, which is safe.
func (t *term) inherit() {
	edges := t.service.config.State().Edges
	if len(edges) == 0 {
		return
	}
	t.takeover.saved = true
	t.changed(t.leases.registry.Adopt(t.now(), &wire.Members{Edges: edges}))
}

// tick does what is due after each event.
func (t *term) tick(ctx context.Context) time.Duration {
	t.placer.handleOrders(ctx)
	if !t.valid() {
		return invalidPause
	}
	now := t.now()
	t.changed(t.leases.registry.Tick(now))
	t.followState()
	t.members.publish(now)
	t.members.save(ctx, now)
	t.placer.replan(ctx, now)
	return t.next(now)
}

// changed passes on what a change of the leases affects.
func (t *term) changed(changes registry.Changes) {
	t.members.changed = t.members.changed || changes.Members
	t.placer.changed(changes)
}

// next is how long nothing is due.
func (t *term) next(now time.Duration) time.Duration {
	pause := time.Duration(0)
	consider := func(at time.Duration) {
		if wait := max(at-now, time.Millisecond); pause == 0 || wait < pause {
			pause = wait
		}
	}
	if at, ok := t.leases.registry.Next(); ok {
		consider(at)
	}
	t.members.next(now, consider)
	t.placer.next(now, consider)
	return pause
}

// followState publishes what the state machine has newer.
func (t *term) followState() {
	now := t.service.config.State()
	t.topics.follow(wire.TopicConfig, wire.Version{Sequence: now.Sequence}, func() ([]byte, error) { return now.Document, nil })
	t.placer.follow(now)
	t.topics.follow(wire.TopicStores, wire.Version{Sequence: now.Epoch()}, func() ([]byte, error) { return now.Placement.MarshalMsg(nil) })
}

// renew answers a member.
func (t *term) renew(c *rpc.Conn, renew *wire.Renew, reply rpc.Reply) {
	if !t.valid() {
		reply.Send(&wire.RenewReply{})
		return
	}
	now := t.now()
	lease, changes := t.leases.renew(now, t.connection(c), renew)
	t.changed(changes)
	if lease > 0 {
		t.members.renewed(now, &renew.Member)
		t.placer.renewed(now, &renew.Member)
		t.service.order(c, &renew.Member, t.placer.view)
		t.adopt(c, relay.VersionsOf(renew.Have))
	}
	answer := wire.RenewReply{
		Granted: lease > 0, Leader: t.address(), LeaseMillis: uint32(lease / time.Millisecond), Core: t.service.config.Core(),
	}
	if answer.Granted && t.topics.complete(now) {
		answer.Heads = t.topics.heads.List()
	}
	reply.Send(&answer)
}

// connection is the number of a member's connection, whose end is noted.
func (t *term) connection(c *rpc.Conn) uint64 {
	number, isNew := t.leases.connection(c)
	if isNew {
		c.OnClose(func(error) {
			t.box.Post(func() { t.changed(t.leases.disconnected(t.now(), c)) })
		})
	}
	return number
}

// adopt asks a member for the topics that it knows of an earlier term, as long as this one has nothing better.
func (t *term) adopt(c *rpc.Conn, have relay.Versions) {
	if have[wire.TopicMembers] != (wire.Version{}) {
		t.takeover.sawMembers(t.now())
	}
	if t.workers.list == nil {
		t.takeover.fetch(c, wire.TopicWorkers, have[wire.TopicWorkers], t.take)
	}
	if t.now() < t.leases.config.Suspicion() {
		t.takeover.fetch(c, wire.TopicMembers, have[wire.TopicMembers], t.take)
	}
}

// take adopts a topic of an earlier term.
func (t *term) take(update *wire.Update) {
	payload, err := relay.Payload(update)
	if err != nil {
		t.service.log.Warn("a topic of an earlier term can't be read", "topic", update.Topic, "error", err)
		return
	}
	if update.Topic == wire.TopicMembers {
		members := new(wire.Members)
		if _, err := members.UnmarshalMsg(payload); err == nil && t.now() < t.leases.config.Suspicion() {
			t.takeover.adopted[update.Topic] = update.To
			t.changed(t.leases.registry.Adopt(t.now(), members))
		}
		return
	}
	workers := new(wire.Workers)
	if _, err := workers.UnmarshalMsg(payload); err == nil && !t.topics.announced(wire.TopicWorkers) {
		t.takeover.adopted[update.Topic] = update.To
		t.workers.list = workers
		t.topics.publish(update.Topic, update.To, payload)
	}
}
