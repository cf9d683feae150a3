package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ravendale/cluster/member"
	"ravendale/cluster/program"
	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/edge/dispatch"
	"ravendale/edge/ingress"
	"ravendale/edge/queueclient"
	"ravendale/edge/worker"
)

const currentStatePollInterval = 50 * time.Millisecond // between checks of whether the state is current, at the start

// Limits derived from the process's file descriptors and memory.
const (
	reservedDescriptors = 500      // for files and for connections to workers, stores and other schedulers
	minClientConns      = 64       // lower bound for the number of client connections
	maxBodyBytes        = 24 << 20 // upper bound for the bodies of leased messages
	bodyMemoryDivisor   = 8        // the bodies of leased messages use at most the process's memory divided by this
)

// Timeouts of a planned stop. The platform stops sending new connections after two failed readiness checks, which run once a second.
// The margins are counted back from the end of the grace period.
const (
	acceptPeriod = 2200 * time.Millisecond
	acceptMargin = 1500 * time.Millisecond // requests are accepted until then
	answerMargin = 1200 * time.Millisecond // requests are answered until then
	reportMargin = time.Second             // outcomes are reported until then
	leaveTimeout = 400 * time.Millisecond
)

// Used by retryListen.
const (
	listenTimeout       = 3 * time.Second
	listenRetryInterval = 50 * time.Millisecond
)

// edge wires the components of the process.
type edge struct {
	env            program.Environment
	id             string // Member.ID
	mux            *rpc.Mux
	agent          *member.Agent
	workers        *worker.Client
	dispatcher     *dispatch.Manager
	queue          *queueclient.Client
	ingress        *ingress.Server
	stateIsCurrent func() bool // whether the local state has reached the version that the leader reported first
	stopping       atomic.Bool

	mu      sync.Mutex // guards applied
	applied [wire.TopicCount]wire.Version
}

func newEdge(env program.Environment) *edge {
	s := env.Settings
	e := &edge{env: env, id: strconv.FormatUint(rand.Uint64(), 36), mux: rpc.NewMux(), workers: worker.NewClient()}
	id := e.id
	e.dispatcher = dispatch.NewManager(dispatchConfig(s, id), e.workers)
	e.queue = queueclient.New(queueclient.Config{
		Edge: id, Zone: s.Zone, Log: env.Log, Heartbeat: settings.Milliseconds(float64(s.HeartbeatMs)),
		Accepted: e.dispatcher.Accept, Granted: e.dispatcher.Grant, Acknowledged: e.dispatcher.Acknowledged,
		Confirmed: e.dispatcher.Confirmed, Unknown: e.dispatcher.Unknown, Leased: e.dispatcher.MessageIDs,
	})
	e.queue.Handle(e.mux)
	e.dispatcher.SetQueue(e.queue)
	e.agent = member.New(member.Config{
		Settings: s, Mux: e.mux, Log: env.Log, Ready: e.usable,
		Self: wire.Member{ID: id, Node: s.Node, Address: s.EdgeAddress(), Zone: s.Zone, Region: s.Region, Edge: true},
	})
	e.agent.OnChange(e.stateChanged)
	e.agent.OnConfigConfirmed(e.configConfirmed)
	e.stateIsCurrent = e.agent.Current
	e.ingress = ingress.New(ingress.Config{
		Queue: e.queue, Index: e.dispatcher.Index, Ready: e.isCurrent, Confirmed: e.hasConfirmedConfig, Accepts: e.dispatcher.Accepts,
		MaxConns: max(s.MaxFds-reservedDescriptors, minClientConns), Log: env.Log,
	})
	return e
}

func dispatchConfig(s *settings.Settings, id string) dispatch.Config {
	zones := make([]string, 0, len(s.Zones))
	for zone := range s.Zones {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	const mb = 1 << 20
	return dispatch.Config{
		Topology:     dispatch.Topology{Edge: id, Zone: s.Zone, Zones: zones},
		Window:       settings.Seconds(s.Bounds.RateLimitWindowS),
		Overshoot:    s.Bounds.OriginOvershoot,
		MaxBodyBytes: min(maxBodyBytes, s.MemoryMb*mb/bodyMemoryDivisor),
	}
}

// stateChanged applies a newer state. It ignores states older than the one that the leader reported first, since the components would
// take an outdated state for the newest.
func (e *edge) stateChanged(wire.Topic, *member.Snapshot) {
	if e.stateIsCurrent() {
		e.apply(e.agent.Snapshot())
	}
}

// configConfirmed passes a confirmation of the configuration on, after the configuration itself. A confirmation that comes before the
// state is current is ignored: the next one follows with the next renewal of the membership lease.
func (e *edge) configConfirmed(at time.Duration) {
	if !e.stateIsCurrent() {
		return
	}
	e.apply(e.agent.Snapshot())
	e.dispatcher.ConfirmConfig(at)
}

// hasConfirmedConfig reports whether the configuration was the newest within the time in which a change must be in force everywhere. A
// route that it lacks can then not have been in force for that long.
func (e *edge) hasConfirmedConfig() bool {
	return e.agent.ConfigConfirmedWithin(settings.Milliseconds(e.env.Settings.Bounds.ConvergeMs))
}

// awaitCurrent applies the state that the leader reported first. This covers the case in which the state arrives before the report of
// its version: stateChanged has ignored it then.
func (e *edge) awaitCurrent(ctx context.Context) {
	for !e.stateIsCurrent() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(currentStatePollInterval):
		}
	}
	e.apply(e.agent.Snapshot())
}

// apply passes the topics of a snapshot that are newer than the applied ones to the components that use them.
func (e *edge) apply(s *member.Snapshot) {
	defer e.ingress.ConfigChanged()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isNewer(s, wire.TopicMembers) && s.Members != nil {
		e.dispatcher.SetEdges(s.Members.Edges)
	}
	if e.isNewer(s, wire.TopicWorkers) && s.Workers != nil {
		e.dispatcher.SetWorkers(s.Workers)
	}
	if e.isNewer(s, wire.TopicConfig) && s.Catalog != nil {
		e.ingress.SetLimits(s.Catalog.Config().Limits)
		e.dispatcher.ApplyConfig(s.Catalog)
		e.queue.SetConfigVersion(s.Catalog.Config().Version)
	}
	if e.isNewer(s, wire.TopicStores) {
		e.queue.SetView(s.Stores)
	}
}

// isNewer reports whether a snapshot has a newer version of a topic than the applied one, and records that version as applied.
func (e *edge) isNewer(s *member.Snapshot, topic wire.Topic) bool {
	if !e.applied[topic].Less(s.Versions[topic]) {
		return false
	}
	e.applied[topic] = s.Versions[topic]
	return true
}

func (e *edge) usable() bool { return !e.stopping.Load() && e.queue.Usable() }

func (e *edge) isCurrent() bool { return e.stateIsCurrent() }

func (e *edge) ready() bool { return e.usable() && e.stateIsCurrent() && e.dispatcher.Index() != nil }

// run serves until the context ends, and then performs a planned stop. It returns once all of its goroutines have ended.
func (e *edge) run(ctx context.Context) error {
	s := e.env.Settings
	closeListeners, err := e.listen()
	if err != nil {
		return err
	}
	e.env.Log.Info("started", "http", s.ListenHTTP, "rpc", s.EdgeAddress())
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	var tasks sync.WaitGroup
	tasks.Go(func() { e.agent.Run(runCtx) })
	tasks.Go(func() { e.awaitCurrent(runCtx) })
	tasks.Go(func() { e.env.WatchSettings(runCtx, e.agent.SetSettings) })
	tasks.Go(func() { watchBacklogs(runCtx, e.dispatcher, e.env.Log) })
	<-ctx.Done()
	e.stop(settings.Seconds(s.Bounds.GraceS))
	closeListeners()
	cancelRun()
	tasks.Wait()
	return nil
}

// listen opens the listeners for peers, for readiness checks of the platform and, last, for clients. The returned function closes the
// listeners that ingress does not close.
func (e *edge) listen() (closeListeners func(), err error) {
	s := e.env.Settings
	server, err := retryListen(func() (*rpc.Server, error) {
		return rpc.Listen(s.EdgeAddress(), rpc.Options{Mux: e.mux}, nil)
	})
	if err != nil {
		return nil, fmt.Errorf("listen for stores and edges: %w", err)
	}
	readiness, err := retryListen(func() (*ingress.Readiness, error) { return ingress.ListenReady(s.ListenReady, e.ready) })
	if err != nil {
		server.Close()
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	closeListeners = func() {
		readiness.Close()
		server.Close()
	}
	if _, err = retryListen(func() (struct{}, error) { return struct{}{}, e.ingress.Listen(s.ListenHTTP) }); err != nil {
		closeListeners()
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	return closeListeners, nil
}

// retryListen opens a listener and retries for listenTimeout, since the previous process may still be bound to the address.
func retryListen[T any](open func() (T, error)) (T, error) {
	started := time.Now()
	for {
		listener, err := open()
		if err == nil || time.Since(started) > listenTimeout {
			return listener, err
		}
		time.Sleep(listenRetryInterval)
	}
}

// stop performs a planned stop within the grace period. The process reports that it is not ready but accepts requests for
// acceptPeriod, releases the leased messages that are not in flight, completes those in flight, and waits until all outcomes are
// acknowledged.
func (e *edge) stop(gracePeriod time.Duration) {
	started := time.Now()
	remaining := func(margin time.Duration) time.Duration { return max(gracePeriod-margin-time.Since(started), 0) }
	e.stopping.Store(true)
	e.queue.Drain()
	e.dispatcher.Stop()
	e.ingress.Drain()
	time.Sleep(min(acceptPeriod, remaining(acceptMargin)))

	answerCtx, cancelAnswer := context.WithTimeout(context.Background(), remaining(answerMargin))
	defer cancelAnswer()
	e.ingress.Shutdown(answerCtx)

	reportCtx, cancelReport := context.WithTimeout(context.Background(), remaining(reportMargin))
	defer cancelReport()
	if !e.dispatcher.AwaitDrained(reportCtx) {
		e.env.Log.Warn("stopping although deliveries are still in flight")
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	e.agent.Leave(leaveCtx)
	e.dispatcher.Close()
	e.queue.Close()
	e.workers.Close()
}
