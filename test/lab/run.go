package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ravendale/balancer/http1"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
	"ravendale/balancer/transport/nbionet"
)

// Runner plays experiments with processes of its own program and of the scheduler.
type Runner struct {
	Self   string // this program: it plays nodes as `fleet` and clients as `load`
	Binary string // the scheduler
	Short  bool
	Logs   string // a folder for the scheduler's logs, "" to throw them away
	Say    func(text string, args ...any)
	Log    *slog.Logger
	Only   string // a variant, "" for all
}

// Result is what one phase of one variant showed.
type Result struct {
	Variant, Phase string
	Figures        map[string]float64
	Load           []LoadReport
	Fleet          []FleetReport
	Drains         []DrainReport
}

// DrainReport is how a drain, or a node taken out by hand, was kept; times count from when it was told.
type DrainReport struct {
	Node              string
	Told              time.Duration // on scheduler.SystemClock
	LastSend, Restart time.Duration
}

// figureNames are what an experiment may expect something of.
var figureNames = []string{"throughput", "p50_ms", "p99_ms", "p999_ms", "cpu_us_a_job", "cpu_user_us_a_job", "cpu_sys_us_a_job", "cpu_nodes_us_a_job", "cpu_clients_us_a_job",
	"rss_mb", "k_instructions_a_job", "k_cycles_a_job", "steal_percent", "drains", "drain_last_ms", "cold_worst", "falls", "asked", "served", "refused", "failed", "broken", "wrong", "extra",
	"unanswered", "again", "repeats", "unknown", "in_time", "behind_ms", "runs_a_job"}

// Run plays all phases of all variants.
func (r *Runner) Run(x *Experiment) (results []Result, err error) {
	for i := range x.Variants {
		if r.Only != "" && x.Variants[i].Name != r.Only {
			continue
		}
		for j := range x.Phases {
			result, err := r.play(x, &x.Variants[i], &x.Phases[j])
			if err != nil {
				return results, fmt.Errorf("%s, %s: %w", x.Variants[i].Name, x.Phases[j].Name, err)
			}
			f := result.Figures
			r.Say("%-12s %-10s %8.0f/s  p50 %6.2f  p99 %7.2f  p99.9 %7.2f ms  CPU %5.1f us a job (%.1f user, %.0f k instructions, %.0f k cycles)  last send %4.0f ms after a drain  cold at most %.2f  steal %.0f%%",
				result.Variant, result.Phase, f["throughput"], f["p50_ms"], f["p99_ms"], f["p999_ms"], f["cpu_us_a_job"],
				f["cpu_user_us_a_job"], f["k_instructions_a_job"], f["k_cycles_a_job"], f["drain_last_ms"], f["cold_worst"], f["steal_percent"])
			results = append(results, *result)
		}
	}
	return results, nil
}

// child is a process of this run.
type child struct {
	cmd  *exec.Cmd
	out  *bufio.Reader
	stop io.Closer
	log  *bytes.Buffer
}

func (r *Runner) start(verb string, spec any) (*child, error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(r.Self, verb), log: &bytes.Buffer{}}
	c.cmd.Stderr = c.log
	in, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.out, c.stop = bufio.NewReader(out), in
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	_, err = in.Write(append(text, '\n'))
	return c, err
}

func (c *child) line() (string, error) {
	line, err := c.out.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("%s: %w: %s", c.cmd.Args[1], err, c.log)
	}
	return line, nil
}

func (c *child) kill() {
	if c.cmd.Process != nil {
		_ = c.cmd.Process.Kill()
		_ = c.cmd.Wait()
	}
}

// report ends a child and reads what it saw.
func (c *child) report(v any) error {
	_ = c.stop.Close()
	line, err := c.line()
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(line), v)
}

// readyWithin is how long a process may take to start.
const readyWithin = 20 * time.Second

// play plays one phase of one variant, with processes of its own.
func (r *Runner) play(x *Experiment, v *Variant, p *Phase) (result *Result, err error) {
	base := fmt.Sprintf("127.%d", 64+os.Getpid()%128)
	sched, disc := base+".0.1:9000", base+".0.2:8500"
	specs, hosts, sites, kinds := x.fleet(func(i int) string { return fmt.Sprintf("%s.%d.%d:9101", base, 1+i/250, 1+i%250) })
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()

	clock := scheduler.SystemClock()
	loop := scheduler.NewLoop(clock)
	engine := nbionet.New(nbionet.Options{Loop: loop, ConnectTimeout: dialWithin, Log: r.Log})
	defer engine.Close()
	if err := engine.Start(); err != nil {
		return nil, err
	}
	listing := newDiscovery(loop, hosts)
	ln, err := nbionet.Listen(disc, 0)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	engine.Serve(ln, 64, newServer(loop, listing.serve).opened)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() { loop.Run(stop); close(ended) }()
	defer func() { close(stop); <-ended }()

	long := p.For
	if r.Short && p.Short > 0 {
		long = p.Short
	}
	// Everything is timed from one moment that leaves all processes time to start.
	from := clock() + 1500*time.Millisecond
	measure := from + p.WarmUp
	till := measure + long
	var restarts []Restart
	for _, rs := range p.Restarts {
		for i, at := 0, measure+rs.At; i < len(specs) && at < till; i, at = i+max(rs.Every, 1), at+rs.Step {
			restarts = append(restarts, Restart{specs[i].Name, at + rs.Drain})
			loop.Post(func() {
				loop.Deadlines.Add(at, func() { listing.set(specs[i].Name, "terminating", 0) })
				loop.Deadlines.Add(at+rs.Drain+20*time.Millisecond, func() { listing.set(specs[i].Name, "in_service", at+rs.Drain) })
			})
		}
	}
	for _, a := range p.Acts {
		if a.Do == "hand" {
			at, name := measure+a.At+a.For, specs[a.Node%len(specs)].Name
			restarts = append(restarts, Restart{name, at})
			loop.Post(func() {
				loop.Deadlines.Add(at+20*time.Millisecond, func() { listing.set(name, "in_service", at) })
			})
		}
	}
	var fleets, loads []*child
	defer func() {
		for _, c := range append(fleets, loads...) {
			c.kill()
		}
	}()
	for k := range x.Fleets {
		spec := FleetSpec{Rules: x.Rules.model(), Schedulers: []string{sched}, Restarts: restarts, Unsafe: x.unsafe(), Falls: x.Rules.Falls}
		for i := k; i < len(specs); i += x.Fleets {
			spec.Nodes = append(spec.Nodes, specs[i])
		}
		c, err := r.start("fleet", spec)
		if err != nil {
			return nil, err
		}
		fleets = append(fleets, c)
		if _, err := c.line(); err != nil {
			return nil, err
		}
	}

	held, err := net.Listen("tcp", sched) // by the platform: every process of the scheduler inherits it
	if err != nil {
		return nil, err
	}
	defer func() { _ = held.Close() }()
	site := &site{r: r, dir: dir, v: v, door: base + ".0.3:98", held: held}
	defer func() {
		for _, s := range site.all {
			s.kill()
		}
	}()
	file, err := x.config(sched, disc, x.settings(sites, kinds))
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "config.json"), file, 0o644); err != nil {
		return nil, err
	}
	if err := site.start(v.Cores); err != nil {
		return nil, err
	}
	server := site.all[0]
	if err := r.awaitReady(loop, engine, sched); err != nil {
		return nil, fmt.Errorf("%w\n%s", err, server.log)
	}

	for k := range x.Drivers {
		spec := LoadSpec{Seed: x.Seed*1000 + uint64(k), Schedulers: []string{sched}, Callers: p.Callers / x.Drivers, Rate: p.Rate / float64(x.Drivers),
			Skew: p.Skew, Classes: x.asked(), From: from, Measure: measure, Till: till}
		c, err := r.start("load", spec)
		if err != nil {
			return nil, err
		}
		loads = append(loads, c)
	}
	for _, s := range p.Stalls {
		at := measure + s.At
		timer := time.AfterFunc(at-clock(), func() {
			_ = server.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(s.For)
			_ = server.cmd.Process.Signal(syscall.SIGCONT)
		})
		defer timer.Stop()
	}
	done := make(chan error, len(p.Acts))
	for _, a := range p.Acts {
		go func() {
			time.Sleep(measure + a.At - clock())
			done <- site.act(&a, specs[a.Node%len(specs)].Name, func(node string) {
				loop.Post(func() { listing.told[node+" terminating"] = loop.Now() })
			})
		}()
	}
	time.Sleep(measure - clock())
	before, err := usage(server.cmd.Process.Pid)
	if err != nil {
		return nil, fmt.Errorf("%w\n%s", err, server.log)
	}
	nodesBefore, clientsBefore := cpuOf(fleets), cpuOf(loads)
	counted, err := count(server.cmd.Process.Pid)
	if err != nil {
		counted = &counters{} // a machine without them
	}
	defer counted.close()
	ticks, steal := stolen()
	time.Sleep(till - clock())
	instructions, cycles := counted.read()
	ticksNow, stealNow := stolen()
	nodesCPU, clientsCPU := cpuOf(fleets)-nodesBefore, cpuOf(loads)-clientsBefore
	after, err := usage(server.cmd.Process.Pid)
	if err != nil && len(p.Acts) == 0 { // else a new version may have taken its place
		return nil, fmt.Errorf("%w\n%s", err, server.log)
	}
	for range p.Acts {
		if err := <-done; err != nil {
			return nil, err
		}
	}
	result = &Result{Variant: v.Name, Phase: p.Name, Figures: make(map[string]float64)}
	for _, c := range loads {
		var report LoadReport
		if err := c.report(&report); err != nil {
			return nil, err
		}
		result.Load = append(result.Load, report)
	}
	for _, c := range fleets {
		var report FleetReport
		if err := c.report(&report); err != nil {
			return nil, err
		}
		result.Fleet = append(result.Fleet, report)
	}
	told := make(chan map[string]time.Duration, 1)
	loop.Post(func() { told <- listing.told })
	result.sum(<-told, before, after)
	if f := result.Figures; f["asked"] > 0 {
		f["k_instructions_a_job"], f["k_cycles_a_job"] = instructions/1000/f["asked"], cycles/1000/f["asked"]
		f["cpu_nodes_us_a_job"] = float64(nodesCPU.Microseconds()) / f["asked"]
		f["cpu_clients_us_a_job"] = float64(clientsCPU.Microseconds()) / f["asked"]
		if slices.ContainsFunc(p.Acts, func(a ActXML) bool { return a.Do == "upgrade" }) {
			// Several processes in turn: what the first one used says little.
			for name := range f {
				if strings.HasPrefix(name, "cpu_u") || strings.HasPrefix(name, "cpu_s") || strings.HasPrefix(name, "k_") || name == "rss_mb" || name == "cpu_us_a_job" {
					delete(f, name)
				}
			}
		}
		f["steal_percent"] = 100 * (stealNow - steal) / max(ticksNow-ticks, 1)
	}
	if r.Logs != "" {
		name := strings.Map(func(c rune) rune {
			if c == ' ' || c == '/' {
				return '_'
			}
			return c
		}, v.Name+"-"+p.Name+".log")
		var log []byte
		for _, s := range site.all {
			log = append(log, s.log.Bytes()...)
		}
		_ = os.WriteFile(filepath.Join(r.Logs, name), log, 0o644)
	}
	return result, nil
}

func with(list []string, word string) []string {
	for _, w := range list {
		if w == word {
			return list
		}
	}
	return append(list, word)
}

// config is a scheduler's file, in the platform's form.
func (x *Experiment) config(listen, discovery string, settings map[string]any) ([]byte, error) {
	return json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "seed": strconv.FormatUint(x.Seed, 16),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 1024, "sockets": 8192}, "settings": settings})
}

// site is where the processes of the scheduler run that is measured, one after the other.
type site struct {
	r    *Runner
	dir  string
	v    *Variant
	door string // of the first process, less a digit
	held net.Listener
	all  []*child // the newest last
}

// start starts a process beside those that are there.
func (s *site) start(cores int) error {
	binary := s.r.Binary
	if s.v.Binary != "" {
		binary = s.v.Binary
	}
	var args []string
	if cores > 0 {
		args = []string{"serve", "--cores", strconv.Itoa(cores)}
	}
	listener, err := s.held.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	c := &child{cmd: exec.Command(binary, args...), log: &bytes.Buffer{}}
	c.cmd.ExtraFiles = []*os.File{listener} // descriptor 3
	c.cmd.Env = []string{"PROXY_CONFIG=" + filepath.Join(s.dir, "config.json"), "PROXY_FD=3", "TMPDIR=" + s.dir,
		"PROXY_MANAGEMENT=" + s.doorOf(len(s.all))}
	if s.v.GoGC != "" {
		c.cmd.Env = append(c.cmd.Env, "GOGC="+s.v.GoGC)
	}
	c.cmd.Stderr, c.cmd.Stdout = c.log, c.log
	if err := c.cmd.Start(); err != nil {
		return err
	}
	s.all = append(s.all, c)
	return nil
}

func (s *site) doorOf(process int) string { return s.door + strconv.Itoa(10+process) }

// call calls at the door of the newest process, and wants a yes.
func (s *site) call(method, path string) error {
	req, err := http.NewRequest(method, "http://"+s.doorOf(len(s.all)-1)+path, nil)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return nil
}

// act does one thing; out is told of a node once it is out by hand.
func (s *site) act(a *ActXML, node string, out func(node string)) error {
	switch a.Do {
	case "reload":
		return s.all[len(s.all)-1].cmd.Process.Signal(syscall.SIGHUP)
	case "away":
		if err := s.call("POST", "/_lameduck/on"); err != nil {
			return err
		}
		time.Sleep(a.For)
		return s.call("POST", "/_lameduck/off")
	case "hand":
		if err := s.call("POST", "/_workers/detach/"+node); err != nil {
			return err
		}
		out(node)
		time.Sleep(a.For + 50*time.Millisecond)
		return s.call("POST", "/_workers/attach/"+node)
	}
	old := s.all[len(s.all)-1]
	if err := s.start(a.Cores); err != nil {
		return err
	}
	for until := time.Now().Add(readyWithin); ; time.Sleep(10 * time.Millisecond) {
		if s.call("GET", "/_ready") == nil {
			return old.cmd.Process.Signal(syscall.SIGTERM)
		}
		if time.Now().After(until) {
			return fmt.Errorf("the new version is not ready: %s", s.all[len(s.all)-1].log)
		}
	}
}

// awaitReady asks the scheduler until it says that it is ready.
func (r *Runner) awaitReady(loop *scheduler.Loop, network transport.Network, addr string) error {
	until := time.Now().Add(readyWithin)
	for time.Now().Before(until) {
		answer := make(chan bool, 1)
		loop.Post(func() {
			p := newPool(loop, network, addr)
			p.ask(http1.AppendRequest(nil, "GET", "/ready", addr, nil, nil), func(resp *http1.Response, err error) {
				answer <- err == nil && resp.Status == 200
			})
		})
		if <-answer {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("the scheduler is not ready")
}

// used is what a process has used of the machine so far.
type used struct {
	user, system time.Duration
	peakKB       int
}

// cpuOf is the processor time that children used so far; one that has ended counts as none.
func cpuOf(children []*child) (sum time.Duration) {
	for _, c := range children {
		if u, err := usage(c.cmd.Process.Pid); err == nil {
			sum += u.user + u.system
		}
	}
	return sum
}

// usage reads it from /proc, whose clock ticks are 10 ms.
func usage(pid int) (u used, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 || fields[0] == "Z" {
		return u, fmt.Errorf("process %d has ended", pid)
	}
	for i, d := range []*time.Duration{&u.user, &u.system} {
		ticks, err := strconv.Atoi(fields[11+i])
		if err != nil {
			return u, err
		}
		*d = time.Duration(ticks) * 10 * time.Millisecond
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	if _, rest, found := strings.Cut(string(status), "VmHWM:"); found {
		_, _ = fmt.Sscan(rest, &u.peakKB)
	}
	return u, nil
}

// sum works out the figures.
func (r *Result) sum(told map[string]time.Duration, before, after used) {
	f := r.Figures
	latency := hist()
	answered := 0.0
	for i := range r.Load {
		l := &r.Load[i]
		latency.Merge(imported(l.Latency))
		for name, n := range map[string]int{"asked": l.Asked, "served": l.Served, "refused": l.Refused, "failed": l.Failed, "broken": l.Broken,
			"wrong": l.Wrong, "extra": l.Extra, "again": l.Again, "unanswered": l.Unanswered, "in_time": l.InTime} {
			f[name] += float64(n)
		}
		f["throughput"] += float64(l.Served) / l.Span.Seconds()
		f["behind_ms"] = max(f["behind_ms"], ms(l.Behind))
		answered += float64(l.Asked - l.Unanswered)
	}
	f["p50_ms"], f["p99_ms"], f["p999_ms"] = ms(quantile(latency, 50)), ms(quantile(latency, 99)), ms(quantile(latency, 99.9))
	f["cpu_user_us_a_job"] = float64((after.user - before.user).Microseconds()) / max(answered, 1)
	f["cpu_sys_us_a_job"] = float64((after.system - before.system).Microseconds()) / max(answered, 1)
	f["cpu_us_a_job"] = f["cpu_user_us_a_job"] + f["cpu_sys_us_a_job"]
	f["rss_mb"] = float64(after.peakKB) / 1024
	f["cold_worst"], f["falls"], f["repeats"], f["unknown"], f["drain_last_ms"], f["drains"] = 0, 0, 0, 0, 0, 0
	runs := 0
	for i := range r.Fleet {
		fl := &r.Fleet[i]
		runs += fl.Runs
		f["repeats"] += float64(fl.Repeats)
		f["unknown"] += float64(fl.Unknown)
		for _, n := range fl.Nodes {
			f["cold_worst"] = max(f["cold_worst"], n.Worst)
			f["falls"] += float64(n.Falls)
		}
		for _, rs := range fl.Restarted {
			if at, given := told[rs.Node+" terminating"]; given && rs.LastSend > 0 {
				f["drains"]++
				f["drain_last_ms"] = max(f["drain_last_ms"], ms(rs.LastSend-at))
				r.Drains = append(r.Drains, DrainReport{rs.Node, at, rs.LastSend - at, rs.At - at})
			}
		}
	}
	f["runs_a_job"] = float64(runs) / max(answered, 1)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
