package queue

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runPlanned simulates a history with the planner. It returns the first failure, or "", and how often each kind of
// event took effect.
func runPlanned(t *testing.T, seed uint64, m planMutant) (failure string, effects map[string]int) {
	p := newPlanned(t, seed, m)
	if os.Getenv("QUEUE_TRACE") != "" {
		p.trace = t.Logf
	}
	p.scheduleEvents()
	p.run(25 * time.Second)
	p.stopped = true
	for _, e := range p.edges { // all state that only edges have is lost
		p.restartEdge(e)
	}
	p.run(45 * time.Second)
	if p.failure == "" {
		p.checkStored()
		p.check()
	}
	return p.failure, p.effects
}

// defaultPlannedSeeds is the number of seeds that are simulated by default. QUEUE_PLANNED=FIRST-COUNT selects others.
const defaultPlannedSeeds = 6

func TestPlannedSimulationLosesNoMessage(t *testing.T) {
	first, count := uint64(0), uint64(defaultPlannedSeeds)
	if text := os.Getenv("QUEUE_PLANNED"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &count)
		require.NoError(t, err)
	}
	total := make(map[string]int)
	for seed := first; seed < first+count; seed++ {
		failure, effects := runPlanned(t, seed, planMutant{})
		require.Empty(t, failure)
		for name, times := range effects {
			total[name] += times
		}
	}
	t.Logf("%d histories, took effect: %v", count, total)
}

func TestPlannedSimulationCatchesMutants(t *testing.T) {
	mutants := map[string]planMutant{
		"former members dropped":      {dropFormer: true},
		"retired with one other copy": {retireEarly: true},
		"incomplete joiner promoted":  {promoteUnfilled: true},
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				if failure, _ := runPlanned(t, seed, m); failure != "" {
					t.Log(failure)
					return
				}
			}
			assert.Fail(t, "no seed shows the fault")
		})
	}
}
