package fleet

import (
	"slices"
	"testing"
	"time"

	"ravendale/balancer/audit"
)

// Each case reproduces a fault that the random model found, or would find too rarely.
func TestRegressionsFoundByRandomModel(t *testing.T) {
	id := epoch(1, 1, "x").ID
	refuse := func(h *host, numbers ...uint64) {
		for _, n := range numbers {
			h.refuses[epoch(n, n, "x").ID] = true
		}
	}
	for name, play := range map[string]func(t *testing.T, f *testFleet, a, b, c *host){
		"a restart does not extend the deadline of a member that is behind": func(t *testing.T, f *testFleet, a, b, c *host) {
			refuse(c, 1)
			_ = f.propose(a, epoch(1, 1, "x"))
			f.advance(4 * time.Second)
			f.start(c)
			for range 6 {
				f.advance(100 * time.Millisecond)
				if c.LastStanding().Acts {
					t.Fatalf("it takes requests: %+v", c.LastStanding())
				}
			}
		},
		"a late report that an epoch is in force does not extend its deadline": func(t *testing.T, f *testFleet, a, b, c *host) {
			w := Message{Kind: Pong, From: "b", Inc: b.Incarnation(), Nonce: b.cfg.Nonce, Accepted: id}
			f.event(c, Event{Kind: Received, Message: w})
			f.advance(within * 9 / 10)
			w.Force = id
			f.event(c, Event{Kind: Received, Message: w})
			f.advance(within * 2 / 10)
			if c.LastStanding().Acts {
				t.Errorf("it takes requests: %+v", c.LastStanding())
			}
		},
		"an undecided epoch stops a strict member": func(t *testing.T, f *testFleet, a, b, c *host) {
			f.event(c, Event{Kind: Received, Message: Message{Kind: Pong, From: "b", Inc: b.Incarnation(), Nonce: b.cfg.Nonce, Accepted: id}})
			f.advance(within + 2*heartbeatInterval)
			if s := c.LastStanding(); s.Acts || s.Why != WhyOpen {
				t.Errorf("%+v", s)
			}
		},
		"a late message of an earlier process does not stop the new one": func(t *testing.T, f *testFleet, a, b, c *host) {
			late := Message{Kind: Ping, From: "a", Inc: a.Incarnation(), Nonce: a.cfg.Nonce}
			f.start(a)
			f.advance(time.Second)
			f.event(b, Event{Kind: Received, Message: late})
			f.advance(time.Second)
			if a.LastStanding().Why == WhyReplaced {
				t.Error("the new process takes itself for replaced")
			}
		},
		"floors never decrease": func(t *testing.T, f *testFleet, a, b, c *host) {
			f.partitioned[[2]string{"a", "c"}], f.partitioned[[2]string{"c", "a"}], f.partitioned[[2]string{"b", "c"}], f.partitioned[[2]string{"c", "b"}] = true, true, true, true
			_ = f.propose(a, epoch(1, 1, "x"))
			if err := f.propose(c, epoch(2, 0, "y")); err != nil {
				t.Fatal(err)
			}
			f.advance(time.Second)
			clear(f.partitioned)
			f.advance(2 * time.Second)
			if a.InForce().Number != 1 || a.Acting().Number != 1 {
				t.Errorf("in force %v", a.InForce())
			}
		},
		"an amnesiac member receives the floor": func(t *testing.T, f *testFleet, a, b, c *host) {
			b.Core.disk.state.Floor = 5
			a.disk = State{}
			f.start(a)
			f.advance(time.Second)
			if a.Amnesiac() || a.floor() != 5 {
				t.Errorf("amnesiac %v, floor %d", a.Amnesiac(), a.floor())
			}
		},
		"a disk restored to before a vote is detected by a peer that saw the vote": func(t *testing.T, f *testFleet, a, b, c *host) {
			before := a.disk
			_ = f.propose(a, epoch(1, 1, "x"))
			f.advance(time.Second)
			a.disk = before
			f.start(a)
			if f.advance(2 * heartbeatInterval); a.Votes() {
				t.Error("it votes before all peers that can answer were asked")
			}
			f.advance(time.Second)
			if !slices.ContainsFunc(a.entries, func(e audit.Entry) bool { return e.Kind == audit.Amnesiac }) {
				t.Error("the record has no amnesiac entry")
			}
		},
		"a new process is answered only once its incarnation is on disk": func(t *testing.T, f *testFleet, a, b, c *host) {
			pongs := func() (n int) {
				for _, x := range f.inFlight {
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
				t.Error("not answered after the incarnation was on disk")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3, t.Fatalf)
			if name == "a late report that an epoch is in force does not extend its deadline" || name == "an undecided epoch stops a strict member" {
				f = newFleet(5, t.Fatalf) // one vote and the member's own are no majority of five
			}
			f.advance(time.Second)
			play(t, f, f.hosts[0], f.hosts[1], f.hosts[2])
		})
	}
}
