package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/view"
)

// amnesiacSeed has a seed votes on the bootstrap again after a restart.
const amnesiacSeed mutant = 101

// storeSimulation is a core whose members are stores, and whose seeds are processes without a disk.
func storeSimulation(seed uint64, fronts, stores, tolerated int, m mutant) *simulation {
	s := newSimulation(seed, stores, tolerated, m)
	for i := range fronts {
		front := &simulated{
			s: s, address: fmt.Sprintf("10.1.0.%d:1", i+1), zone: fmt.Sprint("zone-", i%3), diskless: true, fresh: true,
			rate: 0.965 + 0.07*s.random.Float64(), offset: time.Duration(s.random.Int64N(int64(time.Hour))), idSeed: seed*100 + 50 + uint64(i),
		}
		s.fronts = append(s.fronts, front)
		s.byAddr[front.address] = front
		s.after(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), front.start)
	}
	return s
}

// watchBootstrap fails if two first views are ever known.
func (s *simulation) watchBootstrap(first map[string]bool) {
	for _, process := range append(append([]*simulated(nil), s.members...), s.fronts...) {
		if process.running && process.node != nil && process.node.view.Epoch == 1 {
			first[fmt.Sprint(process.node.view.Voters)] = true
		}
	}
	if len(first) > 1 {
		s.fail("the core was founded %d times", len(first))
	}
	s.after(2*time.Millisecond, func() { s.watchBootstrap(first) })
}

// bounce ends a process for a while. Its next incarnation is not the first one of the system.
func (s *simulation) bounce(process *simulated, down time.Duration) {
	process.running = false
	if process.folder != nil && s.random.IntN(2) == 0 {
		process.powerLoss()
	}
	process.fresh = false
	s.after(down, process.start)
}

// playBootstrap has processes die and the network fail while the core is being bootstrapped.
func playBootstrap(seed uint64, m mutant) (broken string, founded bool) {
	s := storeSimulation(seed, 3, 3+int(seed%3), 1, m)
	s.watchBootstrap(make(map[string]bool))
	s.lossy, s.loss = s.random.IntN(2) == 0, 0.2
	for range s.random.IntN(5) {
		s.run(s.now + time.Duration(s.random.Int64N(int64(600*time.Millisecond))))
		all := append(append([]*simulated(nil), s.members...), s.fronts...)
		process := all[s.random.IntN(len(all))]
		if s.random.IntN(3) == 0 {
			other := all[s.random.IntN(len(all))]
			s.partitioned[[2]string{process.address, other.address}] = true
			continue
		}
		s.bounce(process, time.Duration(s.random.Int64N(int64(300*time.Millisecond))))
	}
	s.run(s.now + 8*time.Second)
	s.lossy, s.partitioned = false, make(map[[2]string]bool)
	s.run(s.now + 4*time.Second)
	for _, member := range s.members {
		founded = founded || member.node != nil && member.node.view.Epoch > 0
	}
	return s.broken, founded
}

func TestACoreOfStoresIsFoundedOnce(t *testing.T) {
	founded := 0
	for seed := range uint64(100) {
		broken, done := playBootstrap(seed, sound)
		require.Empty(t, broken, "seed %d", seed)
		if done {
			founded++
		}
	}
	t.Logf("founded in %d of 100 histories", founded)
	require.Greater(t, founded, 50)
}

// reach plays until something holds, which must come within a bound.
func (s *simulation) reach(t *testing.T, bound time.Duration, holds func() bool) {
	t.Helper()
	s.until(bound, holds)
	require.True(t, holds(), "%s\n%s", s.broken, s.describe())
}

// playForgottenVote has the first seed decide with the vote of the second, which dies at once, as does a store; nobody hears of what was
// decided. Then the second seed comes back, and the third has its turn with other stores before it.
func playForgottenVote(t *testing.T, m mutant) *simulation {
	s := storeSimulation(1, 3, 4, 1, m)
	s.watchBootstrap(make(map[string]bool))
	s.reach(t, 2*time.Second, func() bool { return s.fronts[0].node != nil && s.fronts[0].node.storeBootstrap.allHeardAt >= 0 })
	for _, target := range append([]*simulated{s.fronts[2]}, s.members...) {
		s.partitioned[[2]string{s.fronts[0].address, target.address}] = true
	}
	s.reach(t, 3*time.Second, func() bool { return s.fronts[1].node.storeBootstrap.vote.Accepted.Epoch != 0 })
	s.bounce(s.fronts[1], 500*time.Millisecond)
	s.members[0].running = false
	s.reach(t, time.Second, func() bool { return s.fronts[0].node.view.Epoch == 1 })
	s.separate(s.fronts[:1], true)
	s.partitioned[[2]string{s.fronts[0].address, s.fronts[1].address}] = true
	s.partitioned[[2]string{s.fronts[1].address, s.fronts[0].address}] = true
	s.run(s.now + 10*time.Second)
	return s
}

func TestASeedThatVotesAgainAfterARestartIsCaught(t *testing.T) {
	s := playForgottenVote(t, amnesiacSeed)
	require.Contains(t, s.broken, "founded 2 times")
}

// TestADecisionThatNobodyHeardIsFoundAgain heals what playForgottenVote broke: the seed that decided tells it.
func TestADecisionThatNobodyHeardIsFoundAgain(t *testing.T) {
	s := playForgottenVote(t, sound)
	require.Empty(t, s.broken)
	for _, member := range s.members {
		require.Zero(t, member.node.view.Epoch, "nobody else may decide")
	}
	s.calm()
	s.run(s.now + 3*time.Second)
	s.load(60 * time.Millisecond)
	s.run(s.now + time.Second)
	s.expectService("after calm", 500*time.Millisecond)
	require.Empty(t, s.broken)
}

// TestTheBootstrapOutlivesTheSeedThatBeganIt kills the first seed as soon as a second one has accepted its proposal.
func TestTheBootstrapOutlivesTheSeedThatBeganIt(t *testing.T) {
	for seed := range uint64(10) {
		s := storeSimulation(seed, 3, 3, 1, sound)
		s.watchBootstrap(make(map[string]bool))
		s.reach(t, 4*time.Second, func() bool {
			return s.fronts[1].node != nil && s.fronts[1].node.storeBootstrap.vote.Accepted.Epoch != 0
		})
		s.fronts[0].running = false
		s.run(s.now + 5*time.Second)
		s.load(60 * time.Millisecond)
		s.run(s.now + time.Second)
		s.expectService("without the first seed", 500*time.Millisecond)
		require.Empty(t, s.broken, "seed %d", seed)
	}
}

// TestACoreOfStoresServes plays whole histories: bootstrap, faults, calm, final faults.
func TestACoreOfStoresServes(t *testing.T) {
	for seed := range uint64(60) {
		s := storeSimulation(seed, 1+int(seed%4), 3+int(seed%3), 1, sound)
		s.run(5 * time.Second)
		s.load(60 * time.Millisecond)
		for range 2 + s.random.IntN(5) {
			s.run(s.now + time.Duration(s.random.Int64N(int64(1200*time.Millisecond))))
			s.injectFault()
			if s.random.IntN(2) == 0 {
				s.bounce(s.fronts[s.random.IntN(len(s.fronts))], time.Duration(s.random.Int64N(int64(time.Second))))
			}
		}
		s.run(s.now + 2*time.Second)
		s.calm()
		s.run(s.now + 6*time.Second)
		s.expectService("after calm", 500*time.Millisecond)
		s.disasters(2)
		s.run(s.now + 2*time.Second)
		s.checkHistory()
		require.Empty(t, s.broken, "seed %d", seed)
		s.frontsKnowTheLeader(t)
	}
}

func (s *simulation) frontsKnowTheLeader(t *testing.T) {
	t.Helper()
	leader := s.holders()[0]
	for _, front := range s.fronts {
		require.Equal(t, leader.address, front.node.leaderAddress(front.clock()), front.address)
	}
}

// TestAFrontFindsTheCoreWithoutItsSeeds restarts all processes without a disk; all seeds stay down.
func TestAFrontFindsTheCoreWithoutItsSeeds(t *testing.T) {
	for seed := range uint64(10) {
		s := storeSimulation(seed, 5, 4, 1, sound)
		s.run(5 * time.Second)
		for _, front := range s.fronts {
			front.running, front.fresh = false, false
		}
		s.run(s.now + 15*time.Second)
		s.fronts[3].start()
		s.fronts[4].start()
		s.run(s.now + 2*time.Second)
		leader := s.holders()[0]
		for _, front := range s.fronts[3:] {
			require.Equal(t, leader.address, front.node.leaderAddress(front.clock()), "seed %d", seed)
		}
	}
}

// TestAVoterLeavesWhenTheOthersCanSpareIt has the leader among three or four voters ask to leave.
func TestAVoterLeavesWhenTheOthersCanSpareIt(t *testing.T) {
	for seed := range uint64(20) {
		s := storeSimulation(seed, 3, 3+int(seed%2), 1, sound)
		s.run(5 * time.Second)
		leaver := s.holders()[0]
		for _, member := range s.members {
			require.True(t, member.node.chain.Attached(), "seed %d", seed)
		}
		leaver.node.Leave(leaver.clock())
		leaver.execute()
		s.reach(t, 3*time.Second, func() bool { return leaver.node.Removed() })
		s.reach(t, time.Second, func() bool {
			for _, member := range s.members {
				if _, voter := member.node.view.Voter(leaver.node.self.ID); voter {
					return false
				}
			}
			return true
		})
		s.reach(t, 300*time.Millisecond, func() bool { return len(s.holders()) == 1 && s.holders()[0] != leaver })
		leaver.wipe()
		s.load(60 * time.Millisecond)
		s.run(s.now + 2*time.Second)
		require.NotZero(t, s.answered, "seed %d", seed)
		s.checkHistory()
		require.Empty(t, s.broken, "seed %d", seed)
	}
}

// TestAVoterThatIsNeededStays has a voter ask to leave while one of the others is down: without it too few copies would be left.
func TestAVoterThatIsNeededStays(t *testing.T) {
	for seed := range uint64(10) {
		s, leaver := leaveWhileNeeded(seed, sound)
		require.False(t, leaver.node.Removed(), "seed %d", seed)
		s.members[0].start()
		s.reach(t, 5*time.Second, func() bool { return leaver.node.Removed() })
		require.Empty(t, s.broken, "seed %d", seed)
	}
}

func TestAVoterThatIsLetGoThoughItIsNeededIsCaught(t *testing.T) {
	for seed := range uint64(10) {
		if _, leaver := leaveWhileNeeded(seed, hastyRelease); leaver.node.Removed() {
			return
		}
	}
	require.Fail(t, "not caught")
}

// leaveWhileNeeded has one of three voters ask to leave while another one is down.
func leaveWhileNeeded(seed uint64, m mutant) (*simulation, *simulated) {
	s := storeSimulation(seed, 3, 3, 1, m)
	s.run(5 * time.Second)
	s.members[0].running = false
	s.run(s.now + time.Second)
	leaver := s.members[1]
	leaver.node.Leave(leaver.clock())
	leaver.execute()
	s.run(s.now + 5*time.Second)
	return s, leaver
}

func TestFirstVotersLieInAsManyZonesAsPossible(t *testing.T) {
	members := func(zones ...string) (all []view.Member) {
		for i, zone := range zones {
			all = append(all, view.Member{ID: view.ID(i + 1), Zone: zone})
		}
		return all
	}
	ids := func(members []view.Member) (ids []view.ID) {
		for _, member := range members {
			ids = append(ids, member.ID)
		}
		return ids
	}
	require.Equal(t, []view.ID{1, 3, 5}, ids(spreadOver(members("a", "a", "b", "b", "c"), 3)))
	require.Equal(t, []view.ID{1, 3, 2}, ids(spreadOver(members("a", "a", "b"), 3)))
	require.Equal(t, []view.ID{1}, ids(spreadOver(members("a"), 3)))
	require.Empty(t, spreadOver(nil, 3))
}

// TestALeaverThatComesBackIsTakenInForGood has a voter leave and start anew with its disk, and one of the others start anew after that: it can't know
// of the wish, which was an earlier incarnation's. If the rest went by it still, some would take the member in and others leave it out, again and again.
func TestALeaverThatComesBackIsTakenInForGood(t *testing.T) {
	for seed := range uint64(20) {
		s := storeSimulation(seed, 3, 4, 1, sound)
		s.run(5 * time.Second)
		leaver := s.members[seed%4]
		leaver.node.Leave(leaver.clock())
		leaver.execute()
		s.reach(t, 3*time.Second, func() bool { return leaver.node.Removed() })
		leaver.kill()
		s.run(s.now + 500*time.Millisecond)
		leaver.start()
		for _, other := range s.members {
			if other != leaver && s.inChain(-1) == other { // the last one, so that those who know of the wish propose too
				other.kill()
				s.after(300*time.Millisecond, other.start)
			}
		}
		s.run(s.now + 5*time.Second)
		epoch := s.members[0].node.view.Epoch
		s.load(60 * time.Millisecond)
		s.run(s.now + 3*time.Second)
		require.Equal(t, epoch, s.members[0].node.view.Epoch, "seed %d: the chain does not come to rest", seed)
		require.NotZero(t, s.answered, "seed %d", seed)
		s.checkHistory()
		require.Empty(t, s.broken, "seed %d", seed)
	}
}
