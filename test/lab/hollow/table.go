package hollow

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Table is the result for reading, costs of schedulers a scheduler.
func (r *Result) Table() string {
	var out strings.Builder
	line := func(name, format string, arguments ...any) {
		fmt.Fprintf(&out, "%-34s "+format+"\n", append([]any{name}, arguments...)...)
	}
	line("schedulers, zones", "%d, %d", r.Schedulers, r.Zones)
	line("load of the machine", "%s before, %s after", r.LoadBefore, r.LoadAfter)
	line("relay tree", "%d hops, %d relays", r.Depth, r.Relays)
	line("start until all are current", "%v", r.Started.Round(time.Millisecond))
	r.phase(line, "rest", r.Rest)
	r.phase(line, "a change a second", r.Changing)
	line("change at the median scheduler", "%s", ranged(r.Changes, func(s Spread) time.Duration { return s.P50 }))
	line("change at 99 of 100", "%s", ranged(r.Changes, func(s Spread) time.Duration { return s.P99 }))
	line("change at the last", "%s", ranged(r.Changes, func(s Spread) time.Duration { return s.Max }))
	line("relays killed, change after", "%d, p50 %v p99 %v max %v, %d missing", r.RelaysKilled, r.AfterKill.P50.Round(time.Millisecond),
		r.AfterKill.P99.Round(time.Millisecond), r.AfterKill.Max.Round(time.Millisecond), r.Missing)
	line("zone restarted", "%d schedulers, all current after %v", r.ZoneSize, r.ZoneBack.Round(time.Millisecond))
	r.phase(line, "zone's return", r.ZoneReturn)
	for _, breach := range r.Breaches {
		line("BREACH", "%s", breach)
	}
	return out.String()
}

func (r *Result) phase(line func(name, format string, arguments ...any), name string, p Phase) {
	seconds := p.Lasted.Seconds()
	if seconds == 0 || r.Schedulers == 0 {
		return
	}
	each := seconds * float64(r.Schedulers)
	const kb, mb = 1 << 10, 1 << 20
	line(name+": a scheduler", "cpu %.4f%% of a core, sends %.0f B/s in %.2f writes/s, %.1f waits/s, heap %.0f KB, resident %.0f KB",
		p.Schedulers.CPU.Seconds()/each*100, float64(p.Schedulers.Written)/each, float64(p.Schedulers.Writes)/each,
		float64(p.Schedulers.Switches)/each, float64(p.Schedulers.Heap)/kb/float64(r.Schedulers), float64(p.Schedulers.Resident)/kb/float64(r.Schedulers))
	line(name, "%v long, %d lists of members", p.Lasted.Round(time.Millisecond), p.Lists)
	line(name+": the leader", "cpu %.2f%% of a core, sends %.0f B/s in %.0f writes/s, heap %.1f MB, resident %.1f MB, peak %.1f MB",
		p.Leader.CPU.Seconds()/seconds*100, float64(p.Leader.Written)/seconds, float64(p.Leader.Writes)/seconds,
		float64(p.Leader.Heap)/mb, float64(p.Leader.Resident)/mb, float64(p.Leader.Peak)/mb)
}

// ranged tells the least, the middle and the greatest of something.
func ranged(spreads []Spread, of func(Spread) time.Duration) string {
	if len(spreads) == 0 {
		return "none"
	}
	var all []time.Duration
	for _, s := range spreads {
		all = append(all, of(s).Round(time.Millisecond/10))
	}
	slices.Sort(all)
	return fmt.Sprintf("%v (%v to %v over %d changes)", all[len(all)/2], all[0], all[len(all)-1], len(all))
}
