package simulation

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	garbage "runtime/debug"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seedsFlag = flag.Int("worlds", 0, "number of simulated worlds, one seed each; 0: the default of the test")
	fromFlag  = flag.Uint64("from", 1, "first seed")
	traceFlag = flag.Bool("trace", false, "run only the first seed and write its events to standard error")
	debug     io.Writer
)

// drawSettings derives the parameters of a world from its seed.
func drawSettings(seed uint64) worldSettings {
	draw := func(salt, most uint64) int { return int((seed*2654435761 + salt*40503) >> 7 % most) }
	s := worldSettings{
		controls: 3 + draw(1, 3), edges: 2 + draw(2, 5), stores: 2 + draw(3, 2), zones: 1 + draw(4, 3), faultTolerance: 1, heartbeatMs: 600,
	}
	if draw(5, 8) == 0 { // enough edges in one zone for a distribution tree of more than one level
		s.edges, s.zones = 12, 1
	}
	if s.controls == 5 && draw(6, 2) == 0 {
		s.faultTolerance = 2
		s.stores = 4
	}
	if draw(7, 3) == 0 {
		s.heartbeatMs = 1000
	}
	return s
}

// runWorld runs one world: start, random faults, recovery, one more severe fault, recovery, check of the history.
func runWorld(seed uint64, m mutant) *world { return runWorldWith(seed, drawSettings(seed), m) }

func runWorldWith(seed uint64, settings worldSettings, m mutant) *world {
	w := newWorld(seed, settings, m)
	w.bootstrap()
	w.runFor(4 * time.Second)
	kinds, count := faults, 3+w.random.IntN(5)
	if settings.only != "" {
		kinds, count = faultsNamed(settings.only), 2*count
	}
	for range count {
		w.runFor(w.drawUpTo(2500 * time.Millisecond))
		next := kinds[w.random.IntN(len(kinds))]
		w.disturb()
		next.inject(w, next.name)
	}
	w.runFor(w.drawBetween(4*time.Second, 10*time.Second))
	w.recoverAndExpectService("after disruptions")
	finalFaults := []string{"after_ack_wipe", "herd_kill all power taken", "after_ack_kill", "replace_core", "after_ack_wipe all power"}
	final := finalFaults[w.random.IntN(len(finalFaults))]
	w.disturb()
	for _, f := range faultsNamed(final) {
		f.inject(w, f.name)
	}
	w.runFor(w.drawBetween(3*time.Second, 5*time.Second))
	w.recoverAndExpectService("after the last disruption")
	w.trafficStopped = true
	w.runFor(4 * time.Second)
	if w.violation == "" {
		w.history.check()
		w.messages.checkLost()
	}
	w.close()
	return w
}

func faultsNamed(name string) []fault {
	var named []fault
	for _, f := range faults {
		if f.name == name {
			named = append(named, f)
		}
	}
	return named
}

// recoverAndExpectService ends all faults and expects full service within the recovery bound and 2 s.
func (w *world) recoverAndExpectService(when string) {
	w.endFaults()
	w.calmSince = w.now
	w.runFor(recoveryBound)
	w.runUntil(2*time.Second, func() bool { return w.serviceProblem() == "" })
	w.expectService(when)
}

// close ends all processes and their tasks.
func (w *world) close() {
	w.operatorsStopped = true
	for _, m := range w.machines {
		if m.incarnation != nil {
			m.incarnation.ended = true
			m.incarnation.endTasks()
		}
	}
}

// tally collects the results of many worlds.
type tally struct {
	mu               sync.Mutex
	counts           map[string]int
	violations       []string
	orders           int
	checks           int
	acceptedMessages int
	runs             int
	virtualTime      time.Duration
}

func (t *tally) add(seed uint64, w *world) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, count := range w.counts {
		t.counts[name] += count
	}
	t.orders += len(w.history.operations)
	t.checks += w.history.checks
	for _, s := range w.messages.all {
		t.runs += len(s.runs)
		if s.acceptedAt >= 0 {
			t.acceptedMessages++
		}
	}
	t.virtualTime += w.now
	if w.violation != "" {
		t.violations = append(t.violations, fmt.Sprintf("seed %d %+v: %s", seed, w.settings, w.violation))
	}
}

// init makes garbage collections rarer: worlds allocate much and retain little.
func init() { garbage.SetGCPercent(400) }

// runWorlds runs one world for each seed, as many in parallel as there are processors.
func runWorlds(from uint64, count int, m mutant) *tally {
	t := &tally{counts: make(map[string]int)}
	seeds := make(chan uint64)
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := range seeds {
				t.add(seed, runWorld(seed, m))
			}
		})
	}
	for i := range count {
		seeds <- from + uint64(i)
	}
	close(seeds)
	group.Wait()
	slices.Sort(t.violations)
	return t
}

const (
	defaultWorlds        = 100
	minWorldsForCoverage = 200 // with this many worlds or more, each fault must have taken effect at least once
)

// TestRandomFaults runs seeded worlds with random faults, in which no rule may be violated, and logs how often each
// fault took effect.
func TestRandomFaults(t *testing.T) {
	if *traceFlag {
		debug = os.Stderr
		w := runWorld(*fromFlag, noMutation)
		require.Empty(t, w.violation)
		return
	}
	count := defaultWorlds
	if *seedsFlag > 0 {
		count = *seedsFlag
	}
	tally := runWorlds(*fromFlag, count, noMutation)
	t.Logf("%d worlds, %v of virtual time, %d orders sent, %d checks of a connected edge or store, %d messages accepted, %d runs", count,
		tally.virtualTime.Round(time.Second), tally.orders, tally.checks, tally.acceptedMessages, tally.runs)
	for _, name := range slices.Sorted(maps.Keys(tally.counts)) {
		t.Logf("%6d %s", tally.counts[name], name)
	}
	require.Empty(t, tally.violations, "%d of %d worlds violated a rule: %s", len(tally.violations), count, strings.Join(tally.violations[:min(3, len(tally.violations))], "\n\n"))
	if count >= minWorldsForCoverage {
		for _, name := range expectedCounters() {
			require.Positive(t, tally.counts[name], "%s never took effect", name)
		}
	}
}

// expectedCounters lists the names under which faults count that they took effect.
func expectedCounters() []string {
	names := []string{"an order repeated", "bad_config", "disk_slow: a write was late", "disk_stall: a write waited", "disk_slow store: a write was late", "disk_stall store: a write waited"}
	for _, f := range faults {
		if !strings.HasPrefix(f.name, "disk_") { // disk faults count delayed writes instead, under the names above
			names = append(names, f.name)
		}
	}
	return names
}

// TestSimulationIsDeterministic runs worlds twice and expects equal traces. The worlds have no messages, since package
// dispatch iterates over maps.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := range uint64(12) {
		settings := drawSettings(seed + 1)
		settings.noTraffic = true
		first, second := runWorldWith(seed+1, settings, noMutation), runWorldWith(seed+1, settings, noMutation)
		require.Equal(t, first.trace, second.trace, "seed %d", seed+1)
	}
}
