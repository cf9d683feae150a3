package placement

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// storesOfTwoRegions are two stores in each of two zones a region.
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

// crossing counts the partitions whose replicas lie in several regions.
func crossing(view *wire.StoreView) int {
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

func TestCopiesStayInOneRegionWhereNoRegionIsToBeBorne(t *testing.T) {
	live := storesOfTwoRegions()
	view, ok := Plan(nil, live, config(2))
	require.True(t, ok)
	require.Zero(t, crossing(view), "as bootstrapped")
	require.Zero(t, crossing(converge(t, view, live, config(2))))
	c := config(2)
	c.Regions = true
	view, _ = Plan(nil, live, c)
	require.Equal(t, DefaultPartitions, crossing(view), "the loss of a region is to be borne")
}

func TestReplicasReturnToTheirPreferredRegionOnceItHasStoresAgain(t *testing.T) {
	live := storesOfTwoRegions()
	west := slices.DeleteFunc(slices.Clone(live), func(s Store) bool { return s.Region == "east" })
	for name, left := range map[string][]Store{
		"one store of a region is left": append(slices.Clone(west), live[0]), "a region is away": west,
	} {
		t.Run(name, func(t *testing.T) {
			view, _ := Plan(nil, live, config(2))
			view = converge(t, view, left, config(2))
			view = converge(t, view, live, config(2))
			require.Zero(t, crossing(view))
			counts, primaries := loads(view)
			requireEven(t, counts, live, 2)
			requireEven(t, primaries, live, 1)
		})
	}
}
