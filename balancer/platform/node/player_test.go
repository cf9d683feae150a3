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
	"ravendale/balancer/scheduler"
)

// player runs a script, one step per line, on a whole node with a simulated network and clock:
//
//	c1 open [on K]             a client connects, and is assigned to core K; any name without a slash is a client
//	c1 send TEXT               sends bytes; \n stands for the end of a line
//	c1 ask ID CLASS MS [MORE]  sends a complete request
//	c1 expect ANSWER; ANSWER   expects what was sent to it since: '200 result', '503 retry close', 'closed', 'nothing'
//	c1 close                   closes
//	op1 call GET /_ready       an operator connects and calls; any name that begins with op is one
//	w1/1 accept                the first connection dialled to w1 is established; 'refuse' and 'close' end it
//	w1/1 stuck                 what is written to it stays unwritten from now on
//	w1/1 send TEXT, expect     as above; requests read 'POST /api a1 4990' and 'DELETE /jobs/a1'
//	w1/1 202                   sends an empty answer with that status; MORE may follow as 'Name: value'
//	disc/1 line TEXT           sends a line of a watch, as a chunk in two pieces
//	crowd N [STEP]             N clients connect, crowd1 and so on, and each does the step, with # replaced by its number
//	call HOST ID STATE [TEXT]  calls back on a separate connection, and expects 204
//	wait 100ms                 advances the clock
//	reload [ADDR]              reloads the configuration, with that discovery address; without one, an invalid file
//	retune OLD => NEW          reloads the configuration with OLD replaced by NEW
//	stall K, resume K          pauses and resumes the loop of core K (or 'decider')
//	deaf on, deaf off          pauses and resumes the decider's poller, while its loop runs
//	stop                       orders the node to stop; 'stopped' expects that it has ended, 'running' that it has not
//	upgrade                    starts a second process; a step that begins with 'old' is for the previous one ('old old': for
//	                           the one before that); connections opened or dialled
//	                           from now on belong to the new one
//	end                        ends the link between the processes, as if the process had ended
type player struct {
	t     *testing.T
	step  string
	now   time.Duration
	procs []*process // newest first
	peers map[string]*peer
	dials map[string]int
	calls int
	file  string // the configuration
	cfg   *config.Config
	cores []int // core counts of the processes that are started, used in rotation; 0 for a process without separate core loops

	stalled   map[*scheduler.Loop]bool
	due       *deadline.Queue // scheduled actions of peers
	afterStep func()          // called after each step of a wait
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

// onlyShort names the scenarios of TestScenarios that run only with shortJobs, because they depend on requested lists, on its tick,
// or on its order of drawn servers. TestPushedLists covers the behaviour with pushed lists.
var onlyShort = map[string]bool{
	"silent watch is renewed from the last version":                               true,
	"incomplete object does not keep a watch alive, and an object may span lines": true,
	"new discovery address is asked at once for the complete list":                true,
	"answer is sent before the client's deadline":                                 true,
	"unrepeatable request uses a new connection after a reused one broke":         true,
	"repeated ID is rejected while in progress and for some time after":           true, // the time depends on the longest job
}

// deployments are the settings under which each scenario runs, so that none passes by chance in a single deployment.
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

// getenv is the environment of the processes, which sets discovery's address too.
func getenv(name string) string {
	return map[string]string{"PROXY_CONFIG": "f", "PROXY_DISCOVERY": "disc:1", "TMPDIR": "/tmp"}[name]
}

// play runs a script on a node on one core, with the given known servers.
func play(t *testing.T, servers []string, sockets int, script string) *player {
	t.Helper()
	return playOn(t, []int{0}, servers, sockets, script)
}

// playOn is play for processes on several cores: the processes started use the given core counts in rotation.
func playOn(t *testing.T, cores []int, servers []string, sockets int, script string) *player {
	t.Helper()
	return playAt(t, settings, cores, servers, sockets, script)
}

// playAt is playOn with the settings of a deployment.
func playAt(t *testing.T, settings string, cores []int, servers []string, sockets int, script string) *player {
	t.Helper()
	var known []string
	for _, s := range servers {
		known = append(known, entry(s, "in_service"))
	}
	seed := "7" // with this seed, servers are chosen in the order of their numbers
	if !strings.Contains(settings, `"ask"`) {
		seed = "2" // without a first call to discovery, which would draw a random number
	}
	file := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:1","discovery":"disc:1","seed":%q,
 "limits":{"sockets":%d},"known":{"seq":41,"whole":true,"hosts":[%s]},"settings":%s}`,
		seed, sockets, strings.Join(known, ","), settings)
	cfg, err := config.Load(getenv, func(string) ([]byte, error) { return []byte(file), nil })
	if err != nil {
		t.Fatal(err)
	}
	p := &player{t: t, file: file, cfg: cfg, now: 1_700_000_000 * time.Second, peers: make(map[string]*peer), dials: make(map[string]int),
		cores: cores, stalled: make(map[*scheduler.Loop]bool), due: deadline.NewQueue(), afterStep: func() {}}
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

// start assembles and starts a process.
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

// turn runs turns of all processes, enough for messages between them to take effect.
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
			p.afterStep()
		}
	case "call":
		words := strings.SplitN(rest, " ", 4)
		body := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q`, fullID(words[1]), words[0], words[2])
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
			p.cfg = cfg // for processes that are started later
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
			l.Begin() // holds the turn, like a loop paused during a turn
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
		n.accepts = false
		n.link.Close()
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
				if q.accepts {
					c.p = q // the oldest process that accepts clients
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
		if c.deaf || c.shut { // data that arrives after the end is discarded
			return
		}
		c.do(func() { c.handler.Data([]byte(strings.ReplaceAll(arg, `\n`, "\r\n"))) })
	case "line":
		half := len(arg) / 2
		p.at(n, who, "send", fmt.Sprintf(`%x\n%s`, len(arg)+1, arg[:half]))
		p.at(n, who, "send", arg[half:]+"\n"+`\n`)
	case "ask":
		w := strings.SplitN(arg, " ", 4)
		text := fmt.Sprintf(`POST /api HTTP/1.1\nX-Txn: %s\nX-Lane: %s\nX-Remaining-Ms: %s\nContent-Length: 2\n`, fullID(w[0]), w[1], w[2])
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
	default: // a response status
		if arg != "" {
			arg += `\n`
		}
		p.at(n, who, "send", "HTTP/1.1 "+verb+` X\nContent-Length: 0\n`+arg+`\n`)
	}
}

// figures returns the expected metrics, with two servers; metrics that are not given are 0.
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

// fullID returns the complete ID for the short form used in scripts.
func fullID(id string) string { return strings.Repeat("0", 14) + id }
