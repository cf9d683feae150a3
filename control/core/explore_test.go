package core

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/internal/explore"
)

var searchLarge = flag.Int("explore", 0, "states of each large scope; zero: they are not searched")

// coreScope is a scope of the search, with the number of faults that may strike on any path.
type coreScope struct {
	name   string
	faults int
	model  modelScope
}

// Orders on one base: at most one of them may be taken.
var (
	twoOrders = []string{"0 0 x", "1 0 y"}
	oneOrder  = []string{"1 0 x"}
)

// smallScopes are searched whole, in CI.
var smallScopes = []coreScope{
	{"two orders, every order of delivery and of disks", 0, modelScope{
		members: 3, tolerated: 1, orders: twoOrders, steps: 2, reorder: -1, slowDisks: true,
	}},
	{"two orders, links without order", 0, modelScope{
		members: 3, tolerated: 1, orders: twoOrders, steps: 1, reorder: -1, unordered: true,
	}},
	{"two orders, messages lost, doubled and late", 2, modelScope{
		members: 3, tolerated: 1, orders: twoOrders, steps: 4, orderAt: []int{0}, faultAt: []int{0}, lose: 1, duplicate: 1, late: 1,
	}},
	{"two orders, a crash", 1, modelScope{
		members: 3, tolerated: 1, orders: twoOrders, steps: 14, orderAt: []int{0}, faultAt: []int{0}, backAt: []int{9}, crashes: 1, slowDisks: true, only: []int{0, 2},
	}},
	{"two orders, a crash and a cut", 2, modelScope{
		members: 3, tolerated: 1, orders: twoOrders, steps: 9, orderAt: []int{0}, faultAt: []int{0, 1}, backAt: []int{7}, crashes: 1, cuts: 1, only: []int{0, 1},
	}},
	{"a joiner replaces a member, then a second loss", 2, modelScope{
		members: 4, tolerated: 1, orders: oneOrder, steps: 13, orderAt: []int{0}, faultAt: []int{0, 4, 12}, backAt: []int{1}, crashes: 2,
		replaces: true, later: true, only: []int{0, 2, 3},
	}},
	{"a disk is lost, then a second loss", 2, modelScope{
		members: 3, tolerated: 1, orders: oneOrder, steps: 14, orderAt: []int{0}, faultAt: []int{0, 13}, backAt: []int{1}, wipes: 1, crashes: 1,
	}},
	{"a member is told to stop, then a second loss", 2, modelScope{
		members: 4, tolerated: 1, orders: oneOrder, steps: 11, orderAt: []int{0}, faultAt: []int{0, 1, 9}, backAt: []int{}, stops: 1, crashes: 1,
		replaces: true, only: []int{0, 1},
	}},
	{"the lease, a freeze, clocks that run apart", 1, modelScope{
		members: 3, tolerated: 1, steps: 24, fine: true, faultAt: []int{0, 1, 2, 3, 4}, freezes: 1, rates: []int{955, 1000, 1045},
	}},
	{"the lease, its holder cut off, voters restarted, clocks that run apart", 3, modelScope{
		members: 3, tolerated: 1, steps: 20, fine: true, faultAt: []int{0}, backAt: []int{2, 16}, cuts: 1, crashes: 2, rates: []int{955, 1000, 1045},
	}},
}

// largeScopes are searched with -explore, as far as a number of states allows.
var largeScopes = []coreScope{
	{"two orders, every order of delivery and of disks, a crash", 1, modelScope{
		members: 3, tolerated: 1, orders: twoOrders, steps: 3, reorder: -1, slowDisks: true, crashes: 1,
	}},
	{"two orders, a crash and a cut at any time", 2, modelScope{
		members: 3, tolerated: 1, orders: twoOrders, steps: 12, orderAt: []int{0, 2, 9}, reorder: 1, backAt: []int{4, 8}, crashes: 1, cuts: 1,
	}},
	{"two orders, messages lost, doubled and late through a crash", 3, modelScope{
		members: 3, tolerated: 1, orders: twoOrders, steps: 10, orderAt: []int{0}, faultAt: []int{0, 1, 2}, backAt: []int{6}, lose: 1, duplicate: 1, late: 1, crashes: 1,
	}},
	{"a joiner replaces a member, then a second loss at any time", 2, modelScope{
		members: 4, tolerated: 1, orders: twoOrders, steps: 24, orderAt: []int{0}, backAt: []int{1, 3, 23}, crashes: 1, cuts: 1, freezes: 1, replaces: true, later: true,
	}},
	{"two disks are lost and a member crashes", 3, modelScope{
		members: 3, tolerated: 1, orders: oneOrder, steps: 26, orderAt: []int{0}, faultAt: []int{0, 3, 4, 5, 13}, backAt: []int{1, 14}, wipes: 2, crashes: 1,
	}},
	{"five members, two losses and two more", 4, modelScope{
		members: 5, tolerated: 2, orders: oneOrder, steps: 14, orderAt: []int{0}, faultAt: []int{0, 11}, backAt: []int{1}, crashes: 2, cuts: 2,
	}},
	{"members are told to stop, and one crashes at any time", 3, modelScope{
		members: 4, tolerated: 1, orders: oneOrder, steps: 16, orderAt: []int{0}, backAt: []int{8, 12}, stops: 2, crashes: 1,
	}},
	{"the lease, a freeze, a cut, a crash at any time, clocks that run apart", 3, modelScope{
		members: 3, tolerated: 1, steps: 20, fine: true, backAt: []int{2, 10, 16}, freezes: 1, cuts: 1, crashes: 1, rates: []int{955, 1000, 1045},
	}},
	{"the lease, one that hears nobody, a crash, clocks that run apart", 2, modelScope{
		members: 3, tolerated: 1, steps: 24, fine: true, backAt: []int{4, 12, 20}, deaf: 1, crashes: 1, rates: []int{1045, 1000, 955},
	}},
}

func TestLargeScopesKeepAllRules(t *testing.T) {
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

func TestSmallScopesKeepAllRules(t *testing.T) {
	for _, scope := range smallScopes {
		t.Run(scope.name, func(t *testing.T) {
			t.Parallel()
			result := scope.run(t, 50000)
			require.Nil(t, result.Violation)
		})
	}
}

// TestMistakesAreFoundInSmallScopes takes out one guard each, and has the search find a state that breaks a rule.
func TestMistakesAreFoundInSmallScopes(t *testing.T) {
	for _, c := range []struct {
		mistake  string
		scope    string
		set      func(scope *modelScope)
		expected string
	}{
		{"a disk says that it has what it has not", "two orders, a crash", func(s *modelScope) { s.hasty = true }, "order"},
		{"a view is decided by a single voter", "two orders, a crash and a cut", func(s *modelScope) { s.mutations.minorityDecides = true }, "two views of epoch"},
		{
			"a holder that is cut off leads until the heartbeat's end", "the lease, its holder cut off, voters restarted, clocks that run apart",
			func(s *modelScope) { s.margin = -500 * time.Millisecond }, "hold",
		},
		{
			"a holder stops no earlier than the voters forget it", "the lease, a freeze, clocks that run apart",
			func(s *modelScope) { s.margin = -time.Nanosecond }, "hold",
		},
		{
			"a voter that starts takes it that it granted nothing", "the lease, its holder cut off, voters restarted, clocks that run apart",
			func(s *modelScope) { s.mutations.forgetsGrant = true }, "hold",
		},
		{
			"a newcomer counts as whole before it is filled", "a joiner replaces a member, then a second loss",
			func(s *modelScope) { s.mutations.countsUnfilled = true }, "is whole in epoch",
		},
		{"a newcomer gets a vote at once", "a joiner replaces a member, then a second loss", func(s *modelScope) { s.mutations.votesAtOnce = true }, "voters are up"},
		{"a voter that is down keeps its vote for ten seconds", "a joiner replaces a member, then a second loss", func(s *modelScope) { s.lateDown = true }, "voters are up"},
		{"a member that is told to stop keeps its vote", "a member is told to stop, then a second loss", func(s *modelScope) { s.mutations.keepsVoteOnStop = true }, "voters are up"},
	} {
		t.Run(c.mistake, func(t *testing.T) {
			t.Parallel()
			for _, scope := range smallScopes {
				if scope.name != c.scope {
					continue
				}
				c.set(&scope.model)
				result := scope.run(t, 60000)
				require.NotNil(t, result.Violation, "not caught")
				require.ErrorContains(t, result.Violation.Err, c.expected)
				again := scope.model
				require.EqualError(t, lastError(newModel(&again), result.Violation.Trace), result.Violation.Err.Error(), "the trace replays")
			}
		})
	}
}

// lastError replays a trace, and returns what its last state breaks.
func lastError(m *model, trace []string) error {
	for _, action := range trace {
		m.Do(action)
	}
	return m.Check()
}
