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

// faults plays a fault now and then, so that no more stores have one at once than may be lost.
func (s *sim) faults() {
	if s.stopped {
		return
	}
	s.after(s.between(300*ms, 2500*ms), func() {
		if s.stopped {
			return
		}
		s.fault()
		s.faults()
	})
}

func (s *sim) fault() {
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
	way := [2]string{a, b}
	if s.random.IntN(2) == 0 {
		way = [2]string{b, a}
	}
	s.partitioned[way] = true
	s.after(s.between(50*ms, 2*time.Second), func() { delete(s.partitioned, way) })
}

// shuffle has the replicas of partitions change places, now and then, as a leader does around planned work.
func (s *sim) shuffle() {
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
		s.enact(next)
		s.shuffle()
	})
}

// playCalm has primaries change without any fault, and others hear of it late, or not before the next.
func playCalm(t *testing.T, seed uint64) string {
	s := newSim(t, seed, 3, 3, 4, 2+int(seed%2), mutant{})
	s.calm = true
	s.lag = 900 * ms
	s.shuffle()
	s.run(8 * time.Second)
	s.stopped = true
	s.run(20 * time.Second)
	if s.failure == "" {
		s.check()
	}
	return s.failure
}

func TestNothingRunsTwiceAroundViewChanges(t *testing.T) {
	for seed := range uint64(16) {
		require.Empty(t, playCalm(t, seed))
	}
}

// histories are played by default; QUEUE_SEEDS names more.
const histories = 24

// play runs a whole history and returns what went wrong, if anything.
func play(t *testing.T, seed uint64, m mutant) string {
	copies := 2 + int(seed%2)
	stores := copies + 1 + int(seed/2%2)
	s := newSim(t, seed, stores, 2+int(seed%2), 4, copies, m)
	s.faults()
	s.run(12 * time.Second)
	s.stopped = true
	s.run(30 * time.Second)
	if s.failure == "" {
		s.check()
	}
	return s.failure
}

func TestHistories(t *testing.T) {
	first, count := uint64(0), uint64(histories)
	if text := os.Getenv("QUEUE_SEEDS"); text != "" { // first-count
		_, err := fmt.Sscanf(text, "%d-%d", &first, &count)
		require.NoError(t, err)
	}
	for seed := first; seed < first+count; seed++ {
		require.Empty(t, play(t, seed, mutant{}))
	}
}

func TestMutantsAreCaught(t *testing.T) {
	mutants := map[string]mutant{
		"ack before sync":  {ackBeforeSync: true},
		"ack own only":     {ackOwnOnly: true},
		"grant early":      {grantEarly: true},
		"sync without all": {syncWithoutAll: true},
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				if failure := play(t, seed, m); failure != "" {
					t.Log(failure)
					return
				}
			}
			assert.Fail(t, "no history shows it")
		})
	}
}
