package lab

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport/nbionet"
)

// startupTime is the time that all processes have to start before the load begins.
const startupTime = 1500 * time.Millisecond

// phaseRun is one run of a phase against a variant, with processes of its own. All times are on scheduler.SystemClock.
type phaseRun struct {
	runner     *Runner
	experiment *Experiment
	variant    *Variant
	phase      *Phase

	clock                func() time.Duration
	from, measure, until time.Duration // start of the load, start of the measurement, end of both
	addrPrefix           string        // first two octets of the run's loopback addresses
	dir                  string
	nodes                []NodeSpec
	hosts                []listedNode
	sites, kinds         []string
	restarts             []Restart

	loop       *scheduler.Loop
	engine     *nbionet.Engine
	discovery  *Discovery
	fleets     []*child // the processes that emulate nodes
	clients    []*child
	schedulers *processSet  // the processes of the measured scheduler
	listener   net.Listener // of the scheduler
	actResults chan error   // receives the result of each action
	cleanups   []func()     // called in reverse order by close
}

// play runs one phase of one variant.
func (r *Runner) play(x *Experiment, v *Variant, p *Phase) (*Result, error) {
	run := newPhaseRun(r, x, v, p)
	defer run.close()
	for _, step := range []func() error{run.startDiscovery, run.startNodes, run.startScheduler, run.startClients} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	run.startStalls()
	run.startActs()
	result := &Result{Variant: v.Name, Phase: p.Name, Figures: make(map[string]float64)}
	used, err := run.measureUsage()
	if err != nil {
		return nil, err
	}
	if err := run.collect(result); err != nil {
		return nil, err
	}
	run.addFigures(result, used)
	run.writeLogs()
	return result, nil
}

func newPhaseRun(r *Runner, x *Experiment, v *Variant, p *Phase) *phaseRun {
	run := &phaseRun{
		runner: r, experiment: x, variant: v, phase: p, clock: scheduler.SystemClock(),
		addrPrefix: fmt.Sprintf("127.%d", 64+os.Getpid()%128),
	}
	run.nodes, run.hosts, run.sites, run.kinds = x.buildFleet(func(i int) string { return fmt.Sprintf("%s.%d.%d:9101", run.addrPrefix, 1+i/250, 1+i%250) })
	return run
}

func (run *phaseRun) schedulerAddress() string { return run.addrPrefix + ".0.1:9000" }
func (run *phaseRun) discoveryAddress() string { return run.addrPrefix + ".0.2:8500" }

func (run *phaseRun) addCleanup(f func()) { run.cleanups = append(run.cleanups, f) }

func (run *phaseRun) close() {
	for _, f := range slices.Backward(run.cleanups) {
		f()
	}
}

// startDiscovery emulates discovery in this process, sets the times of the phase, and schedules the restarts of nodes.
func (run *phaseRun) startDiscovery() error {
	var err error
	if run.dir, err = os.MkdirTemp("", "lab"); err != nil {
		return err
	}
	run.addCleanup(func() { _ = os.RemoveAll(run.dir) })
	run.loop = scheduler.NewLoop(run.clock)
	run.engine = nbionet.New(nbionet.Options{Loop: run.loop, ConnectTimeout: dialTimeout, Log: run.runner.Log})
	run.addCleanup(run.engine.Close)
	if err := run.engine.Start(); err != nil {
		return err
	}
	run.discovery = newDiscovery(run.loop, run.hosts)
	ln, err := nbionet.Listen(run.discoveryAddress(), 0)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	run.engine.Serve(ln, 64, newServer(run.loop, run.discovery.serve).opened)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { run.loop.Run(stop); close(done) }()
	run.addCleanup(func() { close(stop); <-done })

	duration := run.phase.For
	if run.runner.Short && run.phase.Short > 0 {
		duration = run.phase.Short
	}
	run.from = run.clock() + startupTime
	run.measure = run.from + run.phase.WarmUp
	run.until = run.measure + duration
	run.planRestarts()
	return nil
}

// planRestarts sets when nodes restart, and schedules discovery's updates about them.
func (run *phaseRun) planRestarts() {
	const relistDelay = 20 * time.Millisecond // from a node's restart until discovery lists it as in service
	for _, rs := range run.phase.Restarts {
		for i, at := 0, run.measure+rs.At; i < len(run.nodes) && at < run.until; i, at = i+max(rs.Every, 1), at+rs.Step {
			name := run.nodes[i].Name
			run.restarts = append(run.restarts, Restart{name, at + rs.Drain})
			run.loop.Post(func() {
				run.loop.Deadlines.Add(at, func() { run.discovery.updateNode(name, "terminating", 0) })
				run.loop.Deadlines.Add(at+rs.Drain+relistDelay, func() { run.discovery.updateNode(name, "in_service", at+rs.Drain) })
			})
		}
	}
	for _, a := range run.phase.Acts {
		if a.Do == "hand" {
			at, name := run.measure+a.At+a.For, run.nodes[a.Node%len(run.nodes)].Name
			run.restarts = append(run.restarts, Restart{name, at})
			run.loop.Post(func() {
				run.loop.Deadlines.Add(at+relistDelay, func() { run.discovery.updateNode(name, "in_service", at) })
			})
		}
	}
}

// start starts a process of this program, which is killed at the end of the run if it still runs then.
func (run *phaseRun) start(verb string, spec any) (*child, error) {
	c, err := run.runner.start(verb, spec)
	if c != nil {
		run.addCleanup(c.kill)
	}
	return c, err
}

func (run *phaseRun) startNodes() error {
	x := run.experiment
	for k := range x.Fleets {
		spec := FleetSpec{Rules: x.Rules.emulatorRules(), Schedulers: []string{run.schedulerAddress()}, Restarts: run.restarts, Unsafe: x.atMostOnceClasses(), Falls: x.Rules.Falls}
		for i := k; i < len(run.nodes); i += x.Fleets {
			spec.Nodes = append(spec.Nodes, run.nodes[i])
		}
		c, err := run.start("fleet", spec)
		if err != nil {
			return err
		}
		run.fleets = append(run.fleets, c)
		if _, err := c.readLine(); err != nil {
			return err
		}
	}
	return nil
}

// startScheduler starts the measured scheduler and waits until it is ready.
func (run *phaseRun) startScheduler() error {
	var err error
	if run.listener, err = net.Listen("tcp", run.schedulerAddress()); err != nil { // the platform listens; the scheduler's processes inherit the socket
		return err
	}
	run.addCleanup(func() { _ = run.listener.Close() })
	run.schedulers = &processSet{runner: run.runner, dir: run.dir, variant: run.variant, adminPrefix: run.addrPrefix + ".0.3:98", listener: run.listener}
	run.addCleanup(run.schedulers.kill)
	file, err := run.experiment.config(run.schedulerAddress(), run.discoveryAddress(), run.experiment.settings(run.sites, run.kinds))
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(run.dir, "config.json"), file, 0o644); err != nil {
		return err
	}
	if err := run.schedulers.start(run.variant.Cores); err != nil {
		return err
	}
	if err := run.runner.awaitReady(run.loop, run.engine, run.schedulerAddress()); err != nil {
		return fmt.Errorf("%w\n%s", err, run.firstProcess().log)
	}
	return nil
}

// firstProcess returns the scheduler's first process. Upgrades start others.
func (run *phaseRun) firstProcess() *child { return run.schedulers.processes[0] }

func (run *phaseRun) startClients() error {
	x, p := run.experiment, run.phase
	for k := range x.Drivers {
		spec := LoadSpec{Seed: x.Seed*1000 + uint64(k), Schedulers: []string{run.schedulerAddress()}, Callers: p.Callers / x.Drivers, Rate: p.Rate / float64(x.Drivers),
			Skew: p.Skew, Classes: x.requestClasses(), From: run.from, Measure: run.measure, Till: run.until}
		c, err := run.start("load", spec)
		if err != nil {
			return err
		}
		run.clients = append(run.clients, c)
	}
	return nil
}

// startStalls schedules the pauses of the scheduler's first process.
func (run *phaseRun) startStalls() {
	process := run.firstProcess().cmd.Process
	for _, s := range run.phase.Stalls {
		timer := time.AfterFunc(run.measure+s.At-run.clock(), func() {
			_ = process.Signal(syscall.SIGSTOP)
			time.Sleep(s.For)
			_ = process.Signal(syscall.SIGCONT)
		})
		run.addCleanup(func() { timer.Stop() })
	}
}

// startActs schedules the actions of the phase; actResults receives their results.
func (run *phaseRun) startActs() {
	run.actResults = make(chan error, len(run.phase.Acts))
	for _, a := range run.phase.Acts {
		go func() {
			time.Sleep(run.measure + a.At - run.clock())
			run.actResults <- run.schedulers.act(&a, run.nodes[a.Node%len(run.nodes)].Name, func(node string) {
				run.loop.Post(func() { run.discovery.listedAt[node+" terminating"] = run.loop.Now() })
			})
		}()
	}
}

// resourceUsage is the usage of the machine during the measurement.
type resourceUsage struct {
	before, after        processUsage // of the scheduler's first process
	instructions, cycles float64
	nodes, clients       time.Duration // processor time
	stealPercent         float64
}

// measureUsage waits until the measurement has begun and ended, and returns the usage in between.
func (run *phaseRun) measureUsage() (c resourceUsage, err error) {
	pid := run.firstProcess().cmd.Process.Pid
	time.Sleep(run.measure - run.clock())
	if c.before, err = readUsage(pid); err != nil {
		return c, fmt.Errorf("%w\n%s", err, run.firstProcess().log)
	}
	nodesBefore, clientsBefore := cpuTime(run.fleets), cpuTime(run.clients)
	hardware, err := startCounters(pid)
	if err != nil {
		hardware = &perfCounters{} // the machine has no such counters
	}
	defer hardware.close()
	ticksBefore, stealBefore := stealTicks()
	time.Sleep(run.until - run.clock())
	c.instructions, c.cycles = hardware.read()
	ticks, steal := stealTicks()
	c.stealPercent = 100 * (steal - stealBefore) / max(ticks-ticksBefore, 1)
	c.nodes, c.clients = cpuTime(run.fleets)-nodesBefore, cpuTime(run.clients)-clientsBefore
	c.after, err = readUsage(pid)
	if err != nil && len(run.phase.Acts) == 0 { // after an upgrade the first process may have exited
		return c, fmt.Errorf("%w\n%s", err, run.firstProcess().log)
	}
	for range run.phase.Acts {
		if err := <-run.actResults; err != nil {
			return c, err
		}
	}
	return c, nil
}

// collect stops the processes of clients and nodes and reads their reports.
func (run *phaseRun) collect(result *Result) error {
	for _, c := range run.clients {
		var report LoadReport
		if err := c.stopAndReadReport(&report); err != nil {
			return err
		}
		result.Load = append(result.Load, report)
	}
	for _, c := range run.fleets {
		var report FleetReport
		if err := c.stopAndReadReport(&report); err != nil {
			return err
		}
		result.Fleet = append(result.Fleet, report)
	}
	return nil
}

// addFigures computes the figures from the reports and the usage.
func (run *phaseRun) addFigures(result *Result, c resourceUsage) {
	listedAt := make(chan map[string]time.Duration, 1)
	run.loop.Post(func() { listedAt <- run.discovery.listedAt })
	result.sum(<-listedAt, c.before, c.after)
	f := result.Figures
	if f["asked"] <= 0 {
		return
	}
	f["k_instructions_a_job"], f["k_cycles_a_job"] = c.instructions/1000/f["asked"], c.cycles/1000/f["asked"]
	f["cpu_nodes_us_a_job"] = float64(c.nodes.Microseconds()) / f["asked"]
	f["cpu_clients_us_a_job"] = float64(c.clients.Microseconds()) / f["asked"]
	f["steal_percent"] = c.stealPercent
	if slices.ContainsFunc(run.phase.Acts, func(a ActXML) bool { return a.Do == "upgrade" }) {
		// Several processes served in turn: the usage of the first one alone would mislead.
		for name := range f {
			if strings.HasPrefix(name, "cpu_u") || strings.HasPrefix(name, "cpu_s") || strings.HasPrefix(name, "k_") || name == "rss_mb" || name == "cpu_us_a_job" {
				delete(f, name)
			}
		}
	}
}

// writeLogs writes the logs of the scheduler's processes to Runner.Logs.
func (run *phaseRun) writeLogs() {
	if run.runner.Logs == "" {
		return
	}
	name := strings.Map(func(c rune) rune {
		if c == ' ' || c == '/' {
			return '_'
		}
		return c
	}, run.variant.Name+"-"+run.phase.Name+".log")
	var log []byte
	for _, s := range run.schedulers.processes {
		log = append(log, s.log.Bytes()...)
	}
	_ = os.WriteFile(filepath.Join(run.runner.Logs, name), log, 0o644) // the figures are valid without the log
}
