package queue

import (
	"fmt"
	"log/slog"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/internal/explore"
)

// The model of the explore files is one partition on three stores, a schedulers' world of two, the real planner, and two messages of one key. It
// is searched completely within its bounds: every order of deliveries, syncs, views, crashes with and without disk, resets of the leader's
// connections and a retirement.
//
// Assumptions. A connection delivers in order, and what it carries at a time at once. Time passes only while nothing is on its way: a
// delivery takes less than the windows of a takeover. A second store is lost only once enough others are complete again.

const modelCopies = 2

var modelLog = slog.New(slog.DiscardHandler)

// modelMutant takes a guard out.
type modelMutant struct {
	ackBeforeSync bool // members acknowledge what is not on their disk
	takeUnfilled  bool // a joining store is called complete though it does not say so
	retireEarly   bool // a store is removed once one other holds all
	forgetFormer  bool // what dropped members have is forgotten
	grantEarly    bool // an end counts once it is on the primary
}

type modelConfig struct {
	mutant  modelMutant
	retires bool // a retirement may be ordered
	resets  bool // the leader may drop a store that runs
	hasty   bool // the leader acts before stores do, as a rule
	passes  int  // times that time may pass
}

// modelScope is searched by default. QUEUE_EXPLORE=DEPTH,STATES,FAULTS searches another.
var modelScope = explore.Scope{Depth: 200, States: 60_000, Faults: 1}

func scopeOf(t *testing.T) explore.Scope {
	scope := modelScope
	if text := os.Getenv("QUEUE_EXPLORE"); text != "" {
		_, err := fmt.Sscanf(text, "%d,%d,%d", &scope.Depth, &scope.States, &scope.Faults)
		require.NoError(t, err)
	}
	return scope
}

func TestEveryOrderOfASmallQueue(t *testing.T) {
	for name, config := range map[string]modelConfig{
		"retirement":       {retires: true, passes: 1},
		"reset":            {resets: true, passes: 1},
		"hasty retirement": {retires: true, hasty: true, passes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			result := explore.Run(newWorld(config), scopeOf(t))
			t.Log(result)
			assert.Nil(t, result.Violation)
		})
	}
}

func TestMutantsOfTheSmallQueueAreCaught(t *testing.T) {
	for name, config := range map[string]modelConfig{
		"acknowledged before it is synced": {mutant: modelMutant{ackBeforeSync: true}},
		"joining store taken unfilled":     {mutant: modelMutant{takeUnfilled: true}, hasty: true},
		"retired at the first copy":        {mutant: modelMutant{retireEarly: true}, retires: true, hasty: true},
		"an end counts once it is here":    {mutant: modelMutant{grantEarly: true}, passes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			result := explore.Run(newWorld(config), modelScope)
			t.Log(result)
			assert.NotNil(t, result.Violation, "no order shows it")
		})
	}
}

// Traces that broke an invariant once.
func TestTracesThatWereFound(t *testing.T) {
	for name, trace := range map[string][]string{
		"the last member that is left accepts alone": {"reset c", "power b", "put 0.1", "deliver e a 0", "sync a", "miss b", "plan", "view a"},
		"a message that its primary left unfinished is accepted at one": {
			"put 0.1", "deliver e a 0", "deliver a b 0", "reset c", "power a", "sync b", "miss a", "plan", "view b", "sync b", "view c",
			"sync c", "view e", "deliver e b 0", "deliver e b 1", "deliver e c 0", "deliver e c 1", "view f", "deliver f b 0",
			"deliver f b 1", "deliver f c 0", "deliver f c 1", "again 0.1", "deliver e b 0",
		},
		"a former member becomes the primary beside one that was just filled": {
			"reset a", "plan", "view a", "sync a", "view b", "deliver b c 0", "deliver b c 1", "deliver b c 0", "sync b", "sync c",
			"view c", "view e", "deliver e a 0", "deliver e a 1", "deliver e b 0", "deliver e b 1", "deliver e c 0", "deliver e c 1",
			"view f", "deliver f a 0", "deliver f a 1", "deliver f b 0", "deliver f b 1", "deliver f c 0", "deliver f c 1", "reset b",
			"put 0.1", "deliver e b 0", "deliver b c 0", "sync b", "sync c", "deliver b c 1", "deliver e b 1", "put 0.2",
			"deliver e b 0", "deliver b c 0", "sync b", "sync c", "deliver b c 1", "deliver e b 1", "hear a", "plan",
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, explore.Replay(newWorld(modelConfig{resets: true, passes: 1}), trace))
		})
	}
}
