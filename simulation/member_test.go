package simulation

import (
	"context"
	"fmt"
	"time"

	"ravendale/member"
	"ravendale/rpc"
	"ravendale/settings"
	"ravendale/wire"
)

const (
	fillTime    = 250 * time.Millisecond // in which a store fills what it joins
	currentLook = 20 * time.Millisecond
)

// process is a machine with an edge or a store, as far as membership and the topics go.
type process struct {
	*machine
	settings settings.Settings
	edge     bool
	disk     string // of a store

	// Of one life.
	agent     *member.Agent
	box       *rpc.Mux
	epoch     uint64 // of the placement that a store acts under
	filled    []uint16
	served    [wire.TopicCount]wire.Version
	currentAt time.Duration // negative: it is not current
	outside   time.Duration // when it last had no path to the core
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
	return p
}

func (p *process) mux() *rpc.Mux { return p.box }

// start implements program.
func (p *process) start(l *life) {
	p.box, p.epoch, p.filled, p.served, p.currentAt = rpc.NewMux(), 0, nil, [wire.TopicCount]wire.Version{}, -1
	self := wire.Member{
		ID: fmt.Sprintf("%s-%d-%d", p.name, p.lives, l.random.Uint32()), Node: p.name, Address: p.address, Zone: p.zone,
		Edge: p.edge, Storage: !p.edge,
	}
	config := member.Config{Settings: &p.settings, Mux: p.box, Self: self, Log: l.log(), Host: l}
	if !p.edge {
		config.Self.Disk = p.disk
		config.Status = func() wire.StoreStatus { return wire.StoreStatus{Epoch: p.epoch, Synced: p.filled} }
	}
	p.agent = member.New(config)
	p.agent.OnChange(func(topic wire.Topic, s *member.Snapshot) { p.changed(l, topic, s) })
	agent := p.agent
	l.begin(func() { agent.Run(context.Background()) })
}

// ended implements program.
func (p *process) ended(bool) {}

// changed hears of each newer version of a topic.
func (p *process) changed(l *life, topic wire.Topic, s *member.Snapshot) {
	p.world.note("%s has topic %d at %v", p.name, topic, s.Versions[topic])
	if topic == wire.TopicStores && !p.edge {
		p.place(l, s.Stores)
	}
}

// place has a store act under a placement, once it knows that it has the newest.
func (p *process) place(l *life, stores *wire.StoreView) {
	if p.epoch >= stores.Epoch {
		return
	}
	if !p.agent.Current() {
		l.after(currentLook, func() { p.place(l, stores) })
		return
	}
	p.epoch, p.filled = stores.Epoch, nil
	p.agent.RenewNow()
	l.after(p.world.upTo(fillTime), func() { p.fill(stores.Epoch, stores) })
}

// fill tells that all partitions are filled that a store joins in a placement.
func (p *process) fill(epoch uint64, stores *wire.StoreView) {
	if p.epoch != epoch {
		return
	}
	for number, partition := range stores.Partitions {
		for _, joining := range partition.Joining {
			if stores.Stores[joining].Disk == p.disk {
				p.filled = append(p.filled, uint16(number))
			}
		}
	}
	if len(p.filled) > 0 {
		p.agent.RenewNow()
	}
}

// serves says whether the process serves now, and by which versions.
func (p *process) serves() (versions [wire.TopicCount]wire.Version, ok bool) {
	if p.life == nil || p.frozen || p.agent == nil {
		return versions, false
	}
	snapshot := p.agent.Snapshot()
	return snapshot.Versions, p.agent.Current()
}

// leave stops the process in order.
func (p *process) leave() {
	if p.life == nil || p.frozen {
		return
	}
	l := p.life
	p.harm()
	ended, end := context.WithCancel(context.Background())
	end()
	p.agent.Leave(ended)
	l.after(p.world.between(50*time.Millisecond, 400*time.Millisecond), func() { p.world.after(0, func() { p.endLife(l) }) })
}

// endLife ends a process unless that has ended already.
func (m *machine) endLife(l *life) {
	if m.life == l {
		m.end(false)
	}
}
