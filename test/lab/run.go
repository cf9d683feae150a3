package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"ravendale/balancer/http1"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// Runner runs experiments with child processes of its own program and of the scheduler.
type Runner struct {
	Self   string // path of this program, which emulates nodes with its command `fleet` and clients with `load`
	Binary string // path of the scheduler's program
	Short  bool
	Logs   string                         // folder for the scheduler's logs; "" discards them
	Say    func(text string, args ...any) // prints a line on the progress
	Log    *slog.Logger
	Only   string // the only variant to run; "" runs all
}

// Result holds the measurements of one phase of one variant.
type Result struct {
	Variant, Phase string
	Figures        map[string]float64
	Load           []LoadReport
	Fleet          []FleetReport
	Drains         []DrainReport
}

// Run runs all phases of all variants, or of the variant Only. If a phase fails, Run returns the results so far and the
// error.
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
			r.Say("%-12s %-10s %8.0f/s  p50 %6.2f  p99 %7.2f  p99.9 %7.2f ms  CPU %5.1f us a job (%.1f user, %.0f k instructions, %.0f k cycles)  last send %4.0f ms after drain listed  cold load ratio %.2f at most  steal %.0f%%",
				result.Variant, result.Phase, f["throughput"], f["p50_ms"], f["p99_ms"], f["p999_ms"], f["cpu_us_a_job"],
				f["cpu_user_us_a_job"], f["k_instructions_a_job"], f["k_cycles_a_job"], f["drain_last_ms"], f["cold_worst"], f["steal_percent"])
			results = append(results, *result)
		}
	}
	return results, nil
}

// appendUnique appends name to list unless list contains it.
func appendUnique(list []string, name string) []string {
	for _, w := range list {
		if w == name {
			return list
		}
	}
	return append(list, name)
}

// config returns a scheduler's configuration file, in the platform's format.
func (x *Experiment) config(listen, discovery string, settings map[string]any) ([]byte, error) {
	return json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "seed": strconv.FormatUint(x.Seed, 16),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 1024, "sockets": 8192}, "settings": settings})
}

// readyTimeout limits how long a process may take to start.
const readyTimeout = 20 * time.Second

// awaitReady polls the scheduler's /ready until it answers 200.
func (r *Runner) awaitReady(loop *scheduler.Loop, network transport.Network, addr string) error {
	until := time.Now().Add(readyTimeout)
	for time.Now().Before(until) {
		answer := make(chan bool, 1)
		loop.Post(func() {
			p := newPool(loop, network, addr)
			p.do(http1.AppendRequest(nil, "GET", "/ready", addr, nil, nil), func(resp *http1.Response, err error) {
				answer <- err == nil && resp.Status == 200
			})
		})
		if <-answer {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("scheduler did not become ready in time: no 200 from /ready")
}
