package node

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravendale"
)

// world plays clients, servers and discovery round the processes of one scheduler, and checks the rules on what passes.
type world struct {
	*player
	health map[string]string        // by the list
	hand   map[string]bool          // out by hand
	told   map[string]time.Duration // since when a server is out by either
	jobs   map[string]*worldJob     // by id, which are their clients' names too
	faults []string
}

type worldJob struct {
	class          ravendale.Class
	by, run        time.Duration
	ends           []string // of its attempts that began, by turns
	begun, answers int
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// step has everybody answer what has come, and takes a process away that has ended: what it had open is reset.
func (w *world) step() {
	for w.serve() {
	}
	w.procs = slices.DeleteFunc(w.procs, func(n *process) bool {
		select {
		case <-n.node.stopped:
			for _, link := range n.links {
				link.Close()
			}
			for _, c := range w.peers {
				c.shut = c.shut || c.p == n
			}
			return true
		default:
			return false
		}
	})
}

func (w *world) serve() (more bool) {
	for _, name := range slices.Sorted(maps.Keys(w.peers)) {
		c, j := w.peers[name], w.jobs[name]
		if c.dialled && !c.up && !c.shut {
			w.play(name, "accept")
		}
		for said := range strings.SplitSeq(c.said(), "; ") {
			more = more || said != "nothing"
			switch word := strings.Fields(said); {
			case word[0] == "GET":
				w.play(name, `send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n`)
				w.list(name)
			case word[0] == "POST":
				w.takes(name, word[2])
			case word[0] == "DELETE": // what runs goes on
				w.play(name, "200")
			case word[0] == "closed":
				if delete(w.peers, name); j != nil && j.answers == 0 {
					w.fault("job %s: its connection ended without an answer", name)
				}
			case j != nil && word[0] > "1" && word[0] < "6": // a status
				if j.answers++; j.answers > 1 || w.now > j.by+50*time.Millisecond {
					w.fault("job %s: answer %d, %v after its time", name, j.answers, w.now-j.by)
				}
			}
		}
	}
	return more
}

// list sends the whole list on a watch.
func (w *world) list(watch string) {
	var hosts []string
	for _, s := range slices.Sorted(maps.Keys(w.health)) {
		if w.health[s] != "terminated" {
			hosts = append(hosts, entry(s, w.health[s]))
		}
	}
	w.play(watch, `line {"seq":50,"whole":true,"hosts":[`+strings.Join(hosts, ",")+"]}")
}

// takes is a server that gets an attempt: it says 202, and later how it ended.
func (w *world) takes(name, id string) {
	j, server := w.jobs[id], strings.Split(name, "/")[0]
	if since, out := w.told[server]; out && w.now > since+2050*time.Millisecond {
		w.fault("job %s: sent to %s %v after that was told out", id, server, w.now-since)
	}
	how := j.ends[min(j.begun, len(j.ends)-1)]
	if j.begun++; j.class.Effect == ravendale.Unsafe && j.begun > 1 {
		w.fault("job %s: may have run, and was sent again", id)
	}
	w.play(name, "202")
	for state, at := range map[string]time.Duration{"started": time.Millisecond, how: 2*time.Millisecond + j.run} {
		w.due.Add(w.now+at, func() { w.play("call", fmt.Sprintf("%s %s %s x", server, id, state)) })
	}
}

// change is one thing that comes upon the scheduler, or one job.
func (w *world) change(rt *rapid.T, what string) {
	s := rapid.SampledFrom(slices.Sorted(maps.Keys(w.health))).Draw(rt, "server")
	switch old := len(w.procs) - 1; what {
	case "job":
		j := &worldJob{class: rapid.SampledFrom(w.cfg.Settings.Classes).Draw(rt, "class"),
			ends: rapid.SliceOfN(rapid.SampledFrom([]string{"done", "lost", "failed"}), 1, 3).Draw(rt, "ends")}
		j.by, j.run = w.now+j.class.Deadline, time.Duration(rapid.Float64Range(0.01, 1.2).Draw(rt, "run")*float64(j.class.Deadline))
		id := fmt.Sprintf("%x", 0xa0+len(w.jobs))
		w.jobs[id] = j
		w.run(fmt.Sprintf("%s open\n%[1]s ask %[1]s %s %d Idempotency-Key: k", id, j.class.Name, j.class.Deadline.Milliseconds()))
	case "upgrade", "reload": // of a broken file
		w.run(what)
	case "stop":
		if !w.procs[old].takes { // another is in its place
			w.run(strings.Repeat("old ", old) + what)
		}
	case "detach", "attach":
		w.run("op call POST /_workers/" + what + "/" + s)
		w.hand[s] = what == "detach" && (w.hand[s] || w.health[s] != "terminated") // else it is unknown
	default:
		w.health[s] = what
		for _, name := range slices.Sorted(maps.Keys(w.peers)) {
			if strings.HasPrefix(name, "disc") && w.peers[name].up {
				w.list(name)
			}
		}
	}
	if _, out := w.told[s]; w.health[s] == "in_service" && !w.hand[s] {
		delete(w.told, s)
	} else if !out {
		w.told[s] = w.now
	}
}

// own is a deployment of our own: deadlines of 200 ms, 8 s and 120 s, one zone, no cancel and no start notes.
var own = strings.NewReplacer(`"may-cancel":true`, `"may-cancel":false`, `"tells-start":true`, `"tells-start":false`, `"ask"`, `"push"`,
	`idempotent","aim-us":4000000,"give-up-us":5000000`, `idempotent","aim-us":100000,"give-up-us":200000`,
	`at_most_once","aim-us":4000000,"give-up-us":5000000`, `at_most_once","aim-us":60000000,"give-up-us":120000000`,
	`"window-us":5000000,"aim-us":4000000,"give-up-us":5000000`, `"window-us":9000000,"aim-us":4000000,"give-up-us":8000000`).Replace(settings)

// The rules hold whatever changes come upon jobs at whatever times: every request has one answer in time, what must not run
// twice is sent once, and nothing goes to a server later than allowed after it was told out.
func TestRulesHoldThroughChanges(t *testing.T) {
	_, _ = flag.Set("rapid.seed", "20261201"), flag.Set("rapid.nofailfile", "true") // the same verdict every time
	changes := strings.Fields("job job job job job job upgrade stop stop detach attach attach terminating terminated in_service in_service reload")
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs], "own": own} {
		t.Run(at, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				w := &world{player: playAt(t, settings, []int{0}, []string{"w1", "w2", "w3"}, 1024, ""), jobs: make(map[string]*worldJob),
					health: map[string]string{"w1": "in_service", "w2": "in_service", "w3": "in_service"},
					hand:   make(map[string]bool), told: make(map[string]time.Duration)}
				w.each = w.step
				for range rapid.IntRange(5, 30).Draw(rt, "changes") {
					w.play("wait", fmt.Sprint(rapid.IntRange(1, 3000).Draw(rt, "after"), "ms"))
					w.change(rt, rapid.SampledFrom(changes).Draw(rt, "change"))
				}
				w.play("wait", fmt.Sprint(w.cfg.Settings.LongestDeadline()+time.Second))
				for id, j := range w.jobs {
					if j.answers == 0 {
						w.fault("job %s was not answered", id)
					}
				}
				if len(w.faults) > 0 {
					rt.Fatal(strings.Join(w.faults, "\n"))
				}
			})
		})
	}
}
