package core

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/internal/explore"
)

var searchLarge = flag.Int("explore", 0, "maximum number of states of each large scope; zero: skip them")

// coreScope is a scope of the search, with the maximum number of faults on any path.
type coreScope struct {
	name   string
	faults int
	model  modelScope
}

// Commands that expect the same base: at most one of them may be accepted.
var (
	twoCommands = []string{"0 0 x", "1 0 y"}
	oneCommand  = []string{"1 0 x"}
)

// smallScopes are searched completely, in CI.
var smallScopes = []coreScope{
	{"two commands, every order of delivery and of disks", 0, modelScope{
		members: 3, tolerated: 1, commands: twoCommands, steps: 2, reorder: -1, slowDisks: true,
	}},
	{"two commands, links without order", 0, modelScope{
		members: 3, tolerated: 1, commands: twoCommands, steps: 1, reorder: -1, unordered: true,
	}},
	{"two commands, messages lost, duplicated and late", 2, modelScope{
		members: 3, tolerated: 1, commands: twoCommands, steps: 4, submitAt: []int{0}, faultAt: []int{0}, lose: 1, duplicate: 1, late: 1,
	}},
	{"two commands, a crash", 1, modelScope{
		members: 3, tolerated: 1, commands: twoCommands, steps: 14, submitAt: []int{0}, faultAt: []int{0}, recoverAt: []int{9}, crashes: 1, slowDisks: true, faultMembers: []int{0, 2},
	}},
	{"two commands, a crash and a partition", 2, modelScope{
		members: 3, tolerated: 1, commands: twoCommands, steps: 9, submitAt: []int{0}, faultAt: []int{0, 1}, recoverAt: []int{7}, crashes: 1, cuts: 1, faultMembers: []int{0, 1},
	}},
	{"a replaced member, then a second failure", 2, modelScope{
		members: 4, tolerated: 1, commands: oneCommand, steps: 13, submitAt: []int{0}, faultAt: []int{0, 4, 12}, recoverAt: []int{1}, crashes: 2,
		replaces: true, joinLater: true, faultMembers: []int{0, 2, 3},
	}},
	{"a lost disk, then a second failure", 2, modelScope{
		members: 3, tolerated: 1, commands: oneCommand, steps: 14, submitAt: []int{0}, faultAt: []int{0, 13}, recoverAt: []int{1}, wipes: 1, crashes: 1,
	}},
	{"an orderly stop, then a second failure", 2, modelScope{
		members: 4, tolerated: 1, commands: oneCommand, steps: 11, submitAt: []int{0}, faultAt: []int{0, 1, 9}, recoverAt: []int{}, stops: 1, crashes: 1,
		replaces: true, faultMembers: []int{0, 1},
	}},
	{"the lease, a freeze, clock drift", 1, modelScope{
		members: 3, tolerated: 1, steps: 24, halfSteps: true, faultAt: []int{0, 1, 2, 3, 4}, freezes: 1, rates: []int{955, 1000, 1045},
	}},
	{"the lease, its holder partitioned, voters restarted, clock drift", 3, modelScope{
		members: 3, tolerated: 1, steps: 20, halfSteps: true, faultAt: []int{0}, recoverAt: []int{2, 16}, cuts: 1, crashes: 2, rates: []int{955, 1000, 1045},
	}},
}

// largeScopes are searched with -explore, up to a number of states.
var largeScopes = []coreScope{
	{"two commands, every order of delivery and of disks, a crash", 1, modelScope{
		members: 3, tolerated: 1, commands: twoCommands, steps: 3, reorder: -1, slowDisks: true, crashes: 1,
	}},
	{"two commands, a crash and a partition at any time", 2, modelScope{
		members: 3, tolerated: 1, commands: twoCommands, steps: 12, submitAt: []int{0, 2, 9}, reorder: 1, recoverAt: []int{4, 8}, crashes: 1, cuts: 1,
	}},
	{"two commands, messages lost, duplicated and late, a crash", 3, modelScope{
		members: 3, tolerated: 1, commands: twoCommands, steps: 10, submitAt: []int{0}, faultAt: []int{0, 1, 2}, recoverAt: []int{6}, lose: 1, duplicate: 1, late: 1, crashes: 1,
	}},
	{"a replaced member, then a second failure at any time", 2, modelScope{
		members: 4, tolerated: 1, commands: twoCommands, steps: 24, submitAt: []int{0}, recoverAt: []int{1, 3, 23}, crashes: 1, cuts: 1, freezes: 1, replaces: true, joinLater: true,
	}},
	{"two lost disks and a crash", 3, modelScope{
		members: 3, tolerated: 1, commands: oneCommand, steps: 26, submitAt: []int{0}, faultAt: []int{0, 3, 4, 5, 13}, recoverAt: []int{1, 14}, wipes: 2, crashes: 1,
	}},
	{"five members, two failures and two more", 4, modelScope{
		members: 5, tolerated: 2, commands: oneCommand, steps: 14, submitAt: []int{0}, faultAt: []int{0, 11}, recoverAt: []int{1}, crashes: 2, cuts: 2,
	}},
	{"orderly stops, and a crash at any time", 3, modelScope{
		members: 4, tolerated: 1, commands: oneCommand, steps: 16, submitAt: []int{0}, recoverAt: []int{8, 12}, stops: 2, crashes: 1,
	}},
	{"the lease, a freeze, a partition, a crash at any time, clock drift", 3, modelScope{
		members: 3, tolerated: 1, steps: 20, halfSteps: true, recoverAt: []int{2, 10, 16}, freezes: 1, cuts: 1, crashes: 1, rates: []int{955, 1000, 1045},
	}},
	{"the lease, an inbound partition, a crash, clock drift", 2, modelScope{
		members: 3, tolerated: 1, steps: 24, halfSteps: true, recoverAt: []int{4, 12, 20}, inboundCuts: 1, crashes: 1, rates: []int{1045, 1000, 955},
	}},
}

func TestLargeScopes(t *testing.T) {
	if *searchLarge == 0 {
		t.Skip("takes long: go test ./control/core -run LargeScopes -explore STATES")
	}
	for _, scope := range largeScopes {
		t.Run(scope.name, func(t *testing.T) {
			t.Parallel()
			result := scope.run(t, *searchLarge)
			require.Nil(t, result.Violation)
		})
	}
}

func (c *coreScope) run(t *testing.T, states int) explore.Result {
	scope := c.model
	m := newModel(&scope)
	require.NoError(t, m.Check(), "at the start")
	result := explore.Run(m, explore.Scope{States: states, Faults: c.faults})
	t.Logf("%s: %v", c.name, result)
	return result
}

func TestSmallScopes(t *testing.T) {
	for _, scope := range smallScopes {
		t.Run(scope.name, func(t *testing.T) {
			t.Parallel()
			result := scope.run(t, 50000)
			require.Nil(t, result.Violation)
		})
	}
}

// TestMutationsAreDetectedInSmallScopes checks for each mutation that the search finds a state that violates an
// invariant.
func TestMutationsAreDetectedInSmallScopes(t *testing.T) {
	for _, c := range []struct {
		mutation string
		scope    string
		set      func(scope *modelScope)
		expected string
	}{
		{"a write is reported as durable before it is", "two commands, a crash", func(s *modelScope) { s.earlySyncReport = true }, "submitted command"},
		{"a single voter decides a view", "two commands, a crash and a partition", func(s *modelScope) { s.mutations.minorityDecides = true }, "two views of epoch"},
		{
			"a partitioned holder keeps the lease too long", "the lease, its holder partitioned, voters restarted, clock drift",
			func(s *modelScope) { s.margin = -500 * time.Millisecond }, "hold",
		},
		{
			"the lease has no margin", "the lease, a freeze, clock drift",
			func(s *modelScope) { s.margin = -time.Nanosecond }, "hold",
		},
		{
			"a restarted voter forgets its grant", "the lease, its holder partitioned, voters restarted, clock drift",
			func(s *modelScope) { s.mutations.forgetsGrant = true }, "hold",
		},
		{
			"a new member counts as complete before it has received the missing log", "a replaced member, then a second failure",
			func(s *modelScope) { s.mutations.countsUnfilled = true }, "is complete in epoch",
		},
		{"a new member gets a vote at once", "a replaced member, then a second failure", func(s *modelScope) { s.mutations.votesAtOnce = true }, "voters are up"},
		{"an unresponsive voter keeps its vote for ten seconds", "a replaced member, then a second failure", func(s *modelScope) { s.lateDown = true }, "voters are up"},
		{"a stopping member keeps its vote", "an orderly stop, then a second failure", func(s *modelScope) { s.mutations.keepsVoteOnStop = true }, "voters are up"},
	} {
		t.Run(c.mutation, func(t *testing.T) {
			t.Parallel()
			for _, scope := range smallScopes {
				if scope.name != c.scope {
					continue
				}
				c.set(&scope.model)
				result := scope.run(t, 60000)
				require.NotNil(t, result.Violation, "the mutation was not detected")
				require.ErrorContains(t, result.Violation.Err, c.expected)
				again := scope.model
				require.EqualError(t, lastError(newModel(&again), result.Violation.Trace), result.Violation.Err.Error(), "the trace replays")
			}
		})
	}
}

// lastError replays a trace, and returns the violation in its last state.
func lastError(m *model, trace []string) error {
	for _, action := range trace {
		m.Do(action)
	}
	return m.Check()
}
