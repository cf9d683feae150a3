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

// played writes what a node told, with the milliseconds at which it became known.
type played struct {
	n   *Node
	log []string
}

func (p *played) note(now time.Duration, notes []Notice) {
	for _, n := range notes {
		word := [...]string{"started", "done", "full", "lost"}[n.Kind]
		p.log = append(p.log, fmt.Sprintf("%d %s %s", now/ms, n.ID, word))
	}
}

// until lets time pass, and looks whenever something is due.
func (p *played) until(now time.Duration) {
	for {
		at, any := p.n.Next()
		if !any || at > now {
			p.note(now, p.n.Pass(now))
			return
		}
		p.note(at, p.n.Pass(at))
	}
}

func (p *played) offer(now time.Duration, id string, work time.Duration, slots float64) {
	p.until(now)
	p.note(now, p.n.Offer(now, Job{id, work, slots}))
}

func TestANode(t *testing.T) {
	kind := Kind{Speed: 2, Cores: 1, Slots: 2, Queue: 2}
	for name, tc := range map[string]struct {
		play func(*played)
		want string
	}{
		"one job runs at the core's speed": {func(p *played) { p.offer(0, "a", 100*ms, 1) }, "0 a started, 50 a done"},
		"two share the core": {func(p *played) {
			p.offer(0, "a", 100*ms, 1)
			p.offer(0, "b", 100*ms, 1)
		}, "0 a started, 0 b started, 100 a done, 100 b done"},
		"who comes later shares what is left": {func(p *played) {
			p.offer(0, "a", 100*ms, 1)
			p.offer(25*ms, "b", 100*ms, 1)
		}, "0 a started, 25 b started, 75 a done, 100 b done"},
		"the first that waits keeps those behind it waiting": {func(p *played) {
			p.offer(0, "a", 100*ms, 1)
			p.offer(0, "big", 100*ms, 2)
			p.offer(0, "b", 20*ms, 1)
		}, "0 a started, 50 a done, 50 big started, 100 big done, 100 b started, 110 b done"},
		"a full queue turns away": {func(p *played) {
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				p.offer(0, id, 100*ms, 1)
			}
		}, "0 a started, 0 b started, 0 e full, 100 a done, 100 b done, 100 c started, 100 d started, 200 c done, 200 d done"},
		"a cancel drops what waits, and lets running work go on": {func(p *played) {
			p.offer(0, "a", 100*ms, 2)
			p.offer(0, "b", 100*ms, 1)
			_, notes := p.n.Cancel(10*ms, "b")
			p.note(10*ms, notes)
			_, notes = p.n.Cancel(10*ms, "a")
			p.note(10*ms, notes)
		}, "0 a started, 50 a done"},
		"a restart loses all and begins cold": {func(p *played) {
			p.offer(0, "a", 100*ms, 1)
			p.note(10*ms, p.n.Restart(10*ms))
			p.offer(10*ms, "b", 10*ms, 1)
		}, "0 a started, 10 a lost, 10 b started, 58 b done"},
	} {
		t.Run(name, func(t *testing.T) {
			p := &played{n: New(kind, rules, false)}
			tc.play(p)
			p.until(time.Minute)
			if diff := cmp.Diff(tc.want, strings.Join(p.log, ", ")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A cold node may be sent three times what it can do in two seconds; it counts how near that came, and falls beyond it.
func TestAnOverloadedNodeInSlowStartFails(t *testing.T) {
	for _, falls := range []bool{false, true} {
		n := New(Kind{Speed: 1, Cores: 2, Slots: 2, Queue: 100}, rules, falls)
		n.Restart(time.Second)
		n.Offer(time.Second, Job{"a", 600 * ms, 1}) // of 3 x 0.1 x 2 x 2 s
		if diff := cmp.Diff(0.5, n.Worst(), near); diff != "" {
			t.Error(diff)
		}
		n.Offer(time.Second, Job{"b", 600 * ms, 1})
		n.Offer(3*time.Second+ms, Job{"c", 600 * ms, 1}) // of another window
		if n.Falls() != 0 {
			t.Error("it fell at its limit")
		}
		n.Offer(3*time.Second+ms, Job{"d", 6 * time.Second, 1})
		if n.Worst() <= 1 || n.Down(4*time.Second) != falls || (n.Falls() == 1) != falls {
			t.Errorf("worst %v, down %v, falls %d", n.Worst(), n.Down(4*time.Second), n.Falls())
		}
		if falls && n.warmUp(9*time.Second) > 0.2 {
			t.Errorf("it is back with %v of its capacity", n.warmUp(9*time.Second))
		}
	}
}

var near = cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-6 })

// However time is cut: a node does the work that it was given, no faster than it can, and ends every job once.
func TestANodeDoesItsWorkOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := Kind{Speed: rapid.Float64Range(0.5, 3).Draw(t, "speed"), Cores: float64(rapid.IntRange(1, 4).Draw(t, "cores")),
			Slots: float64(rapid.IntRange(1, 8).Draw(t, "slots")), Queue: rapid.IntRange(0, 10).Draw(t, "queue")}
		n := New(kind, rules, false)
		if rapid.Bool().Draw(t, "cold") {
			n.Restart(0)
		}
		now, work, state := time.Duration(0), 0.0, make(map[string]NoticeKind)
		running := 0
		take := func(notes []Notice) {
			for _, note := range notes {
				was, known := state[note.ID]
				if note.Kind == Done && (!known || was != Started) || note.Kind != Done && known {
					t.Fatalf("%v after %v", note, was)
				}
				switch state[note.ID] = note.Kind; note.Kind {
				case Started:
					running++
				case Done:
					running--
				}
			}
			if float64(running) > kind.Slots {
				t.Fatalf("%d run in %v slots", running, kind.Slots)
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * ms
			j := Job{fmt.Sprint(i), time.Duration(rapid.IntRange(1, 500).Draw(t, "work")) * ms, float64(rapid.IntRange(1, 3).Draw(t, "wants"))}
			notes := n.Offer(now, j)
			take(notes)
			if state[j.ID] != Rejected || len(notes) == 0 || notes[len(notes)-1].ID != j.ID {
				work += j.Work.Seconds()
			}
		}
		for at, any := n.Next(); any; at, any = n.Next() {
			now = at
			take(n.Pass(at))
		}
		for id, kind := range state {
			if kind == Started {
				t.Fatalf("%s never ended", id)
			}
		}
		if could := kind.Speed * kind.Cores * n.warmTime(0, now); work > could*1.001+1e-3 {
			t.Fatalf("%v s of work in a time in which %v can be done", work, could)
		}
	})
}
