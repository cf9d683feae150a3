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
	// killedAfter is when, after the order to stop, the process may be killed at the earliest, on top of the longest
	// that a client waits, of which mostCounted counts at most.
	killedAfter, mostCounted = 700 * time.Millisecond, 3 * time.Second
	// answerBefore is how long before that all is answered, and lastRun what the last requests taken have left to run.
	answerBefore, lastRun = 300 * time.Millisecond, 900 * time.Millisecond
	// flushFor gives clients time to read the last answers before the process ends.
	flushFor = 100 * time.Millisecond
	// busyFor is how long clients are to stay away that come when too many requests are in progress: a run or two.
	busyFor = 500 * time.Millisecond
	// longestStop ends a stop that something holds up.
	longestStop = 60 * time.Second
	// adminConns is how many descriptors are kept for operators' calls, and mostCalls above how many the oldest makes room.
	adminConns, mostCalls = 10, 8
	// figuresPrefix stands before the names of the figures.
	figuresPrefix = "proxy"
)

// Node is one scheduler.
type Node struct {
	// Paired, if set, hears how many processes are this scheduler, to share the memory among them.
	Paired func(processes int)

	read    *config.Config                // as last taken, Reload's own
	cfg     *config.Config                // the loop's
	shown   atomic.Pointer[config.Config] // the same, for the frontends' loops
	log     *slog.Logger
	loop    *scheduler.Loop
	core    *scheduler.Scheduler
	clients clientSide
	servers serverSide
	many    *many // nil on one core
	table   *servertable.Table
	admin   *management.Endpoint
	ports   ports
	serving bool // clients are taken
	upgrade upgrade
	fleet   *member    // nil where it is alone
	reading sync.Mutex // of read, and of the configuration's files
	err     error      // why it could not start
	stopped chan struct{}
}

// New puts a scheduler together on real sockets. It does not listen yet.
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

// splitDescriptors deals out the descriptors: some are kept for the process itself, its files and discovery, kept more for a
// fleet's links, a quarter of the others goes to backend servers, who take a job's bytes and answer at once, and the rest to
// clients, whose connections last as long as their jobs.
func splitDescriptors(cfg *config.Config, kept int) (accepted, dialled int) {
	usable := cfg.Sockets*15/16 - kept
	if cfg.Management != "" {
		usable -= adminConns
	}
	return usable - usable/4, usable / 4
}

// assemble puts the parts together on any network and clock. With loops of cores it puts a frontend and a backend on each,
// and with none both on the one loop.
func assemble(cfg *config.Config, log *slog.Logger, loop *scheduler.Loop, loops []*scheduler.Loop, network ports) (*Node, error) {
	for _, text := range cfg.Warnings {
		log.Warn("configuration", "text", text)
	}
	n := &Node{read: cfg, cfg: cfg, log: log, loop: loop, ports: network, upgrade: upgrade{lent: make(map[string]lent)}, stopped: make(chan struct{})}
	n.shown.Store(cfg)
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
		n.many = &many{decider: loop, sched: n.core, board: cores.NewBoard(len(loops)), limits: limits, conns: conns, stray: n.stray,
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
		n.clients, n.servers = manyFrontends{n.many}, manyBackends{n.many}
	}
	n.core.Connect(n.servers, n.table)
	n.admin = management.New(management.Options{Loop: loop, Ready: func() bool { return n.serving },
		Figures:     func() []byte { return management.Statsd(figuresPrefix, n.core.Figures()) },
		SetDetached: n.setDetached, Away: n.sendAway, MaxOpen: mostCalls})
	return n, nil
}

// frontendOptions are those of a frontend on the decider's loop. Settings are looked up as they are shown now: a reload may change
// them while it serves.
func (n *Node) frontendOptions(loop *scheduler.Loop, limits *frontend.ConnLimits) frontend.Options {
	return frontend.Options{Loop: loop, Log: n.log, Limits: limits, Accept: n.core.Accept, Ready: n.table.Known,
		Refused:  func(class int, why scheduler.Unsent) { n.core.CountUnsent(class, why) },
		Class:    func(name string) int { return slices.Index(n.shown.Load().Names.Classes, name) },
		Tenant:   func(name string) int { return slices.Index(n.shown.Load().Names.Tenants, name) },
		Deadline: func(class int) time.Duration { return n.shown.Load().Settings.Classes[class].Deadline },
		Keyed:    func(class int) bool { return n.shown.Load().Settings.Classes[class].Effect == ravendale.Keyed },
		ComeBack: func() time.Duration {
			s := &n.shown.Load().Settings
			if !s.RetryAfter {
				return 0
			}
			return min(busyFor, s.MaxRetryAfter)
		}}
}

// onOneLoop puts the two sides together on the one loop that there is.
func (n *Node) onOneLoop(front frontend.Options, back backend.Options) {
	b := backend.New(back)
	front.Callback = func(body []byte) frontend.Heard {
		if b.Callback(body) {
			return frontend.Taken
		}
		return frontend.Unreadable
	}
	one := &oneBackend{Backend: b, conns: back.Conns}
	one.mayBeginFunc = one.mayBegin
	n.clients, n.servers = oneFrontend{frontend.New(front), front.Limits}, one
	n.loop.GapOver, n.loop.Gap = cores.PulseTimeout, func() {
		one.gap(n.loop, n.ports.Echo, func(err error) { n.log.Warn("can't tell what came while nothing was read", "err", err) })
	}
}

// onCore puts the two sides of one core together, which have a loop of their own.
func (n *Node) onCore(c *core, front frontend.Options, back backend.Options) *core {
	m := n.many
	back.Loop, back.Network, back.Address = c.loop, c.network, m.board.Address
	back.Log = n.log.With("core", c.number)
	back.Full = func() { m.others(c, func(other *core) { other.backend.CloseIdle() }) }
	back.Stray = func(body []byte) { c.loop.Send(m.decider, func() { m.stray(body) }) }
	c.backend = backend.New(back)
	front.Loop = c.loop
	front.Accept = func(ex *scheduler.Exchange) { m.accept(c, ex) }
	front.Callback = func(body []byte) frontend.Heard { return m.callback(c, body) }
	front.Crowded = func() { m.others(c, func(other *core) { other.frontend.ShedIdle() }) }
	front.Refused = func(class int, why scheduler.Unsent) {
		c.loop.Send(m.decider, func() { n.core.CountUnsent(class, why) })
	}
	c.frontend = frontend.New(front)
	return c
}

// Run serves until ctx is done, and then until nothing is owed.
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

// fail ends a start.
func (n *Node) fail(err error) {
	n.err = err
	close(n.stopped)
}

// setDetached takes a backend server out of service, or puts it back.
func (n *Node) setDetached(worker string, detached bool) bool {
	known := n.core.SetDetached(worker, detached)
	n.record(fmt.Sprintf("hand %s out=%v known=%v", worker, detached, known))
	n.log.Info("server set by an operator", "server", worker, "detached", detached, "known", known)
	switch {
	case !known:
	case detached:
		n.upgrade.twins.Send(handover.Message{Detached: worker})
	default:
		n.upgrade.twins.Send(handover.Message{Attached: worker})
	}
	return known
}

// sendAway sends clients away, or has them back.
func (n *Node) sendAway(away bool) {
	n.log.Info("clients sent away", "away", away)
	n.record(fmt.Sprintf("away=%v", away))
	n.operatorsAway(away)
	n.upgrade.twins.Send(handover.Message{Away: &away})
}

// operatorsAway is sendAway for this process alone.
func (n *Node) operatorsAway(away bool) {
	if n.fleet != nil {
		n.fleet.away = away
		away = away || !n.fleet.stand.Acts
	}
	n.clients.SendAway(away)
}

// awayByOperator says whether an operator had clients sent away.
func (n *Node) awayByOperator() bool {
	if n.fleet != nil {
		return n.fleet.away
	}
	return n.clients.Away()
}

// Reload reads the configuration again. A file that makes no
// sense changes nothing. One that does moves the watch to its discovery and puts its settings in force, in one turn.
func (n *Node) Reload(getenv config.Getenv, read config.ReadFile) {
	n.reading.Lock()
	defer n.reading.Unlock()
	if n.fleet != nil {
		read = n.patched(read, n.fleet.patch)
	}
	next, ignored, err := n.read.Again(getenv, read)
	if err != nil {
		n.log.Error("configuration not read again", "err", err)
		n.loop.Post(func() { n.core.CountConfig(false) })
		return
	}
	n.read = next
	n.log.Info("configuration read again", "discovery", next.Discovery)
	for _, text := range next.Warnings {
		n.log.Warn("configuration", "text", text)
	}
	if len(ignored) > 0 {
		n.log.Warn("restart to follow the configuration", "fields", ignored)
	}
	n.loop.Post(func() {
		if err := n.core.Retune(next.Settings); err != nil {
			n.log.Error("settings not taken", "err", err) // Again has checked them: a fault of the program
			return
		}
		n.cfg = next
		n.shown.Store(next)
		if n.fleet != nil && n.fleet.agent != nil {
			n.fleet.agent.Settings(n.settingsDigest())
		}
		n.core.CountConfig(true)
		n.upgrade.twins.Send(handover.Message{Terms: n.core.Terms()})
		if next.Discovery != n.table.Discovery() {
			n.upgrade.twins.Send(handover.Message{Discovery: next.Discovery})
		}
		n.table.Follow(next.Discovery)
	})
}

// stop begins a planned end. Connections stay and requests on them are served while there is time to: where another
// scheduler restarts as well, clients that are sent away find none. Then what is taken is answered, new
// requests are refused, and before the process may be killed all is answered.
func (n *Node) stop() {
	n.log.Info("stopping", "owed", n.core.Owed())
	left := min(n.cfg.Settings.LongestDeadline(), mostCounted) + killedAfter - answerBefore
	n.giveAway()
	n.core.Leave(left)
	n.loop.After(max(left-lastRun, left/3), func() {
		n.clients.Drain()
		n.core.WhenQuiet(n.endOnceQuiet)
	})
	n.loop.After(longestStop, func() { n.end("held up") })
}

// endOnceQuiet ends the process a little after the last answer, unless that is still being written, or was and clients have not
// closed yet: with the process go all connections, and one in which a request is unread is reset. Clients that go on coming
// don't hold it up.
func (n *Node) endOnceQuiet() { n.endOnceFlushed(n.loop.Now() + flushFor + frontend.LingerFor) }

func (n *Node) endOnceFlushed(latest time.Duration) {
	n.loop.After(flushFor, func() {
		n.clients.Finishing(func(finishing bool) {
			switch {
			case n.core.Owed() > 0:
				n.core.WhenQuiet(n.endOnceQuiet)
			case finishing && n.loop.Now() < latest || len(n.upgrade.lent) > 0:
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
