package lab

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ravendale/balancer/audit"
	"ravendale/balancer/xmlfile"
	"ravendale/test/fleettest"
)

// FleetExperiment is an experiment file for fleets of schedulers, which run as processes under package fleettest.
type FleetExperiment struct {
	Name     string     `xml:"name,attr" required:"true"`
	About    string     `xml:"about,attr"`
	Seed     uint64     `xml:"seed,attr"`
	RollOuts []RollOuts `xml:"roll-outs"`
	Faults   []Faults   `xml:"faults"`
	Pairs    []Pair     `xml:"pair"`
	Expect   []Expect   `xml:"expect"`
}

// RollOuts is a series of roll-outs, one after the other, on a healthy fleet.
type RollOuts struct {
	Members   int           `xml:"members,attr" required:"true"`
	Count     int           `xml:"count,attr" required:"true"`
	Heartbeat time.Duration `xml:"beat,attr" required:"true"`
	Trust     time.Duration `xml:"trust,attr" required:"true"`
}

// Faults is a series of runs with random faults (fleettest.RandomScript), one per seed.
type Faults struct {
	Members int `xml:"members,attr" required:"true"`
	Seeds   int `xml:"seeds,attr" required:"true"` // number of seeds
	Short   int `xml:"short,attr" required:"true"` // number of seeds with --short
	Beside  int `xml:"beside,attr"`                // number of runs in parallel
	Tamper  int `xml:"tamper,attr"`                // number of members whose records are tampered with after the run
}

// Pair compares schedulers that run as a fleet with schedulers without it, in alternate runs.
type Pair struct {
	Members int           `xml:"members,attr" required:"true"`
	Rounds  int           `xml:"rounds,attr" required:"true"`
	Rate    float64       `xml:"rate,attr" required:"true"` // requests per second and scheduler
	For     time.Duration `xml:"for,attr" required:"true"`
}

// Check implements xmlfile.Checker.
func (f *FleetExperiment) Check(bad func(string)) {
	for _, r := range f.RollOuts {
		if r.Members < 1 || r.Members > 250 || r.Count < 1 || r.Heartbeat < 10*time.Millisecond || r.Trust < 4*r.Heartbeat {
			bad("roll-outs: members must be 1 to 250, count 1 or more, beat 10ms or more, and trust at least four beats")
		}
	}
	for _, x := range f.Faults {
		if x.Members < 3 || x.Members > 50 || x.Seeds < 1 || x.Short < 1 || x.Tamper < 0 || x.Tamper > x.Members {
			bad("faults: members must be 3 to 50, seeds and short 1 or more, and tamper 0 to the number of members")
		}
	}
	for _, p := range f.Pairs {
		if p.Members < 1 || p.Members > 50 || p.Rounds < 1 || p.Rate <= 0 || p.Rate > 5000 || p.For < time.Second {
			bad("pair: members must be 1 to 50, rounds 1 or more, rate above 0 and up to 5000, and for 1s or more")
		}
	}
}

// ParseFleetExperiment parses the file of a FleetExperiment.
func ParseFleetExperiment(file string, text []byte) (*FleetExperiment, error) {
	x := &FleetExperiment{Seed: 1}
	return x, xmlfile.Read(file, text, "fleet-experiment", x)
}

// fleetFigures lists the figures of a FleetExperiment, on which it may set expectations.
var fleetFigures = []string{"members", "roll_out_ms_mean", "roll_out_ms_worst", "bytes_a_member_s", "cpu_percent_a_member", "rss_mb_a_member", "seeds", "seeds_failed",
	"stopped_across", "straggled", "straggled_missed", "straggled_invented", "end_ms_worst", "below_floor", "conflicts", "record_faults", "tampered", "tamper_missed", "tamper_invented", "asked", "served", "refused",
	"unanswered", "p50_on_ms", "p50_off_ms", "p99_on_ms", "p99_off_ms", "p99_ratio", "cpu_on_us_a_job", "cpu_off_us_a_job", "cpu_ratio"}

// As converts the experiment to the form that Judge and Keep use, with its name, expectations and figures.
func (f *FleetExperiment) As() *Experiment {
	x := &Experiment{Name: f.Name, About: f.About, Seed: f.Seed, Expect: f.Expect, shownFigures: fleetFigures}
	for _, name := range []string{"roll-outs", "faults", "pair"} {
		x.Phases = append(x.Phases, Phase{Name: name})
	}
	return x
}

// RunFleet runs all roll-outs, faults and pairs of an experiment. If a roll-out or a pair fails, it returns the results so far
// and the error; failed seeds of faults are counted in their figures.
func (r *Runner) RunFleet(x *FleetExperiment) (results []Result, err error) {
	for _, play := range x.RollOuts {
		if r.Short && play.Members > 5 {
			continue
		}
		got, err := r.rollOuts(&play)
		if err != nil {
			return results, fmt.Errorf("roll-outs, %d members: %w", play.Members, err)
		}
		results = append(results, *got)
	}
	for _, play := range x.Faults {
		results = append(results, *r.faults(&play, x.Seed))
	}
	for _, play := range x.Pairs {
		got, err := r.pair(&play)
		if err != nil {
			return results, fmt.Errorf("pair: %w", err)
		}
		results = append(results, *got)
	}
	return results, nil
}

// withBench calls play with a new bench in a temporary folder, and removes both afterwards. If play fails, the bench's logs
// are copied to Runner.Logs.
func (r *Runner) withBench(o fleettest.Options, play func(*fleettest.Bench) error) (err error) {
	if o.Dir, err = os.MkdirTemp("", "ravendale-fleet"); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(o.Dir) }()
	o.Binary = r.Binary
	b, err := fleettest.New(o)
	if err != nil {
		return err
	}
	defer b.Close()
	if err = play(b); err != nil && r.Logs != "" {
		err = errors.Join(err, b.CopyFiles(filepath.Join(r.Logs, filepath.Base(o.Dir))))
	}
	return err
}

// rollOuts measures an idle fleet, and then how long each roll-out takes until all members have adopted it.
func (r *Runner) rollOuts(play *RollOuts) (*Result, error) {
	f := map[string]float64{"members": float64(play.Members)}
	o := fleettest.Options{Members: play.Members, Alone: "stop", Heartbeat: play.Heartbeat, Trust: play.Trust, Direct: play.Members > 30}
	err := r.withBench(o, func(b *fleettest.Bench) error {
		if err := b.Run("start all\nawait acts all"); err != nil {
			return err
		}
		before, start := b.Usage(), time.Now()
		time.Sleep(3 * time.Second) // the fleet is idle
		after := b.Usage()
		seconds := time.Since(start).Seconds() * float64(play.Members)
		f["cpu_percent_a_member"] = 100 * (after.CPU - before.CPU).Seconds() / seconds
		f["bytes_a_member_s"] = float64(after.SentBytes-before.SentBytes) / seconds
		f["rss_mb_a_member"] = float64(after.RSS) / (1 << 20) / float64(play.Members)
		for n := 1; n <= play.Count; n++ {
			if err := b.Run(fmt.Sprintf("roll-out %d floor=%d within=%dms via %s\nawait epoch %d all", n, n, 4*play.Trust.Milliseconds(), "a", n)); err != nil {
				return err
			}
		}
		a, _, err := b.Finish()
		if err != nil {
			return err
		}
		for _, took := range rollOutTimes(a) {
			f["roll_out_ms_mean"] += float64(took) / float64(play.Count)
			f["roll_out_ms_worst"] = max(f["roll_out_ms_worst"], float64(took))
		}
		f["below_floor"], f["straggled"] = float64(len(a.Below)), float64(len(a.Straggled))
		return nil
	})
	r.Say("roll-outs  %3d members: %.0f ms until all have adopted the epoch (worst %.0f); idle %.0f bytes/s per member, CPU %.2f%%, %.1f MB", play.Members,
		f["roll_out_ms_mean"], f["roll_out_ms_worst"], f["bytes_a_member_s"], f["cpu_percent_a_member"], f["rss_mb_a_member"])
	return &Result{Variant: fmt.Sprint(play.Members, " members"), Phase: "roll-outs", Figures: f}, err
}

// rollOutTimes returns for each epoch the milliseconds from its proposal until the last member adopted it,
// according to the members' records.
func rollOutTimes(a *audit.Audit) (all []int64) {
	proposed := make(map[audit.ID]int64)
	for _, e := range a.Timeline {
		if e.Kind == audit.Proposed {
			proposed[*e.Epoch] = e.When
		}
	}
	for _, l := range a.Epochs {
		last := int64(math.MinInt64)
		for _, at := range l.Adopted {
			last = max(last, at)
		}
		all = append(all, last-proposed[l.ID])
	}
	return all
}

// faults runs the seeds in parallel and sums up their figures. A seed fails if its run
// ends with an error, which includes any of the figures that must be 0 (see faultPlay).
func (r *Runner) faults(play *Faults, first uint64) *Result {
	seeds := play.Seeds
	if r.Short {
		seeds = play.Short
	}
	f := map[string]float64{"members": float64(play.Members), "seeds": float64(seeds)}
	for _, name := range []string{"seeds_failed", "straggled_missed", "straggled_invented", "below_floor", "conflicts", "record_faults", "unanswered", "tampered", "tamper_missed", "tamper_invented"} {
		f[name] = 0
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan uint64)
	for range max(play.Beside, 1) {
		wait.Go(func() {
			for seed := range next {
				got, err := r.faultPlay(play, seed)
				mu.Lock()
				for name, value := range got {
					if name == "end_ms_worst" {
						f[name] = max(f[name], value)
					} else {
						f[name] += value
					}
				}
				if err != nil {
					f["seeds_failed"]++
					r.Say("seed %d: %v", seed, err)
				}
				mu.Unlock()
			}
		})
	}
	for i := range seeds {
		next <- first + uint64(i)
	}
	close(next)
	wait.Wait()
	r.Say("faults     %d members, %d seeds: %.0f failed; members stopped across an effective date %.0f, stragglers found %.0f, missed %.0f, invented %.0f; below the floor %.0f; requests %.0f, unanswered %.0f; records tampered with %.0f, missed %.0f, invented %.0f",
		play.Members, seeds, f["seeds_failed"], f["stopped_across"], f["straggled"], f["straggled_missed"], f["straggled_invented"], f["below_floor"], f["asked"], f["unanswered"],
		f["tampered"], f["tamper_missed"], f["tamper_invented"])
	return &Result{Variant: fmt.Sprint(play.Members, " members"), Phase: "faults", Figures: f}
}

// faultPlay runs one seed's script of faults, and compares the audit of the records with the injected faults.
func (r *Runner) faultPlay(play *Faults, seed uint64) (map[string]float64, error) {
	f := make(map[string]float64)
	o := fleettest.Options{Members: play.Members, Alone: "stop", Seed: seed, Heartbeat: 100 * time.Millisecond, Trust: time.Second, RequestInterval: 20 * time.Millisecond}
	script, stopped, killed := fleettest.RandomScript(seed, play.Members, o.Trust)
	err := r.withBench(o, func(b *fleettest.Bench) error {
		if err := b.Run(script); err != nil {
			return err
		}
		a, requests, err := b.Finish()
		if err != nil {
			return err
		}
		countStragglers(f, a, stopped)
		f["below_floor"] = float64(len(a.Below))
		for _, x := range a.Findings {
			if x.Kind.Fault() {
				f["record_faults"]++
				r.Say("seed %d: %v", seed, x)
			}
		}
		if first := countRequests(f, requests, killed); first != nil {
			r.Say("seed %d: %+v", seed, *first)
		}
		if err := tamper(f, b, seed, play.Tamper); err != nil {
			return err
		}
		if n := f["straggled_missed"] + f["straggled_invented"] + f["below_floor"] + f["conflicts"] + f["unanswered"] + f["tamper_missed"] + f["tamper_invented"]; n > 0 {
			return fmt.Errorf("%v in\n%s", f, script)
		}
		return nil
	})
	return f, err
}

// countStragglers compares the stragglers that an audit found with the members that were stopped across an epoch's effective
// date.
func countStragglers(f map[string]float64, a *audit.Audit, stopped map[uint64][]string) {
	want := make(map[string]bool)
	for number, names := range stopped {
		for _, name := range names {
			// A member that is also below the floor of an older epoch is a straggler of both.
			want[fmt.Sprint(number, name)] = true
		}
	}
	floors := make(map[uint64]uint64)
	for _, l := range a.Epochs {
		floors[l.ID.Number] = l.Floor
		if l.Conflict {
			f["conflicts"]++
		}
	}
	for key := range want { // a member still on the previous epoch is no straggler if the floor permits that epoch
		number, _ := strconv.ParseUint(key[:1], 10, 64)
		if floors[number] < number {
			delete(want, key)
		}
	}
	f["stopped_across"] = float64(len(want))
	for _, s := range a.Straggled {
		f["straggled"]++
		f["end_ms_worst"] = max(f["end_ms_worst"], float64(s.AfterMs))
		key := fmt.Sprint(s.Epoch.Number, s.Member)
		if !want[key] {
			f["straggled_invented"]++
		}
		delete(want, key)
	}
	f["straggled_missed"] = float64(len(want))
}

// countRequests counts the outcomes of the clients' requests, and returns the first unanswered one of a member that was not
// killed.
func countRequests(f map[string]float64, requests []fleettest.Request, killed []string) (first *fleettest.Request) {
	for i, x := range requests {
		f["asked"]++
		switch {
		case x.Status == 200 && !x.Wrong:
			f["served"]++
		case x.Status == 503:
			f["refused"]++
		case !slices.Contains(killed, x.Member):
			if f["unanswered"]++; f["unanswered"] == 1 {
				first = &requests[i]
			}
		}
	}
	return first
}

// tamper alters the records of some members, and counts those that the audit misses and those that it reports without cause.
func tamper(f map[string]float64, b *fleettest.Bench, seed uint64, members int) error {
	if members == 0 {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, 1))
	dirs := b.Records()
	r.Shuffle(len(dirs), func(i, j int) { dirs[i], dirs[j] = dirs[j], dirs[i] })
	changed := make(map[string]bool)
	for _, dir := range dirs[:members] {
		member := filepath.Base(filepath.Dir(dir))
		if _, err := fleettest.Tamper(r, dir, member); err != nil {
			return err
		}
		changed[member] = true
	}
	a, err := audit.Read(b.Records()...)
	if err != nil {
		return err
	}
	found := make(map[string]bool)
	for _, x := range a.Findings {
		if x.Kind.Fault() {
			found[x.Member] = true
		}
	}
	f["tampered"] = float64(members)
	for member := range changed {
		if !found[member] {
			f["tamper_missed"]++
		}
	}
	for member := range found {
		if !changed[member] {
			f["tamper_invented"]++
		}
	}
	return nil
}

// pair runs the same load in alternate runs with the fleet's functions on and off, and compares the medians of the runs.
func (r *Runner) pair(play *Pair) (*Result, error) {
	f := map[string]float64{"members": float64(play.Members)}
	var p50, p99, cpu [2][]float64
	runs := play.Rounds
	if r.Short {
		runs = 1
	}
	for i := range 2 * runs {
		off := i % 2
		took, used, err := r.pairRun(play, off == 1)
		if err != nil {
			return nil, err
		}
		p50[off] = append(p50[off], took[len(took)/2])
		p99[off] = append(p99[off], took[len(took)*99/100])
		cpu[off] = append(cpu[off], float64(used.Microseconds())/float64(len(took)))
		f["served"] += float64(len(took))
	}
	for i, name := range []string{"on", "off"} {
		f["p50_"+name+"_ms"], f["p99_"+name+"_ms"], f["cpu_"+name+"_us_a_job"] = upperMedian(p50[i]), upperMedian(p99[i]), upperMedian(cpu[i])
	}
	f["p99_ratio"], f["cpu_ratio"] = f["p99_on_ms"]/f["p99_off_ms"], f["cpu_on_us_a_job"]/f["cpu_off_us_a_job"]
	r.Say("pair       %d members, %g requests a second each: p99 %.2f ms on, %.2f off; CPU a job %.0f us on, %.0f off", play.Members, play.Rate,
		f["p99_on_ms"], f["p99_off_ms"], f["cpu_on_us_a_job"], f["cpu_off_us_a_job"])
	return &Result{Variant: fmt.Sprint(play.Members, " members"), Phase: "pair", Figures: f}, nil
}

// pairRun runs the load once, and returns the sorted latencies of the served requests in milliseconds and the processor time
// used.
func (r *Runner) pairRun(play *Pair, off bool) (took []float64, used time.Duration, err error) {
	o := fleettest.Options{Members: play.Members, WithoutFleet: off, Heartbeat: 500 * time.Millisecond, Trust: 5 * time.Second, RequestInterval: time.Duration(float64(time.Second) / play.Rate)}
	err = r.withBench(o, func(b *fleettest.Bench) error {
		if err := b.Run("start all"); err != nil {
			return err
		}
		if !off {
			if err := b.Run("await acts all"); err != nil {
				return err
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), fleettest.AwaitTimeout)
		defer cancel()
		if err := b.Ready(ctx); err != nil {
			return err
		}
		if err := b.Run("load on\npass 1s"); err != nil { // warm-up of connections and code
			return err
		}
		before, from := b.Usage(), time.Now()
		time.Sleep(play.For)
		after, to := b.Usage(), time.Now()
		if err := b.Run("load off"); err != nil {
			return err
		}
		for _, x := range b.Requests() {
			if x.Sent.After(from) && x.Sent.Before(to) && x.Status == 200 {
				took = append(took, x.Answered.Sub(x.Sent).Seconds()*1e3)
			}
		}
		if len(took) == 0 {
			return errors.New("no request was served")
		}
		slices.Sort(took)
		used = after.CPU - before.CPU
		return nil
	})
	return took, used, err
}

// upperMedian sorts the values and returns their median, the higher of two.
func upperMedian(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// Parse parses an experiment file of either kind. For a FleetExperiment, x is its form for Judge and Keep; otherwise fleet is
// nil.
func Parse(file string, text []byte) (x *Experiment, fleet *FleetExperiment, err error) {
	if !strings.Contains(string(text), "<fleet-experiment") {
		x, err = ParseExperiment(file, text)
		return x, nil, err
	}
	if fleet, err = ParseFleetExperiment(file, text); err != nil {
		return nil, nil, err
	}
	return fleet.As(), fleet, nil
}
