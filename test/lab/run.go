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

func with(list []string, name string) []string {
	for _, w := range list {
		if w == name {
			return list
		}
	}
	return append(list, name)
}

// config is a scheduler's file, in the platform's form.
func (x *Experiment) config(listen, discovery string, settings map[string]any) ([]byte, error) {
	return json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "seed": strconv.FormatUint(x.Seed, 16),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 1024, "sockets": 8192}, "settings": settings})
}

// readyWithin is how long a process may take to start.
const readyWithin = 20 * time.Second

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
