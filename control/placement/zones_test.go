package placement

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/cluster/wire"
)

func colocatedConfig(copies int) Config {
	c := config(copies)
	c.ColocateInZone = true
	return c
}

// countCrossZone counts the partitions whose replicas are in several zones.
func countCrossZone(view *wire.StoreView) int {
	count := 0
	for _, placed := range view.Partitions {
		zone := view.Stores[placed.Replicas[0]].Zone
		if slices.ContainsFunc(placed.Replicas, func(r uint16) bool { return view.Stores[r].Zone != zone }) {
			count++
		}
	}
	return count
}

func TestCopiesAreInOneZoneUnlessZoneLossIsTolerated(t *testing.T) {
	live := storesIn(7, 6, 6)
	view, ok := Plan(nil, live, colocatedConfig(3))
	require.True(t, ok)
	require.Zero(t, countCrossZone(view))
	counts, primaries := loads(view)
	requireEven(t, counts, live, 2)
	requireEven(t, primaries, live, 1)
	_, changed := Plan(view, live, colocatedConfig(3))
	require.False(t, changed, "the bootstrapped view is stable")
}

func TestColocationIsIgnoredIfZoneLossIsTolerated(t *testing.T) {
	strict := colocatedConfig(2)
	strict.TolerateZoneLoss = true
	view, ok := Plan(nil, storesIn(3, 3), strict)
	require.True(t, ok)
	requireZones(t, view, 2)
}

func TestColocationIsIgnoredIfNoZoneHasEnoughStores(t *testing.T) {
	live := storesIn(1, 1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	gathered, _ := Plan(nil, live, colocatedConfig(2))
	require.Equal(t, view, gathered)
	view = converge(t, view, live[:3], config(2))
	gathered = converge(t, gathered, live[:3], colocatedConfig(2))
	require.Equal(t, view, gathered)
}

func TestSmallZoneSharesPartitionsWithOthers(t *testing.T) {
	live := storesIn(4, 4, 1)
	view, _ := Plan(nil, live, colocatedConfig(2))
	counts, primaries := loads(view)
	requireEven(t, counts, live, 3)
	requireEven(t, primaries, live, 3)
	require.Equal(t, counts["disk-z2-0"], countCrossZone(view), "only partitions with a replica in the small zone cross zones")
}

func TestSpreadCopiesAreColocated(t *testing.T) {
	live := storesIn(7, 6, 6)
	view, _ := Plan(nil, live, config(3))
	require.NotZero(t, countCrossZone(view))
	view = converge(t, view, live, colocatedConfig(3))
	require.Zero(t, countCrossZone(view))
	requireComplete(t, view, 3)
	counts, primaries := loads(view)
	requireEven(t, counts, live, 3)
	requireEven(t, primaries, live, 2)
}

func TestLostStoreIsReplacedInSameZone(t *testing.T) {
	live := storesIn(4, 4)
	view, _ := Plan(nil, live, colocatedConfig(2))
	view = converge(t, view, live[1:], colocatedConfig(2))
	requireComplete(t, view, 2)
	require.Zero(t, countCrossZone(view))
}

func TestCopiesReturnToZoneWhenItsStoresReturn(t *testing.T) {
	live := storesIn(3, 3)
	view, _ := Plan(nil, live, colocatedConfig(3))
	lost := converge(t, view, live[1:], colocatedConfig(3))
	requireComplete(t, lost, 3)
	require.NotZero(t, countCrossZone(lost))
	back := converge(t, lost, live, colocatedConfig(3))
	requireComplete(t, back, 3)
	require.Zero(t, countCrossZone(back))
}

// countMoved counts the complete replicas in the view after that the view before does not have.
func countMoved(before, after *wire.StoreView) int {
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

func TestAddingOrRetiringStoreMovesFewReplicas(t *testing.T) {
	all := storesIn(7, 6, 6)
	view, _ := Plan(nil, all, colocatedConfig(3))
	replicasPerStore := 3 * DefaultPartitions / len(all)
	t.Run("store added", func(t *testing.T) {
		extended := append(slices.Clone(all), storesIn(0, 0, 7)[6])
		after := converge(t, view, extended, colocatedConfig(3))
		require.Zero(t, countCrossZone(after))
		require.LessOrEqual(t, countMoved(view, after), 3*replicasPerStore)
	})
	t.Run("store retired", func(t *testing.T) {
		marked, _, enough := Retire(view, all, colocatedConfig(3), all[0].Node)
		require.True(t, enough)
		after := converge(t, marked, all, colocatedConfig(3))
		require.Zero(t, countCrossZone(after))
		require.LessOrEqual(t, countMoved(view, after), 3*replicasPerStore)
	})
}

// TestColocationConverges bootstraps zones of random size with or without colocation, and retires a store and removes
// it if enough others remain. With colocation on, the plan must converge to complete partitions.
func TestColocationConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := storesIn(rapid.IntRange(0, 5).Draw(t, "a"), rapid.IntRange(1, 5).Draw(t, "b"), rapid.IntRange(2, 5).Draw(t, "c"))
		c := colocatedConfig(rapid.IntRange(1, 3).Draw(t, "copies"))
		c.Partitions = 16
		started := c
		started.ColocateInZone = rapid.Bool().Draw(t, "colocated from the start")
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
		requireNoPrimariesOnRetiring(t, view)
	})
}
