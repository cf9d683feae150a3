package lab

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"ravendale/balancer/deadline"
	"ravendale/balancer/http1"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
	"ravendale/balancer/transport/nbionet"
	"ravendale/test/emulator"
)

// FleetSpec says which nodes a process plays.
type FleetSpec struct {
	Rules      emulator.Rules
	Nodes      []NodeSpec
	Schedulers []string // where each is called back
	Accept     time.Duration
	Restarts   []Restart
	Unsafe     []string // the classes of which no job may run twice
	Falls      bool     // a node that is overfed while cold goes down
}

// NodeSpec is one node. It listens once for each scheduler.
type NodeSpec struct {
	Name   string
	Kind   emulator.Kind
	Listen []string
}

// Restart has a node begin anew, cold, at a time on scheduler.SystemClock.
type Restart struct {
	Node string
	At   time.Duration
}

// FleetReport is what the nodes saw.
type FleetReport struct {
	Runs       int // jobs that began
	Duplicates int `json:"Repeats"` // runs of an unsafe job beyond its first
	Unknown    int // requests that make no sense
	Late       time.Duration
	Nodes      []NodeReport
	Restarted  []RestartReport
}

// NodeReport is what one node saw.
type NodeReport struct {
	Name  string
	Sends int
	Worst float64 // emulator.Node.Worst
	Falls int
}

// RestartReport says when the last send to a node began, by its first byte, before its restart.
type RestartReport struct {
	Node         string
	At, LastSend time.Duration
}

// fleet plays nodes on one loop.
type fleet struct {
	spec   FleetSpec
	loop   *scheduler.Loop
	net    transport.Network
	log    *slog.Logger
	nodes  []*node
	unsafe map[string]bool
	ran    map[string]int // unsafe jobs by id
	report FleetReport
}

// node is one node on sockets.
type node struct {
	f       *fleet
	name    string
	model   *emulator.Node
	servers []*server // by scheduler
	calls   []*pool
	jobs    map[string]*task // in hand
	timer   *deadline.Deadline
	next    time.Duration
	sends   int
	last    time.Duration // first byte of the last send
}

// task is a job in a node's hands.
type task struct {
	by     int // the scheduler
	unsafe bool
	class  string
}

// ServeFleet plays a fleet until stop is closed, and tells ready once every node listens.
func ServeFleet(spec FleetSpec, log *slog.Logger, ready func(), stop <-chan struct{}) (FleetReport, error) {
	loop := scheduler.NewLoop(scheduler.SystemClock())
	engine := nbionet.New(nbionet.Options{Loop: loop, ConnectTimeout: dialWithin, Log: log})
	defer engine.Close()
	if err := engine.Start(); err != nil {
		return FleetReport{}, err
	}
	f := newFleet(spec, loop, engine, log)
	for _, n := range f.nodes {
		for i, addr := range n.spec(spec).Listen {
			ln, err := nbionet.Listen(addr, 0)
			if err != nil {
				return FleetReport{}, fmt.Errorf("node %s: %w", n.name, err)
			}
			engine.Serve(ln, 1<<20, n.servers[i].opened)
		}
	}
	loop.Post(f.start)
	ready()
	loop.Run(stop)
	return f.result(), nil
}

func (n *node) spec(s FleetSpec) NodeSpec {
	for _, spec := range s.Nodes {
		if spec.Name == n.name {
			return spec
		}
	}
	return NodeSpec{}
}

func newFleet(spec FleetSpec, loop *scheduler.Loop, net transport.Network, log *slog.Logger) *fleet {
	f := &fleet{spec: spec, loop: loop, net: net, log: log, unsafe: make(map[string]bool), ran: make(map[string]int)}
	for _, class := range spec.Unsafe {
		f.unsafe[class] = true
	}
	for _, s := range spec.Nodes {
		n := &node{f: f, name: s.Name, model: emulator.New(s.Kind, spec.Rules, spec.Falls), jobs: make(map[string]*task)}
		for i, addr := range spec.Schedulers {
			n.servers = append(n.servers, newServer(loop, func(c *served, req *http1.Request, first time.Duration) {
				n.serve(i, c, req, first)
			}))
			n.calls = append(n.calls, newPool(loop, net, addr))
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

// start sets the times of the restarts.
func (f *fleet) start() {
	for _, r := range f.spec.Restarts {
		for _, n := range f.nodes {
			if n.name == r.Node {
				f.loop.Deadlines.Add(r.At, func() { n.restart(r.At) })
			}
		}
	}
}

func (f *fleet) result() FleetReport {
	for _, n := range f.nodes {
		f.report.Nodes = append(f.report.Nodes, NodeReport{n.name, n.sends, n.model.Worst(), n.model.Failures()})
	}
	return f.report
}

// restart is the end of one process and the start of the next: connections break, and what was in hand is gone.
func (n *node) restart(at time.Duration) {
	now := n.f.loop.Now()
	n.f.report.Late = max(n.f.report.Late, now-at)
	n.f.report.Restarted = append(n.f.report.Restarted, RestartReport{n.name, now, n.last})
	n.report(n.model.Restart(now))
	for _, s := range n.servers {
		s.reset()
	}
}

// serve takes a request of scheduler by.
func (n *node) serve(by int, c *served, req *http1.Request, first time.Duration) {
	now := n.f.loop.Now()
	if n.model.Down(now) {
		c.drop()
		return
	}
	if id, found := strings.CutPrefix(req.Target, platform.PathJobs); found && req.Method == "DELETE" {
		was, notes := n.model.Cancel(now, id)
		if was {
			delete(n.jobs, id)
		}
		c.reply(200, nil, nil)
		n.report(notes)
		return
	}
	id := req.Header.Get(platform.HeaderID)
	class, work, slots, err := parseWork(req.Body)
	if id == "" || err != nil || n.jobs[id] != nil {
		n.f.report.Unknown++
		c.reply(400, nil, nil)
		return
	}
	n.sends++
	n.last = max(n.last, first)
	n.jobs[id] = &task{by: by, class: class, unsafe: n.f.unsafe[class]}
	notes := n.model.Offer(now, emulator.Job{ID: id, Work: work, Slots: slots})
	if last := len(notes) - 1; last >= 0 && notes[last] == (emulator.Notice{Kind: emulator.Rejected, ID: id}) {
		delete(n.jobs, id)
		c.reply(503, http1.Header{{Name: platform.HeaderNotRun, Value: "1"}}, nil)
		n.report(notes[:last])
		return
	}
	if accept := n.f.spec.Accept; accept > 0 {
		n.f.loop.After(accept, func() { c.reply(202, nil, nil) })
	} else {
		c.reply(202, nil, nil)
	}
	n.report(notes)
}

// report calls back with what became of jobs, and has the node looked at again when the next one ends.
func (n *node) report(notes []emulator.Notice) {
	for _, note := range notes {
		t := n.jobs[note.ID]
		if t == nil {
			continue
		}
		switch note.Kind {
		case emulator.Started:
			n.f.report.Runs++
			if t.unsafe {
				if n.f.ran[note.ID]++; n.f.ran[note.ID] > 1 {
					n.f.report.Duplicates++
				}
			}
			n.call(t, `{"id":"`+note.ID+`","from":"`+n.name+`","state":"started"}`)
		case emulator.Done:
			delete(n.jobs, note.ID)
			n.call(t, `{"id":"`+note.ID+`","from":"`+n.name+`","state":"done","result":"`+note.ID+`"}`)
		default:
			delete(n.jobs, note.ID)
			n.call(t, `{"id":"`+note.ID+`","from":"`+n.name+`","state":"lost"}`)
		}
	}
	n.wake()
}

func (n *node) wake() {
	at, any := n.model.Next()
	if n.timer != nil && any && at == n.next {
		return
	}
	n.f.loop.Deadlines.Drop(n.timer)
	if n.timer = nil; any {
		n.next = at
		n.timer = n.f.loop.Deadlines.Add(at, func() {
			n.timer = nil
			n.report(n.model.AdvanceTo(n.f.loop.Now()))
		})
	}
}

// maxAttempts is how often a call is made until it is answered, and retryPause how long after the one before.
const (
	maxAttempts = 10
	retryPause  = 100 * time.Millisecond
)

func (n *node) call(t *task, body string) {
	p := n.calls[t.by]
	request := http1.AppendRequest(nil, "POST", platform.PathCallback, p.addr, nil, []byte(body))
	var attempt func(left int)
	attempt = func(left int) {
		p.ask(request, func(_ *http1.Response, err error) {
			if err != nil && left > 1 {
				n.f.loop.After(retryPause, func() { attempt(left - 1) })
			}
		})
	}
	attempt(maxAttempts)
}

// appendWork writes what a job is, as the lab's nodes read it from its body.
func appendWork(b []byte, class string, work time.Duration, slots float64) []byte {
	b = append(append(b, class...), ' ')
	b = append(strconv.AppendInt(b, int64(work/time.Microsecond), 10), ' ')
	return strconv.AppendFloat(b, slots, 'g', -1, 64)
}

func parseWork(b []byte) (class string, work time.Duration, slots float64, err error) {
	fields := strings.Fields(string(b))
	if len(fields) != 3 {
		return "", 0, 0, fmt.Errorf("%d fields", len(fields))
	}
	us, err := strconv.ParseInt(fields[1], 10, 40)
	if err != nil || us < 0 {
		return "", 0, 0, fmt.Errorf("work %q", fields[1])
	}
	if slots, err = strconv.ParseFloat(fields[2], 64); err != nil || !(slots > 0) {
		return "", 0, 0, fmt.Errorf("slots %q", fields[2])
	}
	return fields[0], time.Duration(us) * time.Microsecond, slots, nil
}

// listed is one node in discovery's form.
type listed struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// Discovery lists nodes to one scheduler, the full list first and then changes.
type Discovery struct {
	loop     *scheduler.Loop
	seq      int64
	hosts    []listed
	watches  map[*served]int64        // the sequence up to which each has been sent
	listedAt map[string]time.Duration // by node and state, when that was last sent
}

func newDiscovery(loop *scheduler.Loop, hosts []listed) *Discovery {
	d := &Discovery{loop: loop, seq: 1, hosts: hosts, watches: make(map[*served]int64), listedAt: make(map[string]time.Duration)}
	d.heartbeat()
	return d
}

func (d *Discovery) serve(c *served, req *http1.Request, _ time.Duration) {
	path, query, _ := strings.Cut(req.Target, "?")
	if path != platform.PathList {
		c.reply(404, nil, nil)
		return
	}
	if !strings.Contains(query, "stream=1") {
		c.reply(200, nil, d.object(true, d.hosts))
		return
	}
	c.net.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	d.watches[c] = d.seq
	c.left = func() { delete(d.watches, c) }
	d.write(c, d.object(true, d.hosts))
}

func (d *Discovery) object(full bool, hosts []listed) []byte {
	text, err := json.Marshal(struct {
		Seq   int64    `json:"seq"`
		Full  bool     `json:"whole"`
		Hosts []listed `json:"hosts"`
	}{d.seq, full, hosts})
	if err != nil {
		panic(err) // of plain values: it can't fail
	}
	return append(text, '\n')
}

func (d *Discovery) write(c *served, b []byte) {
	c.net.Write(append(append([]byte(strconv.FormatInt(int64(len(b)), 16)+"\r\n"), b...), "\r\n"...))
}

func (d *Discovery) heartbeat() {
	d.loop.After(2*time.Second, func() {
		for c := range d.watches {
			d.write(c, []byte("\n"))
		}
		d.heartbeat()
	})
}

// set changes what is listed of a node and tells it.
func (d *Discovery) set(host, health string, born time.Duration) {
	for i := range d.hosts {
		if h := &d.hosts[i]; h.Host == host {
			d.seq++
			h.Health = health
			if born > 0 {
				h.BornMs = int64(born / time.Millisecond)
			}
			d.listedAt[host+" "+health] = d.loop.Now()
			for c := range d.watches {
				d.write(c, d.object(false, []listed{*h}))
			}
		}
	}
}
