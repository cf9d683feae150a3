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

// invalidPause is how long a term waits before it checks its leader lease again, while that is not valid.
const invalidPause = 50 * time.Millisecond

// leadership is what the parts of a term share. Its fields are not changed once the term runs.
type leadership struct {
	service *Service
	number  uint64        // of the term, as the state machine assigned it
	valid   func() bool   // reports whether the leader lease is valid
	started time.Duration // on the host's clock
	box     *mailbox.Mailbox
	tasks   host.Tasks
	done    chan struct{} // closed once the term has ended
}

// now returns the time since the term began.
func (l *leadership) now() time.Duration { return l.service.host.Now() - l.started }

func (l *leadership) address() string {
	s := l.service.settings.Load()
	return s.ControlAddress(s.IP)
}

// term is one term of this process as the leader. It passes events on to its parts, and calls each part when it has
// work due. Except for run and what is posted to the mailbox, its methods run in the goroutine of run.
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
	node := relay.NewNode(relay.NodeConfig{Root: true, LinkBandwidth: s.settings.Load().BytesPerSecond(), Log: s.log, Host: s.host})
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

// run leads until the context ends, and returns once all goroutines that it started have ended.
func (t *term) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	t.tasks.Go(func() { t.node.Run(ctx) })
	t.tasks.Go(func() { t.workers.discover(ctx) })
	t.adoptSavedEdges()
	t.service.host.Serve(ctx, t.box, func() time.Duration { return t.tick(ctx) })
	cancel()
	close(t.done)
	t.tasks.Wait()
}

// adoptSavedEdges lists the schedulers that an earlier leader saved, until each has renewed or its lease has expired.
// The list may contain schedulers that are gone for that time, which is safe.
func (t *term) adoptSavedEdges() {
	edges := t.service.config.State().Edges
	if len(edges) == 0 {
		return
	}
	t.takeover.edgesSaved = true
	t.applyChanges(t.leases.registry.Adopt(t.now(), &wire.Members{Edges: edges}))
}

// tick runs after each event, and performs what is due. It returns how long the term may wait for the next event.
func (t *term) tick(ctx context.Context) time.Duration {
	t.placer.handleOrders(ctx)
	if !t.valid() {
		return invalidPause
	}
	now := t.now()
	t.applyChanges(t.leases.registry.Tick(now))
	t.publishState()
	t.members.publish(now)
	t.members.save(ctx, now)
	t.placer.replan(ctx, now)
	return t.nextPause(now)
}

// applyChanges passes changes of the leases on to the parts that they affect.
func (t *term) applyChanges(changes registry.Changes) {
	t.members.changed = t.members.changed || changes.Members
	t.placer.recordChanges(changes)
}

// nextPause returns the time until the next deadline, or 0 if there is none.
func (t *term) nextPause(now time.Duration) time.Duration {
	pause := time.Duration(0)
	consider := func(at time.Duration) {
		if wait := max(at-now, time.Millisecond); pause == 0 || wait < pause {
			pause = wait
		}
	}
	if at, ok := t.leases.registry.Next(); ok {
		consider(at)
	}
	t.members.addDeadlines(now, consider)
	t.placer.addDeadlines(now, consider)
	return pause
}

// publishState publishes the configuration and the placement that this process has applied, if they are newer than the
// published ones.
func (t *term) publishState() {
	snapshot := t.service.config.State()
	t.topics.publishIfNewer(wire.TopicConfig, wire.Version{Sequence: snapshot.Sequence}, func() ([]byte, error) { return snapshot.Document, nil })
	t.placer.updateView(snapshot)
	t.topics.publishIfNewer(wire.TopicStores, wire.Version{Sequence: snapshot.Epoch()}, func() ([]byte, error) { return snapshot.Placement.MarshalMsg(nil) })
}

// renew handles a member's request to renew its lease.
func (t *term) renew(c *rpc.Conn, renew *wire.Renew, reply rpc.Reply) {
	if !t.valid() {
		reply.Send(&wire.RenewReply{})
		return
	}
	now := t.now()
	t.watchConnection(c)
	lease, changes := t.leases.registry.Renew(now, c.AcceptOrder(), renew)
	t.applyChanges(changes)
	if lease > 0 {
		t.members.recordRenewal(now, &renew.Member)
		t.placer.recordRenewal(now, &renew.Member)
		t.service.sendHostOrder(c, &renew.Member, t.placer.view)
		t.fetchEarlierTopics(c, relay.VersionsOf(renew.Have))
	}
	answer := wire.RenewReply{
		Granted: lease > 0, Leader: t.address(), LeaseMillis: uint32(lease / time.Millisecond), Core: t.service.config.Core(),
	}
	if answer.Granted && t.topics.complete(now) {
		answer.Heads = t.topics.heads.List()
	}
	reply.Send(&answer)
}

// watchConnection has the leases notified when a member's connection closes.
func (t *term) watchConnection(c *rpc.Conn) {
	if t.leases.record(c) {
		c.OnClose(func(error) {
			t.box.Post(func() { t.applyChanges(t.leases.disconnected(t.now(), c)) })
		})
	}
}

// fetchEarlierTopics requests the topics of an earlier term that a member has: the workers until this term has a list
// of workers, and the members until the longest lease of an earlier term has expired.
func (t *term) fetchEarlierTopics(c *rpc.Conn, have relay.Versions) {
	if have[wire.TopicMembers] != (wire.Version{}) {
		t.takeover.recordMembers(t.now())
	}
	if t.workers.list == nil {
		t.takeover.fetch(c, wire.TopicWorkers, have[wire.TopicWorkers], t.adoptTopic)
	}
	if t.now() < t.leases.config.MaxLease() {
		t.takeover.fetch(c, wire.TopicMembers, have[wire.TopicMembers], t.adoptTopic)
	}
}

// adoptTopic takes over a topic of an earlier term that a member has sent.
func (t *term) adoptTopic(update *wire.Update) {
	payload, err := relay.Payload(update)
	if err != nil {
		t.service.log.Warn("failed to decode a topic of an earlier term", "topic", update.Topic, "error", err)
		return
	}
	if update.Topic == wire.TopicMembers {
		members := new(wire.Members)
		if _, err := members.UnmarshalMsg(payload); err == nil && t.now() < t.leases.config.MaxLease() {
			t.takeover.adopted[update.Topic] = update.To
			t.applyChanges(t.leases.registry.Adopt(t.now(), members))
		}
		return
	}
	workers := new(wire.Workers)
	if _, err := workers.UnmarshalMsg(payload); err == nil && !t.topics.publishedInTerm(wire.TopicWorkers) {
		t.takeover.adopted[update.Topic] = update.To
		t.workers.list = workers
		t.topics.publish(update.Topic, update.To, payload)
	}
}
