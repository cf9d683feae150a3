package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"ravendale/cluster/member"
	"ravendale/cluster/program"
	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/store/server"
)

// Times of a planned stop and of a start.
const (
	leaveTime   = 400 * time.Millisecond // to tell the leader
	handOffTime = 1500 * time.Millisecond
	voteTime    = 2500 * time.Millisecond // for another store to take over the vote in the core
	handOffLook = 50 * time.Millisecond
	graceMargin = 1500 * time.Millisecond // before the grace is over, the process has ended
	listenFor   = 3 * time.Second         // the process before this one may still hold the address
	listenPause = 50 * time.Millisecond
)

// process is the store, put together.
type process struct {
	env    program.Environment
	mux    *rpc.Mux
	store  *server.Store
	agent  *member.Agent
	core   *coreHost
	failed chan error
}

func newProcess(ctx context.Context, env program.Environment) (*process, error) {
	s := env.Settings
	p := &process{env: env, mux: rpc.NewMux(), failed: make(chan error, 1)}
	opened, disk, err := server.OpenDisk(ctx, server.Config{
		Settings: s, Mux: p.mux, Log: env.Log, StatusChanged: func() { p.agent.RenewNow() }, Failed: p.fail,
	})
	if err != nil {
		return nil, err
	}
	p.store = opened
	p.agent = member.New(member.Config{
		Settings: s, Mux: p.mux, Log: env.Log, Status: p.store.Status,
		Self: wire.Member{
			ID: strconv.FormatUint(rand.Uint64(), 36), Node: s.Node, Address: s.StorageAddress(), Zone: s.Zone, Region: s.Region,
			Storage: true, Disk: disk,
		},
	})
	p.agent.OnChange(p.changed)
	p.core = newCoreHost(s, env.Log)
	rpc.Handle(p.mux, wire.MethodHostCore, func(_ *rpc.Conn, order *wire.HostCore, _ rpc.Reply) { go p.core.order(order.Host) })
	return p, nil
}

func (p *process) fail(err error) {
	select {
	case p.failed <- err:
	default:
	}
}

// changed takes a newer state. Before the agent has what the leader named first, an old placement could be taken for the newest.
func (p *process) changed(_ wire.Topic, s *member.Snapshot) {
	if p.agent.Current() {
		p.take(s)
	}
}

// awaitCurrent takes the state that the leader named first, should the word that it is the newest come after it.
func (p *process) awaitCurrent(ctx context.Context) {
	for !p.agent.Current() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(handOffLook):
		}
	}
	p.take(p.agent.Snapshot())
}

func (p *process) take(s *member.Snapshot) {
	p.store.SetEdges(s.Members)
	p.store.SetView(s.Stores)
}

func (p *process) run(ctx context.Context) error {
	server, err := p.listen(ctx)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	p.core.run(running)
	go p.env.WatchSettings(running, p.setSettings)
	go p.agent.Run(running)
	go p.awaitCurrent(running)
	p.env.Log.Info("store is up", "address", server.Address())
	select {
	case err = <-p.failed:
	case <-ctx.Done():
		p.leave()
	}
	stop()
	p.core.wait()
	server.Close()
	if err != nil {
		return err
	}
	return p.store.Close()
}

func (p *process) setSettings(s *settings.Settings) {
	p.agent.SetSettings(s)
	p.core.setSettings(s)
}

func (p *process) listen(ctx context.Context) (*rpc.Server, error) {
	options := rpc.Options{Mux: p.mux}
	onConn := func(c *rpc.Conn) {
		c.OnClose(func(error) { go p.store.Closed(c) })
	}
	deadline := time.Now().Add(listenFor)
	for {
		server, err := rpc.Listen(p.env.Settings.StorageAddress(), options, onConn)
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return server, err
		}
		time.Sleep(listenPause)
	}
}

// leave has the leader move what this store decides to others, and serves until then, or for as long as there is time.
func (p *process) leave() {
	grace := max(settings.Seconds(p.env.Settings.Bounds.GraceS)-graceMargin, 0)
	started := time.Now()
	told, cancel := context.WithTimeout(context.Background(), leaveTime)
	p.agent.Leave(told)
	cancel()
	for p.store.Primary() && time.Since(started) < min(handOffTime, grace) {
		time.Sleep(handOffLook)
	}
	p.core.abdicate()
	for p.replaceable() && time.Since(started) < min(voteTime, grace) {
		time.Sleep(handOffLook)
	}
}

// replaceable says whether this store has a vote in the core that another store may take over: it might not come back.
func (p *process) replaceable() bool {
	has, voters := p.core.votes()
	placed := p.agent.Snapshot().Stores
	return has && placed != nil && len(placed.Stores) > voters
}
