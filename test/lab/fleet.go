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

// FleetSpec configures the nodes that a process emulates.
type FleetSpec struct {
	Rules      emulator.Rules
	Nodes      []NodeSpec
	Schedulers []string      // addresses that the nodes send callbacks to
	Accept     time.Duration // delay of the answer 202; 0 answers at once
	Restarts   []Restart
	Unsafe     []string // classes whose jobs must not run twice
	Falls      bool     // a node that is overloaded while cold goes down
}

// NodeSpec describes one node. It listens at one address per scheduler, in the order of FleetSpec.Schedulers.
type NodeSpec struct {
	Name   string
	Kind   emulator.Kind
	Listen []string
}

// Restart restarts a node, which is cold afterwards. At is on scheduler.SystemClock.
type Restart struct {
	Node string
	At   time.Duration
}

// FleetReport holds the counts of all nodes of a fleet.
type FleetReport struct {
	Runs       int           // jobs started
	Duplicates int           `json:"Repeats"` // runs of an unsafe job after its first
	Unknown    int           // invalid requests, or with the ID of a job that the node has already
	Late       time.Duration // the longest delay of a restart against its time
	Nodes      []NodeReport
	Restarted  []RestartReport
}

// NodeReport holds the counts of one node.
type NodeReport struct {
	Name  string
	Sends int
	Worst float64 // emulator.Node.Worst
	Falls int
}

// RestartReport is a restart of a node. LastSend is when the first byte of the last request before it arrived.
type RestartReport struct {
	Node         string
	At, LastSend time.Duration
}

// fleet emulates nodes on one loop.
type fleet struct {
	spec       FleetSpec
	loop       *scheduler.Loop
	net        transport.Network
	log        *slog.Logger
	nodes      []*node
	unsafe     map[string]bool
	unsafeRuns map[string]int // number of runs of unsafe jobs, by ID
	report     FleetReport
}

// node is one emulated node with its sockets.
type node struct {
	fleet         *fleet
	name          string
	model         *emulator.Node
	servers       []*server        // by scheduler
	callbackPools []*pool          // by scheduler
	jobs          map[string]*task // queued or running, by ID
	timer         *deadline.Deadline
	timerAt       time.Duration
	sends         int
	lastSendAt    time.Duration // when the first byte of the last request arrived
}

// task is a job that a node has queued or runs.
type task struct {
	scheduler int // index of the scheduler that sent it
	unsafe    bool
	class     string
}

// ServeFleet emulates a fleet until stop is closed. It calls ready once every node listens.
func ServeFleet(spec FleetSpec, log *slog.Logger, ready func(), stop <-chan struct{}) (FleetReport, error) {
	loop := scheduler.NewLoop(scheduler.SystemClock())
	engine := nbionet.New(nbionet.Options{Loop: loop, ConnectTimeout: dialTimeout, Log: log})
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
	f := &fleet{spec: spec, loop: loop, net: net, log: log, unsafe: make(map[string]bool), unsafeRuns: make(map[string]int)}
	for _, class := range spec.Unsafe {
		f.unsafe[class] = true
	}
	for _, s := range spec.Nodes {
		n := &node{fleet: f, name: s.Name, model: emulator.New(s.Kind, spec.Rules, spec.Falls), jobs: make(map[string]*task)}
		for i, addr := range spec.Schedulers {
			n.servers = append(n.servers, newServer(loop, func(c *serverConn, req *http1.Request, first time.Duration) {
				n.serve(i, c, req, first)
			}))
			n.callbackPools = append(n.callbackPools, newPool(loop, net, addr))
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

// start schedules the restarts.
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

// restart emulates the end of the node's process and the start of the next one: connections break and its jobs are lost.
func (n *node) restart(at time.Duration) {
	now := n.fleet.loop.Now()
	n.fleet.report.Late = max(n.fleet.report.Late, now-at)
	n.fleet.report.Restarted = append(n.fleet.report.Restarted, RestartReport{n.name, now, n.lastSendAt})
	n.handleNotices(n.model.Restart(now))
	for _, s := range n.servers {
		s.reset()
	}
}

// serve handles a request of the scheduler with the given index; first is when its first byte arrived.
func (n *node) serve(scheduler int, c *serverConn, req *http1.Request, first time.Duration) {
	now := n.fleet.loop.Now()
	if n.model.Down(now) {
		c.drop()
		return
	}
	if id, found := strings.CutPrefix(req.Target, platform.PathJobs); found && req.Method == "DELETE" {
		cancelled, notes := n.model.Cancel(now, id)
		if cancelled {
			delete(n.jobs, id)
		}
		c.reply(200, nil, nil)
		n.handleNotices(notes)
		return
	}
	id := req.Header.Get(platform.HeaderID)
	class, work, slots, err := parseWork(req.Body)
	if id == "" || err != nil || n.jobs[id] != nil {
		n.fleet.report.Unknown++
		c.reply(400, nil, nil)
		return
	}
	n.sends++
	n.lastSendAt = max(n.lastSendAt, first)
	n.jobs[id] = &task{scheduler: scheduler, class: class, unsafe: n.fleet.unsafe[class]}
	notes := n.model.Offer(now, emulator.Job{ID: id, Work: work, Slots: slots})
	if last := len(notes) - 1; last >= 0 && notes[last] == (emulator.Notice{Kind: emulator.Rejected, ID: id}) {
		delete(n.jobs, id)
		c.reply(503, http1.Header{{Name: platform.HeaderNotRun, Value: "1"}}, nil)
		n.handleNotices(notes[:last])
		return
	}
	if accept := n.fleet.spec.Accept; accept > 0 {
		n.fleet.loop.After(accept, func() { c.reply(202, nil, nil) })
	} else {
		c.reply(202, nil, nil)
	}
	n.handleNotices(notes)
}

// handleNotices sends a callback for each change of a job's state, and sets the timer for the end of the next job.
func (n *node) handleNotices(notes []emulator.Notice) {
	for _, note := range notes {
		t := n.jobs[note.ID]
		if t == nil {
			continue
		}
		switch note.Kind {
		case emulator.Started:
			n.fleet.report.Runs++
			if t.unsafe {
				if n.fleet.unsafeRuns[note.ID]++; n.fleet.unsafeRuns[note.ID] > 1 {
					n.fleet.report.Duplicates++
				}
			}
			n.callBack(t, `{"id":"`+note.ID+`","from":"`+n.name+`","state":"started"}`)
		case emulator.Done:
			delete(n.jobs, note.ID)
			n.callBack(t, `{"id":"`+note.ID+`","from":"`+n.name+`","state":"done","result":"`+note.ID+`"}`)
		default:
			delete(n.jobs, note.ID)
			n.callBack(t, `{"id":"`+note.ID+`","from":"`+n.name+`","state":"lost"}`)
		}
	}
	n.resetTimer()
}

func (n *node) resetTimer() {
	at, any := n.model.Next()
	if n.timer != nil && any && at == n.timerAt {
		return
	}
	n.fleet.loop.Deadlines.Drop(n.timer)
	if n.timer = nil; any {
		n.timerAt = at
		n.timer = n.fleet.loop.Deadlines.Add(at, func() {
			n.timer = nil
			n.handleNotices(n.model.AdvanceTo(n.fleet.loop.Now()))
		})
	}
}

// maxAttempts limits how often a callback is sent until it is answered, and retryPause is the pause after a failed attempt.
const (
	maxAttempts = 10
	retryPause  = 100 * time.Millisecond
)

func (n *node) callBack(t *task, body string) {
	p := n.callbackPools[t.scheduler]
	request := http1.AppendRequest(nil, "POST", platform.PathCallback, p.addr, nil, []byte(body))
	var attempt func(remaining int)
	attempt = func(remaining int) {
		p.do(request, func(_ *http1.Response, err error) {
			if err != nil && remaining > 1 {
				n.fleet.loop.After(retryPause, func() { attempt(remaining - 1) })
			}
		})
	}
	attempt(maxAttempts)
}

// appendWork appends the body of a job's request in the format of parseWork: class, work in microseconds and slots.
func appendWork(b []byte, class string, work time.Duration, slots float64) []byte {
	b = append(append(b, class...), ' ')
	b = append(strconv.AppendInt(b, int64(work/time.Microsecond), 10), ' ')
	return strconv.AppendFloat(b, slots, 'g', -1, 64)
}

// parseWork parses the body of a job's request; see appendWork.
func parseWork(b []byte) (class string, work time.Duration, slots float64, err error) {
	fields := strings.Fields(string(b))
	if len(fields) != 3 {
		return "", 0, 0, fmt.Errorf("job description has %d fields, not 3", len(fields))
	}
	us, err := strconv.ParseInt(fields[1], 10, 40)
	if err != nil || us < 0 {
		return "", 0, 0, fmt.Errorf("job has invalid work %q", fields[1])
	}
	if slots, err = strconv.ParseFloat(fields[2], 64); err != nil || !(slots > 0) {
		return "", 0, 0, fmt.Errorf("job has invalid slots %q", fields[2])
	}
	return fields[0], time.Duration(us) * time.Microsecond, slots, nil
}

// listedNode is a node in the format of the discovery service.
type listedNode struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// Discovery emulates the discovery service: it sends each watching scheduler the full list of nodes, and then changes.
type Discovery struct {
	loop     *scheduler.Loop
	seq      int64
	hosts    []listedNode
	watches  map[*serverConn]int64    // sequence number of the list at the start of each watch
	listedAt map[string]time.Duration // when each "node state" was last sent
}

func newDiscovery(loop *scheduler.Loop, hosts []listedNode) *Discovery {
	d := &Discovery{loop: loop, seq: 1, hosts: hosts, watches: make(map[*serverConn]int64), listedAt: make(map[string]time.Duration)}
	d.heartbeat()
	return d
}

func (d *Discovery) serve(c *serverConn, req *http1.Request, _ time.Duration) {
	path, query, _ := strings.Cut(req.Target, "?")
	if path != platform.PathList {
		c.reply(404, nil, nil)
		return
	}
	if !strings.Contains(query, "stream=1") {
		c.reply(200, nil, d.encodeList(true, d.hosts))
		return
	}
	c.net.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	d.watches[c] = d.seq
	c.onClose = func() { delete(d.watches, c) }
	d.writeChunk(c, d.encodeList(true, d.hosts))
}

func (d *Discovery) encodeList(full bool, hosts []listedNode) []byte {
	text, err := json.Marshal(struct {
		Seq   int64        `json:"seq"`
		Full  bool         `json:"whole"`
		Hosts []listedNode `json:"hosts"`
	}{d.seq, full, hosts})
	if err != nil {
		panic(err) // can't happen: all values are plain
	}
	return append(text, '\n')
}

func (d *Discovery) writeChunk(c *serverConn, b []byte) {
	c.net.Write(append(append([]byte(strconv.FormatInt(int64(len(b)), 16)+"\r\n"), b...), "\r\n"...))
}

func (d *Discovery) heartbeat() {
	d.loop.After(2*time.Second, func() {
		for c := range d.watches {
			d.writeChunk(c, []byte("\n"))
		}
		d.heartbeat()
	})
}

// updateNode changes the health of a listed node, and its start time if born is above 0, and sends the change to the watching
// schedulers.
func (d *Discovery) updateNode(host, health string, born time.Duration) {
	for i := range d.hosts {
		if h := &d.hosts[i]; h.Host == host {
			d.seq++
			h.Health = health
			if born > 0 {
				h.BornMs = int64(born / time.Millisecond)
			}
			d.listedAt[host+" "+health] = d.loop.Now()
			for c := range d.watches {
				d.writeChunk(c, d.encodeList(false, []listedNode{*h}))
			}
		}
	}
}
