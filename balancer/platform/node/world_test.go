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

// world simulates clients, servers and discovery for the processes of one scheduler, and checks the rules on their traffic.
type world struct {
	*player
	health   map[string]string        // health of each server in the list
	detached map[string]bool          // servers detached by an operator
	outSince map[string]time.Duration // when a server was last taken out of service, by the list or an operator
	jobs     map[string]*worldJob     // by ID, which is also the name of the job's client
	faults   []string
}

type worldJob struct {
	class          ravendale.Class
	by, run        time.Duration
	ends           []string // outcomes of the attempts that begin, in order; the last one repeats
	begun, answers int
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// step lets all peers answer what they received, and removes processes that have ended, whose connections are reset.
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
				w.acceptAttempt(name, word[2])
			case word[0] == "DELETE": // a running job continues
				w.play(name, "200")
			case word[0] == "closed":
				if delete(w.peers, name); j != nil && j.answers == 0 {
					w.fault("job %s: its connection ended without an answer", name)
				}
			case j != nil && word[0] > "1" && word[0] < "6": // a response status
				if j.answers++; j.answers > 1 || w.now > j.by+50*time.Millisecond {
					w.fault("job %s: answer %d, %v after its time", name, j.answers, w.now-j.by)
				}
			}
		}
	}
	return more
}

// list sends the complete list on a watch.
func (w *world) list(watch string) {
	var hosts []string
	for _, s := range slices.Sorted(maps.Keys(w.health)) {
		if w.health[s] != "terminated" {
			hosts = append(hosts, entry(s, w.health[s]))
		}
	}
	w.play(watch, `line {"seq":50,"whole":true,"hosts":[`+strings.Join(hosts, ",")+"]}")
}

// acceptAttempt makes a server answer an attempt with 202, and schedules its call-backs on the start and the outcome.
func (w *world) acceptAttempt(name, id string) {
	j, server := w.jobs[id], strings.Split(name, "/")[0]
	if since, out := w.outSince[server]; out && w.now > since+2050*time.Millisecond {
		w.fault("job %s: sent to %s %v after that was taken out of service", id, server, w.now-since)
	}
	how := j.ends[min(j.begun, len(j.ends)-1)]
	if j.begun++; j.class.Effect == ravendale.Unsafe && j.begun > 1 {
		w.fault("job %s: was sent again although it may have run", id)
	}
	w.play(name, "202")
	for state, at := range map[string]time.Duration{"started": time.Millisecond, how: 2*time.Millisecond + j.run} {
		w.due.Add(w.now+at, func() { w.play("call", fmt.Sprintf("%s %s %s x", server, id, state)) })
	}
}

// change applies one change to the environment of the scheduler, or starts one job.
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
	case "upgrade", "reload": // reload is of a broken file
		w.run(what)
	case "stop":
		if !w.procs[old].accepts { // it has a successor
			w.run(strings.Repeat("old ", old) + what)
		}
	case "detach", "attach":
		w.run("op call POST /_workers/" + what + "/" + s)
		w.detached[s] = what == "detach" && (w.detached[s] || w.health[s] != "terminated") // an unknown server cannot be detached
	default:
		w.health[s] = what
		for _, name := range slices.Sorted(maps.Keys(w.peers)) {
			if strings.HasPrefix(name, "disc") && w.peers[name].up {
				w.list(name)
			}
		}
	}
	if _, out := w.outSince[s]; w.health[s] == "in_service" && !w.detached[s] {
		delete(w.outSince, s)
	} else if !out {
		w.outSince[s] = w.now
	}
}

// mixedDeadlines is a further deployment, with deadlines of 200 ms, 8 s and 120 s, one zone, no cancellation and no start reports.
var mixedDeadlines = strings.NewReplacer(`"may-cancel":true`, `"may-cancel":false`, `"tells-start":true`, `"tells-start":false`, `"ask"`, `"push"`,
	`idempotent","aim-us":4000000,"give-up-us":5000000`, `idempotent","aim-us":100000,"give-up-us":200000`,
	`at_most_once","aim-us":4000000,"give-up-us":5000000`, `at_most_once","aim-us":60000000,"give-up-us":120000000`,
	`"window-us":5000000,"aim-us":4000000,"give-up-us":5000000`, `"window-us":9000000,"aim-us":4000000,"give-up-us":8000000`).Replace(settings)

// Whatever changes occur at whatever times, every request must have exactly one answer in time, a request that must not run twice
// must be sent once, and nothing may be sent to a server later than allowed after it was taken out of service.
func TestInvariantsUnderChanges(t *testing.T) {
	_, _ = flag.Set("rapid.seed", "20261201"), flag.Set("rapid.nofailfile", "true") // makes the test deterministic
	changes := strings.Fields("job job job job job job upgrade stop stop detach attach attach terminating terminated in_service in_service reload")
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs], "own": mixedDeadlines} {
		t.Run(at, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				w := &world{player: playAt(t, settings, []int{0}, []string{"w1", "w2", "w3"}, 1024, ""), jobs: make(map[string]*worldJob),
					health:   map[string]string{"w1": "in_service", "w2": "in_service", "w3": "in_service"},
					detached: make(map[string]bool), outSince: make(map[string]time.Duration)}
				w.afterStep = w.step
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
