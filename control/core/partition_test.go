package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partitionMode is which messages of a member that is cut off are lost.
type partitionMode int

const (
	partitionBoth     partitionMode = iota
	partitionInbound                // it hears nobody
	partitionOutbound               // nobody hears it
)

var partitionModes = map[string]partitionMode{"both ways": partitionBoth, "deaf": partitionInbound, "mute": partitionOutbound}

// Bounds on a member that is cut off, on the others, and once it is healed.
const (
	partitionSeeds = 4
	partitionTime  = 20 * time.Second
	leaseBound     = 1200 * time.Millisecond // then a leader that is cut off leads no more
	serviceBound   = 2500 * time.Millisecond // then the others serve, under a leader of theirs
	healBound      = 2 * time.Second         // then the member is in the chain again
	pauseBound     = 1200 * time.Millisecond // no longer do the others answer nothing because it comes back
)

// roles are who may be cut off, as found at the time.
var roles = map[string]func(s *simulation) *simulated{
	"leader": func(s *simulation) *simulated { return s.holders()[0] },
	"head":   func(s *simulation) *simulated { return s.inChain(0) },
	"middle": func(s *simulation) *simulated { return s.inChain(1) },
	"tail":   func(s *simulation) *simulated { return s.inChain(-1) },
}

// inChain is the member at a place of the chain, counted from the tail if it is below zero.
func (s *simulation) inChain(position int) *simulated {
	for _, member := range s.members {
		if n := member.node; member.running && n.chain.Attached() {
			position = (position + len(n.view.Chain)) % len(n.view.Chain)
			if voter, ok := n.view.Member(n.view.Chain[position]); ok {
				return s.byAddr[voter.Address]
			}
		}
	}
	panic("no member is in the chain")
}

func (s *simulation) partition(member *simulated, way partitionMode, on bool) {
	for _, other := range s.others(member) {
		inbound, outbound := [2]string{other.address, member.address}, [2]string{member.address, other.address}
		for pair, dropped := range map[[2]string]bool{inbound: way != partitionOutbound, outbound: way != partitionInbound} {
			if on && dropped {
				s.partitioned[pair] = true
			} else {
				delete(s.partitioned, pair)
			}
		}
	}
}

// playPartition plays one partition of a member of the core, and returns what was broken.
func playPartition(seed uint64, role string, way partitionMode, m mutant, restarted bool) (broken string, served time.Duration) {
	size := sizes[seed%uint64(len(sizes))]
	s := newSimulation(seed, size.members, size.tolerated, m)
	s.run(1500 * time.Millisecond)
	s.load(50 * time.Millisecond)
	s.run(4 * time.Second)
	if s.expectService("at first", 300*time.Millisecond); s.broken != "" {
		return s.broken, 0
	}
	victim := roles[role](s)
	s.partition(victim, way, true)
	from := s.now
	if restarted {
		s.after(2*time.Second, func() { victim.kill(); s.after(300*time.Millisecond, victim.start) })
	}
	s.watchPartition(victim, from)
	served = s.serviceWithout(victim, from)
	s.run(from + partitionTime)
	s.expectSide(victim)
	s.partition(victim, way, false)
	s.healed(victim)
	if s.broken == "" {
		s.checkHistory()
	}
	return s.broken, served
}

// watchPartition looks at the member that is cut off all the time: its lease ends in time, and nothing that was submitted to it since is answered.
func (s *simulation) watchPartition(victim *simulated, from time.Duration) {
	const look, every = 20 * time.Millisecond, 200 * time.Millisecond
	submitted := make(map[string]bool)
	var watch func()
	watch = func() {
		if s.now >= from+partitionTime-look {
			return
		}
		if victim.running && s.now > from+leaseBound && victim.node.lease.holder.Valid(victim.clock()) {
			s.fail("%s holds the lease %v after it was cut off", victim.address, s.now-from)
		}
		if (s.now-from)%every == 0 {
			for _, command := range victim.submitNow() {
				submitted[command] = true
			}
		}
		for command := range submitted {
			if output := s.operations[command].output; output != "" && output != "never" {
				s.fail("%s answered %q with %q while it was cut off", victim.address, command, output)
			}
		}
		s.after(look, watch)
	}
	s.after(0, watch)
}

// submitNow plays one call at this member, and names the command.
func (m *simulated) submitNow() []string {
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

// serviceWithout plays until the others have a leader of theirs, and answer.
func (s *simulation) serviceWithout(victim *simulated, from time.Duration) time.Duration {
	s.until(partitionTime/2, func() bool {
		holders := s.holders()
		return s.now > from+50*time.Millisecond && s.newest > from+leaseBound && len(holders) == 1 && holders[0] != victim
	})
	if took := s.now - from; took > serviceBound {
		s.fail("the others of %s serve only after %v\n%s", victim.address, took, s.describe())
	}
	return s.now - from
}

// expectSide makes sure that the others serve at the end of the partition, and the one that was cut off is not among them.
func (s *simulation) expectSide(victim *simulated) {
	if s.broken != "" {
		return
	}
	if s.now-s.newest > 500*time.Millisecond {
		s.fail("the others answer nothing for %v\n%s", s.now-s.newest, s.describe())
	}
	for _, member := range s.others(victim) {
		if !member.node.chain.Attached() {
			s.fail("%s is not in the chain, though only %s is cut off\n%s", member.address, victim.address, s.describe())
		}
	}
}

// healed has the member come back, and makes sure that this disturbs nobody.
func (s *simulation) healed(victim *simulated) {
	from, last, longest := s.now, s.now, time.Duration(0)
	s.until(healBound+3*time.Second, func() bool {
		longest, last = max(longest, s.now-max(last, s.newest)), max(last, s.newest)
		return s.now > from+100*time.Millisecond && victim.node.chain.Attached() && victim.node.view.Position(victim.node.self.ID) >= 0 &&
			victim.node.view.Epoch == s.others(victim)[0].node.view.Epoch
	})
	if took := s.now - from; took > healBound {
		s.fail("%s is back in the chain only after %v\n%s", victim.address, took, s.describe())
	}
	s.until(2*time.Second, func() bool {
		longest, last = max(longest, s.now-max(last, s.newest)), max(last, s.newest)
		return false
	})
	if longest > pauseBound {
		s.fail("nothing was answered for %v as %s came back", longest, victim.address)
	}
	s.expectService("after the cut", 300*time.Millisecond)
}

func TestMistakesOfAPartitionedMemberAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		mistake  mutant
		expected string
	}{
		"leads on when nobody renews its lease": {lingeringLeader, "hold the leader lease at once"},
		"commits what it alone has on its disk": {loneCommit, "while it was cut off"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(partitionSeeds) {
				broken, _ := playPartition(seed, "head", partitionBoth, c.mistake, false)
				if strings.Contains(broken, c.expected) {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			require.Fail(t, "not caught")
		})
	}
}

// TestAPartitionOfTwentySeconds has each member by its role cut off, both ways and one way, and asked all the time.
func TestAPartitionOfTwentySeconds(t *testing.T) {
	for role := range roles {
		for name, way := range partitionModes {
			t.Run(role+" "+name, func(t *testing.T) {
				t.Parallel()
				var slowest time.Duration
				for seed := range uint64(partitionSeeds) {
					broken, served := playPartition(seed, role, way, sound, seed%3 == 2)
					require.Empty(t, broken, "seed %d", seed)
					slowest = max(slowest, served)
				}
				t.Logf("the others served after %v at most", slowest)
			})
		}
	}
}
