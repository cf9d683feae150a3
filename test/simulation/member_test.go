package simulation

import (
	"context"
	"fmt"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/member"
	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/edge/dispatch"
	"ravendale/edge/queueclient"
	"ravendale/store/queue"
)

const currentPollInterval = 20 * time.Millisecond

// process is a machine that runs an edge or a store.
type process struct {
	*machine
	settings    settings.Settings
	edge        bool
	disk        string // of a store
	journal     *memoryJournal
	skewMs      int64         // deviation of its time of day
	diskDelay   time.Duration // maximum extra delay of a disk write
	diskStalled bool

	// State of one incarnation.
	memberID        string
	agent           *member.Agent
	handlers        *rpc.Mux
	startedAt       time.Duration
	appliedVersions [wire.TopicCount]wire.Version // versions that the parts of an edge have applied
	dispatcher      *dispatch.Manager             // of an edge
	client          *queueclient.Client           // of an edge
	queue           *queue.Core                   // of a store
	peers           map[string]host.Link          // of a store, by disk
	unordered       map[*rpc.Conn]queue.Remote    // of a store with the mutation takesLastConnection
	wakeCount       int
	lastServed      [wire.TopicCount]wire.Version
	currentAt       time.Duration // negative: it is not current; never read
	disconnectedAt  time.Duration // last time it had no path to the core
}

func (w *world) newProcess(number int, zone string, seeds []string, edge bool) *process {
	net, kind := storeNet, "store"
	if edge {
		net, kind = edgeNet, "edge"
	}
	ip := ipOf(net, number)
	p := &process{
		edge: edge, disconnectedAt: w.now, disk: fmt.Sprintf("%s-disk-%d", ip, w.random.Uint32()),
		settings: settings.Settings{
			Node: kind + "-" + ip, IP: ip, PortRange: []int{firstPort, firstPort + 2}, Zone: zone, Seeds: seeds,
			HeartbeatMs: w.settings.heartbeatMs,
		},
	}
	address := p.settings.StorageAddress()
	if edge {
		address = p.settings.EdgeAddress()
	}
	p.machine = w.newMachine(p.settings.Node, zone, address, p)
	p.journal = &memoryJournal{process: p}
	p.skewMs = w.random.Int64N(200)
	return p
}

func (p *process) mux() *rpc.Mux { return p.handlers }

// start implements program.
func (p *process) start(l *incarnation) {
	p.handlers, p.lastServed, p.currentAt = rpc.NewMux(), [wire.TopicCount]wire.Version{}, -1
	p.startedAt = p.clock()
	self := wire.Member{
		ID: fmt.Sprintf("%s-%d-%d", p.name, p.incarnations, l.random.Uint32()), Node: p.name, Address: p.address, Zone: p.zone,
		Edge: p.edge, Storage: !p.edge,
	}
	p.memberID = self.ID
	config := member.Config{Settings: &p.settings, Mux: p.handlers, Self: self, Log: l.log(), Host: l}
	if !p.edge {
		config.Self.Disk = p.disk
		config.Status = func() wire.StoreStatus { return p.queue.Status() }
		p.startStore(l)
	} else {
		p.startEdge(l, self.ID)
	}
	p.agent = member.New(config)
	p.agent.OnChange(func(topic wire.Topic, s *member.Snapshot) { p.onChange(l, topic, s) })
	if p.edge {
		p.agent.OnConfigConfirmed(p.configConfirmed)
	}
	agent := p.agent
	l.startTask(func() { agent.Run(context.Background()) })
	p.awaitCurrent(l)
}

// stopped implements program.
func (p *process) stopped(powerLoss bool) { p.journal.stop(powerLoss) }

// awaitCurrent polls until the agent's state is confirmed as the newest, and then applies it: the confirmation may come
// after the state.
func (p *process) awaitCurrent(l *incarnation) {
	if !p.agent.Current() {
		l.after(currentPollInterval, func() { p.awaitCurrent(l) })
		return
	}
	p.applySnapshot(l)
}

func (p *process) applySnapshot(l *incarnation) {
	if p.edge {
		p.applyToEdge(p.agent.Snapshot())
		return
	}
	p.applyToStore(l)
}

// wipe replaces a store's disk with an empty one.
func (p *process) wipe() {
	p.disk = fmt.Sprintf("%s-disk-%d", p.settings.IP, p.world.random.Uint32())
	p.journal = &memoryJournal{process: p}
}

// onChange is called for each newer version of a topic.
func (p *process) onChange(l *incarnation, topic wire.Topic, s *member.Snapshot) {
	p.world.log("%s has topic %d at %v", p.name, topic, s.Versions[topic])
	if p.agent.Current() {
		p.applySnapshot(l)
	}
}

// serves reports whether the process serves now, and its versions of the topics.
func (p *process) serves() (versions [wire.TopicCount]wire.Version, ok bool) {
	if p.incarnation == nil || p.frozen || p.agent == nil {
		return versions, false
	}
	snapshot := p.agent.Snapshot()
	return snapshot.Versions, p.agent.Current()
}

// leave stops the process gracefully.
func (p *process) leave() {
	if p.incarnation == nil || p.frozen {
		return
	}
	l := p.incarnation
	p.noteDisturbance()
	ended, end := context.WithCancel(context.Background())
	end()
	p.agent.Leave(ended)
	l.after(p.world.drawBetween(50*time.Millisecond, 400*time.Millisecond), func() { p.world.after(0, func() { p.endIncarnation(l) }) })
}

// endIncarnation ends the given incarnation, unless it has ended already.
func (m *machine) endIncarnation(l *incarnation) {
	if m.incarnation == l {
		m.end(false)
	}
}
