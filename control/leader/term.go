package leader

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/host"
	"ravendale/cluster/relay"
	"ravendale/cluster/relay/mailbox"
	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/discovery"
	"ravendale/control/placement"
	"ravendale/control/registry"
	"ravendale/control/state"
)

// Times of a term.
const (
	storeGrace    = 1500 * time.Millisecond // for stores to find a new leader before one of them is taken for lost
	foundingQuiet = 500 * time.Millisecond  // without a new store, before the queue is placed first
	membersQuiet  = 300 * time.Millisecond  // without a new scheduler, before they are listed first
	membersFirst  = 600 * time.Millisecond  // before that the first list is not made, unless an earlier leader's was kept
	membersEvery  = 100 * time.Millisecond  // the list is made anew
	membersFetch  = 150 * time.Millisecond  // for a member to hand over the list that it has, before the one that was kept is told
	keepEvery     = 250 * time.Millisecond  // the schedulers are kept for the next leader
	workersGrace  = 2 * time.Second         // for a list of workers, before members are told that there is none
	invalidPause  = 50 * time.Millisecond
	placeEvery    = 200 * time.Millisecond // each new placement disturbs: only losses are acted on at once
	coreEvery     = 2 * time.Second        // the list of control processes is looked at
)

// errStale is returned when the state machine refused the placement.
var errStale = errors.New("leader: the placement was refused")

// term is one leadership. All but run, and what is set before it, belongs to the goroutine of run.
type term struct {
	service  *Service
	number   uint64
	valid    func() bool
	node     *relay.Node
	box      *mailbox.Mailbox
	started  time.Duration
	done     chan struct{}
	ctx      context.Context
	work     host.Tasks
	registry *registry.Registry
	lease    registry.Config

	links    map[*rpc.Conn]uint64
	lastLink uint64

	heads     relay.Versions // what was published
	sequences [wire.TopicCount]uint64
	workers   *wire.Workers
	members   []byte         // encoded, as published last in this term
	core      []string       // as published last
	coreSeen  time.Duration  // when core was compared last
	unlisted  bool           // members changed since they were published
	adopted   relay.Versions // what was taken over from members of earlier terms
	fetching  [wire.TopicCount]bool
	earlier   bool          // some member knows a list of an earlier term
	earlierAt time.Duration // when the first of them renewed
	inherited bool          // an earlier leader's schedulers were kept
	listedAt  time.Duration // when members were published last
	keeping   bool          // the schedulers are being kept
	keepAt    time.Duration // not before
	lastEdge  time.Duration
	edges     map[string]bool // IDs of those that renewed in this term

	disks      map[string]bool // stores that renewed in this term
	lastStore  time.Duration
	unplaced   bool            // something that the placement goes by has changed since it was looked at
	placed     time.Duration   // when it was looked at last
	urgent     bool            // a store was lost since
	proposed   time.Duration   // when one was submitted last
	view       *wire.StoreView // the newest that this process has applied
	submitting bool
	retryAt    time.Duration
	epoch      uint64 // the newest that was agreed on, as far as this term knows
}

func newTerm(s *Service, number uint64, valid func() bool) *term {
	heartbeat := settings.Milliseconds(float64(s.settings.Load().HeartbeatMs))
	lease := registry.DefaultConfig(heartbeat)
	return &term{
		service: s, number: number, valid: valid, box: mailbox.New(), started: s.host.Now(), done: make(chan struct{}),
		work:     s.host.Tasks(),
		node:     relay.NewNode(relay.NodeConfig{Root: true, Link: s.settings.Load().BytesPerSecond(), Log: s.log, Host: s.host}),
		registry: registry.New(lease), lease: lease,
		links: make(map[*rpc.Conn]uint64), edges: make(map[string]bool), disks: make(map[string]bool),
	}
}

func (t *term) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	t.ctx = ctx
	t.work.Go(func() { t.node.Run(ctx) })
	t.work.Go(func() { t.discover(ctx) })
	t.inherit()
	t.service.host.Serve(ctx, t.box, t.tick)
	cancel()
	close(t.done)
	t.work.Wait()
}

func (t *term) now() time.Duration { return t.service.host.Now() - t.started }

// inherit counts the schedulers that an earlier leader kept until they have renewed or had the time to: the list may be too long for
// a while, which is safe.
func (t *term) inherit() {
	edges := t.service.config.State().Edges
	if len(edges) == 0 {
		return
	}
	t.inherited = true
	t.note(t.registry.Adopt(t.now(), &wire.Members{Edges: edges}))
}

// tick does what is due after each event.
func (t *term) tick() time.Duration {
	if !t.valid() {
		return invalidPause
	}
	now := t.now()
	t.note(t.registry.Tick(now))
	t.followState()
	t.publishMembers(now)
	t.keepMembers(now)
	t.place(now)
	return t.next(now)
}

// note remembers what has to be looked at.
func (t *term) note(changes registry.Changes) {
	t.unlisted = t.unlisted || changes.Members
	t.unplaced = t.unplaced || changes.Stores
	t.urgent = t.urgent || changes.Lost
}

// next is how long nothing is due.
func (t *term) next(now time.Duration) time.Duration {
	pause := time.Duration(0)
	consider := func(at time.Duration) {
		if wait := max(at-now, time.Millisecond); pause == 0 || wait < pause {
			pause = wait
		}
	}
	if at, ok := t.registry.Next(); ok {
		consider(at)
	}
	if t.members == nil {
		consider(max(t.membersDue(), now+invalidPause))
	} else if t.unlisted {
		consider(t.listedAt + membersEvery)
	}
	if t.keepAt > now {
		consider(t.keepAt)
	}
	for _, at := range []time.Duration{storeGrace, t.lastStore + foundingQuiet, t.retryAt} {
		if at > now {
			consider(at)
		}
	}
	return pause
}

func (t *term) publish(topic wire.Topic, version wire.Version, payload []byte) {
	t.heads[topic] = version
	t.node.Publish(topic, version, payload)
}

// announce publishes a topic's next version of this term.
func (t *term) announce(topic wire.Topic, message msgp.Marshaler) {
	payload, err := message.MarshalMsg(nil)
	if err != nil {
		t.service.log.Error("a topic can't be encoded", "topic", topic, "error", err)
		return
	}
	t.sequences[topic]++
	t.publish(topic, wire.Version{Term: t.number, Sequence: t.sequences[topic]}, payload)
}

// followState publishes what the state machine has newer.
func (t *term) followState() {
	now := t.service.config.State()
	if config := (wire.Version{Sequence: now.Sequence}); t.heads[wire.TopicConfig].Less(config) {
		t.publish(wire.TopicConfig, config, now.Document)
	}
	if now.Placement != t.view {
		t.view, t.unplaced = now.Placement, true
	}
	t.epoch = max(t.epoch, now.Epoch())
	if stores := (wire.Version{Sequence: now.Epoch()}); t.heads[wire.TopicStores].Less(stores) {
		payload, err := now.Placement.MarshalMsg(nil)
		if err != nil {
			t.service.log.Error("the placement can't be encoded", "error", err)
			return
		}
		t.publish(wire.TopicStores, stores, payload)
	}
}

// renew answers a member.
func (t *term) renew(c *rpc.Conn, renew *wire.Renew, reply rpc.Reply) {
	if !t.valid() {
		reply.Send(&wire.RenewReply{})
		return
	}
	now := t.now()
	lease, changes := t.registry.Renew(now, t.link(c), renew)
	t.note(changes)
	if lease > 0 {
		t.meet(now, renew)
		t.service.order(c, &renew.Member, t.view)
		t.adopt(c, relay.VersionsOf(renew.Have))
	}
	answer := wire.RenewReply{
		Granted: lease > 0, Leader: t.address(), LeaseMillis: uint32(lease / time.Millisecond), Core: t.service.config.Core(),
	}
	if answer.Granted && t.complete(now) {
		answer.Heads = t.heads.List()
	}
	reply.Send(&answer)
}

func (t *term) address() string {
	s := t.service.settings.Load()
	return s.ControlAddress(s.IP)
}

// complete says whether all topics are known, so that a member may take them for the newest.
func (t *term) complete(now time.Duration) bool {
	known := t.heads[wire.TopicWorkers] != wire.Version{} && t.heads[wire.TopicMembers] != wire.Version{}
	return known || now >= workersGrace
}

func (t *term) link(c *rpc.Conn) uint64 {
	if link := t.links[c]; link != 0 {
		return link
	}
	t.lastLink++
	link := t.lastLink
	t.links[c] = link
	c.OnClose(func(error) {
		t.box.Post(func() {
			delete(t.links, c)
			t.note(t.registry.Broken(t.now(), link))
		})
	})
	return link
}

// meet takes note of who renews for the first time.
func (t *term) meet(now time.Duration, renew *wire.Renew) {
	if renew.Member.Edge && !t.edges[renew.Member.ID] {
		t.edges[renew.Member.ID] = true
		t.lastEdge = now
	}
	if renew.Member.Storage && !t.disks[renew.Member.Disk] {
		t.disks[renew.Member.Disk] = true
		t.lastStore = now
	}
}

// adopt asks a member for the topics that it knows of an earlier term, as long as this one has nothing better.
func (t *term) adopt(c *rpc.Conn, have relay.Versions) {
	if have[wire.TopicMembers] != (wire.Version{}) && !t.earlier {
		t.earlier, t.earlierAt = true, t.now()
	}
	if t.workers == nil {
		t.ask(c, wire.TopicWorkers, have[wire.TopicWorkers])
	}
	if t.now() < t.lease.Suspicion() {
		t.ask(c, wire.TopicMembers, have[wire.TopicMembers])
	}
}

func (t *term) ask(c *rpc.Conn, topic wire.Topic, have wire.Version) {
	if have.Term >= t.number || !t.adopted[topic].Less(have) || t.fetching[topic] {
		return
	}
	t.fetching[topic] = true
	c.Start(wire.MethodFetch, &wire.Fetch{Topic: topic}, func(payload []byte, err error) {
		update := new(wire.Update)
		if err == nil {
			_, err = update.UnmarshalMsg(payload)
		}
		t.box.Post(func() {
			t.fetching[topic] = false
			if err == nil && update.Topic == topic && !update.Delta && update.To.Term < t.number && t.adopted[topic].Less(update.To) {
				t.take(update)
			}
		})
	})
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
		if _, err := members.UnmarshalMsg(payload); err == nil && t.now() < t.lease.Suspicion() {
			t.adopted[update.Topic] = update.To
			t.note(t.registry.Adopt(t.now(), members))
		}
		return
	}
	workers := new(wire.Workers)
	if _, err := workers.UnmarshalMsg(payload); err == nil && t.sequences[wire.TopicWorkers] == 0 {
		t.adopted[update.Topic] = update.To
		t.workers = workers
		t.publish(update.Topic, update.To, payload)
	}
}

// membersDue is when the first list of members of this term is made: at once after one was adopted or kept, and else when it can be
// thought to be whole. Too short a list would have schedulers take too large a share of a service.
func (t *term) membersDue() time.Duration {
	switch {
	case t.adopted[wire.TopicMembers] != (wire.Version{}), t.inherited && !t.earlier:
		return 0
	case t.inherited:
		return t.earlierAt + membersFetch
	case t.earlier:
		return t.lease.Suspicion()
	}
	return max(t.lastEdge+membersQuiet, membersFirst)
}

func (t *term) publishMembers(now time.Duration) {
	if t.members == nil && (now < t.membersDue() || len(t.edges) == 0 && !t.inherited) {
		return
	}
	t.lookAtCore(now)
	if !t.unlisted || t.members != nil && now < t.listedAt+membersEvery {
		return
	}
	t.unlisted, t.listedAt = false, now
	members := &wire.Members{Edges: t.registry.Edges(), Core: t.core}
	payload, err := members.MarshalMsg(nil)
	if err != nil || t.members != nil && bytes.Equal(payload, t.members) {
		return
	}
	t.members = payload
	t.announce(wire.TopicMembers, members)
}

// keepMembers has the control state keep the schedulers that are listed.
func (t *term) keepMembers(now time.Duration) {
	if t.members == nil || t.keeping || now < t.keepAt {
		return
	}
	edges := t.registry.Edges()
	if slices.EqualFunc(edges, t.service.config.State().Edges, sameEdge) {
		t.keepAt = now + keepEvery // to list them all after each renewal is half of a large fleet's cost
		return
	}
	t.keeping = true
	t.work.Go(func() {
		t.keep(edges)
		t.box.Post(func() { t.keeping, t.keepAt = false, t.now()+keepEvery })
	})
}

func sameEdge(a, b wire.Edge) bool {
	a.Ready, b.Ready = false, false
	return a == b
}

func (t *term) keep(edges []wire.Edge) {
	if !t.valid() {
		return
	}
	if _, err := t.service.submit(t.ctx, &state.PutMembers{Term: t.number, Edges: edges}); err != nil {
		t.service.log.Debug("the schedulers were not kept", "error", err)
	}
}

func (t *term) lookAtCore(now time.Duration) {
	if t.core != nil && now < t.coreSeen+coreEvery {
		return
	}
	t.coreSeen = now
	core := append([]string{}, t.service.config.Core()...)
	slices.Sort(core)
	if t.core == nil || !slices.Equal(core, t.core) {
		t.core, t.unlisted = core, true
	}
}

// discover reads the platform's list for as long as this process leads.
func (t *term) discover(ctx context.Context) {
	s := t.service.settings.Load()
	pace := discovery.NewPace(settings.Milliseconds(s.Bounds.DrainMs), s.ProviderRate)
	read, done := t.service.reader()
	defer func() { done() }()
	failed := false
	for ctx.Err() == nil {
		if now := t.service.settings.Load(); now.ProviderAddress != s.ProviderAddress {
			done()
			read, done = t.service.reader()
			s = now
		}
		next, err := t.readList(ctx, read, pace)
		if err != nil && !failed && ctx.Err() == nil {
			t.service.log.Warn("the platform's list can't be read", "error", err)
		}
		failed = err != nil
		if t.service.host.Sleep(ctx, max(next-t.now(), time.Millisecond)) != nil {
			return
		}
	}
}

// listReader reads the platform's list, with a time between the starts of two calls, and says how many pages it had.
type listReader func(ctx context.Context, gap time.Duration) (*wire.Workers, int, error)

// readList reads the list, and says when to do so again.
func (t *term) readList(ctx context.Context, read listReader, pace *discovery.Pace) (time.Duration, error) {
	if !t.valid() {
		return t.now() + invalidPause, nil
	}
	started := t.now()
	workers, pages, err := read(ctx, pace.Gap())
	if err != nil {
		return pace.Failed(t.now()), err
	}
	t.box.Post(func() { t.listed(workers) })
	return pace.Done(started, workers, pages), nil
}

func (t *term) listed(workers *wire.Workers) {
	if !t.valid() {
		return
	}
	merged, changed := discovery.Merge(t.workers, workers)
	t.workers = merged
	// The first list of a term is told in any case: an earlier leader may have named a version that nobody has.
	if changed || t.sequences[wire.TopicWorkers] == 0 {
		t.announce(wire.TopicWorkers, merged)
	}
}

// live lists the stores to be counted on: those that hold a lease, and in the first time of a term those that have not yet been
// heard of.
func (t *term) live(now time.Duration, view *wire.StoreView) []placement.Store {
	var live []placement.Store
	for _, s := range t.registry.Stores() {
		if s.Member.Disk == "" {
			continue
		}
		live = append(live, placement.Store{
			Disk: s.Member.Disk, Node: s.Member.Node, Address: s.Member.Address, Zone: s.Member.Zone, Region: s.Member.Region,
			Leaving: s.Member.Leaving, Stalled: s.Status.Stalled, Epoch: s.Status.Epoch, Synced: s.Status.Synced,
		})
	}
	if view == nil || now >= storeGrace {
		return live
	}
	heard := live
	for _, s := range view.Stores {
		if !t.disks[s.Disk] && !replaced(s, heard) {
			live = append(live, placement.Store{
				Disk: s.Disk, Node: s.Node, Address: s.Address, Zone: s.Zone, Region: s.Region, Assumed: true,
			})
		}
	}
	return live
}

func replaced(s wire.Store, live []placement.Store) bool {
	return slices.ContainsFunc(live, func(l placement.Store) bool { return l.Node == s.Node || l.Address == s.Address })
}

// place has the queue placed anew if it should be.
func (t *term) place(now time.Duration) {
	view := t.view
	if t.submitting || now < t.retryAt || view != nil && view.Epoch < t.epoch {
		return
	}
	if !t.unplaced && !t.passed(now, storeGrace) && !t.passed(now, t.retryAt) && !t.passed(now, t.lastStore+foundingQuiet) {
		return
	}
	t.unplaced, t.placed = false, now
	if view == nil && now < t.lastStore+foundingQuiet {
		return
	}
	next, changed := placement.Plan(view, t.live(now, view), placementConfig(t.service.settings.Load()))
	if !changed {
		t.urgent = false
		return
	}
	if wait := t.proposed + placeEvery; !t.urgent && t.proposed > 0 && now < wait {
		t.retryAt = wait
		return
	}
	t.urgent = false
	t.propose(next, nil)
}

// passed says whether a time has come since the placement was looked at.
func (t *term) passed(now, at time.Duration) bool { return t.placed < at && at <= now }

// propose submits a placement. Answer, unless it is nil, gets the outcome.
func (t *term) propose(view *wire.StoreView, answer chan<- error) {
	t.submitting, t.proposed = true, t.now()
	t.work.Go(func() {
		err := t.decide(view)
		if answer != nil {
			answer <- err
		}
		t.box.Post(func() {
			t.submitting = false
			if err != nil {
				t.retryAt = t.now() + retryPause
				return
			}
			t.epoch = max(t.epoch, view.Epoch)
			t.service.log.Info("queue placed", "term", t.number, "epoch", view.Epoch, "stores", nodesOf(view), "joining", joiningIn(view))
		})
	})
}

func nodesOf(view *wire.StoreView) []string {
	var nodes []string
	for i := range view.Stores {
		nodes = append(nodes, view.Stores[i].Node)
	}
	return nodes
}

// joiningIn is how many partitions of a placement are being filled somewhere.
func joiningIn(view *wire.StoreView) int {
	count := 0
	for i := range view.Partitions {
		if len(view.Partitions[i].Joining) > 0 {
			count++
		}
	}
	return count
}

func (t *term) decide(view *wire.StoreView) error {
	if !t.valid() {
		return ErrNotLeading
	}
	result, err := t.service.submit(t.ctx, &state.PutPlacement{Term: t.number, View: *view})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUndecided, err)
	}
	if !result.Applied() {
		t.service.log.Warn("a placement was refused", "epoch", view.Epoch, "outcome", result.Outcome.String())
		return fmt.Errorf("%w: %s", errStale, result.Outcome)
	}
	return nil
}
