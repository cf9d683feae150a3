package node

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ravendale"
	"ravendale/balancer/config"
	"ravendale/balancer/cores"
	"ravendale/balancer/handover"
	"ravendale/balancer/platform/backend"
	"ravendale/balancer/platform/frontend"
	"ravendale/balancer/platform/management"
	"ravendale/balancer/platform/servertable"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport/nbionet"
)

const (
	// killedAfter, added to the longest client deadline, is the earliest time after the order to stop at which the process may
	// be killed. At most maxCounted of that deadline counts.
	killedAfter, maxCounted = 700 * time.Millisecond, 3 * time.Second
	// answerBefore is how long before that time all requests must be answered, and lastRun the time left for the last requests
	// accepted.
	answerBefore, lastRun = 300 * time.Millisecond, 900 * time.Millisecond
	// flushFor gives clients time to read the last answers before the process ends.
	flushFor = 100 * time.Millisecond
	// busyFor is the Retry-After of requests refused because too many are in progress: one or two run times of a job.
	busyFor = 500 * time.Millisecond
	// maxStop is the time after which a stop that has not finished is forced.
	maxStop = 60 * time.Second
	// adminConns is the number of descriptors reserved for operators' calls, and maxCalls the number of calls above which the
	// oldest is dropped.
	adminConns, maxCalls = 10, 8
	// figuresPrefix is the prefix of metric names.
	figuresPrefix = "proxy"
)

// Node is a scheduler process.
type Node struct {
	// ProcessCountChanged, if set, is called with the number of processes that act as this scheduler, to divide the memory limit.
	ProcessCountChanged func(processes int)

	read      *config.Config                // as last read; used only by Reload and checkEpoch, guarded by reading
	cfg       *config.Config                // in force; used only in the loop's turns
	sharedCfg atomic.Pointer[config.Config] // same as cfg, for the frontends' loops
	log       *slog.Logger
	loop      *scheduler.Loop
	core      *scheduler.Scheduler
	clients   clientSide
	servers   serverSide
	many      *multiCore // nil on one core
	table     *servertable.Table
	admin     *management.Endpoint
	ports     ports
	serving   bool // clients are accepted
	upgrade   upgrade
	fleet     *member    // nil without a fleet
	reading   sync.Mutex // guards read, and reading the configuration files
	err       error      // why the start failed
	stopped   chan struct{}
}

// New creates a scheduler on the sockets of the operating system. It does not listen until Run.
func New(cfg *config.Config, log *slog.Logger) (*Node, error) {
	clock := scheduler.SystemClock()
	loop := scheduler.NewLoop(clock)
	s := &sockets{Engine: nbionet.New(nbionet.Options{Loop: loop, ConnectTimeout: cfg.ConnectTimeout, Log: log})}
	var loops []*scheduler.Loop
	for range cfg.Cores {
		if cfg.Cores == 1 {
			break
		}
		l := scheduler.NewLoop(clock)
		loops = append(loops, l)
		s.cores = append(s.cores, nbionet.New(nbionet.Options{Loop: l, ConnectTimeout: cfg.ConnectTimeout}))
	}
	return assemble(cfg, log, loop, loops, s)
}

// splitDescriptors divides the descriptors. A sixteenth is reserved for the process itself, its files and discovery, and the given
// number for a fleet's links. A quarter of the rest is for backend servers, which accept a job and answer at once; the
// remainder is for clients, whose connections are in use for as long as their jobs.
func splitDescriptors(cfg *config.Config, kept int) (accepted, dialled int) {
	usable := cfg.Sockets*15/16 - kept
	if cfg.Management != "" {
		usable -= adminConns
	}
	return usable - usable/4, usable / 4
}

// assemble creates a Node on any network and clock. If loops are given for cores, it creates a frontend and a backend on each of
// them, otherwise one of each on the node's loop.
func assemble(cfg *config.Config, log *slog.Logger, loop *scheduler.Loop, loops []*scheduler.Loop, network ports) (*Node, error) {
	for _, text := range cfg.Warnings {
		log.Warn("configuration", "text", text)
	}
	n := &Node{read: cfg, cfg: cfg, log: log, loop: loop, ports: network, upgrade: upgrade{unconfirmed: make(map[string]unconfirmedTransfer)}, stopped: make(chan struct{})}
	n.sharedCfg.Store(cfg)
	var err error
	if n.core, err = scheduler.New(loop, cfg.Settings, cfg.Seed, log); err != nil {
		return nil, err
	}
	accepted, dialled := splitDescriptors(cfg, 0)
	limits, conns := &frontend.ConnLimits{}, &backend.Conns{}
	limits.Limit(accepted)
	conns.Limit(dialled)
	listed := n.core.Listed
	if len(loops) > 0 {
		n.many = &multiCore{decider: loop, sched: n.core, board: cores.NewBoard(len(loops)), limits: limits, conns: conns, stray: n.stray,
			served: make([]int64, len(loops))}
		n.many.loads.Store(new(make([]cores.Load, len(loops))))
		listed = func(kind ravendale.ListKind, entries []ravendale.Entry) {
			n.many.listed(entries, n.table.Address)
			n.core.Listed(kind, entries)
		}
	}
	n.table = servertable.New(servertable.Options{Loop: loop, Network: network, Discovery: cfg.Discovery,
		Pushed: !cfg.Settings.MustAsk, Zones: cfg.Names.Zones, Kinds: cfg.Names.Kinds, Listed: listed, Log: log})
	back := backend.Options{Loop: loop, Network: network, Address: n.table.Address, ConnectTimeout: cfg.ConnectTimeout,
		IdleClose: cfg.IdleClose, Conns: conns, Stray: n.stray, Log: log}
	front := n.frontendOptions(loop, limits)
	if n.many == nil {
		n.onOneLoop(front, back)
	} else {
		for i, l := range loops {
			n.many.all = append(n.many.all, n.onCore(&core{number: i, loop: l, network: network.Core(i)}, front, back))
		}
		n.clients, n.servers = multiCoreFrontends{n.many}, multiCoreBackends{n.many}
	}
	n.core.Connect(n.servers, n.table)
	n.admin = management.New(management.Options{Loop: loop, Ready: func() bool { return n.serving },
		Figures:     func() []byte { return management.Statsd(figuresPrefix, n.core.Figures()) },
		SetDetached: n.setDetached, Away: n.sendAway, MaxOpen: maxCalls})
	return n, nil
}

// frontendOptions returns the options of a frontend on the decider's loop. Their functions read the settings on each call, since a
// reload may change them.
func (n *Node) frontendOptions(loop *scheduler.Loop, limits *frontend.ConnLimits) frontend.Options {
	return frontend.Options{Loop: loop, Log: n.log, Limits: limits, Accept: n.core.Accept, Ready: n.table.Known,
		Refused:  func(class int, why scheduler.Unsent) { n.core.CountUnsent(class, why) },
		Class:    func(name string) int { return slices.Index(n.sharedCfg.Load().Names.Classes, name) },
		Tenant:   func(name string) int { return slices.Index(n.sharedCfg.Load().Names.Tenants, name) },
		Deadline: func(class int) time.Duration { return n.sharedCfg.Load().Settings.Classes[class].Deadline },
		Keyed:    func(class int) bool { return n.sharedCfg.Load().Settings.Classes[class].Effect == ravendale.Keyed },
		RetryAfter: func() time.Duration {
			s := &n.sharedCfg.Load().Settings
			if !s.RetryAfter {
				return 0
			}
			return min(busyFor, s.MaxRetryAfter)
		}}
}

// onOneLoop creates the client side and the server side on the node's loop.
func (n *Node) onOneLoop(front frontend.Options, back backend.Options) {
	b := backend.New(back)
	front.Callback = func(body []byte) frontend.CallbackResult {
		if b.Callback(body) {
			return frontend.CallbackAccepted
		}
		return frontend.CallbackMalformed
	}
	one := &oneBackend{Backend: b, conns: back.Conns}
	one.mayBeginFunc = one.mayBegin
	n.clients, n.servers = oneFrontend{frontend.New(front), front.Limits}, one
	n.loop.GapOver, n.loop.Gap = cores.PulseTimeout, func() {
		one.onGap(n.loop, n.ports.Echo, func(err error) { n.log.Warn("can't check for unread events after a pause", "err", err) })
	}
}

// onCore creates the frontend and the backend of one core, on the core's loop.
func (n *Node) onCore(c *core, front frontend.Options, back backend.Options) *core {
	m := n.many
	back.Loop, back.Network, back.Address = c.loop, c.network, m.board.Address
	back.Log = n.log.With("core", c.number)
	back.Full = func() { m.others(c, func(other *core) { other.backend.CloseIdle() }) }
	back.Stray = func(body []byte) { c.loop.Send(m.decider, func() { m.stray(body) }) }
	c.backend = backend.New(back)
	front.Loop = c.loop
	front.Accept = func(ex *scheduler.Exchange) { m.accept(c, ex) }
	front.Callback = func(body []byte) frontend.CallbackResult { return m.callback(c, body) }
	front.Crowded = func() { m.others(c, func(other *core) { other.frontend.ShedIdle() }) }
	front.Refused = func(class int, why scheduler.Unsent) {
		c.loop.Send(m.decider, func() { n.core.CountUnsent(class, why) })
	}
	c.frontend = frontend.New(front)
	return c
}

// Run serves until ctx is done, and then until all requests are answered.
func (n *Node) Run(ctx context.Context) error {
	s := n.ports.(*sockets)
	for _, engine := range append([]*nbionet.Engine{s.Engine}, s.cores...) {
		defer engine.Close()
		if err := engine.Start(); err != nil {
			return fmt.Errorf("start: %w", err)
		}
	}
	var running sync.WaitGroup
	defer running.Wait()
	if n.many != nil {
		for _, c := range n.many.all {
			running.Go(func() { c.loop.Run(n.stopped) })
		}
	}
	n.loop.Post(n.start)
	go func() {
		select {
		case <-ctx.Done():
			n.loop.Post(n.stop)
		case <-n.stopped:
		}
	}()
	n.loop.Run(n.stopped)
	n.awaitLeft()
	if n.err != nil {
		return fmt.Errorf("start: %w", n.err)
	}
	return nil
}

// fail aborts the start of the node.
func (n *Node) fail(err error) {
	n.err = err
	close(n.stopped)
}

// setDetached takes a backend server out of service, or puts it back.
func (n *Node) setDetached(worker string, detached bool) bool {
	known := n.core.SetDetached(worker, detached)
	n.record(fmt.Sprintf("hand %s out=%v known=%v", worker, detached, known))
	n.log.Info("operator attached or detached a server", "server", worker, "detached", detached, "known", known)
	switch {
	case !known:
	case detached:
		n.upgrade.peers.Send(handover.Message{Detached: worker})
	default:
		n.upgrade.peers.Send(handover.Message{Attached: worker})
	}
	return known
}

// sendAway starts or stops sending clients away, in all processes of this scheduler.
func (n *Node) sendAway(away bool) {
	n.log.Info("operator set whether clients are sent away", "away", away)
	n.record(fmt.Sprintf("away=%v", away))
	n.operatorsAway(away)
	n.upgrade.peers.Send(handover.Message{Away: &away})
}

// operatorsAway applies the operator's setting in this process only.
func (n *Node) operatorsAway(away bool) {
	if n.fleet != nil {
		n.fleet.away = away
		away = away || !n.fleet.standing.Acts
	}
	n.clients.SendAway(away)
}

// awayByOperator reports whether an operator has sent clients away.
func (n *Node) awayByOperator() bool {
	if n.fleet != nil {
		return n.fleet.away
	}
	return n.clients.Away()
}

// Reload reads the configuration again. An invalid configuration changes nothing. A valid one takes effect in one turn: its
// settings come into force, and the watch moves to its discovery address.
func (n *Node) Reload(getenv config.Getenv, read config.ReadFile) {
	n.reading.Lock()
	defer n.reading.Unlock()
	if n.fleet != nil {
		read = n.patched(read, n.fleet.patch)
	}
	next, ignored, err := n.read.Reload(getenv, read)
	if err != nil {
		n.log.Error("reloading the configuration failed; keeping the current one", "err", err)
		n.loop.Post(func() { n.core.CountConfig(false) })
		return
	}
	n.read = next
	n.log.Info("configuration read again", "discovery", next.Discovery)
	for _, text := range next.Warnings {
		n.log.Warn("configuration", "text", text)
	}
	if len(ignored) > 0 {
		n.log.Warn("some changes to the configuration need a restart", "fields", ignored)
	}
	n.loop.Post(func() {
		if err := n.core.Retune(next.Settings); err != nil {
			n.log.Error("applying the reloaded settings failed", "err", err) // a bug, as Again has validated them
			return
		}
		n.cfg = next
		n.sharedCfg.Store(next)
		if n.fleet != nil && n.fleet.agent != nil {
			n.fleet.agent.RecordSettings(n.settingsDigest())
		}
		n.core.CountConfig(true)
		n.upgrade.peers.Send(handover.Message{Terms: n.core.Terms()})
		if next.Discovery != n.table.Discovery() {
			n.upgrade.peers.Send(handover.Message{Discovery: next.Discovery})
		}
		n.table.Follow(next.Discovery)
	})
}

// stop begins a graceful shutdown. At first connections stay open and new requests are still served: if another scheduler restarts
// at the same time, clients that were sent away would find none. Later, new requests are refused and those in progress are
// answered, all of them before the process may be killed.
func (n *Node) stop() {
	n.log.Info("stopping", "owed", n.core.Owed())
	left := min(n.cfg.Settings.LongestDeadline(), maxCounted) + killedAfter - answerBefore
	n.transferRequests()
	n.core.Leave(left)
	n.loop.After(max(left-lastRun, left/3), func() {
		n.clients.Drain()
		n.core.WhenQuiet(n.endOnceQuiet)
	})
	n.loop.After(maxStop, func() { n.end("held up") })
}

// endOnceQuiet ends the process shortly after the last answer. It waits longer, up to a limit, while an answer is still being written
// or a client has not closed its connection yet: the end of the process closes all connections, and one with an unread request
// is reset. The limit keeps new clients from delaying the end.
func (n *Node) endOnceQuiet() { n.endOnceFlushed(n.loop.Now() + flushFor + frontend.LingerFor) }

func (n *Node) endOnceFlushed(latest time.Duration) {
	n.loop.After(flushFor, func() {
		n.clients.Finishing(func(finishing bool) {
			switch {
			case n.core.Owed() > 0:
				n.core.WhenQuiet(n.endOnceQuiet)
			case finishing && n.loop.Now() < latest || len(n.upgrade.unconfirmed) > 0:
				n.endOnceFlushed(latest)
			default:
				n.end("nothing is owed")
			}
		})
	})
}

func (n *Node) end(why string) {
	select {
	case <-n.stopped:
	default:
		n.log.Info("stopped", "why", why, "owed", n.core.Owed())
		n.leaveFleet(why)
		close(n.stopped)
	}
}
