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

const currentLook = 20 * time.Millisecond

// process is a machine with an edge or a store.
type process struct {
	*machine
	settings settings.Settings
	edge     bool
	disk     string // of a store
	records  *records
	skewMs   int64         // of its time of day
	slowBy   time.Duration // of its disk
	stalled  bool

	// Of one incarnation.
	agent      *member.Agent
	box        *rpc.Mux
	startedAt  time.Duration
	taken      [wire.TopicCount]wire.Version // by the parts of an edge
	dispatcher *dispatch.Manager             // of an edge
	client     *queueclient.Client           // of an edge
	queue      *queue.Core                   // of a store
	peers      map[string]host.Link          // of a store, by disk
	wakes      int
	served     [wire.TopicCount]wire.Version
	currentAt  time.Duration // negative: it is not current
	outside    time.Duration // when it last had no path to the core
}

func (w *world) newProcess(number int, zone string, seeds []string, edge bool) *process {
	net, kind := storeNet, "store"
	if edge {
		net, kind = edgeNet, "edge"
	}
	ip := ipOf(net, number)
	p := &process{
		edge: edge, outside: w.now, disk: fmt.Sprintf("%s-disk-%d", ip, w.random.Uint32()),
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
	p.records = &records{process: p}
	p.skewMs = w.random.Int64N(200)
	return p
}

func (p *process) mux() *rpc.Mux { return p.box }

// start implements program.
func (p *process) start(l *incarnation) {
	p.box, p.served, p.currentAt = rpc.NewMux(), [wire.TopicCount]wire.Version{}, -1
	p.startedAt = p.clock()
	self := wire.Member{
		ID: fmt.Sprintf("%s-%d-%d", p.name, p.incarnations, l.random.Uint32()), Node: p.name, Address: p.address, Zone: p.zone,
		Edge: p.edge, Storage: !p.edge,
	}
	config := member.Config{Settings: &p.settings, Mux: p.box, Self: self, Log: l.log(), Host: l}
	if !p.edge {
		config.Self.Disk = p.disk
		config.Status = func() wire.StoreStatus { return p.queue.Status() }
		p.startStore(l)
	} else {
		p.startEdge(l, self.ID)
	}
	p.agent = member.New(config)
	p.agent.OnChange(func(topic wire.Topic, s *member.Snapshot) { p.changed(l, topic, s) })
	agent := p.agent
	l.begin(func() { agent.Run(context.Background()) })
	p.awaitCurrent(l)
}

// stopped implements program.
func (p *process) stopped(powerLoss bool) { p.records.stop(powerLoss) }

// awaitCurrent takes the state that the leader named first, should the word that it is the newest come after it.
func (p *process) awaitCurrent(l *incarnation) {
	if !p.agent.Current() {
		l.after(currentLook, func() { p.awaitCurrent(l) })
		return
	}
	p.take(l)
}

func (p *process) take(l *incarnation) {
	if p.edge {
		p.takeEdge(p.agent.Snapshot())
		return
	}
	p.takeStore(l)
}

// wipe replaces a store's disk by an empty one.
func (p *process) wipe() {
	p.disk = fmt.Sprintf("%s-disk-%d", p.settings.IP, p.world.random.Uint32())
	p.records = &records{process: p}
}

// changed hears of each newer version of a topic.
func (p *process) changed(l *incarnation, topic wire.Topic, s *member.Snapshot) {
	p.world.log("%s has topic %d at %v", p.name, topic, s.Versions[topic])
	if p.agent.Current() {
		p.take(l)
	}
}

// serves says whether the process serves now, and by which versions.
func (p *process) serves() (versions [wire.TopicCount]wire.Version, ok bool) {
	if p.incarnation == nil || p.frozen || p.agent == nil {
		return versions, false
	}
	snapshot := p.agent.Snapshot()
	return snapshot.Versions, p.agent.Current()
}

// leave stops the process in order.
func (p *process) leave() {
	if p.incarnation == nil || p.frozen {
		return
	}
	l := p.incarnation
	p.harm()
	ended, end := context.WithCancel(context.Background())
	end()
	p.agent.Leave(ended)
	l.after(p.world.between(50*time.Millisecond, 400*time.Millisecond), func() { p.world.after(0, func() { p.endIncarnation(l) }) })
}

// endIncarnation ends a process unless that has ended already.
func (m *machine) endIncarnation(l *incarnation) {
	if m.incarnation == l {
		m.end(false)
	}
}
