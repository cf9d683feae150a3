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
	leaveTimeout        = 400 * time.Millisecond  // to notify the leader
	successorTimeout    = time.Second             // to notify the leader of now, which may have taken over meanwhile
	dropTimeout         = 200 * time.Millisecond  // once the leader has seen this store go, for the others to go on without it
	transferTimeout     = 1500 * time.Millisecond // for other stores to become the primaries of this one's partitions
	voteTimeout         = 2500 * time.Millisecond // for another store to take over the vote in the core
	pollInterval        = 50 * time.Millisecond
	stopMargin          = 1500 * time.Millisecond // before the grace is over, the process has ended
	listenTimeout       = 3 * time.Second         // the process before this one may still have the address
	listenRetryInterval = 50 * time.Millisecond
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
	p.agent.OnChange(p.onChange)
	p.core = newCoreHost(s, env.Log)
	return p, nil
}

func (p *process) fail(err error) {
	select {
	case p.failed <- err:
	default:
	}
}

// onChange handles a newer state. Before the agent has what the leader named first, an old placement could pass for the newest.
func (p *process) onChange(_ wire.Topic, s *member.Snapshot) {
	if p.agent.Current() {
		p.applySnapshot(s)
	}
}

// awaitCurrent applies the state that the leader named first, should the agent learn that it is the newest only after it has come.
func (p *process) awaitCurrent(ctx context.Context) {
	for !p.agent.Current() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
	p.applySnapshot(p.agent.Snapshot())
}

func (p *process) applySnapshot(s *member.Snapshot) {
	p.store.SetEdges(s.Members)
	p.store.SetView(s.Stores)
}

// run serves until the context ends, and then as long as a planned stop takes, or until the disk fails.
func (p *process) run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	rpc.Handle(p.mux, wire.MethodHostCore, func(_ *rpc.Conn, order *wire.HostCore, _ rpc.Reply) { p.core.submit(running, order.Host) })
	listener, err := p.listen(ctx)
	if err != nil {
		return err
	}
	p.core.run(running)
	// These three end soon after the context. The process does not wait for them: what is durable does not depend on them.
	go p.env.WatchSettings(running, p.setSettings)
	go p.agent.Run(running)
	go p.awaitCurrent(running)
	p.env.Log.Info("store is up", "address", listener.Address())
	select {
	case err = <-p.failed:
	case <-ctx.Done():
		p.leave()
	}
	stop()
	p.core.wait()
	if err == nil {
		p.awaitDropped()
	}
	listener.Close()
	if err != nil {
		return err
	}
	return p.store.Close()
}

func (p *process) setSettings(s *settings.Settings) {
	p.agent.SetSettings(s)
	p.core.setSettings(s)
}

// listen listens on the store's address, which the process before this one may still have.
func (p *process) listen(ctx context.Context) (*rpc.Server, error) {
	options := rpc.Options{Mux: p.mux}
	onConn := func(c *rpc.Conn) {
		c.OnClose(func(error) { p.store.ConnClosed(c) })
	}
	deadline := time.Now().Add(listenTimeout)
	for {
		listener, err := rpc.Listen(p.env.Settings.StorageAddress(), options, onConn)
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return listener, err
		}
		time.Sleep(listenRetryInterval)
	}
}

// leave has the leader move what this store decides to others, and serves until then, or for as long as there is time.
func (p *process) leave() {
	available := max(settings.Seconds(p.env.Settings.Bounds.GraceS)-stopMargin, 0)
	started := time.Now()
	p.notifyLeader(leaveTimeout)
	for p.store.Primary() && time.Since(started) < min(transferTimeout, available) {
		time.Sleep(pollInterval)
	}
	p.core.abdicate()
	for p.replaceable() && time.Since(started) < min(voteTimeout, available) {
		time.Sleep(pollInterval)
	}
	// Who took over the lease since, from this very process perhaps, does not know that this store is leaving, and would count on it for a
	// while after it has gone: what others accept would wait for it.
	p.notifyLeader(min(successorTimeout, max(available-time.Since(started), 0)))
}

// notifyLeader tells the leader that this store is leaving, and waits until one knows.
func (p *process) notifyLeader(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	p.agent.Leave(ctx)
}

// awaitDropped serves for a while after the leader has seen this store go: until the others know the placement without it, what they
// accept waits for its acknowledgements.
func (p *process) awaitDropped() { time.Sleep(dropTimeout) }

// replaceable says whether this store has a vote in the core that another store may take over: it might not come back.
func (p *process) replaceable() bool {
	has, voters := p.core.votes()
	placed := p.agent.Snapshot().Stores
	return has && placed != nil && len(placed.Stores) > voters
}
