package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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

// converge lets all joining stores fill up, until the plan stays as it is.
func converge(t require.TestingT, view *wire.StoreView, live []Store, c Config) *wire.StoreView {
	for range 200 {
		next, changed := Plan(view, synced(view, live), c)
		if !changed {
			return view
		}
		view = next
	}
	require.Fail(t, "the plan does not come to rest")
	return nil
}

// synced has each store say that it holds all that it is joining.
func synced(view *wire.StoreView, live []Store) []Store {
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

func TestBootstrapTakesEnoughStores(t *testing.T) {
	view, changed := Plan(nil, storesIn(1), config(2))
	require.False(t, changed)
	require.Nil(t, view)
	strict := config(2)
	strict.Zones = true
	_, changed = Plan(nil, storesIn(2), strict)
	require.False(t, changed, "two stores in one zone are not enough")
	view, changed = Plan(nil, storesIn(1, 1), strict)
	require.True(t, changed)
	require.EqualValues(t, 1, view.Epoch)
	require.EqualValues(t, 2, view.Copies)
	require.Len(t, view.Partitions, DefaultPartitions)
	requireZones(t, view, 2)
}

func TestABootstrappedViewIsEvenAndAtRest(t *testing.T) {
	live := storesIn(1, 1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	counts, primaries := loads(view)
	requireEven(t, counts, live, 1)
	requireEven(t, primaries, live, 1)
	requireZones(t, view, 2)
	_, changed := Plan(view, live, config(2))
	require.False(t, changed)
}

func TestAFailedStoreIsRemovedAndSurvivorsKeepTheirOrder(t *testing.T) {
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

func TestTheFirstSurvivorBecomesPrimaryWherePrimariesAreEven(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	next, _ := Plan(view, live[1:], config(2))
	for p, placed := range next.Partitions {
		before := disks(view, view.Partitions[p].Replicas)
		survivors := slices.DeleteFunc(before, func(name string) bool { return name == live[0].Disk })
		require.ElementsMatch(t, survivors, disks(next, placed.Replicas), "no one is complete that was not")
		if len(survivors) < 2 {
			require.Len(t, placed.Joining, 1, "partition %d gets a store that makes up the number", p)
		}
	}
}

func TestAJoiningStoreBecomesAReplicaOnceItHoldsAllInThisEpoch(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	view, _ = Plan(view, live[1:], config(2))
	old := synced(view, live[1:])
	for i := range old {
		old[i].Epoch--
	}
	_, changed := Plan(view, old, config(2))
	require.False(t, changed, "what was said of an older epoch does not count")
	next, changed := Plan(view, synced(view, live[1:]), config(2))
	require.True(t, changed)
	for _, placed := range next.Partitions {
		require.Len(t, placed.Replicas, 2)
		require.Empty(t, placed.Joining)
	}
}

func TestAStoreThatReturnsGetsItsReplicasBackAndPrimariesAreEvenAgain(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	view = converge(t, view, live[1:], config(2))
	view = converge(t, view, live, config(2))
	counts, primaries := loads(view)
	requireEven(t, counts, live, 1)
	requireEven(t, primaries, live, 1)
}

func TestTheLastCompleteReplicaIsWaitedFor(t *testing.T) {
	live := storesIn(1, 1)
	view, _ := Plan(nil, live, config(2))
	none, changed := Plan(view, nil, config(2))
	require.False(t, changed)
	require.Same(t, view, none)
	alone, _ := Plan(view, live[:1], config(2))
	waits, changed := Plan(alone, live[1:], config(2))
	require.False(t, changed, "the other one missed writes: %v", waits)
	back, changed := Plan(alone, live, config(2))
	require.True(t, changed)
	for _, placed := range back.Partitions {
		require.Equal(t, []string{live[0].Disk}, disks(back, placed.Replicas))
		require.Equal(t, []string{live[1].Disk}, disks(back, placed.Joining))
	}
}

func TestAMachineWithAnotherDiskIsAnotherStore(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	live[0].Disk = "fresh"
	next, changed := Plan(view, live, config(2))
	require.True(t, changed)
	require.Len(t, next.Stores, 3, "the old identity is dropped")
	for _, placed := range next.Partitions {
		require.NotContains(t, disks(next, placed.Replicas), "fresh")
		require.Len(t, append(placed.Replicas, placed.Joining...), 2)
	}
	next = converge(t, next, live, config(2))
	counts, _ := loads(next)
	requireEven(t, counts, live, 1)
}

func TestAPartitionWhoseDisksAreAllWipedIsRebuilt(t *testing.T) {
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

func TestALeavingStoreGivesItsPrimariesAway(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	live[1].Leaving = true
	next, changed := Plan(view, live, config(2))
	require.True(t, changed)
	_, primaries := loads(next)
	require.Zero(t, primaries[live[1].Disk])
	for p, placed := range next.Partitions {
		require.ElementsMatch(t, disks(view, view.Partitions[p].Replicas), disks(next, placed.Replicas), "it still holds its copies")
	}
}

func TestARetiringStoreServesUntilOthersHoldAll(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	_, known, _ := Retire(view, live, c, "nobody")
	require.False(t, known)
	marked, known, enough := Retire(view, live, c, live[0].Node)
	require.True(t, known && enough)
	next, _ := Plan(marked, live, c)
	for p, placed := range next.Partitions {
		require.ElementsMatch(t, disks(view, view.Partitions[p].Replicas), disks(next, placed.Replicas), "nothing is dropped yet")
	}
	_, retiring, done := Retirement(next, live[0].Node)
	require.True(t, retiring && !done)
	next = converge(t, next, live, c)
	requireComplete(t, next, 2)
	_, _, done = Retirement(next, live[0].Node)
	require.True(t, done)
	_, known, enough = Retire(next, live, c, live[1].Node)
	require.True(t, known)
	require.False(t, enough, "two stores must remain")
}

func TestReplicasLieInSeveralZonesWhereAZoneMayFail(t *testing.T) {
	live := storesIn(2, 2)
	strict := config(2)
	strict.Zones = true
	view, _ := Plan(nil, live, strict)
	requireZones(t, view, 2)
	oneZone := converge(t, view, live[:2], strict)
	for _, placed := range oneZone.Partitions {
		require.Len(t, placed.Replicas, 1, "a second copy in the same zone counts for nothing")
		require.Empty(t, placed.Joining)
	}
	back := converge(t, oneZone, live, strict)
	requireComplete(t, back, 2)
	requireZones(t, back, 2)
}

func TestCopiesGoToOtherZonesAgainOnceTheyCan(t *testing.T) {
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
	require.Equal(t, movesAtOnce, joining)
}

// TestNoCompleteReplicaIsDroppedFromTheView plays losses, returns, new disks, retirements and fillings in any order.
func TestNoCompleteReplicaIsDroppedFromTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := storesIn(2, 2, 1)
		c := Config{Copies: rapid.IntRange(1, 3).Draw(t, "copies"), Partitions: 16, Zones: rapid.Bool().Draw(t, "strict")}
		view, bootstrapped := Plan(nil, all, c)
		require.True(t, bootstrapped)
		up := make([]bool, len(all))
		for i := range up {
			up[i] = true
		}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(all)-1).Draw(t, "store")
			live := living(all, up)
			switch rapid.SampledFrom([]string{"lose", "return", "leave", "disk", "retire", "fill"}).Draw(t, "event") {
			case "lose":
				up[i] = false
			case "return":
				up[i], all[i].Leaving = true, false
			case "leave":
				all[i].Leaving = true
			case "disk":
				if up[i] {
					continue
				}
				all[i].Disk, up[i] = fmt.Sprintf("%s+%d", all[i].Disk, step), true
			case "retire":
				if marked, _, enough := Retire(view, live, c, all[i].Node); enough {
					view = marked
				}
			case "fill":
				reported := synced(view, live)
				next, _ := Plan(view, reported, c)
				requireNext(t, view, next, reported)
				view = next
				continue
			}
			live = living(all, up)
			next, _ := Plan(view, live, c)
			requireNext(t, view, next, live)
			view = next
		}
		for i := range all {
			up[i], all[i].Leaving = true, false
		}
		view = converge(t, view, all, c)
		requireComplete(t, view, c.Copies)
		if c.Copies <= 2 {
			requireZonesOfKept(t, view, c.Copies)
		}
		requireEvenPrimaries(t, view)
	})
}

func living(all []Store, up []bool) []Store {
	var live []Store
	for i := range all {
		if up[i] {
			live = append(live, all[i])
		}
	}
	return live
}

// requireNext checks one step: epochs grow by one, nobody becomes complete who was not or did not say so, and a partition that had a
// living complete replica has one that lived or said so.
func requireNext(t require.TestingT, view, next *wire.StoreView, live []Store) {
	if next == view {
		return
	}
	require.Equal(t, view.Epoch+1, next.Epoch)
	require.Len(t, next.Partitions, len(view.Partitions))
	alive := make(map[string]bool)
	machines := make(map[string]string)
	for _, s := range live {
		alive[s.Disk] = true
		machines[s.Node] = s.Disk
	}
	for p := range view.Partitions {
		before, after := disks(view, view.Partitions[p].Replicas), disks(next, next.Partitions[p].Replicas)
		joining := disks(view, view.Partitions[p].Joining)
		available := slices.ContainsFunc(before, func(name string) bool { return alive[name] }) ||
			slices.ContainsFunc(joining, func(name string) bool { return reportsSynced(live, name, view.Epoch, p) })
		for _, name := range after {
			require.False(t, available && !alive[name], "partition %d: a dead store stays", p)
			if available {
				require.True(t, slices.Contains(before, name) || slices.Contains(joining, name) && reportsSynced(live, name, view.Epoch, p),
					"partition %d: %s is not whole", p, name)
			}
		}
		if available {
			require.NotEmpty(t, after, "partition %d lost its copies", p)
		}
		if !available && !coveredBy(view, p, alive) && !allReplaced(view, view.Partitions[p].Replicas, machines) {
			for i, name := range before {
				s := view.Stores[view.Partitions[p].Replicas[i]]
				if now, ok := machines[s.Node]; !ok || now == s.Disk {
					require.Contains(t, after, name, "partition %d does not wait", p)
				}
			}
		}
		seen := make(map[uint16]bool)
		for _, s := range slices.Concat(next.Partitions[p].Replicas, next.Partitions[p].Joining) {
			require.False(t, seen[s], "partition %d names a store twice", p)
			seen[s] = true
		}
	}
}

// coveredBy says whether stores that live have all that was accepted, though no complete replica lives.
func coveredBy(view *wire.StoreView, partition int, alive map[string]bool) bool {
	placed := view.Partitions[partition]
	dead := func(name string) bool { return !alive[name] }
	return placed.Covered && !slices.ContainsFunc(disks(view, slices.Concat(placed.Former, placed.Joining)), dead)
}

func reportsSynced(live []Store, disk string, epoch uint64, partition int) bool {
	return slices.ContainsFunc(live, func(s Store) bool {
		return s.Disk == disk && s.Epoch == epoch && slices.Contains(s.Synced, uint16(partition))
	})
}

func allReplaced(view *wire.StoreView, replicas []uint16, machines map[string]string) bool {
	for _, i := range replicas {
		if now, ok := machines[view.Stores[i].Node]; !ok || now == view.Stores[i].Disk {
			return false
		}
	}
	return true
}

// requireZonesOfKept checks zones of two copies, as far as the stores that are not retiring allow.
func requireZonesOfKept(t require.TestingT, view *wire.StoreView, copies int) {
	zones := make(map[string]bool)
	for _, s := range view.Stores {
		if !s.Retiring {
			zones[s.Zone] = true
		}
	}
	requireZones(t, view, min(copies, len(zones)))
}

func requireEvenPrimaries(t require.TestingT, view *wire.StoreView) {
	_, primaries := loads(view)
	for _, s := range view.Stores {
		require.False(t, s.Retiring && primaries[s.Disk] > 0, "%s is retiring", s.Disk)
	}
}

func TestAStoreThatLosesItsDiskWhileItIsEmptiedStillRetires(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	view, _, _ = Retire(view, live, c, live[0].Node)
	live[0].Disk = "fresh"
	view = converge(t, view, live, c)
	requireComplete(t, view, 2)
	known, retiring, done := Retirement(view, live[0].Node)
	require.True(t, known && retiring && done)
}

func TestAMachineThatTakesTheNameOfAnEmptiedOneIsUsed(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	view, _, _ = Retire(view, live, c, live[0].Node)
	view = converge(t, view, live, c)
	live[0].Disk = "successor"
	view = converge(t, view, live, c)
	_, retiring, _ := Retirement(view, live[0].Node)
	require.False(t, retiring)
	counts, _ := loads(view)
	requireEven(t, counts, live, 1)
}

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
