package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/view"
)

// forgetSeedVote is the mutation that a seed votes on the bootstrap again after a restart.
const forgetSeedVote mutant = 101

// newStoreSimulation returns a core whose members are stores. The first three processes without a disk are the seeds.
func newStoreSimulation(seed uint64, processes, stores, tolerated int, m mutant) *simulation {
	s := newSimulation(seed, stores, tolerated, m)
	for i := range processes {
		process := &simProcess{
			s: s, address: fmt.Sprintf("10.1.0.%d:1", i+1), zone: fmt.Sprint("zone-", i%3), diskless: true, firstStart: true,
			rate: 0.965 + 0.07*s.random.Float64(), offset: time.Duration(s.random.Int64N(int64(time.Hour))), idSeed: seed*100 + 50 + uint64(i),
		}
		s.diskless = append(s.diskless, process)
		s.byAddress[process.address] = process
		s.after(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), process.start)
	}
	return s
}

// watchBootstrap checks continuously that there is at most one first view.
func (s *simulation) watchBootstrap(first map[string]bool) {
	for _, process := range append(append([]*simProcess(nil), s.members...), s.diskless...) {
		if process.running && process.node != nil && process.node.view.Epoch == 1 {
			first[fmt.Sprint(process.node.view.Voters)] = true
		}
	}
	if len(first) > 1 {
		s.fail("the core was bootstrapped %d times", len(first))
	}
	s.after(2*time.Millisecond, func() { s.watchBootstrap(first) })
}

// restartAfter ends a process and starts it again after a while. The next incarnation is not the first one of the
// system.
func (s *simulation) restartAfter(process *simProcess, down time.Duration) {
	process.running = false
	if process.folder != nil && s.random.IntN(2) == 0 {
		process.powerLoss()
	}
	process.firstStart = false
	s.after(down, process.start)
}

// runBootstrap injects crashes and network faults during the bootstrap.
func runBootstrap(seed uint64, m mutant) (violation string, bootstrapped bool) {
	s := newStoreSimulation(seed, 3, 3+int(seed%3), 1, m)
	s.watchBootstrap(make(map[string]bool))
	s.lossy, s.loss = s.random.IntN(2) == 0, 0.2
	for range s.random.IntN(5) {
		s.run(s.now + time.Duration(s.random.Int64N(int64(600*time.Millisecond))))
		all := append(append([]*simProcess(nil), s.members...), s.diskless...)
		process := all[s.random.IntN(len(all))]
		if s.random.IntN(3) == 0 {
			other := all[s.random.IntN(len(all))]
			s.partitioned[[2]string{process.address, other.address}] = true
			continue
		}
		s.restartAfter(process, time.Duration(s.random.Int64N(int64(300*time.Millisecond))))
	}
	s.run(s.now + 8*time.Second)
	s.lossy, s.partitioned = false, make(map[[2]string]bool)
	s.run(s.now + 4*time.Second)
	for _, member := range s.members {
		bootstrapped = bootstrapped || member.node != nil && member.node.view.Epoch > 0
	}
	return s.violation, bootstrapped
}

func TestStoresBootstrapOnce(t *testing.T) {
	bootstrapped := 0
	for seed := range uint64(100) {
		violation, done := runBootstrap(seed, noMutation)
		require.Empty(t, violation, "seed %d", seed)
		if done {
			bootstrapped++
		}
	}
	t.Logf("bootstrapped in %d of 100 histories", bootstrapped)
	require.Greater(t, bootstrapped, 50)
}

// requireUntil runs the simulation until holds is true, and fails the test if that takes longer than bound.
func (s *simulation) requireUntil(t *testing.T, bound time.Duration, holds func() bool) {
	t.Helper()
	s.runUntil(bound, holds)
	require.True(t, holds(), "%s\n%s", s.violation, s.debugString())
}

// runLostDecision lets the first seed decide with the vote of the second. That seed is restarted at once, a store
// crashes, and no other process receives the decision. Then the second seed returns, and it is the third seed's turn,
// which would choose other stores.
func runLostDecision(t *testing.T, m mutant) *simulation {
	s := newStoreSimulation(1, 3, 4, 1, m)
	s.watchBootstrap(make(map[string]bool))
	s.requireUntil(t, 2*time.Second, func() bool { return s.diskless[0].node != nil && s.diskless[0].node.storeBootstrap.allSeenAt >= 0 })
	for _, target := range append([]*simProcess{s.diskless[2]}, s.members...) {
		s.partitioned[[2]string{s.diskless[0].address, target.address}] = true
	}
	s.requireUntil(t, 3*time.Second, func() bool { return s.diskless[1].node.storeBootstrap.vote.Accepted.Epoch != 0 })
	s.restartAfter(s.diskless[1], 500*time.Millisecond)
	s.members[0].running = false
	s.requireUntil(t, time.Second, func() bool { return s.diskless[0].node.view.Epoch == 1 })
	s.setSidePartition(s.diskless[:1], true)
	s.partitioned[[2]string{s.diskless[0].address, s.diskless[1].address}] = true
	s.partitioned[[2]string{s.diskless[1].address, s.diskless[0].address}] = true
	s.run(s.now + 10*time.Second)
	return s
}

func TestMutationSeedForgetsVoteIsDetected(t *testing.T) {
	s := runLostDecision(t, forgetSeedVote)
	require.Contains(t, s.violation, "bootstrapped 2 times")
}

// TestLostDecisionIsRecovered ends the faults of runLostDecision: the seed that decided then announces the view.
func TestLostDecisionIsRecovered(t *testing.T) {
	s := runLostDecision(t, noMutation)
	require.Empty(t, s.violation)
	for _, member := range s.members {
		require.Zero(t, member.node.view.Epoch, "no other process may decide")
	}
	s.endFaults()
	s.run(s.now + 3*time.Second)
	s.submitLoad(60 * time.Millisecond)
	s.run(s.now + time.Second)
	s.expectService("after the faults", 500*time.Millisecond)
	require.Empty(t, s.violation)
}

// TestBootstrapSurvivesProposer stops the first seed as soon as the second one has accepted its proposal.
func TestBootstrapSurvivesProposer(t *testing.T) {
	for seed := range uint64(10) {
		s := newStoreSimulation(seed, 3, 3, 1, noMutation)
		s.watchBootstrap(make(map[string]bool))
		s.requireUntil(t, 4*time.Second, func() bool {
			return s.diskless[1].node != nil && s.diskless[1].node.storeBootstrap.vote.Accepted.Epoch != 0
		})
		s.diskless[0].running = false
		s.run(s.now + 5*time.Second)
		s.submitLoad(60 * time.Millisecond)
		s.run(s.now + time.Second)
		s.expectService("without the first seed", 500*time.Millisecond)
		require.Empty(t, s.violation, "seed %d", seed)
	}
}

// TestStoresServe runs complete histories: bootstrap, faults, a time without faults, disasters.
func TestStoresServe(t *testing.T) {
	for seed := range uint64(60) {
		s := newStoreSimulation(seed, 1+int(seed%4), 3+int(seed%3), 1, noMutation)
		s.run(5 * time.Second)
		s.submitLoad(60 * time.Millisecond)
		for range 2 + s.random.IntN(5) {
			s.run(s.now + time.Duration(s.random.Int64N(int64(1200*time.Millisecond))))
			s.injectFault()
			if s.random.IntN(2) == 0 {
				s.restartAfter(s.diskless[s.random.IntN(len(s.diskless))], time.Duration(s.random.Int64N(int64(time.Second))))
			}
		}
		s.run(s.now + 2*time.Second)
		s.endFaults()
		s.run(s.now + 6*time.Second)
		s.expectService("after the faults", 500*time.Millisecond)
		s.disasters(2)
		s.run(s.now + 2*time.Second)
		s.checkHistory()
		require.Empty(t, s.violation, "seed %d", seed)
		s.requireLeaderKnown(t)
	}
}

func (s *simulation) requireLeaderKnown(t *testing.T) {
	t.Helper()
	leader := s.holders()[0]
	for _, process := range s.diskless {
		require.Equal(t, leader.address, process.node.leaderAddress(process.clock()), process.address)
	}
}

// TestDisklessProcessFindsCoreWithoutSeeds stops all processes without a disk and starts only those that are no seeds.
func TestDisklessProcessFindsCoreWithoutSeeds(t *testing.T) {
	for seed := range uint64(10) {
		s := newStoreSimulation(seed, 5, 4, 1, noMutation)
		s.run(5 * time.Second)
		for _, process := range s.diskless {
			process.running, process.firstStart = false, false
		}
		s.run(s.now + 15*time.Second)
		s.diskless[3].start()
		s.diskless[4].start()
		s.run(s.now + 2*time.Second)
		leader := s.holders()[0]
		for _, process := range s.diskless[3:] {
			require.Equal(t, leader.address, process.node.leaderAddress(process.clock()), "seed %d", seed)
		}
	}
}

// TestVoterLeaves makes the leader among three or four voters leave.
func TestVoterLeaves(t *testing.T) {
	for seed := range uint64(20) {
		s := newStoreSimulation(seed, 3, 3+int(seed%2), 1, noMutation)
		s.run(5 * time.Second)
		leaver := s.holders()[0]
		for _, member := range s.members {
			require.True(t, member.node.chain.Attached(), "seed %d", seed)
		}
		leaver.node.Leave(leaver.clock())
		leaver.execute()
		s.requireUntil(t, 3*time.Second, func() bool { return leaver.node.Removed() })
		s.requireUntil(t, time.Second, func() bool {
			for _, member := range s.members {
				if _, voter := member.node.view.Voter(leaver.node.self.ID); voter {
					return false
				}
			}
			return true
		})
		s.requireUntil(t, 300*time.Millisecond, func() bool { return len(s.holders()) == 1 && s.holders()[0] != leaver })
		leaver.wipe()
		s.submitLoad(60 * time.Millisecond)
		s.run(s.now + 2*time.Second)
		require.NotZero(t, s.answered, "seed %d", seed)
		s.checkHistory()
		require.Empty(t, s.violation, "seed %d", seed)
	}
}

// TestNeededVoterStays makes a voter ask to leave while one of the others is down: without it there would be too few
// copies.
func TestNeededVoterStays(t *testing.T) {
	for seed := range uint64(10) {
		s, leaver := leaveWhileNeeded(seed, noMutation)
		require.False(t, leaver.node.Removed(), "seed %d", seed)
		s.members[0].start()
		s.requireUntil(t, 5*time.Second, func() bool { return leaver.node.Removed() })
		require.Empty(t, s.violation, "seed %d", seed)
	}
}

func TestMutationRemovesNeededVoterIsDetected(t *testing.T) {
	for seed := range uint64(10) {
		if _, leaver := leaveWhileNeeded(seed, removeNeededVoter); leaver.node.Removed() {
			return
		}
	}
	require.Fail(t, "not caught")
}

// leaveWhileNeeded makes one of three voters ask to leave while another one is down.
func leaveWhileNeeded(seed uint64, m mutant) (*simulation, *simProcess) {
	s := newStoreSimulation(seed, 3, 3, 1, m)
	s.run(5 * time.Second)
	s.members[0].running = false
	s.run(s.now + time.Second)
	leaver := s.members[1]
	leaver.node.Leave(leaver.clock())
	leaver.execute()
	s.run(s.now + 5*time.Second)
	return s, leaver
}

func TestSpreadOver(t *testing.T) {
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

// TestVoterLeavesAndReturns makes a voter leave and start again with its disk, after which one of the others is
// restarted. The restarted one can't know of the request to leave, which was made by an earlier incarnation. If the
// others still respected that request, some members would add the voter and others remove it, again and again.
func TestVoterLeavesAndReturns(t *testing.T) {
	for seed := range uint64(20) {
		s := newStoreSimulation(seed, 3, 4, 1, noMutation)
		s.run(5 * time.Second)
		leaver := s.members[seed%4]
		leaver.node.Leave(leaver.clock())
		leaver.execute()
		s.requireUntil(t, 3*time.Second, func() bool { return leaver.node.Removed() })
		leaver.kill()
		s.run(s.now + 500*time.Millisecond)
		leaver.start()
		for _, other := range s.members {
			if other != leaver && s.inChain(-1) == other { // the last one, so that members that know of the request propose too
				other.kill()
				s.after(300*time.Millisecond, other.start)
			}
		}
		s.run(s.now + 5*time.Second)
		epoch := s.members[0].node.view.Epoch
		s.submitLoad(60 * time.Millisecond)
		s.run(s.now + 3*time.Second)
		require.Equal(t, epoch, s.members[0].node.view.Epoch, "seed %d: the view keeps changing", seed)
		require.NotZero(t, s.answered, "seed %d", seed)
		s.checkHistory()
		require.Empty(t, s.violation, "seed %d", seed)
	}
}
