package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"ravendale"
)

// Where a worker takes fewer connections than there are edges.
const (
	fewestReady  = 3 // workers that an edge keeps, where there are as many
	leastPerEdge = 4 // workers that there must be for each edge on average, to part them among the edges
)

// places is how many edges may have one connection each to a worker that takes maxConns.
func places(maxConns int) int { return max(int(connectionsUsed*float64(maxConns)), 1) }

// scarce says whether a worker's connections do not suffice for one to each edge.
func scarce(maxConns, edges int) bool {
	return maxConns > 0 && connectionsUsed*float64(maxConns) < float64(edges)
}

// spreads says whether the edges part the workers among them: that they have to, and that each gets enough.
func spreads(maxConns, edges, ready int) bool {
	return scarce(maxConns, edges) && ready*places(maxConns) >= leastPerEdge*edges
}

// part keeps of a list the workers that have this edge among their first ones. Where too few of them are ready, those follow for
// which it comes soonest.
func (t *Topology) part(list []ravendale.Entry, places int) []ravendale.Entry {
	ranks := t.ranks(list)
	bound := max(places-1, soonest(list, ranks))
	var kept []ravendale.Entry
	for i := range list {
		if ranks[i] <= bound {
			kept = append(kept, list[i])
		}
	}
	return kept
}

// soonest is the rank up to which an edge has enough ready workers.
func soonest(list []ravendale.Entry, ranks []int) int {
	var ready []int
	for i := range list {
		if list[i].State == ravendale.Ready {
			ready = append(ready, ranks[i])
		}
	}
	slices.Sort(ready)
	if len(ready) == 0 {
		return 0
	}
	return ready[min(fewestReady, len(ready))-1]
}

// ranks says for each worker how many edges come before this one. All edges that know the same ones agree on that, and an edge
// that comes or goes moves the others by one place at most.
func (t *Topology) ranks(list []ravendale.Entry) []int {
	others := make([]uint64, 0, len(t.Edges))
	for i := range t.Edges {
		if t.Edges[i].ID != t.Edge {
			others = append(others, xxhash.Sum64String(t.Edges[i].ID))
		}
	}
	own := xxhash.Sum64String(t.Edge)
	ranks := make([]int, len(list))
	for i := range list {
		name := xxhash.Sum64String(list[i].Worker)
		mine := mixed(name, own)
		for _, other := range others {
			if mixed(name, other) < mine {
				ranks[i]++
			}
		}
	}
	return ranks
}

// mixed is the score of a worker and an edge, by their hashes (the finalizer of splitmix64).
func mixed(worker, edge uint64) uint64 {
	x := worker ^ edge
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func readyAmong(list []ravendale.Entry) int {
	count := 0
	for i := range list {
		if list[i].State == ravendale.Ready {
			count++
		}
	}
	return count
}

func lists(list []ravendale.Entry, name string) bool {
	return slices.ContainsFunc(list, func(entry ravendale.Entry) bool { return entry.Worker == name })
}
