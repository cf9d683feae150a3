package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// control is a control process as a member sees it.
type control int

const (
	leads        control = iota
	unresponsive         // it can't be reached, or says nothing
	partitioned          // it is reached, but is partitioned from the core: it does not lead any more and knows nobody who does
	refers               // it names the leader
	stale                // it names one that is unresponsive
)

const roundTrip = 4 * ms

// findLeader plays a session that starts with some control processes, until it holds a lease; it returns when that was.
func findLeader(seed uint64, controls map[string]control, seeds []string, until time.Duration) time.Duration {
	s := newSession(rand.New(rand.NewPCG(seed, 3)), 1200*ms, seeds)
	now, leader, unreachable := time.Duration(0), addressOf(controls, leads), addressOf(controls, unresponsive)
	for !s.leased(now) && now < until {
		reached := s.target != "" && controls[s.target] != unresponsive
		if !s.tick(now, reached) {
			now = max(now+ms, s.next())
			continue
		}
		sentAt := now
		now += roundTrip
		switch controls[s.target] {
		case leads:
			s.replied(now, sentAt, s.target, grant(2400*ms))
		case partitioned:
			s.replied(now, sentAt, s.target, &wire.RenewReply{})
		case refers:
			s.replied(now, sentAt, s.target, &wire.RenewReply{Leader: leader})
		case stale:
			s.replied(now, sentAt, s.target, &wire.RenewReply{Leader: unreachable})
		}
	}
	return now
}

func addressOf(controls map[string]control, role control) string {
	for address, kind := range controls {
		if kind == role {
			return address
		}
	}
	return ""
}

// TestTheCoreIsFoundThoughTheFirstSeedsArePartitioned has seeds that begin with processes that are partitioned.
func TestTheCoreIsFoundThoughTheFirstSeedsArePartitioned(t *testing.T) {
	for name, c := range map[string]struct {
		controls map[string]control
		bound    time.Duration
	}{
		"one is silent":            {map[string]control{"a": unresponsive, "b": leads, "c": refers}, 600 * ms},
		"one leads no more":        {map[string]control{"a": partitioned, "b": refers, "c": leads}, 300 * ms},
		"two of five are silent":   {map[string]control{"a": unresponsive, "b": unresponsive, "c": refers, "d": leads, "e": refers}, 1200 * ms},
		"two of five lead no more": {map[string]control{"a": partitioned, "b": partitioned, "c": refers, "d": leads, "e": refers}, 500 * ms},
		"one names one cut off":    {map[string]control{"a": unresponsive, "b": stale, "c": leads}, 1600 * ms},
		"only the last is reached": {map[string]control{"a": unresponsive, "b": unresponsive, "c": unresponsive, "d": unresponsive, "e": leads}, 2400 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			seeds := []string{"a", "b", "c", "d", "e"}[:len(c.controls)]
			var slowest, sum time.Duration
			const starts = 2000
			for seed := range uint64(starts) {
				took := findLeader(seed, c.controls, seeds, 30*time.Second)
				slowest, sum = max(slowest, took), sum+took
			}
			t.Logf("%v at most, %v on average", slowest, sum/starts)
			require.LessOrEqual(t, slowest, c.bound)
		})
	}
}

// TestAPartitionedOneTakesNoAddressAway has the core replaced, all but one process that is partitioned and names the core of before.
func TestAPartitionedOneTakesNoAddressAway(t *testing.T) {
	s := testSession("old")
	s.tick(0, true)
	s.replied(1*ms, 0, "old", grant(600*ms, "old", "new"))
	s.tick(s.next(), true)
	s.replied(s.next(), s.next(), "old", &wire.RenewReply{Core: []string{"old", "gone"}})
	seen := map[string]bool{s.target: true}
	for range 4 {
		s.failed(s.next(), s.target)
		seen[s.target] = true
	}
	require.True(t, seen["new"], "as the leader said")
	require.True(t, seen["gone"], "it may be right")
}

// TestAGrantThatComesTooLateNamesNothing has the answer of a leader that stood still, or was partitioned, come when its lease is over.
func TestAGrantThatComesTooLateNamesNothing(t *testing.T) {
	l := newLeader(t)
	a := l.agent(t, nil)
	late := &wire.RenewReply{Granted: true, LeaseMillis: 300, Heads: make([]wire.Version, wire.TopicCount)}
	a.replied(nil, a.session.target, a.now()-300*ms, false, late, nil)
	require.False(t, a.Current(), "what it named may be old")
	require.False(t, a.Leased())
	a.replied(nil, a.session.target, a.now(), false, late, nil)
	require.True(t, a.Current())
	require.True(t, a.Leased())
}
