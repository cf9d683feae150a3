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

// The explore files check a model with one partition on three stores, two edges, the real placement planner, and two
// messages of one key. The model checker tries, within its bounds, every order of network deliveries, syncs, views,
// crashes with and without loss of the disk, resets of the leader's connections, and a retirement of a store.
//
// Assumptions: A connection delivers in order, and delivers everything under way in one direction at once. Time
// advances only while no delivery is under way, since a delivery takes less time than the claim windows of a takeover.
// A second store fails only once enough other stores are complete again.

const modelCopies = 2

var modelLog = slog.New(slog.DiscardHandler)

// modelMutant disables one safety check of the queue, to show that the search finds the resulting fault.
type modelMutant struct {
	ackBeforeSync   bool // members acknowledge records before they are synced
	promoteUnfilled bool // a joining store is promoted to a replica although it has not reported the partition as synced
	retireEarly     bool // a retiring store is removed once one other store has everything
	dropFormer      bool // the planner's record of former members is dropped
	grantEarly      bool // a finish is complete as soon as the primary has applied it
}

type modelConfig struct {
	mutant      modelMutant
	retires     bool // a store may be retired
	resets      bool // the leader may consider a running store unavailable
	leaderFirst bool // the leader's actions come before those of stores by default
	passes      int  // how often time may advance
}

// modelScope bounds the search by default. QUEUE_EXPLORE=DEPTH,STATES,FAULTS sets other bounds.
var modelScope = explore.Scope{Depth: 200, States: 60_000, Faults: 1}

func scopeOf(t *testing.T) explore.Scope {
	scope := modelScope
	if text := os.Getenv("QUEUE_EXPLORE"); text != "" {
		_, err := fmt.Sscanf(text, "%d,%d,%d", &scope.Depth, &scope.States, &scope.Faults)
		require.NoError(t, err)
	}
	return scope
}

func TestExploreSmallQueue(t *testing.T) {
	for name, config := range map[string]modelConfig{
		"retirement":       {retires: true, passes: 1},
		"reset":            {resets: true, passes: 1},
		"hasty retirement": {retires: true, leaderFirst: true, passes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			result := explore.Run(newWorld(config), scopeOf(t))
			t.Log(result)
			assert.Nil(t, result.Violation)
		})
	}
}

func TestExploreCatchesMutants(t *testing.T) {
	for name, config := range map[string]modelConfig{
		"acknowledged before sync":            {mutant: modelMutant{ackBeforeSync: true}},
		"incomplete joiner promoted":          {mutant: modelMutant{promoteUnfilled: true}, leaderFirst: true},
		"retired with one other copy":         {mutant: modelMutant{retireEarly: true}, retires: true, leaderFirst: true},
		"granted before finish is replicated": {mutant: modelMutant{grantEarly: true}, passes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			result := explore.Run(newWorld(config), modelScope)
			t.Log(result)
			assert.NotNil(t, result.Violation, "the search found no violation")
		})
	}
}

// Each trace has violated an invariant in an earlier version.
func TestRegressionTraces(t *testing.T) {
	for name, trace := range map[string][]string{
		"the only remaining member accepts a message alone": {"reset c", "power b", "put 0.1", "deliver e a 0", "sync a", "miss b", "plan", "view a"},
		"a put left incomplete by the old primary is accepted with one copy": {
			"put 0.1", "deliver e a 0", "deliver a b 0", "reset c", "power a", "sync b", "miss a", "plan", "view b", "sync b", "view c",
			"sync c", "view e", "deliver e b 0", "deliver e b 1", "deliver e c 0", "deliver e c 1", "view f", "deliver f b 0",
			"deliver f b 1", "deliver f c 0", "deliver f c 1", "again 0.1", "deliver e b 0",
		},
		"a former member becomes the primary next to a newly filled one": {
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
