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

const currentPollInterval = 50 * time.Millisecond // between checks for the first newest state

// Shares of the process's descriptors and memory.
const (
	reservedDescriptors = 500      // of files, of connections to workers, stores and other schedulers
	minClientConns      = 64       // of clients
	maxBodyBytes        = 24 << 20 // bytes of leased messages
	bodyMemoryDivisor   = 8        // they take one in so many bytes of the process's memory
)

// Time-outs of a planned stop. The platform takes two failed readiness checks, a second each, to send no more new connections.
const (
	acceptPeriod = 2200 * time.Millisecond
	acceptMargin = 1500 * time.Millisecond // before the grace period is over, nothing more is accepted
	answerMargin = 1200 * time.Millisecond // ... all is answered
	reportMargin = time.Second             // ... all outcomes are reported
	leaveTimeout = 400 * time.Millisecond
)

// See retryListen.
const (
	listenTimeout = 3 * time.Second
	listenPause   = 50 * time.Millisecond
)

// edge wires the components of the process.
type edge struct {
	env        program.Environment
	id         string // Member.ID
	mux        *rpc.Mux
	agent      *member.Agent
	workers    *worker.Client
	dispatcher *dispatch.Manager
	queue      *queueclient.Client
	ingress    *ingress.Server
	current    func() bool // the state is as new as the leader reported first
	stopping   atomic.Bool

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
		Unknown: e.dispatcher.Unknown, Leased: e.dispatcher.MessageIDs,
	})
	e.queue.Handle(e.mux)
	e.dispatcher.SetQueue(e.queue)
	e.agent = member.New(member.Config{
		Settings: s, Mux: e.mux, Log: env.Log, Ready: e.usable,
		Self: wire.Member{ID: id, Node: s.Node, Address: s.EdgeAddress(), Zone: s.Zone, Region: s.Region, Edge: true},
	})
	e.agent.OnChange(e.stateChanged)
	e.current = e.agent.Current
	e.ingress = ingress.New(ingress.Config{
		Queue: e.queue, Index: e.dispatcher.Index, Ready: e.isCurrent, Accepts: e.dispatcher.Accepts,
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
		Topology:        dispatch.Topology{Edge: id, Zone: s.Zone, Zones: zones},
		Window:          settings.Seconds(s.Bounds.RateLimitWindowS),
		Overshoot:       s.Bounds.OriginOvershoot,
		ConvergenceTime: settings.Milliseconds(s.Bounds.ConvergeMs),
		MaxBodyBytes:    min(maxBodyBytes, s.MemoryMb*mb/bodyMemoryDivisor),
	}
}

// stateChanged applies a newer state. Before the agent has what the leader reported first, an old one could be taken for the newest.
func (e *edge) stateChanged(wire.Topic, *member.Snapshot) {
	if e.current() {
		e.apply(e.agent.Snapshot())
	}
}

// awaitCurrent applies the state that the leader reported first, should the report that it is the newest come after it.
func (e *edge) awaitCurrent(ctx context.Context) {
	for !e.current() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(currentPollInterval):
		}
	}
	e.apply(e.agent.Snapshot())
}

// apply passes what is newer in a snapshot to the components that need it.
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
	}
	if e.isNewer(s, wire.TopicStores) {
		e.queue.SetView(s.Stores)
	}
}

// isNewer reports whether a topic has a newer version than the one applied, and records it.
func (e *edge) isNewer(s *member.Snapshot, topic wire.Topic) bool {
	if !e.applied[topic].Less(s.Versions[topic]) {
		return false
	}
	e.applied[topic] = s.Versions[topic]
	return true
}

func (e *edge) usable() bool { return !e.stopping.Load() && e.queue.Usable() }

func (e *edge) isCurrent() bool { return e.current() }

func (e *edge) ready() bool { return e.usable() && e.current() && e.dispatcher.Index() != nil }

// run serves until the context ends, and then stops in order. It returns once all of its goroutines have ended.
func (e *edge) run(ctx context.Context) error {
	s := e.env.Settings
	closeListeners, err := e.listen()
	if err != nil {
		return err
	}
	e.env.Log.Info("started", "http", s.ListenHTTP, "rpc", s.EdgeAddress())
	alive, end := context.WithCancel(context.Background())
	defer end()
	var tasks sync.WaitGroup
	tasks.Go(func() { e.agent.Run(alive) })
	tasks.Go(func() { e.awaitCurrent(alive) })
	tasks.Go(func() { e.env.WatchSettings(alive, e.agent.SetSettings) })
	tasks.Go(func() { watchBacklogs(alive, e.dispatcher, e.env.Log) })
	<-ctx.Done()
	e.stop(settings.Seconds(s.Bounds.GraceS))
	closeListeners()
	end()
	tasks.Wait()
	return nil
}

// listen listens for peers, the platform and, last, clients. The function that it returns closes what ingress.Close has not closed.
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

// retryListen opens a listener, again for listenTimeout: the process before this one may still hold the address.
func retryListen[T any](open func() (T, error)) (T, error) {
	began := time.Now()
	for {
		listener, err := open()
		if err == nil || time.Since(began) > listenTimeout {
			return listener, err
		}
		time.Sleep(listenPause)
	}
}

// stop ends the process's work within its grace period: it is not ready any more, still accepts what comes for a while, releases
// what is not in flight, completes what is, and waits until all outcomes are acknowledged.
func (e *edge) stop(gracePeriod time.Duration) {
	began := time.Now()
	left := func(margin time.Duration) time.Duration { return max(gracePeriod-margin-time.Since(began), 0) }
	e.stopping.Store(true)
	e.queue.Drain()
	e.dispatcher.Stop()
	e.ingress.Drain()
	time.Sleep(min(acceptPeriod, left(acceptMargin)))

	answers, cancelAnswers := context.WithTimeout(context.Background(), left(answerMargin))
	defer cancelAnswers()
	e.ingress.Shutdown(answers)

	reports, cancelReports := context.WithTimeout(context.Background(), left(reportMargin))
	defer cancelReports()
	if !e.dispatcher.AwaitDrained(reports) {
		e.env.Log.Warn("stopped with deliveries in flight")
	}
	leaving, cancelLeaving := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeaving()
	e.agent.Leave(leaving)
	e.dispatcher.Close()
	e.queue.Close()
	e.workers.Close()
}
