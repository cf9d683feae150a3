package queue

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// playPlanned runs a history under the planner, and returns what went wrong, if anything, and what took effect.
func playPlanned(t *testing.T, seed uint64, m planMutant) (failure string, effects map[string]int) {
	p := newPlanned(t, seed, m)
	if os.Getenv("QUEUE_TRACE") != "" {
		p.trace = t.Logf
	}
	p.playFaults()
	p.run(25 * time.Second)
	p.stopped = true
	for _, e := range p.edges { // what only an edge knows is lost
		p.restartEdge(e)
	}
	p.run(45 * time.Second)
	if p.failure == "" {
		p.checkStored()
		p.check()
	}
	return p.failure, p.effects
}

// plannedHistories are played by default; QUEUE_PLANNED names more, as first-count.
const plannedHistories = 6

func TestNothingIsLostWhileStoresComeAndGo(t *testing.T) {
	first, count := uint64(0), uint64(plannedHistories)
	if text := os.Getenv("QUEUE_PLANNED"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &count)
		require.NoError(t, err)
	}
	total := make(map[string]int)
	for seed := first; seed < first+count; seed++ {
		failure, effects := playPlanned(t, seed, planMutant{})
		require.Empty(t, failure)
		for name, times := range effects {
			total[name] += times
		}
	}
	t.Logf("%d histories, took effect: %v", count, total)
}

func TestMutantsOfThePlacementAreCaught(t *testing.T) {
	mutants := map[string]planMutant{
		"forget former members":        {forgetFormer: true},
		"retired at the first copy":    {retireEarly: true},
		"joining store taken unfilled": {takeUnfilled: true},
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				if failure, _ := playPlanned(t, seed, m); failure != "" {
					t.Log(failure)
					return
				}
			}
			assert.Fail(t, "no history shows it")
		})
	}
}
