package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// controlRole is the state of a control process as seen by a member.
type controlRole int

const (
	leading       controlRole = iota
	unresponsive              // not reachable, or does not answer
	partitioned               // reachable, but partitioned from the core: neither leads nor knows the leader
	referring                 // names the leader
	staleReferral             // names an unresponsive process as the leader
)

const roundTrip = 4 * ms

// findLeader simulates a session with the given control processes until it has a lease or the limit has passed, and
// returns that time.
func findLeader(seed uint64, controls map[string]controlRole, seeds []string, until time.Duration) time.Duration {
	s := newSession(rand.New(rand.NewPCG(seed, 3)), 1200*ms, seeds)
	now, leader, unreachable := time.Duration(0), addressOf(controls, leading), addressOf(controls, unresponsive)
	for !s.leased(now) && now < until {
		reached := s.target != "" && controls[s.target] != unresponsive
		if !s.tick(now, reached) {
			now = max(now+ms, s.next())
			continue
		}
		sentAt := now
		now += roundTrip
		switch controls[s.target] {
		case leading:
			s.replied(now, sentAt, s.target, grant(2400*ms))
		case partitioned:
			s.replied(now, sentAt, s.target, &wire.RenewReply{})
		case referring:
			s.replied(now, sentAt, s.target, &wire.RenewReply{Leader: leader})
		case staleReferral:
			s.replied(now, sentAt, s.target, &wire.RenewReply{Leader: unreachable})
		}
	}
	return now
}

func addressOf(controls map[string]controlRole, role controlRole) string {
	for address, kind := range controls {
		if kind == role {
			return address
		}
	}
	return ""
}

// TestFindLeaderWithPartitionedSeeds checks the time to the first lease if some seeds, the first ones included, are
// unresponsive or partitioned.
func TestFindLeaderWithPartitionedSeeds(t *testing.T) {
	for name, c := range map[string]struct {
		controls map[string]controlRole
		bound    time.Duration
	}{
		"one unresponsive":         {map[string]controlRole{"a": unresponsive, "b": leading, "c": referring}, 600 * ms},
		"one partitioned":          {map[string]controlRole{"a": partitioned, "b": referring, "c": leading}, 300 * ms},
		"two of five unresponsive": {map[string]controlRole{"a": unresponsive, "b": unresponsive, "c": referring, "d": leading, "e": referring}, 1200 * ms},
		"two of five partitioned":  {map[string]controlRole{"a": partitioned, "b": partitioned, "c": referring, "d": leading, "e": referring}, 500 * ms},
		"referral to unresponsive": {map[string]controlRole{"a": unresponsive, "b": staleReferral, "c": leading}, 1600 * ms},
		"only the last reachable":  {map[string]controlRole{"a": unresponsive, "b": unresponsive, "c": unresponsive, "d": unresponsive, "e": leading}, 2400 * ms},
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

// TestPartitionedProcessKeepsCoreAddresses: the whole core is replaced but for one process, which is partitioned and
// still lists the previous core. Its list must not displace the addresses that the leader listed.
func TestPartitionedProcessKeepsCoreAddresses(t *testing.T) {
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
	require.True(t, seen["new"], "listed by the leader")
	require.True(t, seen["gone"], "listed by the partitioned process, which may be right")
}

// TestExpiredGrantIsIgnored: the answer of a leader that was paused or partitioned arrives after the lease has expired.
func TestExpiredGrantIsIgnored(t *testing.T) {
	l := newTestLeader(t)
	a := l.agent(t, nil)
	late := &wire.RenewReply{Granted: true, LeaseMillis: 300, Heads: make([]wire.Version, wire.TopicCount)}
	a.replied(nil, a.session.target, a.now()-300*ms, false, late, nil)
	require.False(t, a.Current(), "the versions in the answer may be old")
	require.False(t, a.Leased())
	a.replied(nil, a.session.target, a.now(), false, late, nil)
	require.True(t, a.Current())
	require.True(t, a.Leased())
}
