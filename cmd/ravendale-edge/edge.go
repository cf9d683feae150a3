package main

import (
	"context"
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

const currentPollInterval = 50 * time.Millisecond // pause between looks for the first newest state

// What a process takes for itself.
const (
	reservedDescriptors = 500      // of files, of connections to workers, stores and other schedulers
	minClientConns      = 64       // of clients
	maxBodyBytes        = 24 << 20 // bytes of messages held
	bodyMemoryDivisor   = 8        // of the process's memory they take one in so many
)

// Times of a planned stop. The platform takes two misses, a second each, to send no more new connections.
const (
	acceptPeriod = 2200 * time.Millisecond
	acceptMargin = 1500 * time.Millisecond // before the grace is over, nothing more is accepted
	answerMargin = 1200 * time.Millisecond // ... all is answered
	reportMargin = time.Second             // ... all outcomes are reported
	leaveTimeout = 400 * time.Millisecond
)

// Listening is tried again for a while: the process before this one may still hold the address.
const (
	listenTimeout = 3 * time.Second
	listenPause   = 50 * time.Millisecond
)

// edge is the process, put together.
type edge struct {
	env        program.Environment
	id         string // Member.ID
	mux        *rpc.Mux
	agent      *member.Agent
	workers    *worker.Client
	dispatcher *dispatch.Manager
	queue      *queueclient.Client
	ingress    *ingress.Server
	current    func() bool // the state is as new as the leader named first
	stopping   atomic.Bool

	mu      sync.Mutex // guards what is taken of snapshots
	applied [wire.TopicCount]wire.Version
}

func newEdge(env program.Environment) *edge {
	s := env.Settings
	e := &edge{env: env, id: strconv.FormatUint(rand.Uint64(), 36), mux: rpc.NewMux(), workers: worker.NewClient()}
	id := e.id
	e.dispatcher = dispatch.NewManager(dispatchConfig(s, id), e.workers)
	e.queue = queueclient.New(queueclient.Config{
		Edge: id, Zone: s.Zone, Log: env.Log,
		Accepted: e.dispatcher.Accept, Granted: e.dispatcher.Grant, Acknowledged: e.dispatcher.Acknowledged,
		Unknown: e.dispatcher.Unknown, Owned: e.dispatcher.MessageIDs,
	})
	e.queue.Handle(e.mux)
	e.dispatcher.Start(e.queue)
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
		Topology:  dispatch.Topology{Edge: id, Zone: s.Zone, Zones: zones},
		Window:    settings.Seconds(s.Bounds.RateLimitWindowS),
		Overshoot: s.Bounds.OriginOvershoot,
		Converge:  settings.Milliseconds(s.Bounds.ConvergeMs),
		MaxBodies: min(maxBodyBytes, s.MemoryMb*mb/bodyMemoryDivisor),
	}
}

// stateChanged takes a newer state. Before the agent has what the leader named first, an old one could be taken for the newest.
func (e *edge) stateChanged(wire.Topic, *member.Snapshot) {
	if e.current() {
		e.apply(e.agent.Snapshot())
	}
}

// awaitCurrent takes the state that the leader named first, should the word that it is the newest come after it.
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

// apply hands what is newer in a snapshot to the parts that need it.
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

// isNewer says whether a topic has a newer version than the one taken, and notes it.
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

// run serves until the context ends, and then stops in order.
func (e *edge) run(ctx context.Context) error {
	s := e.env.Settings
	server, err := listen(func() (*rpc.Server, error) {
		return rpc.Listen(s.EdgeAddress(), rpc.Options{Mux: e.mux}, nil)
	})
	if err != nil {
		return err
	}
	readiness, err := listen(func() (*ingress.Readiness, error) { return ingress.ListenReady(s.ListenReady, e.ready) })
	if err != nil {
		return err
	}
	if _, err = listen(func() (struct{}, error) { return struct{}{}, e.ingress.Listen(s.ListenHTTP) }); err != nil {
		return err
	}
	e.env.Log.Info("started", "http", s.ListenHTTP, "rpc", s.EdgeAddress())
	alive, end := context.WithCancel(context.Background())
	defer end()
	go e.agent.Run(alive)
	go e.awaitCurrent(alive)
	go e.env.WatchSettings(alive, e.agent.SetSettings)
	go watchBacklogs(alive, e.dispatcher, e.env.Log)
	<-ctx.Done()
	e.stop(settings.Seconds(s.Bounds.GraceS))
	readiness.Close()
	server.Close()
	return nil
}

func listen[T any](open func() (T, error)) (T, error) {
	began := time.Now()
	for {
		listener, err := open()
		if err == nil || time.Since(began) > listenTimeout {
			return listener, err
		}
		time.Sleep(listenPause)
	}
}

// stop ends the process's work within its grace: it asks for no more connections, still takes what comes for a while, gives
// back what is not under way, ends what is, and sees that all outcomes are on record.
func (e *edge) stop(period time.Duration) {
	began := time.Now()
	left := func(margin time.Duration) time.Duration { return max(period-margin-time.Since(began), 0) }
	e.stopping.Store(true)
	e.queue.Drain()
	e.dispatcher.Stop()
	e.ingress.Drain()
	time.Sleep(min(acceptPeriod, left(acceptMargin)))

	answers, cancelAnswers := context.WithTimeout(context.Background(), left(answerMargin))
	defer cancelAnswers()
	e.ingress.Close(answers.Done())

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
