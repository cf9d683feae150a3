package node

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale/balancer/config"
	"ravendale/balancer/deadline"
	"ravendale/balancer/http1"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// A scenario is a script, one step a line, played on a whole node with a fake network and clock:
//
//	c1 open [on K]             a client connects, and is dealt to core K; any name without a slash is a client
//	c1 send TEXT               sends bytes; \n stands for the end of a line
//	c1 ask ID CLASS MS [MORE]  sends a whole request
//	c1 expect ANSWER; ANSWER   what was sent to it since: '200 result', '503 retry close', 'closed', 'nothing'
//	c1 close                   closes
//	op1 call GET /_ready       an operator connects and calls; any name that begins with op is one
//	w1/1 accept                the first connection dialled to w1 comes up; 'refuse' and 'close' end it
//	w1/1 stuck                 what is written to it stays unwritten from now on
//	w1/1 send TEXT, expect     as above; requests read 'POST /api a1 4990' and 'DELETE /jobs/a1'
//	w1/1 202                   sends an empty answer with that status; MORE may follow as 'Name: value'
//	disc/1 line TEXT           sends a line of a watch, in a chunk that comes in two pieces
//	crowd N [STEP]             N clients connect, crowd1 and so on, and each does the step, # being its number
//	call HOST ID STATE [TEXT]  calls back from a connection of its own, and wants 204
//	wait 100ms                 lets time pass
//	reload [ADDR]              the configuration is read again, with that discovery; without one the file is broken
//	retune OLD => NEW          the configuration is read again with that text in place of another
//	stall K, resume K          the loop of core K (or 'decider') stands still, and goes on
//	deaf on, deaf off          nothing of the network comes to the decider, though its loop goes on
//	stop                       is the order to stop; 'stopped' wants the node at its end, 'running' not yet
//	upgrade                    starts a second process; a step that begins with 'old' is for the one before ('old old': for
//	                           the one before that), what is
//	                           opened or dialled from now on is the new one's
//	end                        has the process end, as far as the other one sees
type player struct {
	t     *testing.T
	step  string
	now   time.Duration
	procs []*process // the newest first
	peers map[string]*peer
	dials map[string]int
	calls int
	file  string // the configuration
	cfg   *config.Config
	cores []int // of processes that start, by turns; 0 for one without loops for its cores

	stalled map[*scheduler.Loop]bool
	due     *deadline.Queue // what others do at their times,
	each    func()          // and after each step of a wait
}

// process is one process, and its ports.
type process struct {
	*player
	loop      *scheduler.Loop
	node      *Node
	takes     bool                                   // clients
	successor func(transport.Conn) transport.Handler // takes the call of a process that takes over
	twin      *pipe                                  // to the other one, the newest
	links     []*pipe                                // to all others

	loops   []*scheduler.Loop // of the cores, if it has several
	targets []accept
	choose  func() int
	deaf    bool // its poller stands still
}

func (p *process) Operators(string, int, func(transport.Conn) transport.Handler) error { return nil }
func (p *process) SetLimit(int)                                                        {}
func (p *process) Pause(paused bool)                                                   { p.takes = !paused }

func (p *process) Peers(string, int, func(transport.Conn) transport.Handler) (func(), error) {
	return nil, errors.ErrUnsupported
}

func (p *process) Successors(_ string, accept func(transport.Conn) transport.Handler) error {
	p.successor = accept
	return nil
}

func (p *process) Clients(_ string, _, _ int, to []accept, choose func() int) error {
	p.takes, p.targets, p.choose = true, to, choose
	return nil
}

func (p *process) Echo(f func()) error {
	if !p.deaf {
		p.loop.Post(f)
	}
	return nil
}

func (p *process) Core(i int) transport.Network { return &network{p, p.loops[i]} }

// network is that of one core.
type network struct {
	*process
	loop *scheduler.Loop
}

func (n *network) Dial(addr string, h transport.Handler) transport.Conn {
	c := n.process.Dial(addr, h)
	if c, ok := c.(*peer); ok {
		c.loop = n.loop
	}
	return c
}

// pipe is one end of the connection between two processes.
type pipe struct {
	loop    *scheduler.Loop
	handler transport.Handler
	far     *pipe
	shut    bool
	given   []*peer // connections that came
}

func (c *pipe) SendConn(b []byte, conn transport.Conn) transport.Given {
	client := conn.(*peer)
	c.far.loop.Post(func() { c.far.given = append(c.far.given, client) })
	c.Write(b)
	return client
}

func (c *pipe) Given() transport.Given {
	client := c.given[0]
	c.given = c.given[1:]
	return client
}

func (p *process) Adopt(core int, g transport.Given, accept accept) error {
	c := g.(*peer)
	c.p, c.loop = p, append(p.loops, p.loop)[max(core, 0)]
	c.handler = accept(c)
	return nil
}

// toFar has the other end hear of something.
func (c *pipe) toFar(f func(transport.Handler)) {
	c.far.loop.Post(func() {
		if !c.far.shut {
			f(c.far.handler)
		}
	})
}

func (c *pipe) Write(b []byte) {
	half := len(b) / 2
	for _, part := range [][]byte{b[:half], b[half:]} {
		c.toFar(func(h transport.Handler) { h.Data(part) })
	}
}

func (c *pipe) Close() {
	c.shut = true
	c.toFar(func(h transport.Handler) { h.Closed(errors.New("closed")) })
}
func (c *pipe) Finish()        {}
func (c *pipe) Ignore()        {}
func (c *pipe) Unwritten() int { return 0 }
func (c *pipe) Peer() string   { return "" }

// join connects a new process to the one before it, or finds none there.
func (p *process) join(h transport.Handler) transport.Conn {
	p.twin = &pipe{loop: p.loop, handler: h}
	p.links = append(p.links, p.twin)
	if len(p.procs) == 1 {
		p.twin.far = p.twin
		p.loop.Post(func() { h.Closed(errors.New("refused")) })
		return p.twin
	}
	old := p.procs[1]
	old.twin = &pipe{loop: old.loop, far: p.twin}
	old.links = append(old.links, old.twin)
	p.twin.far = old.twin
	old.loop.Post(func() { old.twin.handler = old.successor(old.twin) })
	p.loop.Post(h.Connected)
	return p.twin
}

// peer is the far end of one connection, and the near end's transport.Conn.
type peer struct {
	p       *process
	loop    *scheduler.Loop // of the near end
	name    string
	handler transport.Handler
	dialled bool
	up      bool
	stuck   bool
	deaf    bool // the near end throws away what comes
	ended   bool // and has said that nothing follows
	lost    int  // bytes never handed to the system
	shut    bool
	reqs    http1.Requests
	resps   http1.Responses
	seen    []string
}

func (c *peer) Write(b []byte) {
	switch {
	case c.stuck:
		c.lost += len(b)
	case c.dialled:
		c.reqs.Feed(b)
	default:
		c.resps.Feed(b)
	}
}

func (c *peer) Close()         { c.shut = true }
func (c *peer) Finish()        { c.deaf, c.ended = true, true }
func (c *peer) Ignore()        { c.deaf = true }
func (c *peer) Drop()          {}
func (c *peer) Unwritten() int { return c.lost }
func (c *peer) Peer() string   { return c.name }

// Dial implements transport.Network.
func (p *process) Dial(addr string, h transport.Handler) transport.Conn {
	if strings.HasPrefix(addr, "/") {
		return p.join(h)
	}
	host, _, _ := strings.Cut(addr, ":")
	p.dials[host]++
	c := &peer{p: p, loop: p.loop, name: fmt.Sprintf("%s/%d", host, p.dials[host]), handler: h, dialled: true}
	p.peers[c.name] = c
	return c
}

// long is the whole id that a script writes in short.
func long(id string) string { return strings.Repeat("0", 14) + id }

// said sums up what the near end sent since it was last asked.
func (c *peer) said() string {
	for c.dialled {
		r, err := c.reqs.Next()
		if r == nil || err != nil {
			break
		}
		text := strings.Replace(r.Method+" "+r.Target, long(""), "", 1)
		for _, name := range []string{"X-Txn", "X-Remaining-Ms", "Idempotency-Key"} {
			if v := strings.TrimLeft(r.Header.Get(name), "0"); v != "" {
				text += " " + v
			}
		}
		c.seen = append(c.seen, strings.TrimSpace(text+" "+string(r.Body)))
	}
	for !c.dialled {
		r, err := c.resps.Next()
		if r == nil || err != nil {
			break
		}
		text := fmt.Sprint(r.Status)
		if r.Header.Get("Retry-After") != "" {
			text += " retry"
		}
		if r.Status == 200 {
			text += " " + strings.Join(strings.Fields(string(r.Body)), " ")
		}
		if r.Close {
			text += " close"
		}
		c.seen = append(c.seen, text)
	}
	if c.ended && !c.shut {
		c.seen = append(c.seen, "end")
	}
	if c.ended = false; c.shut {
		c.seen = append(c.seen, "closed")
	}
	text := strings.Join(c.seen, "; ")
	c.seen = nil
	if text == "" {
		return "nothing"
	}
	return text
}

const settings = `{"balancers":1,"me":0,"dcs":["east"],"locality":"east","host-types":["big"],"discovery":"ask",
 "ceilings":{"attempts-cap":3,"may-cancel":true,"may-duplicate":true,"retry-after":true,"max-retry-after-us":2000000,
 "connect-timeout-us":250000,"idle-close-us":5000000},
 "rules":{"ask-every-us":10000000,"cold-us":24000000,"cold-from":0.13,"fall-us":2000000,"fall-multiple":3.0,"grace-to-answer-us":8000},
 "specifics":{"class-kind":[-1,-1,-1],"class-stretch":[2.0,2.0,2.0],"tells-start":true},"tick-us":2000,
 "request-classes":[{"name":"read","effect":"idempotent","aim-us":4000000,"give-up-us":5000000,"importance":1,"late-worth":0.5},
 {"name":"pay","effect":"at_most_once","aim-us":4000000,"give-up-us":5000000,"importance":1,"late-worth":0.5},
 {"name":"keyed","effect":"deduplicated","group":"all","window-us":5000000,"aim-us":4000000,"give-up-us":5000000}]}`

const shortJobs, longJobs = "short jobs, asked lists", "long jobs, pushed lists"

// onlyShort are scenarios of TestScenarios whose steps are of lists that are asked for, of the short jobs' tick, or draw
// servers in an order that their deployment alone has. TestPushedLists has what stands for them elsewhere.
var onlyShort = map[string]bool{
	"a silent watch is asked again, from the last version":                                   true,
	"an object that never ends keeps no watch, and one written over several lines is a list": true,
	"a new discovery is asked at once for the whole list, whatever became of the old one":    true,
	"the answer comes before the client's time is over":                                      true,
	"where kept connections break, what may not be repeated takes a new one":                 true,
	"one id is in hand once, and not again soon":                                             true, // soon is by the longest job
}

// deployments are those that scenarios are played on. What holds at one by luck fails at another.
var deployments = map[string]string{
	shortJobs: settings,
	longJobs: strings.NewReplacer(`"ask"`, `"push"`, `["east"]`, `["north","east","south","west"]`,
		`["big"]`, `["big","small"]`, `"class-kind":[-1,-1,-1]`, `"class-kind":[-1,-1,0]`, `"give-up-us":5000000`, `"give-up-us":25000000`, `"window-us":5000000`, `"window-us":40000000`,
		`"cold-us":24000000`, `"cold-us":23000000`, `"tick-us":2000`, `"tick-us":4000,"worth-by":"request","report":{"how":"on_probe"}`,
		`"aim-us":4000000`, `"aim-us":4100000`).Replace(settings),
}

func entry(host, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":"%s:9000","site":"east","class":"big","block":0,"health":%q,"share":1.0,"born_ms":0}`,
		host, host, health)
}

// getenv is an environment that was set at the start, discovery's address included.
func getenv(name string) string {
	return map[string]string{"PROXY_CONFIG": "f", "PROXY_DISCOVERY": "disc:1", "TMPDIR": "/tmp"}[name]
}

// play runs a script against a node that knows the servers given.
func play(t *testing.T, servers []string, sockets int, script string) *player {
	t.Helper()
	return playOn(t, []int{0}, servers, sockets, script)
}

// playOn is play for processes on several cores: those that start have the counts given, by turns.
func playOn(t *testing.T, cores []int, servers []string, sockets int, script string) *player {
	t.Helper()
	return playAt(t, settings, cores, servers, sockets, script)
}

// playAt is playOn at a deployment.
func playAt(t *testing.T, settings string, cores []int, servers []string, sockets int, script string) *player {
	t.Helper()
	var known []string
	for _, s := range servers {
		known = append(known, entry(s, "in_service"))
	}
	seed := "7" // with which the scenarios' servers come in the order of their numbers,
	if !strings.Contains(settings, `"ask"`) {
		seed = "2" // where no draw is made for the first call to discovery
	}
	file := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:1","discovery":"disc:1","seed":%q,
 "limits":{"sockets":%d},"known":{"seq":41,"whole":true,"hosts":[%s]},"settings":%s}`,
		seed, sockets, strings.Join(known, ","), settings)
	cfg, err := config.Load(getenv, func(string) ([]byte, error) { return []byte(file), nil })
	if err != nil {
		t.Fatal(err)
	}
	p := &player{t: t, file: file, cfg: cfg, now: 1_700_000_000 * time.Second, peers: make(map[string]*peer), dials: make(map[string]int),
		cores: cores, stalled: make(map[*scheduler.Loop]bool), due: deadline.NewQueue(), each: func() {}}
	p.start()
	p.run(script)
	return p
}

func (p *player) run(script string) {
	for line := range strings.SplitSeq(script, "\n") {
		if line = strings.TrimSpace(line); line != "" {
			p.step = line
			who, rest, _ := strings.Cut(line, " ")
			p.play(who, rest)
		}
	}
}

// start puts a process together and has it begin.
func (p *player) start() {
	clock := func() time.Duration { return p.now }
	n := &process{player: p, loop: scheduler.NewLoop(clock)}
	for range p.cores[len(p.procs)%len(p.cores)] {
		n.loops = append(n.loops, scheduler.NewLoop(clock))
	}
	p.procs = append([]*process{n}, p.procs...)
	var err error
	if n.node, err = assemble(p.cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), n.loop, n.loops, n); err != nil {
		p.t.Fatal(err)
	}
	if n.do(n.node.start); n.node.err != nil {
		p.t.Fatal(n.node.err)
	}
}

func (p *process) do(f func()) {
	p.loop.Post(f)
	p.turn()
}

// turn has the processes take turns until what one told the other has had its effect.
func (p *player) turn() {
	for range 4 {
		for _, n := range p.procs {
			for _, l := range append([]*scheduler.Loop{n.loop}, n.loops...) {
				if !p.stalled[l] {
					l.Turn()
				}
			}
		}
	}
}

// do has f called in a turn of the near end's loop.
func (c *peer) do(f func()) {
	c.loop.Post(f)
	c.p.turn()
}

func (p *player) want(got, want string) {
	p.t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		p.t.Fatalf("%s (-want +got):\n%s", p.step, diff)
	}
}

func (p *player) play(who, rest string) {
	n := p.procs[0]
	for i := 1; who == "old"; i++ {
		n = p.procs[i]
		who, rest, _ = strings.Cut(rest, " ")
	}
	verb, arg, _ := strings.Cut(rest, " ")
	switch who {
	case "wait":
		left, err := time.ParseDuration(rest)
		if err != nil {
			p.t.Fatal(err)
		}
		for end := p.now + left; p.now < end; {
			next := end
			for _, n := range p.procs {
				for _, l := range append([]*scheduler.Loop{n.loop}, n.loops...) {
					if at, any := l.Deadlines.Next(); any && !p.stalled[l] {
						next = min(next, at)
					}
				}
			}
			if at, any := p.due.Next(); any {
				next = min(next, at)
			}
			p.now = max(p.now, next)
			p.due.Sweep(p.now)
			p.turn()
			p.each()
		}
	case "call":
		words := strings.SplitN(rest, " ", 4)
		body := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q`, long(words[1]), words[0], words[2])
		if len(words) > 3 {
			body += fmt.Sprintf(`,"result":%q`, words[3])
		}
		p.calls++
		name := fmt.Sprintf("call%d", p.calls)
		p.play(name, "open")
		p.play(name, fmt.Sprintf(`send POST /callback HTTP/1.1\nContent-Length: %d\n\n%s}`, len(body)+1, body))
		p.play(name, "expect 204")
	case "crowd":
		var n int
		if _, err := fmt.Sscan(verb, &n); err != nil {
			p.t.Fatal(err)
		}
		for i := range n {
			p.play(fmt.Sprintf("crowd%d", i+1), "open")
		}
		for i := range n {
			if arg != "" {
				p.play(fmt.Sprintf("crowd%d", i+1), strings.ReplaceAll(arg, "#", fmt.Sprintf("%02d", i+1)))
			}
		}
	case "reload", "retune":
		file := strings.Replace(p.file, `"disc:1"`, fmt.Sprintf("%q", rest), 1)
		if old, now, found := strings.Cut(rest, " => "); found {
			file = strings.Replace(p.file, old, now, 1)
			p.file = file
		} else if rest == "" {
			file = file[1:]
		}
		read := func(string) ([]byte, error) { return []byte(file), nil }
		n.node.Reload(getenv, read)
		p.turn()
		if cfg, err := config.Load(getenv, read); err == nil {
			p.cfg = cfg // of a process that starts from now on
		}
	case "stall", "resume":
		l := n.loop
		if rest != "decider" {
			var core int
			if _, err := fmt.Sscan(rest, &core); err != nil {
				p.t.Fatal(err)
			}
			l = n.loops[core]
		}
		if p.stalled[l] = who == "stall"; p.stalled[l] {
			l.Begin() // as one that has begun a turn, and stands still
		} else {
			l.End()
			p.turn()
		}
	case "deaf":
		n.deaf = rest == "on"
	case "stop":
		n.do(n.node.stop)
	case "upgrade":
		p.start()
	case "end":
		n.takes = false
		n.twin.Close()
		p.turn()
	case "stopped", "running":
		state := "running"
		select {
		case <-n.node.stopped:
			state = "stopped"
		default:
		}
		p.want(state, who)
	default:
		p.at(n, who, verb, arg)
	}
}

func (p *player) at(n *process, who, verb, arg string) {
	c := p.peers[who]
	if verb == "open" {
		if c = (&peer{p: n, name: who}); !strings.HasPrefix(who, "op") {
			for _, q := range p.procs {
				if q.takes {
					c.p = q // the oldest that accepts
				}
			}
		}
		p.peers[who] = c
		if c.loop = c.p.loop; strings.HasPrefix(who, "op") {
			c.do(func() { c.handler = n.node.admin.Opened(c) })
			return
		}
		to := c.p.choose()
		if core, fixed := strings.CutPrefix(arg, "on "); fixed {
			_, _ = fmt.Sscan(core, &to)
			to %= len(c.p.targets)
		}
		if len(c.p.loops) > 0 {
			c.loop = c.p.loops[to]
		}
		c.do(func() { c.handler = c.p.targets[to](c) })
		return
	}
	if verb == "call" {
		p.at(n, who, "open", "")
		p.at(n, who, "send", arg+` HTTP/1.1\n\n`)
		return
	}
	if c == nil {
		p.t.Fatalf("%s: there is no %s", p.step, who)
	}
	switch verb {
	case "send":
		if c.deaf || c.shut { // what crosses the end is not handed on
			return
		}
		c.do(func() { c.handler.Data([]byte(strings.ReplaceAll(arg, `\n`, "\r\n"))) })
	case "line":
		half := len(arg) / 2
		p.at(n, who, "send", fmt.Sprintf(`%x\n%s`, len(arg)+1, arg[:half]))
		p.at(n, who, "send", arg[half:]+"\n"+`\n`)
	case "ask":
		w := strings.SplitN(arg, " ", 4)
		text := fmt.Sprintf(`POST /api HTTP/1.1\nX-Txn: %s\nX-Lane: %s\nX-Remaining-Ms: %s\nContent-Length: 2\n`, long(w[0]), w[1], w[2])
		if len(w) > 3 {
			text += w[3] + `\n`
		}
		p.at(n, who, "send", text+`\nhi`)
	case "expect":
		p.want(c.said(), arg)
	case "accept":
		c.up = true
		c.do(c.handler.Connected)
	case "refuse", "close":
		c.do(func() { c.handler.Closed(errors.New(verb)) })
	case "stuck":
		c.stuck = true
	default: // a status
		if arg != "" {
			arg += `\n`
		}
		p.at(n, who, "send", "HTTP/1.1 "+verb+` X\nContent-Length: 0\n`+arg+`\n`)
	}
}

// figures is what the door reports after so many answers, with two servers; what is not given is 0.
func figures(answers, rest string) string {
	var b strings.Builder
	value := func(name, kind, otherwise string) {
		for given := range strings.FieldsSeq(answers + " " + rest) {
			if n, v, _ := strings.Cut(given, ":"); n == name {
				otherwise = v
			}
		}
		fmt.Fprintf(&b, "proxy.%s:%s|%s ", name, otherwise, kind)
	}
	for _, class := range []string{"keyed", "pay", "read"} {
		for _, name := range []string{"answered.", "deferred.", "errored."} {
			value(name+class, "c", "0")
		}
	}
	value("sends", "c", "0")
	value("current", "g", "0")
	value("cluster_size", "g", "2")
	value("cluster_unhealthy", "g", "0")
	value("conf_loaded", "c", "0")
	value("conf_invalid", "c", "0")
	for _, why := range []string{"no_time", "no_start", "leaving", "no_room"} {
		value("unsent."+why, "c", "0")
	}
	return strings.TrimSpace(b.String())
}

var one, two = []string{"w1"}, []string{"w1", "w2"}

// What no usual client sends is told so, passed on to nobody and not read on.
func TestWhatCannotBeReadIsRejected(t *testing.T) {
	const proper = `POST /api?user=7f HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: read\nX-Remaining-Ms: 50\nX-Labels: slots=1,x=y\n\n`
	for name, tc := range map[string]struct{ from, to, want string }{
		"proper":             {"", "", "nothing"},
		"no key, no labels":  {`?user=7f HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: read\nX-Remaining-Ms: 50\nX-Labels: slots=1,x=y`, ` HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: read\nX-Remaining-Ms: 50`, "nothing"},
		"no id":              {`X-Txn: 00000000000000a1\n`, "", ""},
		"short id":           {"00000000000000a1", "a1", ""},
		"id in capitals":     {"00000000000000a1", "00000000000000A1", ""},
		"two ids":            {`X-Lane`, `X-Txn: 00000000000000a1\nX-Lane`, ""},
		"no class":           {`X-Lane: read\n`, "", ""},
		"unknown class":      {"read", "reads", ""},
		"two classes":        {`X-Labels`, `x-lane: read\nX-Labels`, ""},
		"no key":             {"read", "keyed", ""},
		"no time":            {`X-Remaining-Ms: 50\n`, "", ""},
		"empty time":         {"Ms: 50", "Ms:", ""},
		"negative time":      {"Ms: 50", "Ms: -50", ""},
		"time beyond bounds": {"Ms: 50", "Ms: 99999999999999999999", ""},
		"two times":          {`X-Labels`, `X-Remaining-Ms: 50\nX-Labels`, ""},
		"slots":              {"slots=1", "slots=many", ""},
		"control byte":       {"user=7f", "user=7\x01f", ""},
		"other bytes":        {"user=7f", "user=\xe9", ""},
		"tunnelled":          {`X-Labels`, `Content-Length: 4\nTransfer-Encoding:\nTransfer-Encoding: chunked\nX-Labels`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if tc.want == "" {
				tc.want = "400 close; end"
			}
			play(t, one, 1024, "c1 open\nc1 send "+strings.Replace(proper, tc.from, tc.to, 1)+proper+"\nc1 expect "+tc.want)
		})
	}
}

func TestScenarios(t *testing.T) {
	for name, tc := range map[string]struct {
		servers []string
		sockets int
		script  string
	}{
		"a job is served by a call-back": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			w1/1 202
			call w1 a1 started
			c1 expect nothing
			call w1 a1 done fine
			c1 expect 200 fine`},
		"a call-back may come before the 202, repeat and come late": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			call w1 a1 started
			call w1 a1 done early
			c1 expect 200 early
			call w1 a1 done again
			call w1 a1 lost
			w1/1 202
			c1 expect nothing
			c1 ask a2 read 5000
			w1/1 expect POST /api a1 5000 hi; POST /api a2 5000 hi`},
		"call-backs of unknown jobs and of other servers change nothing": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 202
			call w2 a1 done wrong
			call w1 zz lost
			c1 expect nothing
			call w1 a1 done right
			c1 expect 200 right`},
		"a refused connection proves that nothing ran": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 refuse
			w2/1 accept
			wait 1ms
			w2/1 202
			call w2 a1 done ok
			c1 expect 200 ok`},
		"connections that never came up are no attempts: a fourth of a cap of three goes out": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 refuse
			wait 10ms
			w1/2 refuse
			wait 10ms
			w1/3 refuse
			wait 10ms
			w1/4 accept
			wait 1ms
			w1/4 202
			call w1 a1 done ok
			c1 expect 200 ok`},
		"a connection that never comes up is given up by the setting": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			wait 249ms
			w1/1 expect nothing
			wait 2ms
			w1/1 expect closed`},
		"a break before the last byte proves that nothing ran": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 stuck
			w1/1 accept
			wait 1ms
			w1/1 close
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 4999 hi`},
		"the last byte waits until a break would have shown": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 900us
			w1/1 expect nothing
			w1/1 close
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 4999 hi
			w2/1 202
			call w2 a1 done x
			c1 expect 200 x`},
		"a client that leaves before the last byte ends the connection": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			c1 close
			wait 10ms
			w1/1 expect closed`},
		"what may be repeated does not wait": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi`},
		"an answer before the last byte proves that nothing ran": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			w1/1 503
			w1/1 expect closed
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 5000 hi`},
		"where kept connections break, what may not be repeated takes a new one": {two, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			c1 ask a2 read 5000
			w2/1 accept
			w2/1 202
			call w2 a2 done x
			c1 ask a3 read 5000
			w1/1 close
			w2/1 expect POST /api a2 5000 hi; POST /api a3 5000 hi
			w2/1 202
			c2 open
			c2 ask a4 read 5000
			w1/2 accept
			w1/2 202
			call w1 a4 done x
			call w2 a3 done x
			c1 expect 200 x; 200 x; 200 x
			wait 20ms
			c1 ask a5 pay 5000
			w2/1 expect nothing
			wait 1ms
			w2/1 expect POST /api a5 5000 hi
			w2/1 202
			c2 ask a6 pay 5000
			w1/3 accept
			wait 1ms
			w1/3 expect POST /api a6 5000 hi`},
		"the wait follows the server's fastest answer on a kept connection": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			c1 ask a2 read 5000
			wait 4ms
			w1/1 202
			call w1 a2 done y
			wait 20ms
			c1 ask a3 pay 5000
			w1/1 expect POST /api a1 5000 hi; POST /api a2 5000 hi
			wait 3900us
			w1/1 expect nothing
			wait 200us
			w1/1 expect POST /api a3 5000 hi`},
		"a job that nobody takes moves, unless it must never run twice": {two, 1024, `
			c1 open
			c1 ask a1 keyed 5000 Idempotency-Key: k9
			w1/1 accept
			wait 2ms
			w1/1 expect POST /api a1 5000 k9 hi
			wait 247ms
			w1/1 expect nothing
			wait 4ms
			w1/1 expect closed
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 4747 k9 hi
			call w2 a1 started
			wait 300ms
			w2/1 expect nothing
			call w2 a1 done x
			c1 expect 200 x
			c1 ask a2 pay 5000
			w2/2 accept
			wait 300ms
			w2/2 expect POST /api a2 5000 hi
			call w2 a2 done y
			c1 expect 200 y`},
		"a second answer to the request before is not taken for this one's": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			wait 5ms
			c1 ask a2 pay 5000
			wait 14ms
			w1/1 expect POST /api a1 5000 hi
			w1/1 503 X-Turned-Away: 1
			w1/1 expect closed
			wait 50ms
			w1/2 accept
			wait 1ms
			w1/2 expect POST /api a2 4936 hi
			w1/2 202
			call w1 a2 done y
			c1 expect 200 x; 200 y`},
		"nor is a second answer to a DELETE": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			w1/1 close
			c1 close
			w1/2 accept
			w1/2 expect DELETE /jobs/a1
			w1/2 200
			c2 open
			c2 ask a2 pay 5000
			wait 14ms
			w1/2 expect nothing
			w1/2 200
			w1/2 expect closed`},
		"a connection that has rested carries at once what may not be repeated": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			wait 20ms
			c1 ask a2 pay 5000
			wait 1ms
			w1/1 expect POST /api a1 5000 hi; POST /api a2 5000 hi`},
		"a break after the last byte may have run: no second send": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 close
			c1 expect 504`},
		"turned away and handed back never ran": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 503 X-Turned-Away: 1
			w2/1 accept
			wait 1ms
			w2/1 202
			call w2 a1 returned
			c1 expect nothing
			wait 300ms
			w1/1 expect POST /api a1 5000 hi; POST /api a1 4848 hi`},
		"a plain 503 may have run": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 503
			c1 expect 504`},
		"what a server can't use is not its fault": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 400
			wait 20ms
			c1 ask a2 pay 5000
			wait 1ms
			w1/1 404
			c1 expect 504; 504
			c1 ask a3 pay 5000
			c2 open
			c2 ask a4 pay 5000
			wait 1ms
			w1/2 accept
			wait 1ms
			w1/2 expect POST /api a4 4999 hi`},
		"lost may have run": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 202
			call w1 a1 lost
			c1 expect 504`},
		"a client that leaves before the 202 ends the connection": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			c1 close
			w1/1 expect closed
			call w1 a1 done late`},
		"a cancel that crosses the 202 has the job deleted": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			c1 close
			w1/1 202
			w1/1 expect closed
			w1/2 accept
			w1/2 expect DELETE /jobs/a1
			w1/2 200
			c2 open
			c2 ask a2 read 5000
			w1/2 expect POST /api a2 5000 hi`},
		"a time-out that crosses the 202 has the job deleted, on a connection that rests": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			c2 open
			c2 ask a2 pay 230
			w1/1 accept
			w1/2 accept
			w1/1 202
			call w1 a1 done x
			wait 229ms
			c2 expect 504
			w1/2 202
			w1/2 expect POST /api a2 230 hi; closed
			w1/1 expect POST /api a1 5000 hi; DELETE /jobs/a2`},
		"a keyed job that nobody takes is deleted where it was before it goes there again": {one, 1024, `
			c1 open
			c1 ask a1 keyed 5000 Idempotency-Key: k9
			w1/1 accept
			wait 251ms
			w1/1 expect POST /api a1 5000 k9 hi; closed
			w1/2 accept
			wait 300ms
			w1/2 expect DELETE /jobs/a1
			w1/2 200
			wait 30ms
			w1/2 expect POST /api a1 4449 k9 hi`},
		"what has not begun needs no DELETE": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			c1 close
			w1/1 expect closed
			c2 open
			c2 ask a2 read 5000
			w1/2 stuck
			w1/2 accept
			c2 close
			w1/2 expect closed
			c3 open
			c3 ask a3 read 5000
			w1/3 accept
			w1/3 expect POST /api a3 5000 hi`},
		"a client that leaves after the 202 has the job deleted": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			c1 close
			w1/1 expect POST /api a1 5000 hi; DELETE /jobs/a1
			w1/1 200`},
		"a DELETE on a connection that was closed goes once more": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			c1 close
			w1/1 close
			w1/2 accept
			w1/2 expect DELETE /jobs/a1
			w1/2 close`},
		"the answer comes before the client's time is over": {one, 1024, `
			c1 open
			c1 ask a1 pay 300
			w1/1 accept
			wait 1ms
			w1/1 202
			wait 294ms
			c1 expect nothing
			wait 4ms
			c1 expect 504
			w1/1 expect POST /api a1 300 hi; DELETE /jobs/a1`},
		"a job whose only connect never came up was sent nowhere": {one, 1024, `
			c1 open
			c1 ask a1 pay 300
			w1/1 refuse
			wait 10ms
			w1/2 refuse
			wait 10ms
			w1/3 refuse
			wait 10ms
			w1/4 refuse
			wait 10ms
			w1/5 refuse
			wait 10ms
			w1/6 refuse
			wait 247ms
			c1 expect 503 retry
			op1 call GET /_vars
			op1 expect 200 ` + figures("deferred.pay:1 unsent.no_start:1", "cluster_size:1 cluster_unhealthy:1") + ` close; end`},
		"a job given up unsent is refused with a time to come back, and counted by why": {nil, 1024, `
			c1 open
			c1 ask a1 pay 300
			wait 297ms
			c1 expect 503 retry
			c2 open
			c2 ask a2 pay 0
			c2 expect 503 retry
			op1 call GET /_vars
			op1 expect 200 ` + figures("deferred.pay:2 unsent.no_start:1 unsent.no_time:1", "cluster_size:0") + ` close; end`},
		"idle connections are used again, and closed before the server does": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			wait 3990ms
			w1/1 expect POST /api a1 5000 hi
			wait 20ms
			w1/1 expect closed
			c1 ask a2 read 5000
			w1/2 accept
			w1/2 expect POST /api a2 5000 hi`},
		"what is left is what the server is told": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			wait 100ms
			w1/1 accept
			w1/1 expect POST /api a1 4900 hi`},
		"the key passes on": {one, 1024, `
			c1 open
			c1 ask a1 read 5000 Idempotency-Key: k9
			w1/1 accept
			w1/1 expect POST /api a1 5000 k9 hi`},
		"split and pipelined requests": {one, 1024, `
			c1 open
			c1 send POST /api HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: re
			c1 send ad\nX-Remaining-Ms: 5000\nContent-Length: 2\n\nh
			c1 send iGET /ready HTTP/1.1\n\n
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			c1 expect nothing
			w1/1 202
			call w1 a1 done x
			c1 expect 200 x; 200 ready`},
		"chunked bodies pass on whole": {one, 1024, `
			c1 open
			c1 send POST /api HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: read\nX-Remaining-Ms: 5000\nTransfer-Encoding: chunked\n\n3\nabc\n2
			c1 send \nde\n0\n\n
			w1/1 accept
			w1/1 expect POST /api a1 5000 abcde`},
		"bad input is answered and closed": {one, 1024, `
			c1 open
			c1 send nonsense\n\n
			c1 expect 400 close; end
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect nothing
			wait 500ms
			c1 expect closed
			c2 open
			c2 send POST /api HTTP/1.1\nContent-Length: 65537\n\n
			c2 expect 413 close; end
			c3 open
			c3 send GET /nowhere HTTP/1.1\n\n
			c3 expect 404 close; end
			c4 open
			c4 send PUT /api HTTP/1.1\nX-Txn: 00000000000000a1\n\n
			c4 expect 405 close; end
			c5 open
			c5 send POST /callback HTTP/1.1\nContent-Length: 2\n\n{}
			c5 expect 400 close; end`},
		"who sends no whole request hears of it within 3 s of connecting": {one, 1024, `
			c1 open
			c2 open
			c2 send POST /api HTTP/1.1\nX-Txn: 
			c3 open
			c3 send POST /api HTTP/1.1\nContent-Length: 5\n\nab
			wait 2s
			c2 send 1
			c3 send c
			c1 expect nothing
			wait 600ms
			c1 expect end
			c2 expect 408 close; end
			c3 expect 408 close; end
			wait 500ms
			c1 expect closed`},
		"who has sent one may keep the connection": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			b1 open
			b1 send POST /callback HTTP/1.1\nContent-Length: 46\n\n{"id":"00000000000000a1","from":"w1","state":1}
			b1 expect 400 close; end
			b2 open
			b2 send POST /callback HTTP/1.1\nContent-Length: 63\n\n{"id":"00000000000000a1","from":"w1","state":"done","result":1}
			c1 expect 200 1
			wait 10s
			b2 expect 204
			c1 send POST /api HT
			wait 2400ms
			c1 expect nothing
			wait 200ms
			c1 expect 408 close; end`},
		"one id is in hand once, and not again soon": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			c2 open
			c2 ask a1 read 5000
			c2 expect 409 close; end
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			w1/1 202
			call w1 a1 done first
			c1 expect 200 first
			c3 open
			c3 ask a1 read 5000
			c3 expect 409 close; end
			w1/1 expect nothing
			wait 10s
			c1 ask a1 read 5000
			w1/2 accept
			w1/2 expect POST /api a1 5000 hi`},
		"a drain at once keeps back what is not yet written": {two, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			c1 open
			c1 ask a1 pay 5000
			w1/1 expect nothing
			disc/1 line {"seq":42,"whole":false,"hosts":[` + entry("w1", "terminating") + `]}
			w1/1 accept
			wait 1ms
			w1/1 expect nothing
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 4999 hi`},
		"a silent watch is asked again, from the last version": {one, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line {"seq":44,"whole":false,"hosts":[]}
			wait 2.9s
			disc/1 expect nothing
			disc/1 line
			wait 2.9s
			disc/1 expect nothing
			wait 200ms
			disc/1 expect closed
			wait 1.4s
			disc/2 accept
			disc/2 expect GET /v1/endpoints?stream=1&index=44`},
		"an object that never ends keeps no watch, and one written over several lines is a list": {one, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 send 2\n{ \n1b\n"seq":44,"whole":false,    \n
			disc/1 send 6\n\n \n \n
			disc/1 send a\n"hosts":[]\n1\n}\n
			wait 2s
			disc/1 send 2\n{ \n
			wait 900ms
			disc/1 send 8\n        \n
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			wait 100ms
			disc/1 expect closed
			wait 1.5s
			disc/2 accept
			disc/2 expect GET /v1/endpoints?stream=1&index=44`},
		"a new discovery is asked at once for the whole list, whatever became of the old one": {one, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line {"seq":44,"whole":false,"hosts":[` + entry("w2", "in_service") + `]}
			reload new:1
			disc/1 expect GET /v1/endpoints?stream=1&index=41; closed
			new/1 accept
			new/1 expect GET /v1/endpoints?stream=1&index=0
			new/1 refuse
			wait 1600ms
			new/2 accept
			c1 open
			c1 ask a1 read 5000
			w2/1 expect nothing
			new/2 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			new/2 line {"seq":3,"whole":true,"hosts":[` + entry("w3", "in_service") + `]}
			w3/1 accept
			w3/1 expect POST /api a1 5000 hi
			reload new:1
			new/2 expect GET /v1/endpoints?stream=1&index=0`},
		"earlier failures of the old discovery do not delay the new one": {one, 1024, `
			wait 30ms
			disc/1 refuse
			wait 1600ms
			disc/2 refuse
			wait 3100ms
			disc/3 refuse
			reload new:1
			new/1 refuse
			wait 1600ms
			new/2 accept`},
		"a broken configuration changes nothing": {one, 1024, `
			wait 30ms
			disc/1 accept
			reload
			reload nonsense
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			c1 open
			c1 ask a1 read 5000
			w1/1 accept`},
		"discovery that is down leaves the scheduler ready": {one, 1024, `
			wait 30ms
			disc/1 refuse
			wait 2s
			disc/2 accept
			disc/2 503
			disc/2 expect GET /v1/endpoints?stream=1&index=41; closed
			c1 open
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect 200 ready`},
		"a planned stop serves while it can, then refuses, and leaves nothing unanswered": {one, 1024, `
			c1 open
			c2 open
			c1 ask a1 read 9000
			w1/1 accept
			w1/1 202
			c2 send GET /ready HTTP/1.1\n\n
			c2 expect 200 ready
			stop
			wait 2400ms
			c2 ask a2 read 5000
			w1/1 202
			call w1 a2 done new
			c2 expect 200 new
			c3 open
			c3 ask a3 read 5000
			w1/1 202
			wait 200ms
			c2 expect end
			c2 ask a5 read 5000
			c4 open
			c4 ask a4 read 5000
			c4 expect 503 close; end
			running
			wait 700ms
			c2 expect closed
			c1 expect nothing
			c3 expect nothing
			running
			wait 200ms
			c1 expect 503 retry close; end
			c3 expect 503 retry close; end
			c1 close
			running
			c3 close
			wait 100ms
			stopped`},
		"a new configuration while it stops holds up nothing, and neither does a watch that gets no answer": {one, 1024, `
			c1 open
			c1 ask a1 read 9000
			w1/1 accept
			w1/1 202
			stop
			wait 100ms
			reload disc2:1
			wait 2500ms
			c2 open
			c2 ask a2 read 5000
			c2 expect 503 close; end
			c2 close
			call w1 a1 done x
			c1 expect 200 x close; end
			c1 close
			running
			wait 100ms
			stopped`},
		"a stop before there is any list answers who waits for one": {nil, 1024, `
			c1 open
			c1 ask a1 pay 9000
			stop
			wait 3300ms
			c1 expect nothing
			running
			wait 150ms
			c1 expect 503 retry close; end
			c1 close
			wait 100ms
			stopped`},
		"a stop waits for those who don't close no longer than they may linger": {one, 1024, `
			c1 open
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect 200 ready
			stop
			wait 2500ms
			c1 expect end
			wait 400ms
			c2 open
			c2 ask a1 read 5000
			c2 expect 503 close; end
			running
			wait 200ms
			stopped`},
		"the door answers each caller once, and tells apart what it can't do": {one, 1024, `
			op1 call GET /_ready
			op1 expect 200 ok close; end
			op1 send GET /_ready HTTP/1.1\n\n
			op1 expect nothing
			wait 500ms
			op1 expect closed
			op2 call GET /_nothing
			op2 expect 404 close; end
			op3 call GET /_lameduck/on
			op3 expect 405 close; end
			op4 call POST /_workers/detach/w9
			op4 expect 404 close; end
			op5 call POST /_workers/forget/w1
			op5 expect 404 close; end
			op6 call nonsense
			op6 expect 400 close; end
			op7 open
			wait 4900ms
			op7 expect nothing
			wait 200ms
			op7 expect closed`},
		"callers that say nothing make room, and keep none of the clients' descriptors": {one, 64, `
			op1 call GET /_ready
			op2 open
			op3 open
			op4 open
			op5 open
			op6 open
			op7 open
			op8 open
			op2 expect nothing
			op9 open
			op1 expect 200 ok close; closed
			op10 open
			op2 expect closed
			op3 expect nothing
			op11 call GET /_ready
			op11 expect 200 ok close; end`},
		"figures have all lines from the start, and count each answer and each whole attempt": {two, 1024, `
			op1 call GET /_vars
			op1 expect 200 ` + figures("", "") + ` close; end
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			op2 call GET /_vars
			op2 expect 200 ` + figures("", "sends:0 current:1") + ` close; end
			wait 1ms
			w1/1 202
			call w1 a1 done x
			c1 ask a2 pay 5000
			wait 1ms
			w2/1 accept
			wait 1ms
			w2/1 close
			c1 expect 200 x; 504
			w1/1 close
			c2 open
			c2 ask a3 read 5000
			c2 close
			reload
			op3 call POST /_workers/detach/w2
			op4 call POST /_lameduck/on
			wait 1600ms
			c3 open
			c3 ask a4 keyed 5000 Idempotency-Key: k9
			c3 expect 503 close; end
			op5 call GET /_vars
			op5 expect 200 ` + figures("answered.pay:1 errored.pay:1 deferred.keyed:1 unsent.leaving:1", "sends:2 current:0 cluster_unhealthy:1 conf_invalid:1") + ` close; end`},
		"a server out by hand gets nothing, whatever is listed, until it is back": {two, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			c1 open
			c1 ask a1 pay 5000
			w1/1 expect nothing
			op1 call POST /_workers/detach/w1
			op1 expect 200 ok close; end
			op2 call POST /_workers/detach/w1
			op2 expect 200 ok close; end
			w1/1 accept
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 5000 hi
			disc/1 line {"seq":42,"whole":true,"hosts":[` + entry("w1", "in_service") + "," + entry("w2", "in_service") + `]}
			disc/1 line {"seq":43,"whole":true,"hosts":[` + entry("w2", "in_service") + `]}
			disc/1 line {"seq":44,"whole":false,"hosts":[` + entry("w1", "in_service") + `]}
			c2 open
			c2 ask a2 pay 5000
			w2/2 accept
			wait 1ms
			w2/2 expect POST /api a2 5000 hi
			w1/1 expect nothing
			op3 call POST /_workers/attach/w1
			op3 expect 200 ok close; end
			c3 open
			c3 ask a3 read 5000
			w1/1 expect POST /api a3 5000 hi`},
		"a drain sends clients away, serves those that stay a while, and can be undone": {one, 1024, `
			c1 open
			c2 open
			c2 send GET /ready HTTP/1.1\n\n
			c2 expect 200 ready
			c3 open
			c3 send GET /ready HTTP/1.1\n\n
			c3 expect 200 ready
			b1 open
			b1 send POST /callback HTTP/1.1\nContent-Length: 48\n\n{"id":"00000000000000zz","from":"w1","state":""}
			op1 call POST /_lameduck/on
			op2 call POST /_lameduck/on
			op2 expect 200 ok close; end
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect 503 close; end
			c2 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			c2 expect 200 x close; end
			wait 1400ms
			c3 expect nothing
			wait 200ms
			c3 expect end
			c4 open
			c4 ask a2 read 5000
			c4 expect 503 close; end
			op3 call GET /_ready
			op3 expect 200 ok close; end
			op4 call POST /_lameduck/off
			c5 open
			c5 send GET /ready HTTP/1.1\n\n
			c5 ask a3 read 5000
			w1/1 202
			call w1 a3 done y
			c5 expect 200 ready; 200 y
			wait 1600ms
			c5 expect nothing
			b1 expect 204`},
		"a new version takes over while the old one serves what it has": {one, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line {"seq":44,"whole":false,"hosts":[` + entry("w2", "in_service") + `]}
			op1 call POST /_workers/detach/w2
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			b1 open
			c2 open
			c2 send GET /ready HTTP/1.1\n\n
			c2 expect 200 ready
			c5 open
			upgrade
			op2 call GET /_ready
			op2 expect 200 ok close; end
			wait 30ms
			disc/2 accept
			disc/2 expect GET /v1/endpoints?stream=1&index=44
			c3 open
			c3 ask a1 read 5000
			c3 expect 409 close; end
			c5 ask a5 read 5000
			w1/1 expect POST /api a1 5000 hi; POST /api a5 5000 hi
			w1/1 202
			c3 open
			c3 ask a5 read 5000
			c3 expect 409 close; end
			c4 open
			c4 ask a2 pay 5000
			w1/2 accept
			wait 1ms
			w1/2 expect POST /api a2 5000 hi
			w1/2 202
			call w1 a1 done x
			c1 expect 200 x close; end
			b1 send POST /callback HTTP/1.1\nContent-Length: 63\n\n{"id":"00000000000000a2","from":"w1","state":"done","result":2}
			b1 expect 204
			c4 expect 200 2
			c2 send GET /ready HTTP/1.1\n\n
			c2 expect 200 ready close; end
			c1 close
			c2 close
			old running
			call w1 a5 done z
			c5 expect 200 z close; end
			c5 close
			wait 100ms
			old stopped
			old end
			wait 10s
			c6 open
			c6 ask a6 read 5000
			w1/3 accept
			running`},
		"what a new version is handed stays in force, and operators reach both": {two, 1024, `
			reload new:1
			op1 call POST /_lameduck/on
			c1 open
			c2 open
			upgrade
			wait 30ms
			new/2 expect nothing
			c3 open
			c3 send GET /ready HTTP/1.1\n\n
			c3 expect 503 close; end
			op2 call POST /_lameduck/off
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect 200 ready close; end
			op3 call POST /_workers/detach/w1
			c2 ask a1 read 5000
			w2/1 accept
			w2/1 expect POST /api a1 5000 hi
			old op4 call POST /_workers/attach/w1
			old op4 expect 200 ok close; end
			old op5 call POST /_workers/detach/w2
			c4 open
			c4 ask a2 read 5000
			w1/1 accept
			w1/1 expect POST /api a2 5000 hi
			reload other:1
			other/1 accept
			other/2 accept`},
		"a third version may come before the first has ended": {one, 1024, `
			c1 open
			c2 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			upgrade
			upgrade
			call w1 a1 done x
			c1 expect 200 x close; end
			c2 ask a2 read 5000
			c3 open
			c3 ask a2 read 5000
			c3 expect 409 close; end
			c4 open
			c4 send GET /ready HTTP/1.1\n\n
			c4 expect 200 ready
			old running
			old old end
			wait 200ms
			old stopped
			running`},
		"two processes keep to half of the limits each": {nil, 64, `
			upgrade
			crowd 17 ask # read 5000
			crowd16 expect nothing
			crowd17 expect 503 retry close; end
			old end
			c1 open
			c1 ask a1 read 5000
			c1 expect nothing`},
		"an old version that is told to stop leaves once nothing is owed": {one, 1024, `
			c1 open
			c2 open
			c2 send GET /ready HTTP/1.1\n\n
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			upgrade
			old stop
			wait 2s
			c2 expect 200 ready
			call w1 a1 done x
			c1 expect 200 x close; end
			c1 close
			old running
			wait 600ms
			c2 expect end
			old running
			c2 close
			wait 100ms
			old stopped
			running`},
		"a new version that does not live leaves the old one at work": {one, 64, `
			c1 open
			upgrade
			c2 open
			c2 ask a1 read 5000
			end
			c1 ask a2 read 5000
			w1/2 accept
			w1/2 202
			c3 open
			c3 send GET /ready HTTP/1.1\n\n
			c3 expect 200 ready
			call w1 a2 done x
			c1 expect 200 x
			wait 1s
			old running`},
		"new settings are for new jobs, and nothing of a broken file is taken": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			c2 open
			wait 20ms
			c2 ask a2 pay 5000
			wait 1ms
			retune "deduplicated" => "sometimes"
			retune "sometimes" => "deduplicated"
			retune "attempts-cap":3 => "attempts-cap":1
			retune "name":"read" => "name":"fresh"
			retune "effect":"at_most_once" => "effect":"idempotent"
			retune "effect":"idempotent" => "effect":"at_most_once"
			w1/1 202
			call w1 a1 failed
			w1/1 expect POST /api a1 5000 hi; POST /api a2 5000 hi; POST /api a1 4979 hi
			w1/1 202
			call w1 a1 done x
			c1 expect 200 x
			call w1 a2 failed
			c2 expect 504
			c3 open
			c3 ask a3 read 5000
			c3 expect 400 close; end
			wait 20ms
			c1 ask a4 fresh 5000
			w1/1 expect nothing
			wait 1ms
			w1/1 expect POST /api a4 5000 hi
			w1/1 202
			call w1 a4 failed
			c1 expect 504
			c2 ask a5 pay 5000
			w1/1 expect POST /api a5 5000 hi
			w1/1 202
			call w1 a5 failed
			c2 expect 503 retry
			op1 call GET /_vars
			op1 expect 200 proxy.answered.fresh:0|c proxy.deferred.fresh:0|c proxy.errored.fresh:1|c proxy.answered.keyed:0|c ` +
			`proxy.deferred.keyed:0|c proxy.errored.keyed:0|c proxy.answered.pay:0|c proxy.deferred.pay:1|c proxy.errored.pay:1|c ` +
			`proxy.answered.read:1|c proxy.deferred.read:0|c proxy.errored.read:0|c proxy.sends:5|c proxy.current:0|g ` +
			`proxy.cluster_size:1|g proxy.cluster_unhealthy:1|g proxy.conf_loaded:5|c proxy.conf_invalid:1|c ` +
			`proxy.unsent.no_time:0|c proxy.unsent.no_start:0|c proxy.unsent.leaving:0|c proxy.unsent.no_room:0|c close; end`},
		"silent connections make room for those that speak": {one, 64, `
			b1 open
			call w1 zz started
			crowd 33
			crowd33 ask a1 read 5000
			crowd1 expect nothing
			wait 140ms
			crowd1 expect nothing
			wait 20ms
			crowd1 expect closed
			crowd32 expect closed
			w1/1 accept
			w1/1 expect POST /api a1 4840 hi
			crowd33 expect nothing`},
		"idle clients make room, longest idle first": {one, 64, `
			crowd 23
			crowd2 send GET /ready HTTP/1.1\n\n
			crowd1 send GET /ready HTTP/1.1\n\n
			c1 open
			crowd2 expect 200 ready; end
			c2 open
			crowd1 expect 200 ready; end
			wait 490ms
			crowd2 expect nothing
			wait 20ms
			crowd2 expect closed`},
		"requests in hand leave room for call-backs": {nil, 64, `
			crowd 34 ask # read 5000
			crowd33 expect nothing
			crowd34 expect 503 retry close; end
			crowd1 close
			crowd35 open
			crowd35 ask 35 read 5000
			crowd35 expect nothing
			op1 call GET /_vars
			op1 expect 200 ` + figures("deferred.read:1 unsent.no_room:1", "current:33 cluster_size:0") + ` close; end`},
	} {
		for _, cores := range [][]int{{0}, {3, 2}, {2, 0}, {0, 2}} {
			if name == "silent connections make room for those that speak" && cores[0] > 0 {
				continue // which of them do depends on their cores
			}
			for at, settings := range deployments {
				if at != shortJobs && onlyShort[name] {
					continue
				}
				t.Run(fmt.Sprint(name, " at ", at, " on cores ", cores), func(t *testing.T) {
					playAt(t, settings, cores, tc.servers, tc.sockets, tc.script)
				})
			}
		}
	}
}

// Where lists are pushed the module never asks for one: the table itself holds the watch on the agent. Without it nothing
// is heard after a start, and jobs go to servers that drain (seen 1.7 s after the agent was told).
func TestPushedLists(t *testing.T) {
	for name, script := range map[string]string{
		"the watch opens with the start, and a drain that it tells is kept": `
			disc/1 accept
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line {"seq":44,"whole":false,"hosts":[` + entry("w1", "terminating") + `]}
			c1 open
			c1 ask a1 read 5000
			w2/1 accept
			w2/1 expect POST /api a1 5000 hi
			c2 open
			c2 ask a2 read 5000
			w2/2 accept`,
		"a watch that ends is renewed at once, from the last version, for good": `
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line {"seq":44,"whole":false,"hosts":[]}
			disc/1 close
			wait 50ms
			disc/2 accept
			disc/2 expect GET /v1/endpoints?stream=1&index=44
			disc/2 refuse
			wait 100ms
			disc/3 refuse
			wait 200ms
			disc/4 refuse
			wait 400ms
			disc/5 refuse
			wait 400ms
			disc/6 accept
			disc/6 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/6 line
			disc/6 close
			wait 50ms
			disc/7 accept`,
		"an agent that says nothing is called again, and no sooner than a line is missed": `
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line
			wait 2400ms
			disc/1 line
			wait 2400ms
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			wait 100ms
			disc/1 expect closed
			wait 50ms
			disc/2 accept
			wait 950ms
			disc/2 expect GET /v1/endpoints?stream=1&index=41
			wait 50ms
			disc/2 expect closed
			wait 100ms
			disc/3 accept`,
		"an object that never ends keeps no watch of an agent either": `
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line
			wait 2s
			disc/1 send 2\n{ \n
			wait 400ms
			disc/1 send 8\n        \n
			wait 100ms
			disc/1 expect GET /v1/endpoints?stream=1&index=41; closed
			wait 50ms
			disc/2 accept`,
		"a moved agent is watched at once, one that ends late is not, and what is listed stands": `
			disc/1 refuse
			reload new:1
			new/1 accept
			new/1 expect GET /v1/endpoints?stream=1&index=0
			wait 300ms
			new/1 close
			wait 50ms
			new/2 accept
			new/2 expect GET /v1/endpoints?stream=1&index=0
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi`,
	} {
		for _, cores := range [][]int{{0}, {2}} {
			t.Run(fmt.Sprint(name, " on cores ", cores), func(t *testing.T) {
				playAt(t, deployments[longJobs], cores, two, 1024, script)
			})
		}
	}
}

// A job may run for longer than a process that stops may live: the one that takes its place goes on with it. That no rule
// breaks meanwhile is for TestRulesHoldThroughChanges.
func TestWhatIsOpenGoesToTheNextProcess(t *testing.T) {
	const runs = `
		c1 open
		c1 ask a1 read 25000
		w1/1 accept
		w1/1 202
		call w1 a1 started
		`
	for name, script := range map[string]string{
		"at the order to stop, and for as long as the old one lives": runs + `
			c2 open
			upgrade
			wait 2s
			old running
			old stop
			call w1 a1 done passed
			c1 expect 200 passed
			wait 100ms
			c2 ask a2 pay 25000
			wait 1ms
			w1/1 expect POST /api a1 25000 hi; POST /api a2 25000 hi
			wait 300ms
			old running
			w1/1 202
			wait 200ms
			old stopped
			wait 20s
			call w1 a2 done late
			c2 expect 200 late
			wait 12s
			c2 ask a2 pay 25000
			c2 expect 409 close; end`,
		"and a call that crosses it comes after it": runs + `
			upgrade
			old stall decider
			old stop
			call w1 a1 done crossed
			old resume decider
			c1 expect 200 crossed`,
		"and back from one that did not live to take it": runs + `
			upgrade
			stall decider
			old stop
			wait 700ms
			old running
			end
			call w1 a1 done back
			c1 expect 200 back`,
	} {
		t.Run(name, func(t *testing.T) { playAt(t, deployments[longJobs], []int{0}, one, 1024, script) })
	}
	// A client that has sent more, and other terms in the new version: that is answered before the kill.
	for _, stays := range []string{"c1 send POST", `retune "attempts-cap":3 => "attempts-cap":2`} {
		playAt(t, deployments[longJobs], []int{0}, one, 1024, runs+stays+"\nupgrade\nold stop\nwait 3450ms\nc1 expect 503 retry close; end")
	}
}

// The two processes of an upgrade spend one budget for a cold server, and see each other's dispatches there: each counts
// what the other sends, until that is over or the other is gone.
func TestBothProcessesSpendOneBudget(t *testing.T) {
	cold := strings.Replace(entry("w1", "in_service"), `"born_ms":0`, `"born_ms":1699999999000`, 1)
	p := play(t, two, 1024, `
		wait 30ms
		disc/1 accept
		disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
		disc/1 line {"seq":44,"whole":false,"hosts":[`+cold+`]}
		op1 call POST /_workers/detach/w2
		op2 call POST /_workers/detach/w1
		op3 call POST /_workers/attach/w1
		c1 open
		c2 open
		upgrade`)
	check := func(tokens, slots, slotsOld float64) {
		t.Helper()
		for i, want := range []float64{slots, slotsOld} {
			memory, _ := p.procs[i].node.core.Snapshot()
			if w := memory.Workers["w1"]; w.Tokens != tokens || w.Slots != want {
				t.Fatalf("process %d has %v sends left and %v slots in flight, want %v and %v", i, w.Tokens, w.Slots, tokens, want)
			}
		}
	}
	check(1, 0, 0)
	p.run("c1 ask a1 read 5000\nw1/1 accept\nw1/1 expect POST /api a1 5000 hi\nw1/1 202")
	check(0, 1, 1)
	p.run("call w1 a1 done x")
	check(0, 0, 0)
	slots := func() float64 {
		memory, _ := p.procs[0].node.core.Snapshot()
		return memory.Workers["w2"].Slots
	}
	p.run("op4 call POST /_workers/attach/w2\nc2 ask a3 read 5000\nw2/1 accept\nw2/1 202")
	if slots() != 1 {
		t.Fatalf("%v slots at w2", slots())
	}
	if p.run("old end"); slots() != 0 {
		t.Fatalf("%v slots are left of a process that is gone", slots())
	}
}
