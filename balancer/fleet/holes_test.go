package fleet

import (
	"slices"
	"testing"
	"time"

	"ravendale/balancer/audit"
)

// Each case is a hole that the random model found, or may find too seldom: played as it is, and it must not open again.
func TestHolesStayClosed(t *testing.T) {
	id := epoch(1, 1, "x").ID
	refuse := func(h *host, numbers ...uint64) {
		for _, n := range numbers {
			h.refuses[epoch(n, n, "x").ID] = true
		}
	}
	for name, play := range map[string]func(t *testing.T, f *fleetOf, a, b, c *host){
		"a straggler gets no new time by a restart": func(t *testing.T, f *fleetOf, a, b, c *host) {
			refuse(c, 1)
			_ = f.propose(a, epoch(1, 1, "x"))
			f.pass(4 * time.Second)
			f.start(c)
			for range 6 {
				f.pass(100 * time.Millisecond)
				if c.LastStanding().Acts {
					t.Fatalf("it acts: %+v", c.LastStanding())
				}
			}
		},
		"nor by an epoch that was open first and is known in force later": func(t *testing.T, f *fleetOf, a, b, c *host) {
			w := Message{Kind: Pong, From: "b", Inc: b.Incarnation(), Nonce: b.cfg.Nonce, Accepted: id}
			f.event(c, Event{Kind: Received, Message: w})
			f.pass(within * 9 / 10)
			w.Force = id
			f.event(c, Event{Kind: Received, Message: w})
			f.pass(within * 2 / 10)
			if c.LastStanding().Acts {
				t.Errorf("it acts: %+v", c.LastStanding())
			}
		},
		"an open question stops a strict member": func(t *testing.T, f *fleetOf, a, b, c *host) {
			f.event(c, Event{Kind: Received, Message: Message{Kind: Pong, From: "b", Inc: b.Incarnation(), Nonce: b.cfg.Nonce, Accepted: id}})
			f.pass(within + 2*beat)
			if s := c.LastStanding(); s.Acts || s.Why != WhyOpen {
				t.Errorf("%+v", s)
			}
		},
		"a late word of a former process does no harm to the new one": func(t *testing.T, f *fleetOf, a, b, c *host) {
			late := Message{Kind: Ping, From: "a", Inc: a.Incarnation(), Nonce: a.cfg.Nonce}
			f.start(a)
			f.pass(time.Second)
			f.event(b, Event{Kind: Received, Message: late})
			f.pass(time.Second)
			if a.LastStanding().Why == WhyReplaced {
				t.Error("it stood down")
			}
		},
		"floors only rise": func(t *testing.T, f *fleetOf, a, b, c *host) {
			f.cut[[2]string{"a", "c"}], f.cut[[2]string{"c", "a"}], f.cut[[2]string{"b", "c"}], f.cut[[2]string{"c", "b"}] = true, true, true, true
			_ = f.propose(a, epoch(1, 1, "x"))
			if err := f.propose(c, epoch(2, 0, "y")); err != nil {
				t.Fatal(err)
			}
			f.pass(time.Second)
			clear(f.cut)
			f.pass(2 * time.Second)
			if a.Force().Number != 1 || a.Acting().Number != 1 {
				t.Errorf("in force %v", a.Force())
			}
		},
		"one that forgot is told the floor": func(t *testing.T, f *fleetOf, a, b, c *host) {
			b.Core.disk.state.Floor = 5
			a.disk = State{}
			f.start(a)
			f.pass(time.Second)
			if a.Amnesiac() || a.floor() != 5 {
				t.Errorf("amnesiac %v, floor %d", a.Amnesiac(), a.floor())
			}
		},
		"a disk put back to before a vote is found by who saw it": func(t *testing.T, f *fleetOf, a, b, c *host) {
			before := a.disk
			_ = f.propose(a, epoch(1, 1, "x"))
			f.pass(time.Second)
			a.disk = before
			f.start(a)
			if f.pass(2 * beat); a.Votes() {
				t.Error("it votes before all who can answer were asked")
			}
			f.pass(time.Second)
			if !slices.ContainsFunc(a.noted, func(e audit.Entry) bool { return e.Kind == audit.Amnesiac }) {
				t.Error("not found")
			}
		},
		"nobody answers a process that it might forget": func(t *testing.T, f *fleetOf, a, b, c *host) {
			pongs := func() (n int) {
				for _, x := range f.flying {
					if x.message.Kind == Pong && x.to == "a" {
						n++
					}
				}
				return n
			}
			w := Message{Kind: Ping, From: "a", Inc: a.Incarnation() + 1, Nonce: 99}
			f.event(b, Event{Kind: Received, Message: w})
			if pongs() != 0 {
				t.Error("answered before the incarnation was on disk")
			}
			f.flush(b, 9)
			if f.event(b, Event{Kind: Received, Message: w}); pongs() != 1 {
				t.Error("not answered after")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3, t.Fatalf)
			if name == "nor by an epoch that was open first and is known in force later" || name == "an open question stops a strict member" {
				f = newFleet(5, t.Fatalf) // one vote is no majority with the own one
			}
			f.pass(time.Second)
			play(t, f, f.hosts[0], f.hosts[1], f.hosts[2])
		})
	}
}
