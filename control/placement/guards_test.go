package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// planStep is the input and the result of one call of Plan, which the checks of this file compare.
type planStep struct {
	config     Config
	view, next *wire.StoreView
	live       map[string]Store  // by disk
	machines   map[string]string // current disk by node
}

func newPlanStep(config Config, view, next *wire.StoreView, live []Store) *planStep {
	s := &planStep{config: config, view: view, next: next, live: make(map[string]Store), machines: make(map[string]string)}
	for _, store := range live {
		s.live[store.Disk] = store
		s.machines[store.Node] = store.Disk
	}
	return s
}

// usable reports whether a disk's replicas count towards Copies: its store is live, has renewed its lease with the
// current leader, and is neither retiring nor about to stop.
func (s *planStep) usable(disk string) bool {
	store, alive := s.live[disk]
	at := slices.IndexFunc(s.next.Stores, func(other wire.Store) bool { return other.Disk == disk })
	return alive && !store.Leaving && !store.Assumed && at >= 0 && !s.next.Stores[at].Retiring
}

// wiped reports whether a disk's machine has another disk now.
func (s *planStep) wiped(disk string) bool {
	at := slices.IndexFunc(s.view.Stores, func(other wire.Store) bool { return other.Disk == disk })
	now, known := s.machines[s.view.Stores[at].Node]
	return known && now != disk
}

// covered reports whether a disk is a complete replica that is not live, and live stores are known to hold all accepted
// writes.
func (s *planStep) covered(p int, disk string) bool {
	alive := make(map[string]bool)
	for name := range s.live {
		alive[name] = true
	}
	return !alive[disk] && slices.Contains(disks(s.view, s.view.Partitions[p].Replicas), disk) && coveredBy(s.view, p, alive)
}

func (s *planStep) hasEnoughCopies(replicas []string) bool {
	counted := slices.DeleteFunc(slices.Clone(replicas), func(disk string) bool { return !s.usable(disk) })
	return len(counted) >= s.config.Copies
}

// check returns a description of the first violation that it finds in the step, or "".
func (s *planStep) check() string {
	for p := range s.view.Partitions {
		if violation := s.checkPartition(p); violation != "" {
			return fmt.Sprintf("epoch %d, partition %d: %s: %+v became %+v", s.next.Epoch, p, violation, s.view.Partitions[p], s.next.Partitions[p])
		}
	}
	for i, store := range s.next.Stores {
		if _, _, done := Retirement(s.next, store.Node); done {
			if violation := s.checkEmptied(uint16(i)); violation != "" {
				return violation
			}
		}
	}
	return ""
}

func (s *planStep) checkPartition(p int) string {
	before, after := s.view.Partitions[p], s.next.Partitions[p]
	complete, replicas := disks(s.view, before.Replicas), disks(s.next, after.Replicas)
	former, formerBefore := disks(s.next, after.Former), disks(s.view, before.Former)
	available := slices.ContainsFunc(complete, func(disk string) bool { _, alive := s.live[disk]; return alive }) ||
		slices.ContainsFunc(disks(s.view, before.Joining), func(disk string) bool {
			reported, alive := s.live[disk]
			return alive && reported.Epoch == s.view.Epoch && slices.Contains(reported.Synced, uint16(p))
		})
	for _, disk := range complete {
		if _, alive := s.live[disk]; alive && !slices.Contains(replicas, disk) && !s.hasEnoughCopies(replicas) {
			return disk + " is a live complete replica and is dropped although fewer than Copies usable replicas remain"
		}
	}
	for _, disk := range slices.Concat(complete, disks(s.view, before.Joining), formerBefore) {
		kept := slices.Contains(replicas, disk) || slices.Contains(former, disk) || slices.Contains(disks(s.next, after.Joining), disk)
		if !kept && !s.wiped(disk) && !s.hasEnoughCopies(replicas) && !s.covered(p, disk) {
			return "the writes on " + disk + " may be needed, but it is no longer a member or former member"
		}
	}
	for _, disk := range disks(s.next, after.Joining) {
		isNew := !slices.Contains(disks(s.view, before.Joining), disk)
		if isNew && !s.usable(disk) && (!after.Unsure || !slices.Contains(formerBefore, disk)) {
			return disk + " becomes a joining store although it is not usable"
		}
	}
	if !available && !slices.Equal(complete, replicas) && len(former) > 0 && !after.Unsure && len(replicas) > 0 && !s.hasEnoughCopies(replicas) &&
		!slices.ContainsFunc(complete, func(disk string) bool { return slices.Contains(replicas, disk) }) {
		return "all complete replicas are lost, and the partition is not unsure, so its former members are not queried"
	}
	return ""
}

// checkEmptied verifies that a store whose retirement is done is not a member or former member of any partition.
func (s *planStep) checkEmptied(index uint16) string {
	for p, placed := range s.next.Partitions {
		if slices.Contains(slices.Concat(placed.Replicas, placed.Joining, placed.Former), index) {
			return fmt.Sprintf("the retirement of %s is done, but it is still listed for partition %d", s.next.Stores[index].Disk, p)
		}
	}
	return ""
}

// randomSteps simulates failures, recoveries, replaced disks, planned stops, changes of the leader, retirements and
// completed joins, and checks each step. It returns a description of the first violation, or "".
func randomSteps(seed uint64, faults mutant) string {
	random := rand.New(rand.NewPCG(seed, 3))
	all := storesIn(2, 2, 1)
	config := Config{Copies: 1 + random.IntN(3), Partitions: 8, TolerateZoneLoss: random.IntN(2) == 0, mutant: faults}
	view, bootstrapped := Plan(nil, all, config)
	if !bootstrapped {
		return "not bootstrapped"
	}
	up := []bool{true, true, true, true, true}
	for range 60 {
		i := random.IntN(len(all))
		reported := liveStores(all, up)
		switch random.IntN(7) {
		case 0:
			up[i] = false
		case 1:
			up[i], all[i].Leaving, all[i].Assumed = true, false, false
		case 2:
			all[i].Leaving = true
		case 3:
			all[i].Assumed = true
		case 4:
			if !up[i] {
				all[i].Disk, up[i] = fmt.Sprintf("%s+", all[i].Disk), true
			}
		case 5:
			if marked, _, enough := Retire(view, reported, config, all[i].Node); enough {
				view = marked
			}
		case 6:
			all[i].Assumed = false
		}
		reported = liveStores(all, up)
		if random.IntN(2) == 0 {
			reported = allSynced(view, reported)
		}
		next, _ := Plan(view, reported, config)
		if fault := newPlanStep(config, view, next, reported).check(); fault != "" {
			return fmt.Sprintf("seed %d: %s", seed, fault)
		}
		view = next
	}
	return ""
}

const guardSeeds = 400

func TestRequiredReplicasAreNotDropped(t *testing.T) {
	for seed := range uint64(guardSeeds) {
		require.Empty(t, randomSteps(seed, mutant{}))
	}
}

func TestChecksDetectPlanFaults(t *testing.T) {
	for name, faults := range map[string]mutant{
		"unusable stores count":            {countUnusable: true},
		"dropped with one other copy left": {dropWithOneCopy: true},
		"former members are forgotten":     {forgetFormer: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(guardSeeds) {
				if fault := randomSteps(seed, faults); fault != "" {
					t.Log(fault)
					return
				}
			}
			require.Fail(t, "fault not detected by any seed")
		})
	}
}

// A store that the leader dropped while it kept running, as after a reset of its connections, holds what the last
// complete replica held up to that time. If the last complete replica then loses its disk, the former member must be
// used to restore the partition.
func TestFormerMemberIsQueriedWhenLastCompleteReplicaIsWiped(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	a := view.Partitions[0].Replicas[0]
	b := view.Partitions[0].Replicas[1]
	diskB := view.Stores[b].Disk
	dropped := slices.DeleteFunc(slices.Clone(live), func(s Store) bool { return s.Disk == diskB })
	next, _ := Plan(view, dropped, c)
	require.Contains(t, disks(next, next.Partitions[0].Former), diskB)
	next, _ = Plan(next, live, c) // the dropped store is back before the joining one is complete
	require.Contains(t, disks(next, next.Partitions[0].Former), diskB, "the returned store is not complete yet")
	wiped := slices.Clone(live)
	for i := range wiped {
		if wiped[i].Disk == view.Stores[a].Disk {
			wiped[i].Disk = "fresh"
		}
	}
	last, _ := Plan(next, wiped, c)
	placed := last.Partitions[0]
	require.True(t, placed.Unsure)
	require.Contains(t, disks(last, slices.Concat(placed.Replicas, placed.Joining)), diskB)
	require.Len(t, placed.Replicas, 1)
	require.NotEmpty(t, placed.Former, "the joining store is queried for the later writes")
	converged := converge(t, last, wiped, c)
	requireComplete(t, converged, 2)
	for _, placed := range converged.Partitions {
		require.False(t, placed.Unsure)
		require.Empty(t, placed.Former)
	}
}

// Writes that a partition accepted while it had one complete replica are on that replica and on the joining stores. If
// the disk of a joining store is lost, the plan must wait for the complete replica although a former member is live:
// the former member lacks the writes accepted since it was dropped.
func TestPlanWaitsForCompleteReplicaWhenJoiningDiskIsWiped(t *testing.T) {
	for name, faults := range map[string]mutant{"without the fault": {}, "with the fault": {ignoreWipedJoining: true}} {
		t.Run(name, func(t *testing.T) {
			live := storesIn(1, 1, 1)
			c := config(2)
			c.mutant = faults
			view, _ := Plan(nil, live, c)
			former, complete := view.Stores[view.Partitions[0].Replicas[0]].Disk, view.Stores[view.Partitions[0].Replicas[1]].Disk
			others := func(disks ...string) []Store {
				return slices.DeleteFunc(slices.Clone(live), func(s Store) bool { return slices.Contains(disks, s.Disk) })
			}
			view, _ = Plan(view, others(former), c)
			require.Len(t, view.Partitions[0].Joining, 1)
			view, _ = Plan(view, others(former, complete), c)
			wiped := others(complete)
			for i := range wiped {
				if wiped[i].Disk != former {
					wiped[i].Disk = "fresh"
				}
			}
			view, _ = Plan(view, wiped, c)
			require.Equal(t, faults == mutant{}, slices.Contains(disks(view, view.Partitions[0].Replicas), complete))
		})
	}
}

// A retiring store keeps its replicas while the remaining stores are about to stop, or have not renewed their lease
// with a new leader yet.
func TestRetiringStoreWaitsForUsableReplicas(t *testing.T) {
	for name, makeUnusable := range map[string]func(*Store){
		"leaving": func(s *Store) { s.Leaving = true },
		"assumed": func(s *Store) { s.Assumed = true },
	} {
		t.Run(name, func(t *testing.T) {
			live := storesIn(1, 1, 1, 1)
			c := config(2)
			view, _ := Plan(nil, live, c)
			view, _, _ = Retire(view, live, c, live[0].Node)
			view, _ = Plan(view, live, c)
			reported := allSynced(view, live)
			makeUnusable(&reported[1])
			makeUnusable(&reported[2])
			makeUnusable(&reported[3])
			next, _ := Plan(view, reported, c)
			known, retiring, done := Retirement(next, live[0].Node)
			require.True(t, known && retiring && !done)
			next = converge(t, next, live, c)
			_, _, done = Retirement(next, live[0].Node)
			require.True(t, done)
		})
	}
}

func TestRetireCountsLeavingAndStalledStores(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	live[1].Leaving, live[2].Stalled = true, true
	_, known, enough := Retire(view, live, config(2), live[0].Node)
	require.True(t, known && enough)
	_, _, enough = Retire(view, live[:2], config(2), live[0].Node)
	require.False(t, enough)
}

// A store whose disk accepts no writes is removed from partitions that have another complete replica, stays where it is
// the only one, and gets replicas again once its disk accepts writes.
func TestStalledStoreIsRemovedUntilItAcceptsWrites(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	stalled := slices.Clone(live)
	stalled[0].Stalled = true
	next, changed := Plan(view, stalled, c)
	require.True(t, changed)
	for p, placed := range next.Partitions {
		require.NotContains(t, disks(next, slices.Concat(placed.Replicas, placed.Joining)), live[0].Disk, "partition %d", p)
		if slices.Contains(disks(view, view.Partitions[p].Replicas), live[0].Disk) {
			require.Contains(t, disks(next, placed.Former), live[0].Disk, "partition %d", p)
		}
	}
	alone, _ := Plan(next, stalled[:1], c)
	alone, _ = Plan(alone, stalled, c)
	converged := converge(t, alone, stalled, c)
	requireComplete(t, converged, 2)
	counts, _ := loads(converged)
	require.Zero(t, counts[live[0].Disk])
	converged = converge(t, converged, live, c)
	counts, _ = loads(converged)
	requireEven(t, counts, live, 1)
}

// A former member whose disk accepts no writes must not become a joining store yet: it would take the place of one that
// can be filled.
func TestStalledFormerMemberDoesNotRejoin(t *testing.T) {
	live := storesIn(1, 1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	placed := &view.Partitions[0]
	primary, other := view.Stores[placed.Replicas[0]].Disk, placed.Replicas[1]
	placed.Replicas = placed.Replicas[:1]
	placed.Former, placed.Unsure = []uint16{other}, true
	stalled := slices.Clone(live)
	stalled[slices.IndexFunc(live, func(s Store) bool { return s.Disk == view.Stores[other].Disk })].Stalled = true
	next, _ := Plan(view, stalled, c)
	joining := disks(next, next.Partitions[0].Joining)
	require.Len(t, joining, 1)
	require.NotContains(t, joining, view.Stores[other].Disk)
	require.True(t, next.Partitions[0].Unsure, "the former member has not sent its writes yet")
	require.Equal(t, []string{primary}, disks(next, next.Partitions[0].Replicas))
	next, _ = Plan(next, live, c)
	require.Contains(t, disks(next, next.Partitions[0].Joining), view.Stores[other].Disk)
	requireComplete(t, converge(t, next, live, c), 2)
}

// When a former member has become complete, the partition is no longer unsure, even if the primary's own disk stalls at
// the same time.
func TestUnsureIsClearedBeforeStalledPrimaryIsDropped(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	placed := &view.Partitions[0]
	primary, other := placed.Replicas[0], placed.Replicas[1]
	placed.Replicas = []uint16{primary}
	placed.Joining, placed.Former, placed.Unsure = []uint16{other}, []uint16{other}, true
	reported := allSynced(view, live)
	reported[slices.IndexFunc(live, func(s Store) bool { return s.Disk == view.Stores[primary].Disk })].Stalled = true
	next, _ := Plan(view, reported, c)
	require.Equal(t, []string{view.Stores[other].Disk}, disks(next, next.Partitions[0].Replicas))
	require.Equal(t, []string{view.Stores[primary].Disk}, disks(next, next.Partitions[0].Former))
	require.False(t, next.Partitions[0].Unsure)
}

func TestStalledStoresRemainIfTooFewOthersAcceptWrites(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	live[0].Stalled, live[1].Stalled = true, true
	next, _ := Plan(view, live, c)
	for p, placed := range next.Partitions {
		require.ElementsMatch(t, disks(view, view.Partitions[p].Replicas), disks(next, placed.Replicas), "partition %d", p)
	}
}

func TestStalledStoreWithOnlyCompleteReplicaRemains(t *testing.T) {
	live := storesIn(1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	live[0].Stalled = true
	next, _ := Plan(view, live[:1], c)
	for p, placed := range next.Partitions {
		require.Equal(t, []string{live[0].Disk}, disks(next, placed.Replicas), "partition %d", p)
	}
}
