package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partitionMode determines which messages of a partitioned member are lost.
type partitionMode int

const (
	partitionBoth     partitionMode = iota
	partitionInbound                // it receives no messages
	partitionOutbound               // its messages are lost
)

var partitionModes = map[string]partitionMode{"both ways": partitionBoth, "inbound": partitionInbound, "outbound": partitionOutbound}

// Bounds on the behaviour of a partitioned member, of the others, and after the partition.
const (
	partitionSeeds = 4
	partitionTime  = 20 * time.Second
	leaseBound     = 1200 * time.Millisecond // after which a partitioned leader no longer holds the lease
	serviceBound   = 2500 * time.Millisecond // after which the others serve under a leader of their own
	healBound      = 2 * time.Second         // after which the member is in the chain again
	pauseBound     = 1200 * time.Millisecond // longest time without an answer when the member returns
)

// roles maps the name of a role to the function that finds the member with it.
var roles = map[string]func(s *simulation) *simProcess{
	"leader": func(s *simulation) *simProcess { return s.holders()[0] },
	"head":   func(s *simulation) *simProcess { return s.inChain(0) },
	"middle": func(s *simulation) *simProcess { return s.inChain(1) },
	"tail":   func(s *simulation) *simProcess { return s.inChain(-1) },
}

// inChain returns the member at a position of the chain, counted from the tail if negative.
func (s *simulation) inChain(position int) *simProcess {
	for _, member := range s.members {
		if n := member.node; member.running && n.chain.Attached() {
			position = (position + len(n.view.Chain)) % len(n.view.Chain)
			if voter, ok := n.view.Member(n.view.Chain[position]); ok {
				return s.byAddress[voter.Address]
			}
		}
	}
	panic("no member is in the chain")
}

func (s *simulation) setPartition(member *simProcess, mode partitionMode, on bool) {
	for _, other := range s.others(member) {
		inbound, outbound := [2]string{other.address, member.address}, [2]string{member.address, other.address}
		for pair, dropped := range map[[2]string]bool{inbound: mode != partitionOutbound, outbound: mode != partitionInbound} {
			if on && dropped {
				s.partitioned[pair] = true
			} else {
				delete(s.partitioned, pair)
			}
		}
	}
}

// runPartition partitions a member of the core, and returns the violation and the time until the others served.
func runPartition(seed uint64, role string, mode partitionMode, m mutant, restarted bool) (violation string, served time.Duration) {
	size := sizes[seed%uint64(len(sizes))]
	s := newSimulation(seed, size.members, size.tolerated, m)
	s.run(1500 * time.Millisecond)
	s.submitLoad(50 * time.Millisecond)
	s.run(4 * time.Second)
	if s.expectService("initially", 300*time.Millisecond); s.violation != "" {
		return s.violation, 0
	}
	victim := roles[role](s)
	s.setPartition(victim, mode, true)
	from := s.now
	if restarted {
		s.after(2*time.Second, func() { victim.kill(); s.after(300*time.Millisecond, victim.start) })
	}
	s.watchPartition(victim, from)
	served = s.waitForService(victim, from)
	s.run(from + partitionTime)
	s.expectOthersServe(victim)
	s.setPartition(victim, mode, false)
	s.expectRejoin(victim)
	if s.violation == "" {
		s.checkHistory()
	}
	return s.violation, served
}

// watchPartition checks a partitioned member continuously: its lease must expire in time, and it must not answer
// commands that were submitted to it during the partition.
func (s *simulation) watchPartition(victim *simProcess, from time.Duration) {
	const look, every = 20 * time.Millisecond, 200 * time.Millisecond
	submitted := make(map[string]bool)
	var watch func()
	watch = func() {
		if s.now >= from+partitionTime-look {
			return
		}
		if victim.running && s.now > from+leaseBound && victim.node.lease.holder.Valid(victim.clock()) {
			s.fail("%s holds the lease %v after it was partitioned", victim.address, s.now-from)
		}
		if (s.now-from)%every == 0 {
			for _, command := range victim.submitNow() {
				submitted[command] = true
			}
		}
		for command := range submitted {
			if output := s.operations[command].output; output != "" && output != "never" {
				s.fail("%s answered %q with %q while it was partitioned", victim.address, command, output)
			}
		}
		s.after(look, watch)
	}
	s.after(0, watch)
}

// submitNow submits a command at this member, and returns it.
func (m *simProcess) submitNow() []string {
	known := len(m.s.operations)
	m.submit()
	if len(m.s.operations) == known {
		return nil
	}
	for _, command := range m.calls {
		var name int
		if _, err := fmt.Sscanf(command, "%d", &name); err == nil && name == known+1 {
			return []string{command}
		}
	}
	return nil
}

// waitForService runs the simulation until the others have a leader of their own and answer.
func (s *simulation) waitForService(victim *simProcess, from time.Duration) time.Duration {
	s.runUntil(partitionTime/2, func() bool {
		holders := s.holders()
		return s.now > from+50*time.Millisecond && s.lastAnswerAt > from+leaseBound && len(holders) == 1 && holders[0] != victim
	})
	if took := s.now - from; took > serviceBound {
		s.fail("the members other than %s serve only after %v\n%s", victim.address, took, s.debugString())
	}
	return s.now - from
}

// expectOthersServe checks at the end of the partition that the others serve, and are in the chain.
func (s *simulation) expectOthersServe(victim *simProcess) {
	if s.violation != "" {
		return
	}
	if s.now-s.lastAnswerAt > 500*time.Millisecond {
		s.fail("the others answer nothing for %v\n%s", s.now-s.lastAnswerAt, s.debugString())
	}
	for _, member := range s.others(victim) {
		if !member.node.chain.Attached() {
			s.fail("%s is not in the chain, though only %s is partitioned\n%s", member.address, victim.address, s.debugString())
		}
	}
}

// expectRejoin runs the simulation until the member is back in the chain, and checks that the service is not
// interrupted for long.
func (s *simulation) expectRejoin(victim *simProcess) {
	from, last, longest := s.now, s.now, time.Duration(0)
	s.runUntil(healBound+3*time.Second, func() bool {
		longest, last = max(longest, s.now-max(last, s.lastAnswerAt)), max(last, s.lastAnswerAt)
		return s.now > from+100*time.Millisecond && victim.node.chain.Attached() && victim.node.view.Position(victim.node.self.ID) >= 0 &&
			victim.node.view.Epoch == s.others(victim)[0].node.view.Epoch
	})
	if took := s.now - from; took > healBound {
		s.fail("%s is back in the chain only after %v\n%s", victim.address, took, s.debugString())
	}
	s.runUntil(2*time.Second, func() bool {
		longest, last = max(longest, s.now-max(last, s.lastAnswerAt)), max(last, s.lastAnswerAt)
		return false
	})
	if longest > pauseBound {
		s.fail("nothing was answered for %v when %s returned", longest, victim.address)
	}
	s.expectService("after the partition", 300*time.Millisecond)
}

func TestPartitionMutationsAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		mutation mutant
		expected string
	}{
		"holds the lease without renewal":      {negativeMargin, "hold the leader lease at once"},
		"commits what is on its own disk only": {localCommit, "while it was partitioned"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(partitionSeeds) {
				violation, _ := runPartition(seed, "head", partitionBoth, c.mutation, false)
				if strings.Contains(violation, c.expected) {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			require.Fail(t, "the mutation was not detected")
		})
	}
}

// TestPartition partitions each member by its role for twenty seconds, in both directions and in one, and submits
// commands to it meanwhile.
func TestPartition(t *testing.T) {
	for role := range roles {
		for name, mode := range partitionModes {
			t.Run(role+" "+name, func(t *testing.T) {
				t.Parallel()
				var slowest time.Duration
				for seed := range uint64(partitionSeeds) {
					violation, served := runPartition(seed, role, mode, noMutation, seed%3 == 2)
					require.Empty(t, violation, "seed %d", seed)
					slowest = max(slowest, served)
				}
				t.Logf("the other members served after %v at most", slowest)
			})
		}
	}
}
