package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func storesIn(zones ...int) []Store {
	var stores []Store
	for z, count := range zones {
		for i := range count {
			name := fmt.Sprintf("z%d-%d", z, i)
			stores = append(stores, Store{
				Disk: "disk-" + name, Node: name, Address: name + ":1", Zone: fmt.Sprintf("z%d", z), Region: "r",
			})
		}
	}
	return stores
}

func config(copies int) Config { return Config{Copies: copies, Partitions: DefaultPartitions} }

// converge repeats planning with all joining stores reported as complete, until the view no longer changes.
func converge(t require.TestingT, view *wire.StoreView, live []Store, c Config) *wire.StoreView {
	for range 200 {
		next, changed := Plan(view, allSynced(view, live), c)
		if !changed {
			return view
		}
		view = next
	}
	require.Fail(t, "the plan does not converge")
	return nil
}

// allSynced returns the stores with reports that each is complete in all partitions that it is joining.
func allSynced(view *wire.StoreView, live []Store) []Store {
	reported := slices.Clone(live)
	for i := range reported {
		reported[i].Epoch, reported[i].Synced = view.Epoch, nil
		for p, placed := range view.Partitions {
			for _, j := range placed.Joining {
				if view.Stores[j].Disk == reported[i].Disk {
					reported[i].Synced = append(reported[i].Synced, uint16(p))
				}
			}
		}
	}
	return reported
}

func disks(view *wire.StoreView, indices []uint16) []string {
	var names []string
	for _, i := range indices {
		names = append(names, view.Stores[i].Disk)
	}
	return names
}

func loads(view *wire.StoreView) (counts, primaries map[string]int) {
	counts, primaries = make(map[string]int), make(map[string]int)
	for _, placed := range view.Partitions {
		for _, name := range disks(view, placed.Replicas) {
			counts[name]++
		}
		if len(placed.Replicas) > 0 {
			primaries[view.Stores[placed.Replicas[0]].Disk]++
		}
	}
	return counts, primaries
}

func requireEven(t require.TestingT, counts map[string]int, live []Store, slack int) {
	low, high := 1<<30, 0
	for _, s := range live {
		low, high = min(low, counts[s.Disk]), max(high, counts[s.Disk])
	}
	require.LessOrEqual(t, high-low, slack, "%v", counts)
}

func requireZones(t require.TestingT, view *wire.StoreView, want int) {
	for p, placed := range view.Partitions {
		zones := make(map[string]bool)
		for _, i := range placed.Replicas {
			zones[view.Stores[i].Zone] = true
		}
		require.Len(t, zones, want, "partition %d", p)
	}
}

func TestBootstrapRequiresEnoughStores(t *testing.T) {
	view, changed := Plan(nil, storesIn(1), config(2))
	require.False(t, changed)
	require.Nil(t, view)
	strict := config(2)
	strict.TolerateZoneLoss = true
	_, changed = Plan(nil, storesIn(2), strict)
	require.False(t, changed, "two stores in one zone are not enough")
	view, changed = Plan(nil, storesIn(1, 1), strict)
	require.True(t, changed)
	require.EqualValues(t, 1, view.Epoch)
	require.EqualValues(t, 2, view.Copies)
	require.Len(t, view.Partitions, DefaultPartitions)
	requireZones(t, view, 2)
}

func TestBootstrappedViewIsBalancedAndStable(t *testing.T) {
	live := storesIn(1, 1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	counts, primaries := loads(view)
	requireEven(t, counts, live, 1)
	requireEven(t, primaries, live, 1)
	requireZones(t, view, 2)
	_, changed := Plan(view, live, config(2))
	require.False(t, changed)
}

func TestFailedStoreIsRemoved(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(3))
	failed := live[0].Disk
	next, changed := Plan(view, live[1:], config(2))
	require.True(t, changed)
	require.Equal(t, view.Epoch+1, next.Epoch)
	for p, placed := range next.Partitions {
		require.NotContains(t, disks(next, placed.Replicas), failed, "partition %d", p)
		require.NotEmpty(t, placed.Replicas)
	}
}

func TestFailedStoreIsReplacedByJoiningStore(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	next, _ := Plan(view, live[1:], config(2))
	for p, placed := range next.Partitions {
		before := disks(view, view.Partitions[p].Replicas)
		survivors := slices.DeleteFunc(before, func(name string) bool { return name == live[0].Disk })
		require.ElementsMatch(t, survivors, disks(next, placed.Replicas), "no store becomes complete that was not before")
		if len(survivors) < 2 {
			require.Len(t, placed.Joining, 1, "partition %d gets a joining store as replacement", p)
		}
	}
}

func TestSyncedJoiningStoreBecomesReplica(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	view, _ = Plan(view, live[1:], config(2))
	old := allSynced(view, live[1:])
	for i := range old {
		old[i].Epoch--
	}
	_, changed := Plan(view, old, config(2))
	require.False(t, changed, "reports for an older epoch do not count")
	next, changed := Plan(view, allSynced(view, live[1:]), config(2))
	require.True(t, changed)
	for _, placed := range next.Partitions {
		require.Len(t, placed.Replicas, 2)
		require.Empty(t, placed.Joining)
	}
}

func TestReturningStoreIsRebalanced(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	view = converge(t, view, live[1:], config(2))
	view = converge(t, view, live, config(2))
	counts, primaries := loads(view)
	requireEven(t, counts, live, 1)
	requireEven(t, primaries, live, 1)
}

func TestPlanWaitsForLastCompleteReplica(t *testing.T) {
	live := storesIn(1, 1)
	view, _ := Plan(nil, live, config(2))
	unchanged, changed := Plan(view, nil, config(2))
	require.False(t, changed)
	require.Same(t, view, unchanged)
	alone, _ := Plan(view, live[:1], config(2))
	waiting, changed := Plan(alone, live[1:], config(2))
	require.False(t, changed, "the other store missed writes: %v", waiting)
	back, changed := Plan(alone, live, config(2))
	require.True(t, changed)
	for _, placed := range back.Partitions {
		require.Equal(t, []string{live[0].Disk}, disks(back, placed.Replicas))
		require.Equal(t, []string{live[1].Disk}, disks(back, placed.Joining))
	}
}

func TestMachineWithNewDiskIsNewStore(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	live[0].Disk = "fresh"
	next, changed := Plan(view, live, config(2))
	require.True(t, changed)
	require.Len(t, next.Stores, 3, "the old disk is dropped from the view")
	for _, placed := range next.Partitions {
		require.NotContains(t, disks(next, placed.Replicas), "fresh")
		require.Len(t, append(placed.Replicas, placed.Joining...), 2)
	}
	next = converge(t, next, live, config(2))
	counts, _ := loads(next)
	requireEven(t, counts, live, 1)
}

func TestPartitionIsRebuiltWhenAllDisksAreWiped(t *testing.T) {
	live := storesIn(1, 1)
	view, _ := Plan(nil, live, config(2))
	live[0].Disk, live[1].Disk = "fresh-0", "fresh-1"
	next, changed := Plan(view, live, config(2))
	require.True(t, changed)
	for _, placed := range next.Partitions {
		require.Len(t, placed.Replicas, 1)
	}
	requireComplete(t, converge(t, next, live, config(2)), 2)
}

func requireComplete(t require.TestingT, view *wire.StoreView, copies int) {
	for p, placed := range view.Partitions {
		require.Len(t, placed.Replicas, copies, "partition %d", p)
		require.Empty(t, placed.Joining, "partition %d", p)
	}
}

func TestLeavingStoreHasNoPrimaries(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	live[1].Leaving = true
	next, changed := Plan(view, live, config(2))
	require.True(t, changed)
	_, primaries := loads(next)
	require.Zero(t, primaries[live[1].Disk])
	for p, placed := range next.Partitions {
		require.ElementsMatch(t, disks(view, view.Partitions[p].Replicas), disks(next, placed.Replicas), "the leaving store keeps its replicas")
	}
}

func TestReplicasAreInDistinctZonesIfZoneLossIsTolerated(t *testing.T) {
	live := storesIn(2, 2)
	strict := config(2)
	strict.TolerateZoneLoss = true
	view, _ := Plan(nil, live, strict)
	requireZones(t, view, 2)
	oneZone := converge(t, view, live[:2], strict)
	for _, placed := range oneZone.Partitions {
		require.Len(t, placed.Replicas, 1, "a second copy in the same zone does not count")
		require.Empty(t, placed.Joining)
	}
	back := converge(t, oneZone, live, strict)
	requireComplete(t, back, 2)
	requireZones(t, back, 2)
}

func TestReplicasSpreadAgainWhenZoneReturns(t *testing.T) {
	live := storesIn(2, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	view = converge(t, view, live[:2], c)
	requireComplete(t, view, 2)
	view = converge(t, view, live, c)
	requireComplete(t, view, 2)
	requireZones(t, view, 2)
}

func TestMovesForBalanceAreBounded(t *testing.T) {
	live := storesIn(1, 1, 1, 1)
	view, _ := Plan(nil, live[:3], config(2))
	next, changed := Plan(view, live, config(2))
	require.True(t, changed)
	joining := 0
	for _, placed := range next.Partitions {
		joining += len(placed.Joining)
	}
	require.Equal(t, maxConcurrentMoves, joining)
}
