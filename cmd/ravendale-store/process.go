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

// Timeouts of a planned stop and of a start.
const (
	leaveTimeout        = 400 * time.Millisecond  // for notifying the leader that this store is leaving
	newLeaderTimeout    = time.Second             // for notifying the current leader, which may have changed during the stop
	dropTimeout         = 200 * time.Millisecond  // for other stores to receive the placement without this one
	transferTimeout     = 1500 * time.Millisecond // for other stores to become the primaries of this store's partitions
	voteTimeout         = 2500 * time.Millisecond // for another store to replace this one as a voter of the core
	pollInterval        = 50 * time.Millisecond
	stopMargin          = 1500 * time.Millisecond // the process ends this long before the end of the grace period
	listenTimeout       = 3 * time.Second         // the previous process may still be bound to the address
	listenRetryInterval = 50 * time.Millisecond
)

// process wires the components of a store process.
type process struct {
	env         program.Environment
	mux         *rpc.Mux
	store       *server.Store
	agent       *member.Agent
	core        *coreHost
	diskFailure chan error
}

func newProcess(ctx context.Context, env program.Environment) (*process, error) {
	s := env.Settings
	p := &process{env: env, mux: rpc.NewMux(), diskFailure: make(chan error, 1)}
	store, disk, err := server.OpenDisk(ctx, server.Config{
		Settings: s, Mux: p.mux, Log: env.Log, StatusChanged: func() { p.agent.RenewNow() }, Failed: p.reportDiskFailure,
	})
	if err != nil {
		return nil, err
	}
	p.store = store
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

func (p *process) reportDiskFailure(err error) {
	select {
	case p.diskFailure <- err:
	default:
	}
}

// onChange applies a newer state. It ignores states older than the one that the leader reported first, since the store would take an
// outdated placement for the newest.
func (p *process) onChange(_ wire.Topic, s *member.Snapshot) {
	if p.agent.Current() {
		p.applySnapshot(s)
	}
}

// awaitCurrent applies the state that the leader reported first. This covers the case in which the state arrives before the report of
// its version: onChange has ignored it then.
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

// run serves until the context ends and the planned stop that follows is complete, or until the disk fails.
func (p *process) run(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	rpc.Handle(p.mux, wire.MethodHostCore, func(_ *rpc.Conn, request *wire.HostCore, _ rpc.Reply) { p.core.applyRequestAsync(runCtx, request.Host) })
	listener, err := p.listen(ctx)
	if err != nil {
		return err
	}
	p.core.run(runCtx)
	// These three goroutines end soon after their context. The process does not wait for them, since durability does not depend on them.
	go p.env.WatchSettings(runCtx, p.setSettings)
	go p.agent.Run(runCtx)
	go p.awaitCurrent(runCtx)
	p.env.Log.Info("store started", "address", listener.Address())
	select {
	case err = <-p.diskFailure:
	case <-ctx.Done():
		p.leaveCluster()
	}
	cancelRun()
	p.core.wait()
	if err == nil {
		p.awaitDroppedByPeers()
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

// listen listens on the store's address. It retries for listenTimeout, since the previous process may still be bound to the address.
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

// leaveCluster requests that the leader move the partitions of which this store is the primary to other stores, and transfers the
// leadership and the vote in the core. It keeps serving until this is done or the time limits are reached.
func (p *process) leaveCluster() {
	timeLimit := max(settings.Seconds(p.env.Settings.Bounds.GraceS)-stopMargin, 0)
	started := time.Now()
	p.notifyLeader(leaveTimeout)
	for p.store.Primary() && time.Since(started) < min(transferTimeout, timeLimit) {
		time.Sleep(pollInterval)
	}
	p.core.transferLeadership()
	for p.voteTransferable() && time.Since(started) < min(voteTimeout, timeLimit) {
		time.Sleep(pollInterval)
	}
	// A leader elected in the meantime, perhaps to replace one in this process, has not been notified that this store is leaving. It would
	// keep the store in the placement for a while after the process has ended, and messages accepted by other stores would wait for its
	// acknowledgement.
	p.notifyLeader(min(newLeaderTimeout, max(timeLimit-time.Since(started), 0)))
}

// notifyLeader notifies the leader that this store is leaving, and waits for an acknowledgement or the timeout.
func (p *process) notifyLeader(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.agent.Leave(ctx)
}

// awaitDroppedByPeers keeps the store serving for dropTimeout after the leader has seen it disconnect: until the other stores receive the
// placement without it, the messages that they accept wait for its acknowledgements.
func (p *process) awaitDroppedByPeers() { time.Sleep(dropTimeout) }

// voteTransferable reports whether this store is a voter of the core and another store could replace it. The vote is transferred since
// the store may not restart.
func (p *process) voteTransferable() bool {
	hasVote, voters := p.core.voteStatus()
	placement := p.agent.Snapshot().Stores
	return hasVote && placement != nil && len(placement.Stores) > voters
}
