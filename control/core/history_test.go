package core

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sizes of cores, and how many members of each may be lost.
var sizes = []struct{ members, tolerated int }{{3, 1}, {4, 1}, {5, 2}, {8, 2}}

var (
	seeds     = flag.Uint64("seeds", 30, "histories of each kind and size of core")
	firstSeed = flag.Uint64("first", 0, "first seed")
)

func TestHistoriesOfFaultsKeepAllRules(t *testing.T) {
	const shares = 3
	for _, size := range sizes {
		for share := range uint64(shares) {
			t.Run(fmt.Sprint(size.members, "-", share), func(t *testing.T) {
				t.Parallel()
				for seed := *firstSeed + share; seed < *firstSeed+*seeds; seed += shares {
					broken := play(seed, size.members, size.tolerated, sound)
					require.Empty(t, broken, "seed %d of %d members", seed, size.members)
					broken = playDisasters(seed, size.members, size.tolerated, sound)
					require.Empty(t, broken, "disasters of seed %d of %d members", seed, size.members)
				}
			})
		}
	}
}

func TestMistakesAreCaught(t *testing.T) {
	const most = 400 // seeds until a mistake must have been seen
	for name, mistake := range map[string]mutant{
		"acknowledges before the sync": unsyncedAck, "decides views without a majority": minorityView,
		"leads without the margin": noMargin, "keeps the identity of a lost disk": keptIdentity,
		"answers before it is attached": eagerMember,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(most) {
				size := sizes[seed%3]
				broken := isolateHolders(seed, mistake)
				if broken == "" {
					broken = playDisasters(seed, size.members, size.tolerated, mistake)
				}
				if broken == "" {
					broken = play(seed, size.members, size.tolerated, mistake)
				}
				if unsafe(broken) {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			require.Fail(t, "not caught", "in %d histories", most)
		})
	}
}

// unsafe says whether what was broken is more than a pause in the service.
func unsafe(broken string) bool {
	for _, word := range []string{"applied", "answered", "hold the leader lease at once", "elsewhere"} {
		if strings.Contains(broken, word) && !strings.Contains(broken, "nothing was answered") {
			return true
		}
	}
	return false
}

// steadyCore returns a core that is bootstrapped and serves.
func steadyCore(t *testing.T, seed uint64, members, tolerated int) *simulation {
	s := newSimulation(seed, members, tolerated, sound)
	s.run(1500 * time.Millisecond)
	s.load(20 * time.Millisecond)
	s.run(4 * time.Second)
	s.expectService("at first", 300*time.Millisecond)
	require.Empty(t, s.broken, "seed %d of %d members", seed, members)
	return s
}

// until plays until something holds, and returns how long that took.
func (s *simulation) until(bound time.Duration, holds func() bool) time.Duration {
	from := s.now
	for len(s.queue) > 0 && s.now-from < bound && s.broken == "" && !holds() {
		s.run(s.queue[0].at)
	}
	return s.now - from
}

func (s *simulation) holders() (holders []*simulated) {
	for _, member := range s.members {
		if member.running && !member.frozen && member.node.lease.holder.Valid(member.clock()) {
			holders = append(holders, member)
		}
	}
	return holders
}

// TestFailoverIsQuick has the leader killed, frozen or cut off.
func TestFailoverIsQuick(t *testing.T) {
	const bound = 2500 * time.Millisecond
	ways := map[string]func(s *simulation, leader *simulated){
		"killed": func(_ *simulation, leader *simulated) { leader.kill() },
		"frozen": func(_ *simulation, leader *simulated) { leader.frozen = true },
		"cut":    func(s *simulation, leader *simulated) { s.separate([]*simulated{leader}, true) },
	}
	for name, strike := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var slowestLead, slowestAnswer time.Duration
			for seed := range uint64(40) {
				size := sizes[seed%uint64(len(sizes))]
				s := steadyCore(t, seed, size.members, size.tolerated)
				leader := s.holders()[0]
				strike(s, leader)
				struck := s.now
				answer := s.until(2*bound, func() bool { return s.newest > struck+100*time.Millisecond })
				s.until(2*bound, func() bool {
					holders := s.holders()
					return len(holders) == 1 && holders[0] != leader
				})
				slowestLead, slowestAnswer = max(slowestLead, s.now-struck), max(slowestAnswer, answer)
				require.Empty(t, s.broken, "seed %d", seed)
			}
			require.Less(t, slowestLead, bound)
			require.Less(t, slowestAnswer, bound)
			t.Logf("at most %v to a leader, %v to an answer", slowestLead, slowestAnswer)
		})
	}
}

// TestOnlyOneLeadsWhileClocksRunApart cuts the holder off again and again, with clocks as far apart as the margin allows for.
func TestOnlyOneLeadsWhileClocksRunApart(t *testing.T) {
	for seed := range uint64(40) {
		require.Empty(t, isolateHolders(seed, sound), "seed %d", seed)
	}
}

func isolateHolders(seed uint64, m mutant) string {
	s := newSimulation(seed, 3, 1, m)
	for i, member := range s.members {
		member.rate = 0.955 + 0.045*float64((uint64(i)+seed)%3)
	}
	s.run(4 * time.Second)
	for range 4 {
		holders := s.holders()
		s.separate(holders, true)
		s.run(s.now + 2500*time.Millisecond)
		s.separate(holders, false)
		s.run(s.now + 500*time.Millisecond)
	}
	return s.broken
}
