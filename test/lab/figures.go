package lab

import (
	"time"
)

// figureNames lists the figures of an experiment, on which it may set expectations.
var figureNames = []string{"throughput", "p50_ms", "p99_ms", "p999_ms", "cpu_us_a_job", "cpu_user_us_a_job", "cpu_sys_us_a_job", "cpu_nodes_us_a_job", "cpu_clients_us_a_job",
	"rss_mb", "k_instructions_a_job", "k_cycles_a_job", "steal_percent", "drains", "drain_last_ms", "cold_worst", "falls", "asked", "served", "refused", "failed", "broken", "wrong", "extra",
	"unanswered", "again", "repeats", "unknown", "in_time", "behind_ms", "runs_a_job"}

// DrainReport says when the scheduler last sent to a node that was drained or detached by hand. LastSend and Restart count
// from ListedAt, when discovery listed the drain or the node was detached.
type DrainReport struct {
	Node              string
	ListedAt          time.Duration `json:"Told"` // on scheduler.SystemClock
	LastSend, Restart time.Duration
}

// sum computes the figures from the reports of clients and nodes, the times of the drains and the scheduler's usage.
func (r *Result) sum(listedAt map[string]time.Duration, before, after processUsage) {
	f := r.Figures
	latency := newHistogram()
	answered := 0.0
	for i := range r.Load {
		l := &r.Load[i]
		latency.Merge(importHistogram(l.Latency))
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
		f["repeats"] += float64(fl.Duplicates)
		f["unknown"] += float64(fl.Unknown)
		for _, n := range fl.Nodes {
			f["cold_worst"] = max(f["cold_worst"], n.Worst)
			f["falls"] += float64(n.Falls)
		}
		for _, rs := range fl.Restarted {
			if at, given := listedAt[rs.Node+" terminating"]; given && rs.LastSend > 0 {
				f["drains"]++
				f["drain_last_ms"] = max(f["drain_last_ms"], ms(rs.LastSend-at))
				r.Drains = append(r.Drains, DrainReport{rs.Node, at, rs.LastSend - at, rs.At - at})
			}
		}
	}
	f["runs_a_job"] = float64(runs) / max(answered, 1)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
