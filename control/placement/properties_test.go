package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/cluster/wire"
)

// TestPlanKeepsCompleteReplicas simulates failures, recoveries, replaced disks, retirements and completed joins in
// random order, and checks each view and the one that results when all stores are live again.
func TestPlanKeepsCompleteReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := storesIn(2, 2, 1)
		c := Config{Copies: rapid.IntRange(1, 3).Draw(t, "copies"), Partitions: 16, TolerateZoneLoss: rapid.Bool().Draw(t, "strict")}
		view, bootstrapped := Plan(nil, all, c)
		require.True(t, bootstrapped)
		up := make([]bool, len(all))
		for i := range up {
			up[i] = true
		}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			c.ColocateInZone = rapid.Bool().Draw(t, "gather") // leaders of two versions may alternate during a rolling upgrade
			view = applyRandomEvent(t, view, all, up, c, step)
		}
		for i := range all {
			up[i], all[i].Leaving = true, false
		}
		view = converge(t, view, all, c)
		requireComplete(t, view, c.Copies)
		if c.Copies <= 2 && !c.ColocateInZone {
			requireDistinctZones(t, view, c.Copies)
		}
		requireNoPrimariesOnRetiring(t, view)
	})
}

// applyRandomEvent applies a random event to one of the stores, checks the next view and returns it.
func applyRandomEvent(t *rapid.T, view *wire.StoreView, all []Store, up []bool, c Config, step int) *wire.StoreView {
	i := rapid.IntRange(0, len(all)-1).Draw(t, "store")
	live := liveStores(all, up)
	switch rapid.SampledFrom([]string{"fail", "recover", "leave", "replace disk", "retire", "sync"}).Draw(t, "event") {
	case "fail":
		up[i] = false
	case "recover":
		up[i], all[i].Leaving = true, false
	case "leave":
		all[i].Leaving = true
	case "replace disk":
		if up[i] {
			return view
		}
		all[i].Disk, up[i] = fmt.Sprintf("%s+%d", all[i].Disk, step), true
	case "retire":
		if marked, _, enough := Retire(view, live, c, all[i].Node); enough {
			view = marked
		}
	case "sync":
		reported := allSynced(view, live)
		next, _ := Plan(view, reported, c)
		requireNext(t, view, next, reported)
		return next
	}
	live = liveStores(all, up)
	next, _ := Plan(view, live, c)
	requireNext(t, view, next, live)
	return next
}

func liveStores(all []Store, up []bool) []Store {
	var live []Store
	for i := range all {
		if up[i] {
			live = append(live, all[i])
		}
	}
	return live
}

// requireNext checks one step: the epoch increases by one, only stores that were complete or reported to be so are
// complete replicas, and a partition that had a live complete replica still has one.
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
			require.False(t, available && !alive[name], "partition %d: a store that is down is still a replica", p)
			if available {
				require.True(t, slices.Contains(before, name) || slices.Contains(joining, name) && reportsSynced(live, name, view.Epoch, p),
					"partition %d: %s is not complete", p, name)
			}
		}
		if available {
			require.NotEmpty(t, after, "partition %d has no complete replica any more", p)
		}
		if !available && !coveredBy(view, p, alive) && !allReplaced(view, view.Partitions[p].Replicas, machines) {
			for i, name := range before {
				s := view.Stores[view.Partitions[p].Replicas[i]]
				if now, ok := machines[s.Node]; !ok || now == s.Disk {
					require.Contains(t, after, name, "partition %d does not wait for its complete replicas", p)
				}
			}
		}
		seen := make(map[uint16]bool)
		for _, s := range slices.Concat(next.Partitions[p].Replicas, next.Partitions[p].Joining) {
			require.False(t, seen[s], "partition %d lists a store twice", p)
			seen[s] = true
		}
	}
}

// coveredBy reports whether the live stores are known to hold all accepted writes of a partition even without a live
// complete replica.
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

// requireDistinctZones requires that the copies of each partition are in distinct zones, or in all zones if there are
// fewer. Only zones with stores that are not retiring count.
func requireDistinctZones(t require.TestingT, view *wire.StoreView, copies int) {
	zones := make(map[string]bool)
	for _, s := range view.Stores {
		if !s.Retiring {
			zones[s.Zone] = true
		}
	}
	requireZones(t, view, min(copies, len(zones)))
}

func requireNoPrimariesOnRetiring(t require.TestingT, view *wire.StoreView) {
	_, primaries := loads(view)
	for _, s := range view.Stores {
		require.False(t, s.Retiring && primaries[s.Disk] > 0, "%s is retiring", s.Disk)
	}
}
