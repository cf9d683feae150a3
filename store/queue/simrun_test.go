package queue

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// scheduleFaults injects faults at random intervals until the simulation is stopped.
func (s *sim) scheduleFaults() {
	if s.stopped {
		return
	}
	s.after(s.between(300*ms, 2500*ms), func() {
		if s.stopped {
			return
		}
		s.injectFault()
		s.scheduleFaults()
	})
}

func (s *sim) injectFault() {
	store := s.stores[s.random.IntN(len(s.stores))]
	switch s.random.IntN(8) {
	case 0, 1: // a store is killed
		s.crash(store, false, s.between(100*ms, 4*time.Second))
	case 2, 3: // a store loses power
		s.crash(store, true, s.between(100*ms, 4*time.Second))
	case 4: // all stores lose power
		for _, n := range s.stores {
			s.crash(n, true, s.between(100*ms, 800*ms))
		}
	case 5: // an edge is killed
		e := s.edges[s.random.IntN(len(s.edges))]
		if e.up {
			e.stop()
			s.after(s.between(100*ms, 2*time.Second), e.start)
		}
	case 6: // a link between stores is partitioned, in one direction
		other := s.stores[s.random.IntN(len(s.stores))]
		s.partitionLink(store.disk.name, other.disk.name)
	case 7: // a link of an edge is partitioned, in one direction
		s.partitionLink(s.edges[s.random.IntN(len(s.edges))].name(), store.disk.name)
	}
}

func (s *sim) crash(n *simStore, power bool, pause time.Duration) {
	if !n.up {
		return
	}
	n.stop(power)
	s.after(pause, n.start)
}

func (s *sim) partitionLink(a, b string) {
	direction := [2]string{a, b}
	if s.random.IntN(2) == 0 {
		direction = [2]string{b, a}
	}
	s.partitioned[direction] = true
	s.after(s.between(50*ms, 2*time.Second), func() { delete(s.partitioned, direction) })
}

// rotatePrimaries rotates the replicas of random partitions at random intervals, as a leader does around planned
// maintenance.
func (s *sim) rotatePrimaries() {
	s.after(s.between(50*ms, 500*ms), func() {
		if s.stopped {
			return
		}
		next := &wire.StoreView{Epoch: s.view.Epoch + 1, Copies: s.view.Copies, Stores: s.view.Stores}
		for _, placed := range s.view.Partitions {
			placed.Replicas = slices.Clone(placed.Replicas)
			if s.random.IntN(2) == 0 {
				placed.Replicas = append(placed.Replicas[1:], placed.Replicas[0])
			}
			next.Partitions = append(next.Partitions, placed)
		}
		s.installView(next)
		s.rotatePrimaries()
	})
}

// runFaultless simulates changes of primaries without any fault. Stores and edges receive views late, and may receive
// one only after the next.
func runFaultless(t *testing.T, seed uint64) string {
	s := newSim(t, seed, 3, 3, 4, 2+int(seed%2), mutant{})
	s.faultless = true
	s.maxViewDelay = 900 * ms
	s.rotatePrimaries()
	s.run(8 * time.Second)
	s.stopped = true
	s.run(20 * time.Second)
	if s.failure == "" {
		s.check()
	}
	return s.failure
}

func TestNoMessageRunsTwiceAcrossViewChanges(t *testing.T) {
	for seed := range uint64(16) {
		require.Empty(t, runFaultless(t, seed))
	}
}

// defaultSeeds is the number of seeds that are simulated by default. QUEUE_SEEDS=FIRST-COUNT selects others.
const defaultSeeds = 24

// runSimulation simulates a history with faults, and returns the first failure, or "".
func runSimulation(t *testing.T, seed uint64, m mutant) string {
	copies := 2 + int(seed%2)
	stores := copies + 1 + int(seed/2%2)
	s := newSim(t, seed, stores, 2+int(seed%2), 4, copies, m)
	s.scheduleFaults()
	s.run(12 * time.Second)
	s.stopped = true
	s.run(30 * time.Second)
	if s.failure == "" {
		s.check()
	}
	return s.failure
}

func TestSimulation(t *testing.T) {
	first, count := uint64(0), uint64(defaultSeeds)
	if text := os.Getenv("QUEUE_SEEDS"); text != "" { // first-count
		_, err := fmt.Sscanf(text, "%d-%d", &first, &count)
		require.NoError(t, err)
	}
	for seed := first; seed < first+count; seed++ {
		require.Empty(t, runSimulation(t, seed, mutant{}))
	}
}

func TestSimulationCatchesMutants(t *testing.T) {
	mutants := map[string]mutant{
		"acknowledged before sync":            {ackBeforeSync: true},
		"acknowledged without members":        {ackWithoutMembers: true},
		"granted before finish is replicated": {grantEarly: true},
		"incomplete joiner promoted":          {promoteUnfilled: true},
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				if failure := runSimulation(t, seed, m); failure != "" {
					t.Log(failure)
					return
				}
			}
			assert.Fail(t, "no seed shows the fault")
		})
	}
}
