package hollow

import (
	"slices"
	"sync"
	"time"
)

// arrivals notes when each scheduler had which version of the configuration.
type arrivals struct {
	mu   sync.Mutex
	seen map[uint64][]time.Time // by sequence
}

func newArrivals() *arrivals { return &arrivals{seen: make(map[uint64][]time.Time)} }

// add notes that a scheduler has come from one sequence to another: it has all between them, too.
func (a *arrivals) add(from, to uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for sequence := from + 1; sequence <= to; sequence++ {
		a.seen[sequence] = append(a.seen[sequence], at)
	}
}

// count is how many have a sequence.
func (a *arrivals) count(sequence uint64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.seen[sequence])
}

// delays lists how long after a moment each had a sequence, the shortest first. Who had it before counts as zero.
func (a *arrivals) delays(sequence uint64, since time.Time) []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	delays := make([]time.Duration, 0, len(a.seen[sequence]))
	for _, at := range a.seen[sequence] {
		delays = append(delays, max(at.Sub(since), 0))
	}
	slices.Sort(delays)
	return delays
}

// Spread of durations.
type Spread struct {
	Count         int
	P50, P99, Max time.Duration
}

// spreadOf a sorted list.
func spreadOf(sorted []time.Duration) Spread {
	if len(sorted) == 0 {
		return Spread{}
	}
	const percent = 100
	at := func(share int) time.Duration { return sorted[min(len(sorted)*share/percent, len(sorted)-1)] }
	return Spread{Count: len(sorted), P50: at(50), P99: at(99), Max: sorted[len(sorted)-1]}
}
