package emulator

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var rules = Rules{SlowStartFrom: 0.1, SlowStartFor: 10 * time.Second, OverloadMultiple: 3, OverloadSpan: 2 * time.Second, DownFor: 5 * time.Second}

// recorder logs a node's notices with the time of each in milliseconds.
type recorder struct {
	n   *Node
	log []string
}

func (r *recorder) record(now time.Duration, notes []Notice) {
	for _, n := range notes {
		event := [...]string{"started", "done", "full", "lost"}[n.Kind]
		r.log = append(r.log, fmt.Sprintf("%d %s %s", now/ms, n.ID, event))
	}
}

// advanceTo advances the node to now, in steps that end when a job ends.
func (r *recorder) advanceTo(now time.Duration) {
	for {
		at, pending := r.n.Next()
		if !pending || at > now {
			r.record(now, r.n.AdvanceTo(now))
			return
		}
		r.record(at, r.n.AdvanceTo(at))
	}
}

func (r *recorder) offer(now time.Duration, id string, work time.Duration, slots float64) {
	r.advanceTo(now)
	r.record(now, r.n.Offer(now, Job{id, work, slots}))
}

func TestNodeReports(t *testing.T) {
	kind := Kind{Speed: 2, Cores: 1, Slots: 2, Queue: 2}
	for name, tc := range map[string]struct {
		run  func(*recorder)
		want string
	}{
		"one job runs at the speed of the core": {func(r *recorder) { r.offer(0, "a", 100*ms, 1) }, "0 a started, 50 a done"},
		"two jobs share one core": {func(r *recorder) {
			r.offer(0, "a", 100*ms, 1)
			r.offer(0, "b", 100*ms, 1)
		}, "0 a started, 0 b started, 100 a done, 100 b done"},
		"later job shares the core": {func(r *recorder) {
			r.offer(0, "a", 100*ms, 1)
			r.offer(25*ms, "b", 100*ms, 1)
		}, "0 a started, 25 b started, 75 a done, 100 b done"},
		"head of the queue blocks the jobs behind it": {func(r *recorder) {
			r.offer(0, "a", 100*ms, 1)
			r.offer(0, "big", 100*ms, 2)
			r.offer(0, "b", 20*ms, 1)
		}, "0 a started, 50 a done, 50 big started, 100 big done, 100 b started, 110 b done"},
		"full queue rejects": {func(r *recorder) {
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				r.offer(0, id, 100*ms, 1)
			}
		}, "0 a started, 0 b started, 0 e full, 100 a done, 100 b done, 100 c started, 100 d started, 200 c done, 200 d done"},
		"cancel drops a waiting job and keeps a running one": {func(r *recorder) {
			r.offer(0, "a", 100*ms, 2)
			r.offer(0, "b", 100*ms, 1)
			_, notes := r.n.Cancel(10*ms, "b")
			r.record(10*ms, notes)
			_, notes = r.n.Cancel(10*ms, "a")
			r.record(10*ms, notes)
		}, "0 a started, 50 a done"},
		"restart drops all jobs and begins a slow start": {func(r *recorder) {
			r.offer(0, "a", 100*ms, 1)
			r.record(10*ms, r.n.Restart(10*ms))
			r.offer(10*ms, "b", 10*ms, 1)
		}, "0 a started, 10 a lost, 10 b started, 58 b done"},
	} {
		t.Run(name, func(t *testing.T) {
			r := &recorder{n: New(kind, rules, false)}
			tc.run(r)
			r.advanceTo(time.Minute)
			if diff := cmp.Diff(tc.want, strings.Join(r.log, ", ")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A node in slow start may be sent three times the work that it can do in two seconds. Worst reports the highest load
// relative to that limit, and the node fails above it.
func TestOverloadDuringSlowStart(t *testing.T) {
	for _, failsOnOverload := range []bool{false, true} {
		n := New(Kind{Speed: 1, Cores: 2, Slots: 2, Queue: 100}, rules, failsOnOverload)
		n.Restart(time.Second)
		n.Offer(time.Second, Job{"a", 600 * ms, 1}) // the limit is 3 x 0.1 x 2 x 2 s
		if diff := cmp.Diff(0.5, n.Worst(), approximately); diff != "" {
			t.Error(diff)
		}
		n.Offer(time.Second, Job{"b", 600 * ms, 1})
		n.Offer(3*time.Second+ms, Job{"c", 600 * ms, 1}) // in another window
		if n.Failures() != 0 {
			t.Error("the node failed at its overload limit")
		}
		n.Offer(3*time.Second+ms, Job{"d", 6 * time.Second, 1})
		if n.Worst() <= 1 || n.Down(4*time.Second) != failsOnOverload || (n.Failures() == 1) != failsOnOverload {
			t.Errorf("worst %v, down %v, failures %d", n.Worst(), n.Down(4*time.Second), n.Failures())
		}
		if failsOnOverload && n.capacityFraction(9*time.Second) > 0.2 {
			t.Errorf("after its failure the node starts at %v of its capacity", n.capacityFraction(9*time.Second))
		}
	}
}

var approximately = cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-6 })

// Checks with random jobs and pauses that a node ends every accepted job exactly once, does its work no faster than its
// capacity allows, and never runs more jobs than it has slots.
func TestNodeEndsEachJobOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := Kind{Speed: rapid.Float64Range(0.5, 3).Draw(t, "speed"), Cores: float64(rapid.IntRange(1, 4).Draw(t, "cores")),
			Slots: float64(rapid.IntRange(1, 8).Draw(t, "slots")), Queue: rapid.IntRange(0, 10).Draw(t, "queue")}
		n := New(kind, rules, false)
		if rapid.Bool().Draw(t, "cold") {
			n.Restart(0)
		}
		now, work, state := time.Duration(0), 0.0, make(map[string]NoticeKind)
		running := 0
		apply := func(notes []Notice) {
			for _, note := range notes {
				previous, known := state[note.ID]
				if note.Kind == Done && (!known || previous != Started) || note.Kind != Done && known {
					t.Fatalf("notice %v follows %v", note, previous)
				}
				switch state[note.ID] = note.Kind; note.Kind {
				case Started:
					running++
				case Done:
					running--
				}
			}
			if float64(running) > kind.Slots {
				t.Fatalf("%d jobs run in %v slots", running, kind.Slots)
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * ms
			j := Job{fmt.Sprint(i), time.Duration(rapid.IntRange(1, 500).Draw(t, "work")) * ms, float64(rapid.IntRange(1, 3).Draw(t, "wants"))}
			notes := n.Offer(now, j)
			apply(notes)
			if state[j.ID] != Rejected || len(notes) == 0 || notes[len(notes)-1].ID != j.ID {
				work += j.Work.Seconds()
			}
		}
		for at, pending := n.Next(); pending; at, pending = n.Next() {
			now = at
			apply(n.AdvanceTo(at))
		}
		for id, kind := range state {
			if kind == Started {
				t.Fatalf("job %s was started and never ended", id)
			}
		}
		if capacity := kind.Speed * kind.Cores * n.capacityIntegral(0, now); work > capacity*1.001+1e-3 {
			t.Fatalf("node did %v s of work in a time in which its capacity allows %v", work, capacity)
		}
	})
}
