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

// startTime is left to all processes to start, before anything is timed.
const startTime = 1500 * time.Millisecond

// phaseRun is one phase of one variant as it is played, with processes of its own. All times are on scheduler.SystemClock.
type phaseRun struct {
	runner     *Runner
	experiment *Experiment
	variant    *Variant
	phase      *Phase

	clock                func() time.Duration
	from, measure, until time.Duration // clients begin, what they ask for counts, and they end
	base                 string        // the first two numbers of its loopback addresses
	dir                  string
	nodes                []NodeSpec
	hosts                []listed
	sites, kinds         []string
	restarts             []Restart

	loop      *scheduler.Loop
	engine    *nbionet.Engine
	discovery *Discovery
	fleets    []*child // nodes
	clients   []*child
	site      *site        // the scheduler's processes
	listener  net.Listener // the scheduler's
	acts      chan error   // a result of each act
	cleanups  []func()     // to be called in the reverse order
}

// play plays one phase of one variant.
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
	used, err := run.consumption()
	if err != nil {
		return nil, err
	}
	if err := run.collect(result); err != nil {
		return nil, err
	}
	run.addFigures(result, used)
	run.keepLogs()
	return result, nil
}

func newPhaseRun(r *Runner, x *Experiment, v *Variant, p *Phase) *phaseRun {
	run := &phaseRun{
		runner: r, experiment: x, variant: v, phase: p, clock: scheduler.SystemClock(),
		base: fmt.Sprintf("127.%d", 64+os.Getpid()%128),
	}
	run.nodes, run.hosts, run.sites, run.kinds = x.fleet(func(i int) string { return fmt.Sprintf("%s.%d.%d:9101", run.base, 1+i/250, 1+i%250) })
	return run
}

func (run *phaseRun) schedulerAddress() string { return run.base + ".0.1:9000" }
func (run *phaseRun) discoveryAddress() string { return run.base + ".0.2:8500" }

func (run *phaseRun) atEnd(f func()) { run.cleanups = append(run.cleanups, f) }

func (run *phaseRun) close() {
	for _, f := range slices.Backward(run.cleanups) {
		f()
	}
}

// startDiscovery serves discovery's list in this process, times the phase, and has the list follow the restarts of nodes.
func (run *phaseRun) startDiscovery() error {
	var err error
	if run.dir, err = os.MkdirTemp("", "lab"); err != nil {
		return err
	}
	run.atEnd(func() { _ = os.RemoveAll(run.dir) })
	run.loop = scheduler.NewLoop(run.clock)
	run.engine = nbionet.New(nbionet.Options{Loop: run.loop, ConnectTimeout: dialWithin, Log: run.runner.Log})
	run.atEnd(run.engine.Close)
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
	run.atEnd(func() { close(stop); <-done })

	long := run.phase.For
	if run.runner.Short && run.phase.Short > 0 {
		long = run.phase.Short
	}
	run.from = run.clock() + startTime
	run.measure = run.from + run.phase.WarmUp
	run.until = run.measure + long
	run.planRestarts()
	return nil
}

// planRestarts lists when nodes restart, and posts what discovery says of them meanwhile.
func (run *phaseRun) planRestarts() {
	const listedAfter = 20 * time.Millisecond // a node that begins anew
	for _, rs := range run.phase.Restarts {
		for i, at := 0, run.measure+rs.At; i < len(run.nodes) && at < run.until; i, at = i+max(rs.Every, 1), at+rs.Step {
			name := run.nodes[i].Name
			run.restarts = append(run.restarts, Restart{name, at + rs.Drain})
			run.loop.Post(func() {
				run.loop.Deadlines.Add(at, func() { run.discovery.set(name, "terminating", 0) })
				run.loop.Deadlines.Add(at+rs.Drain+listedAfter, func() { run.discovery.set(name, "in_service", at+rs.Drain) })
			})
		}
	}
	for _, a := range run.phase.Acts {
		if a.Do == "hand" {
			at, name := run.measure+a.At+a.For, run.nodes[a.Node%len(run.nodes)].Name
			run.restarts = append(run.restarts, Restart{name, at})
			run.loop.Post(func() {
				run.loop.Deadlines.Add(at+listedAfter, func() { run.discovery.set(name, "in_service", at) })
			})
		}
	}
}

// start starts a process of this program that ends with the run.
func (run *phaseRun) start(verb string, spec any) (*child, error) {
	c, err := run.runner.start(verb, spec)
	if c != nil {
		run.atEnd(c.kill)
	}
	return c, err
}

func (run *phaseRun) startNodes() error {
	x := run.experiment
	for k := range x.Fleets {
		spec := FleetSpec{Rules: x.Rules.model(), Schedulers: []string{run.schedulerAddress()}, Restarts: run.restarts, Unsafe: x.unsafe(), Falls: x.Rules.Falls}
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

// startScheduler starts the scheduler that is measured, and waits until it is ready.
func (run *phaseRun) startScheduler() error {
	var err error
	if run.listener, err = net.Listen("tcp", run.schedulerAddress()); err != nil { // by the platform: every process of the scheduler inherits it
		return err
	}
	run.atEnd(func() { _ = run.listener.Close() })
	run.site = &site{runner: run.runner, dir: run.dir, variant: run.variant, adminPrefix: run.base + ".0.3:98", listener: run.listener}
	run.atEnd(run.site.kill)
	file, err := run.experiment.config(run.schedulerAddress(), run.discoveryAddress(), run.experiment.settings(run.sites, run.kinds))
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(run.dir, "config.json"), file, 0o644); err != nil {
		return err
	}
	if err := run.site.start(run.variant.Cores); err != nil {
		return err
	}
	if err := run.runner.awaitReady(run.loop, run.engine, run.schedulerAddress()); err != nil {
		return fmt.Errorf("%w\n%s", err, run.first().log)
	}
	return nil
}

// first is the scheduler's first process; acts may start others.
func (run *phaseRun) first() *child { return run.site.all[0] }

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

// startStalls has the scheduler's first process stand still at the times that the phase gives.
func (run *phaseRun) startStalls() {
	process := run.first().cmd.Process
	for _, s := range run.phase.Stalls {
		timer := time.AfterFunc(run.measure+s.At-run.clock(), func() {
			_ = process.Signal(syscall.SIGSTOP)
			time.Sleep(s.For)
			_ = process.Signal(syscall.SIGCONT)
		})
		run.atEnd(func() { timer.Stop() })
	}
}

func (run *phaseRun) startActs() {
	run.acts = make(chan error, len(run.phase.Acts))
	for _, a := range run.phase.Acts {
		go func() {
			time.Sleep(run.measure + a.At - run.clock())
			run.acts <- run.site.act(&a, run.nodes[a.Node%len(run.nodes)].Name, func(node string) {
				run.loop.Post(func() { run.discovery.listedAt[node+" terminating"] = run.loop.Now() })
			})
		}()
	}
}

// consumed is what was used of the machine in the time that counts.
type consumed struct {
	before, after        used // of the scheduler's first process
	instructions, cycles float64
	nodes, clients       time.Duration // processor time
	stealPercent         float64
}

// consumption waits out the time that counts.
func (run *phaseRun) consumption() (c consumed, err error) {
	pid := run.first().cmd.Process.Pid
	time.Sleep(run.measure - run.clock())
	if c.before, err = usage(pid); err != nil {
		return c, fmt.Errorf("%w\n%s", err, run.first().log)
	}
	nodesBefore, clientsBefore := cpuOf(run.fleets), cpuOf(run.clients)
	counted, err := count(pid)
	if err != nil {
		counted = &counters{} // a machine without them
	}
	defer counted.close()
	ticksBefore, stealBefore := stolen()
	time.Sleep(run.until - run.clock())
	c.instructions, c.cycles = counted.read()
	ticks, steal := stolen()
	c.stealPercent = 100 * (steal - stealBefore) / max(ticks-ticksBefore, 1)
	c.nodes, c.clients = cpuOf(run.fleets)-nodesBefore, cpuOf(run.clients)-clientsBefore
	c.after, err = usage(pid)
	if err != nil && len(run.phase.Acts) == 0 { // else a new version may have taken its place
		return c, fmt.Errorf("%w\n%s", err, run.first().log)
	}
	for range run.phase.Acts {
		if err := <-run.acts; err != nil {
			return c, err
		}
	}
	return c, nil
}

// collect ends clients and nodes, and reads what they saw.
func (run *phaseRun) collect(result *Result) error {
	for _, c := range run.clients {
		var report LoadReport
		if err := c.report(&report); err != nil {
			return err
		}
		result.Load = append(result.Load, report)
	}
	for _, c := range run.fleets {
		var report FleetReport
		if err := c.report(&report); err != nil {
			return err
		}
		result.Fleet = append(result.Fleet, report)
	}
	return nil
}

// addFigures works out the figures of what clients and nodes saw and what was used.
func (run *phaseRun) addFigures(result *Result, c consumed) {
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
		// Several processes in turn: what the first one used says little.
		for name := range f {
			if strings.HasPrefix(name, "cpu_u") || strings.HasPrefix(name, "cpu_s") || strings.HasPrefix(name, "k_") || name == "rss_mb" || name == "cpu_us_a_job" {
				delete(f, name)
			}
		}
	}
}

// keepLogs writes the logs of the scheduler's processes to the runner's folder for them.
func (run *phaseRun) keepLogs() {
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
	for _, s := range run.site.all {
		log = append(log, s.log.Bytes()...)
	}
	_ = os.WriteFile(filepath.Join(run.runner.Logs, name), log, 0o644) // the figures count without it
}
