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
	seedsFlag = flag.Int("worlds", 0, "seeds of the simulation of the whole system; 0: as many as the test command plays")
	fromFlag  = flag.Uint64("from", 1, "the first of them")
	traceFlag = flag.Bool("trace", false, "write what happens to standard error; play one seed only")
	debug     io.Writer
)

// settingsOf draws what a world is made of.
func settingsOf(seed uint64) worldSettings {
	draw := func(salt, most uint64) int { return int((seed*2654435761 + salt*40503) >> 7 % most) }
	s := worldSettings{
		controls: 3 + draw(1, 3), edges: 2 + draw(2, 5), stores: 2 + draw(3, 2), zones: 1 + draw(4, 3), faultTolerance: 1, heartbeatMs: 600,
	}
	if draw(5, 8) == 0 { // a tree of more than one level in a zone
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

// play is one whole history: founding, disruptions, calm, another disruption right after an acknowledgement, calm.
func play(seed uint64, m mutant) *world { return playIn(seed, settingsOf(seed), m) }

func playIn(seed uint64, settings worldSettings, m mutant) *world {
	w := newWorld(seed, settings, m)
	w.found()
	w.play(4 * time.Second)
	kinds, count := faults, 3+w.random.IntN(5)
	if settings.only != "" {
		kinds, count = faultsNamed(settings.only), 2*count
	}
	for range count {
		w.play(w.upTo(2500 * time.Millisecond))
		next := kinds[w.random.IntN(len(kinds))]
		w.disturb()
		next.play(w, next.name)
	}
	w.play(w.between(4*time.Second, 10*time.Second))
	w.calmDown("after disruptions")
	lasts := []string{"after_ack_wipe", "herd_kill all power taken", "after_ack_kill", "replace_core", "after_ack_wipe all power"}
	last := lasts[w.random.IntN(len(lasts))]
	w.disturb()
	for _, f := range faultsNamed(last) {
		f.play(w, f.name)
	}
	w.play(w.between(3*time.Second, 5*time.Second))
	w.calmDown("after the last disruption")
	w.quiet = true
	w.play(4 * time.Second)
	if w.broken == "" {
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

// calmDown ends all disruptions, and expects service soon.
func (w *world) calmDown(when string) {
	w.calm()
	w.calmAt = w.now
	w.play(recovery)
	w.awaits(2*time.Second, func() bool { return w.unwell() == "" })
	w.expectService(when)
}

// close ends what still runs.
func (w *world) close() {
	w.ordersDone = true
	for _, m := range w.machines {
		if m.incarnation != nil {
			m.incarnation.dead = true
			m.incarnation.endTasks()
		}
	}
}

// tally gathers what many worlds show.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
	broken []string
	orders int
	checks int
	kept   int
	runs   int
	spans  time.Duration
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
		if s.keptAt >= 0 {
			t.kept++
		}
	}
	t.spans += w.now
	if w.broken != "" {
		t.broken = append(t.broken, fmt.Sprintf("seed %d %+v: %s", seed, w.settings, w.broken))
	}
}

// init has fewer collections of garbage: worlds make much, and keep little.
func init() { garbage.SetGCPercent(400) }

// playAll plays many seeds, some at once.
func playAll(from uint64, count int, m mutant) *tally {
	t := &tally{counts: make(map[string]int)}
	seeds := make(chan uint64)
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := range seeds {
				t.add(seed, play(seed, m))
			}
		})
	}
	for i := range count {
		seeds <- from + uint64(i)
	}
	close(seeds)
	group.Wait()
	slices.Sort(t.broken)
	return t
}

const (
	usualWorlds   = 100
	countedWorlds = 200 // from so many on each fault must have taken effect
)

// TestWorldsOfDisruptionsKeepAllRules plays seeded worlds, and names each fault with how often it took effect.
func TestWorldsOfDisruptionsKeepAllRules(t *testing.T) {
	if *traceFlag {
		debug = os.Stderr
		w := play(*fromFlag, sound)
		require.Empty(t, w.broken)
		return
	}
	count := usualWorlds
	if *seedsFlag > 0 {
		count = *seedsFlag
	}
	tally := playAll(*fromFlag, count, sound)
	t.Logf("%d worlds, %v of their time, %d orders sent, %d looks at an edge in touch, %d messages kept, %d runs", count,
		tally.spans.Round(time.Second), tally.orders, tally.checks, tally.kept, tally.runs)
	for _, name := range slices.Sorted(maps.Keys(tally.counts)) {
		t.Logf("%6d %s", tally.counts[name], name)
	}
	require.Empty(t, tally.broken, "%d of %d worlds broke a rule: %s", len(tally.broken), count, strings.Join(tally.broken[:min(3, len(tally.broken))], "\n\n"))
	if count >= countedWorlds {
		for _, name := range expected() {
			require.Positive(t, tally.counts[name], "%s never took effect", name)
		}
	}
}

// expected are the names under which faults count what took effect.
func expected() []string {
	names := []string{"an order repeated", "bad_config", "disk_slow: a write was late", "disk_stall: a write waited", "disk_slow store: a write was late", "disk_stall store: a write waited"}
	for _, f := range faults {
		if !strings.HasPrefix(f.name, "disk_") { // these count the writes that they hold up
			names = append(names, f.name)
		}
	}
	return names
}

// TestEqualSeedsHaveEqualHistories plays the same world twice, without messages: package dispatch goes through maps.
func TestEqualSeedsHaveEqualHistories(t *testing.T) {
	for seed := range uint64(12) {
		settings := settingsOf(seed + 1)
		settings.noTraffic = true
		first, second := playIn(seed+1, settings, sound), playIn(seed+1, settings, sound)
		require.Equal(t, first.trace, second.trace, "seed %d", seed+1)
	}
}
