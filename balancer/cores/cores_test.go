package cores

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Whenever cores or the decider are paused, no send to a server begins later than the rules allow after its drain reached the
// machine, and a server in slow start is not sent more within a window than was decided within a window longer by the lease.
func TestPermitsRespectDrainsAndBudgets(t *testing.T) {
	const grace, window = 750 * time.Millisecond, 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := NewBoard(1)
		b.List("s", "addr")
		cold := rapid.Bool().Draw(t, "cold")
		now := time.Hour
		b.RecordPulse(now)
		var (
			waiting        []*Permit // decided but not begun, as the core may be paused
			decided, begun []time.Duration
			drains         time.Duration   // when the drain reached the machine, 0 if it has not
			pulses         []time.Duration // sent but not read yet by the decider's poller
			drained        bool            // the decider has read the drain
		)
		steps := rapid.IntRange(20, 150).Draw(t, "steps")
		drainAt := rapid.IntRange(0, 2*steps).Draw(t, "drain at") // half of the runs have no drain
		deafFrom := rapid.IntRange(0, steps).Draw(t, "deaf from")
		deafTill := deafFrom + rapid.IntRange(0, 40).Draw(t, "deaf for")
		for step := range steps {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond
			if step == drainAt {
				drains = now
			}
			does := rapid.SampledFrom([]string{"decide", "decide", "decide", "run", "pulse", "pulse and hear", "hear"}).Draw(t, "step")
			if step >= deafFrom && step < deafTill && does != "run" {
				does = "decide"
			}
			switch does {
			case "decide": // by the decider, whose loop may run while its poller is paused
				if !drained {
					waiting = append(waiting, b.Permit("s", now, cold))
					decided = append(decided, now)
				}
			case "run": // the core runs its turn
				for _, p := range waiting {
					if !p.MayBegin(now) {
						continue
					}
					if drains > 0 && now-drains > grace {
						t.Fatalf("a send began %v after the drain", now-drains)
					}
					begun = append(begun, now)
				}
				waiting = nil
			case "pulse":
				pulses = append(pulses, now)
			case "pulse and hear":
				pulses = append(pulses, now)
				fallthrough
			case "hear": // the poller delivers everything that has arrived, in order
				if drains > 0 && !drained {
					drained = true
					b.Avoid("s")
				}
				for _, at := range pulses {
					b.RecordPulse(at)
				}
				pulses = nil
			}
		}
		if !cold {
			return
		}
		in := func(times []time.Duration, from, to time.Duration) (n int) {
			for _, at := range times {
				if at > from && at <= to {
					n++
				}
			}
			return n
		}
		ends := slices.Clone(begun)
		for _, at := range begun { // also check the windows that begin with a send
			ends = append(ends, at+window-1)
		}
		for _, end := range ends {
			if got, may := in(begun, end-window, end), in(decided, end-window-SlowStartLease-1, end); got > may {
				t.Fatalf("%d sends began within %v, and %d were decided in the window longer by the lease", got, window, may)
			}
		}
	})
}

func TestServersBalancedOverCores(t *testing.T) {
	b := NewBoard(3)
	for i := range 7 {
		b.List(fmt.Sprint("s", i), "x")
	}
	b.Drop("s1")
	b.Drop("s4")
	b.List("s7", "y")
	b.List("s0", "z")
	var got []int
	for _, name := range []string{"s0", "s2", "s3", "s5", "s6", "s7"} {
		got = append(got, b.Server(name).Core)
	}
	if diff := cmp.Diff([]int{0, 2, 0, 2, 0, 1}, got); diff != "" {
		t.Error(diff)
	}
	if b.Address("s0") != "z" || b.Address("s1") != "" || b.Permit("s1", 0, false) != nil {
		t.Error("a server that moved or was dropped still has its old address or gets a permit")
	}
}

// A permit must not survive the removal of its server, even if a server of the same name is listed again.
func TestDropRevokesPermit(t *testing.T) {
	b := NewBoard(1)
	b.List("s", "x")
	b.RecordPulse(time.Second)
	p := b.Permit("s", time.Second, false)
	b.Drop("s")
	b.List("s", "x")
	if p.MayBegin(time.Second) || !b.Permit("s", time.Second, false).MayBegin(time.Second) {
		t.Error("the permit of the removed server is valid, or that of the new one is not")
	}
}

func TestDealAndEven(t *testing.T) {
	for name, tc := range map[string]struct {
		loads []Load
		deal  int
		move  Move
		any   bool
	}{
		"no load":                 {[]Load{{}, {}}, 0, Move{}, false},
		"fewest connections":      {[]Load{{Conns: 3}, {Conns: 2}, {Conns: 4}}, 1, Move{}, false},
		"few busy connections":    {[]Load{{2, 4000}, {30, 100}}, 1, Move{0, 1, 1}, true},
		"one busy connection":     {[]Load{{1, 4000}, {30, 100}}, 1, Move{}, false},
		"move bounded by maximum": {[]Load{{100, 3000}, {100, 1000}, {100, 2000}}, 1, Move{0, 1, 8}, true},
		"even enough":             {[]Load{{100, 2100}, {100, 1900}}, 1, Move{}, false},
		"excess below threshold":  {[]Load{{10, 100}, {10, 0}}, 1, Move{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := PickCore(tc.loads); got != tc.deal {
				t.Errorf("connection assigned to core %d", got)
			}
			move, any := PlanMove(tc.loads)
			if diff := cmp.Diff(tc.move, move); diff != "" || any != tc.any {
				t.Error(any, diff)
			}
		})
	}
}

// Connections of equal load that are all on one core are moved until the loads are about even, and then no more.
func TestEvenConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.IntRange(2, 8).Draw(t, "cores")
		conns, each := rapid.IntRange(4*cores, 400).Draw(t, "conns"), float64(rapid.IntRange(50, 2000).Draw(t, "each"))
		loads := make([]Load, cores)
		loads[rapid.IntRange(0, cores-1).Draw(t, "at")] = Load{conns, float64(conns) * each}
		moves := 0
		for m, any := PlanMove(loads); any; m, any = PlanMove(loads) {
			loads[m.From].Conns -= m.Conns
			loads[m.To].Conns += m.Conns
			for i := range loads {
				loads[i].Served = float64(loads[i].Conns) * each
			}
			if moves++; moves > conns {
				t.Fatalf("more moves than connections: %v", loads)
			}
		}
		mean := float64(conns) * each / float64(cores)
		for _, l := range loads {
			if l.Served > uneven*mean+each && l.Served-mean >= worthMoving+each {
				t.Fatalf("loads stay uneven: %v", loads)
			}
		}
	})
}
