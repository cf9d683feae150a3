package placement

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// storesOfTwoRegions returns two stores in each of two zones in each of two regions.
func storesOfTwoRegions() []Store {
	stores := storesIn(2, 2, 2, 2)
	for i := range stores {
		stores[i].Region = "east"
		if stores[i].Zone >= "z2" {
			stores[i].Region = "west"
		}
	}
	return stores
}

// countCrossRegion counts the partitions whose replicas are in several regions.
func countCrossRegion(view *wire.StoreView) int {
	count := 0
	for _, placed := range view.Partitions {
		for _, r := range placed.Replicas[1:] {
			if view.Stores[r].Region != view.Stores[placed.Replicas[0]].Region {
				count++
				break
			}
		}
	}
	return count
}

func TestCopiesStayInOneRegionUnlessRegionLossIsTolerated(t *testing.T) {
	live := storesOfTwoRegions()
	view, ok := Plan(nil, live, config(2))
	require.True(t, ok)
	require.Zero(t, countCrossRegion(view), "after bootstrap")
	require.Zero(t, countCrossRegion(converge(t, view, live, config(2))))
	c := config(2)
	c.TolerateRegionLoss = true
	view, _ = Plan(nil, live, c)
	require.Equal(t, DefaultPartitions, countCrossRegion(view), "the loss of a region must be tolerated")
}

func TestReplicasReturnToPreferredRegion(t *testing.T) {
	live := storesOfTwoRegions()
	west := slices.DeleteFunc(slices.Clone(live), func(s Store) bool { return s.Region == "east" })
	for name, remaining := range map[string][]Store{
		"region has one live store": append(slices.Clone(west), live[0]), "region is down": west,
	} {
		t.Run(name, func(t *testing.T) {
			view, _ := Plan(nil, live, config(2))
			view = converge(t, view, remaining, config(2))
			view = converge(t, view, live, config(2))
			require.Zero(t, countCrossRegion(view))
			counts, primaries := loads(view)
			requireEven(t, counts, live, 2)
			requireEven(t, primaries, live, 1)
		})
	}
}
