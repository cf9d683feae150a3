package placement

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/cluster/wire"
)

func gathering(copies int) Config {
	c := config(copies)
	c.GatherZones = true
	return c
}

// zonesCrossed counts the partitions whose replicas lie in several zones.
func zonesCrossed(view *wire.StoreView) int {
	count := 0
	for _, placed := range view.Partitions {
		zone := view.Stores[placed.Replicas[0]].Zone
		if slices.ContainsFunc(placed.Replicas, func(r uint16) bool { return view.Stores[r].Zone != zone }) {
			count++
		}
	}
	return count
}

func TestCopiesLieInOneZoneWhereNoZoneIsToBeBorne(t *testing.T) {
	live := storesIn(7, 6, 6)
	view, ok := Plan(nil, live, gathering(3))
	require.True(t, ok)
	require.Zero(t, zonesCrossed(view))
	counts, primaries := loads(view)
	requireEven(t, counts, live, 2)
	requireEven(t, primaries, live, 1)
	_, changed := Plan(view, live, gathering(3))
	require.False(t, changed, "it is at rest")
}

func TestCopiesAreSpreadAsBeforeWhereAZoneIsToBeBorne(t *testing.T) {
	strict := gathering(2)
	strict.Zones = true
	view, ok := Plan(nil, storesIn(3, 3), strict)
	require.True(t, ok)
	requireZones(t, view, 2)
}

func TestCopiesAreSpreadAsBeforeWhereNoZoneHasEnoughStores(t *testing.T) {
	live := storesIn(1, 1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	gathered, _ := Plan(nil, live, gathering(2))
	require.Equal(t, view, gathered)
	view = converge(t, view, live[:3], config(2))
	gathered = converge(t, gathered, live[:3], gathering(2))
	require.Equal(t, view, gathered)
}

func TestAZoneWithTooFewStoresSharesPartitionsWithOthers(t *testing.T) {
	live := storesIn(4, 4, 1)
	view, _ := Plan(nil, live, gathering(2))
	counts, primaries := loads(view)
	requireEven(t, counts, live, 3)
	requireEven(t, primaries, live, 3)
	require.Equal(t, counts["disk-z2-0"], zonesCrossed(view), "no others cross zones")
}

func TestSpreadCopiesAreGathered(t *testing.T) {
	live := storesIn(7, 6, 6)
	view, _ := Plan(nil, live, config(3))
	require.NotZero(t, zonesCrossed(view))
	view = converge(t, view, live, gathering(3))
	require.Zero(t, zonesCrossed(view))
	requireComplete(t, view, 3)
	counts, primaries := loads(view)
	requireEven(t, counts, live, 3)
	requireEven(t, primaries, live, 2)
}

func TestALostStoreIsReplacedInItsZone(t *testing.T) {
	live := storesIn(4, 4)
	view, _ := Plan(nil, live, gathering(2))
	view = converge(t, view, live[1:], gathering(2))
	requireComplete(t, view, 2)
	require.Zero(t, zonesCrossed(view))
}

func TestAZoneWithTooFewLivingStoresHasCopiesElsewhereUntilTheyReturn(t *testing.T) {
	live := storesIn(3, 3)
	view, _ := Plan(nil, live, gathering(3))
	lost := converge(t, view, live[1:], gathering(3))
	requireComplete(t, lost, 3)
	require.NotZero(t, zonesCrossed(lost))
	back := converge(t, lost, live, gathering(3))
	requireComplete(t, back, 3)
	require.Zero(t, zonesCrossed(back))
}

// moved counts the replicas of one view that the other does not have.
func moved(before, after *wire.StoreView) int {
	count := 0
	for p := range before.Partitions {
		old := disks(before, before.Partitions[p].Replicas)
		for _, name := range disks(after, after.Partitions[p].Replicas) {
			if !slices.Contains(old, name) {
				count++
			}
		}
	}
	return count
}

func TestAStoreMoreOrLessMovesLittleMoreThanItsPart(t *testing.T) {
	all := storesIn(7, 6, 6)
	view, _ := Plan(nil, all, gathering(3))
	part := 3 * DefaultPartitions / len(all)
	t.Run("more", func(t *testing.T) {
		more := append(slices.Clone(all), storesIn(0, 0, 7)[6])
		after := converge(t, view, more, gathering(3))
		require.Zero(t, zonesCrossed(after))
		require.LessOrEqual(t, moved(view, after), 3*part)
	})
	t.Run("less", func(t *testing.T) {
		marked, _, enough := Retire(view, all, gathering(3), all[0].Node)
		require.True(t, enough)
		after := converge(t, marked, all, gathering(3))
		require.Zero(t, zonesCrossed(after))
		require.LessOrEqual(t, moved(view, after), 3*part)
	})
}

// TestGatheringComesToRest plays zones of any size, stores that are lost for good or retired, and a plan of before, in any order.
func TestGatheringComesToRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := storesIn(rapid.IntRange(0, 5).Draw(t, "a"), rapid.IntRange(1, 5).Draw(t, "b"), rapid.IntRange(2, 5).Draw(t, "c"))
		c := gathering(rapid.IntRange(1, 3).Draw(t, "copies"))
		c.Partitions = 16
		started := c
		started.GatherZones = rapid.Bool().Draw(t, "gathered from the start")
		view, ok := Plan(nil, all, started)
		require.True(t, ok)
		view = converge(t, view, all, started)
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		if marked, _, enough := Retire(view, all, c, all[lost].Node); enough {
			view = converge(t, marked, all, c)
			requireComplete(t, view, c.Copies)
			all = slices.Delete(all, lost, lost+1)
		}
		view = converge(t, view, all, c)
		requireComplete(t, view, c.Copies)
		requireEvenPrimaries(t, view)
	})
}
