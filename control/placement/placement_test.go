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

// settle lets all joining stores fill up, until the plan stays as it is.
func settle(t require.TestingT, view *wire.StoreView, live []Store, c Config) *wire.StoreView {
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
	told := slices.Clone(live)
	for i := range told {
		told[i].Epoch, told[i].Synced = view.Epoch, nil
		for p, place := range view.Partitions {
			for _, j := range place.Joining {
				if view.Stores[j].Disk == told[i].Disk {
					told[i].Synced = append(told[i].Synced, uint16(p))
				}
			}
		}
	}
	return told
}

func disks(view *wire.StoreView, indices []uint16) []string {
	var names []string
	for _, i := range indices {
		names = append(names, view.Stores[i].Disk)
	}
	return names
}

func loads(view *wire.StoreView) (parts, primaries map[string]int) {
	parts, primaries = make(map[string]int), make(map[string]int)
	for _, place := range view.Partitions {
		for _, name := range disks(view, place.Replicas) {
			parts[name]++
		}
		if len(place.Replicas) > 0 {
			primaries[view.Stores[place.Replicas[0]].Disk]++
		}
	}
	return parts, primaries
}

func requireEven(t require.TestingT, counts map[string]int, live []Store, slack int) {
	low, high := 1<<30, 0
	for _, s := range live {
		low, high = min(low, counts[s.Disk]), max(high, counts[s.Disk])
	}
	require.LessOrEqual(t, high-low, slack, "%v", counts)
}

func requireZones(t require.TestingT, view *wire.StoreView, want int) {
	for p, place := range view.Partitions {
		zones := make(map[string]bool)
		for _, i := range place.Replicas {
			zones[view.Stores[i].Zone] = true
		}
		require.Len(t, zones, want, "partition %d", p)
	}
}

func TestFoundingTakesEnoughStores(t *testing.T) {
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

func TestAFoundedViewIsEvenAndAtRest(t *testing.T) {
	live := storesIn(1, 1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	parts, primaries := loads(view)
	requireEven(t, parts, live, 1)
	requireEven(t, primaries, live, 1)
	requireZones(t, view, 2)
	_, changed := Plan(view, live, config(2))
	require.False(t, changed)
}

func TestALostStoreIsTakenOutAndSurvivorsKeepTheirOrder(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(3))
	lost := live[0].Disk
	next, changed := Plan(view, live[1:], config(2))
	require.True(t, changed)
	require.Equal(t, view.Epoch+1, next.Epoch)
	for p, place := range next.Partitions {
		require.NotContains(t, disks(next, place.Replicas), lost, "partition %d", p)
		require.NotEmpty(t, place.Replicas)
	}
}

func TestTheFirstSurvivorBecomesPrimaryWherePrimariesAreEven(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	next, _ := Plan(view, live[1:], config(2))
	for p, place := range next.Partitions {
		before := disks(view, view.Partitions[p].Replicas)
		survivors := slices.DeleteFunc(before, func(name string) bool { return name == live[0].Disk })
		require.ElementsMatch(t, survivors, disks(next, place.Replicas), "no one is whole that was not")
		if len(survivors) < 2 {
			require.Len(t, place.Joining, 1, "partition %d gets a store that makes up the number", p)
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
	for _, place := range next.Partitions {
		require.Len(t, place.Replicas, 2)
		require.Empty(t, place.Joining)
	}
}

func TestAStoreThatReturnsGetsItsPartBackAndPrimariesAreEvenAgain(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	view = settle(t, view, live[1:], config(2))
	view = settle(t, view, live, config(2))
	parts, primaries := loads(view)
	requireEven(t, parts, live, 1)
	requireEven(t, primaries, live, 1)
}

func TestTheLastWholeCopyIsWaitedFor(t *testing.T) {
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
	for _, place := range back.Partitions {
		require.Equal(t, []string{live[0].Disk}, disks(back, place.Replicas))
		require.Equal(t, []string{live[1].Disk}, disks(back, place.Joining))
	}
}

func TestAMachineWithAnotherDiskIsAnotherStore(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	live[0].Disk = "fresh"
	next, changed := Plan(view, live, config(2))
	require.True(t, changed)
	require.Len(t, next.Stores, 3, "the old identity is dropped")
	for _, place := range next.Partitions {
		require.NotContains(t, disks(next, place.Replicas), "fresh")
		require.Len(t, append(place.Replicas, place.Joining...), 2)
	}
	next = settle(t, next, live, config(2))
	parts, _ := loads(next)
	requireEven(t, parts, live, 1)
}

func TestAPartitionWhoseDisksAreAllLostStartsAnew(t *testing.T) {
	live := storesIn(1, 1)
	view, _ := Plan(nil, live, config(2))
	live[0].Disk, live[1].Disk = "fresh-0", "fresh-1"
	next, changed := Plan(view, live, config(2))
	require.True(t, changed)
	for _, place := range next.Partitions {
		require.Len(t, place.Replicas, 1)
	}
	requireWhole(t, settle(t, next, live, config(2)), 2)
}

func requireWhole(t require.TestingT, view *wire.StoreView, copies int) {
	for p, place := range view.Partitions {
		require.Len(t, place.Replicas, copies, "partition %d", p)
		require.Empty(t, place.Joining, "partition %d", p)
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
	for p, place := range next.Partitions {
		require.ElementsMatch(t, disks(view, view.Partitions[p].Replicas), disks(next, place.Replicas), "it still holds its copies")
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
	for p, place := range next.Partitions {
		require.ElementsMatch(t, disks(view, view.Partitions[p].Replicas), disks(next, place.Replicas), "nothing is dropped yet")
	}
	_, retiring, done := Retirement(next, live[0].Node)
	require.True(t, retiring && !done)
	next = settle(t, next, live, c)
	requireWhole(t, next, 2)
	_, _, done = Retirement(next, live[0].Node)
	require.True(t, done)
	_, known, enough = Retire(next, live, c, live[1].Node)
	require.True(t, known)
	require.False(t, enough, "two stores must remain")
}

func TestZonesAreKeptApartWhereTheyMayBeLost(t *testing.T) {
	live := storesIn(2, 2)
	strict := config(2)
	strict.Zones = true
	view, _ := Plan(nil, live, strict)
	requireZones(t, view, 2)
	oneZone := settle(t, view, live[:2], strict)
	for _, place := range oneZone.Partitions {
		require.Len(t, place.Replicas, 1, "a second copy in the same zone counts for nothing")
		require.Empty(t, place.Joining)
	}
	back := settle(t, oneZone, live, strict)
	requireWhole(t, back, 2)
	requireZones(t, back, 2)
}

func TestCopiesGoToOtherZonesAgainOnceTheyCan(t *testing.T) {
	live := storesIn(2, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	view = settle(t, view, live[:2], c)
	requireWhole(t, view, 2)
	view = settle(t, view, live, c)
	requireWhole(t, view, 2)
	requireZones(t, view, 2)
}

func TestMovesForBalanceAreBounded(t *testing.T) {
	live := storesIn(1, 1, 1, 1)
	view, _ := Plan(nil, live[:3], config(2))
	next, changed := Plan(view, live, config(2))
	require.True(t, changed)
	joining := 0
	for _, place := range next.Partitions {
		joining += len(place.Joining)
	}
	require.Equal(t, movesAtOnce, joining)
}

// TestNoWholeCopyIsLostFromTheView plays losses, returns, new disks, retirements and fillings in any order.
func TestNoWholeCopyIsLostFromTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := storesIn(2, 2, 1)
		c := Config{Copies: rapid.IntRange(1, 3).Draw(t, "copies"), Partitions: 16, Zones: rapid.Bool().Draw(t, "strict")}
		view, founded := Plan(nil, all, c)
		require.True(t, founded)
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
				told := synced(view, live)
				next, _ := Plan(view, told, c)
				requireNext(t, view, next, told)
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
		view = settle(t, view, all, c)
		requireWhole(t, view, c.Copies)
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

// requireNext checks one step: epochs grow by one, nobody becomes whole who was not or did not say so, and a partition that had a
// living whole replica has one that lived or said so.
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
		held := slices.ContainsFunc(before, func(name string) bool { return alive[name] }) ||
			slices.ContainsFunc(joining, func(name string) bool { return saysWhole(live, name, view.Epoch, p) })
		for _, name := range after {
			require.False(t, held && !alive[name], "partition %d: a dead store stays", p)
			if held {
				require.True(t, slices.Contains(before, name) || slices.Contains(joining, name) && saysWhole(live, name, view.Epoch, p),
					"partition %d: %s is not whole", p, name)
			}
		}
		if held {
			require.NotEmpty(t, after, "partition %d lost its copies", p)
		}
		if !held && !coveredBy(view, p, alive) && !allReplaced(view, view.Partitions[p].Replicas, machines) {
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

// coveredBy says whether stores that live have all that was accepted, though no whole replica lives.
func coveredBy(view *wire.StoreView, partition int, alive map[string]bool) bool {
	place := view.Partitions[partition]
	dead := func(name string) bool { return !alive[name] }
	return place.Covered && !slices.ContainsFunc(disks(view, slices.Concat(place.Former, place.Joining)), dead)
}

func saysWhole(live []Store, disk string, epoch uint64, partition int) bool {
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
	view = settle(t, view, live, c)
	requireWhole(t, view, 2)
	known, retiring, done := Retirement(view, live[0].Node)
	require.True(t, known && retiring && done)
}

func TestAMachineThatTakesTheNameOfAnEmptiedOneIsUsed(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	view, _, _ = Retire(view, live, c, live[0].Node)
	view = settle(t, view, live, c)
	live[0].Disk = "successor"
	view = settle(t, view, live, c)
	_, retiring, _ := Retirement(view, live[0].Node)
	require.False(t, retiring)
	parts, _ := loads(view)
	requireEven(t, parts, live, 1)
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
	for _, place := range view.Partitions {
		for _, r := range place.Replicas[1:] {
			if view.Stores[r].Region != view.Stores[place.Replicas[0]].Region {
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
	require.Zero(t, crossing(view), "as founded")
	require.Zero(t, crossing(settle(t, view, live, config(2))))
	c := config(2)
	c.Regions = true
	view, _ = Plan(nil, live, c)
	require.Equal(t, DefaultPartitions, crossing(view), "the loss of a region is to be borne")
}

func TestCopiesComeHomeOnceTheirRegionHasStoresAgain(t *testing.T) {
	live := storesOfTwoRegions()
	west := slices.DeleteFunc(slices.Clone(live), func(s Store) bool { return s.Region == "east" })
	for name, left := range map[string][]Store{
		"one store of a region is left": append(slices.Clone(west), live[0]), "a region is away": west,
	} {
		t.Run(name, func(t *testing.T) {
			view, _ := Plan(nil, live, config(2))
			view = settle(t, view, left, config(2))
			view = settle(t, view, live, config(2))
			require.Zero(t, crossing(view))
			parts, primaries := loads(view)
			requireEven(t, parts, live, 2)
			requireEven(t, primaries, live, 1)
		})
	}
}
