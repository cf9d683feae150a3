package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// step is one step of a plan, as the checks of this file see it.
type step struct {
	config     Config
	view, next *wire.StoreView
	live       map[string]Store // by disk
	machines   map[string]string
}

func newStep(config Config, view, next *wire.StoreView, live []Store) *step {
	s := &step{config: config, view: view, next: next, live: make(map[string]Store), machines: make(map[string]string)}
	for _, store := range live {
		s.live[store.Disk] = store
		s.machines[store.Node] = store.Disk
	}
	return s
}

// certain says whether a disk may be counted on: its store lives, was heard of, and neither is to be emptied nor about to stop.
func (s *step) certain(disk string) bool {
	store, alive := s.live[disk]
	at := slices.IndexFunc(s.next.Stores, func(other wire.Store) bool { return other.Disk == disk })
	return alive && !store.Leaving && !store.Assumed && at >= 0 && !s.next.Stores[at].Retiring
}

// wiped says whether a disk's machine has another one now.
func (s *step) wiped(disk string) bool {
	at := slices.IndexFunc(s.view.Stores, func(other wire.Store) bool { return other.Disk == disk })
	now, known := s.machines[s.view.Stores[at].Node]
	return known && now != disk
}

// covered says whether a complete replica is one that does not live, and all that it had is known to be at stores that do.
func (s *step) covered(p int, disk string) bool {
	alive := make(map[string]bool)
	for name := range s.live {
		alive[name] = true
	}
	return !alive[disk] && slices.Contains(disks(s.view, s.view.Partitions[p].Replicas), disk) && coveredBy(s.view, p, alive)
}

func (s *step) enough(replicas []string) bool {
	certain := slices.DeleteFunc(slices.Clone(replicas), func(disk string) bool { return !s.certain(disk) })
	return len(certain) >= s.config.Copies
}

// check returns what a step does that it must not, if anything.
func (s *step) check() string {
	for p := range s.view.Partitions {
		if fault := s.checkPartition(p); fault != "" {
			return fmt.Sprintf("epoch %d, partition %d: %s: %+v became %+v", s.next.Epoch, p, fault, s.view.Partitions[p], s.next.Partitions[p])
		}
	}
	for i, store := range s.next.Stores {
		if _, _, done := Retirement(s.next, store.Node); done {
			if fault := s.checkEmptied(uint16(i)); fault != "" {
				return fault
			}
		}
	}
	return ""
}

func (s *step) checkPartition(p int) string {
	before, after := s.view.Partitions[p], s.next.Partitions[p]
	complete, replicas := disks(s.view, before.Replicas), disks(s.next, after.Replicas)
	former, wasFormer := disks(s.next, after.Former), disks(s.view, before.Former)
	available := slices.ContainsFunc(complete, func(disk string) bool { _, alive := s.live[disk]; return alive }) ||
		slices.ContainsFunc(disks(s.view, before.Joining), func(disk string) bool {
			reported, alive := s.live[disk]
			return alive && reported.Epoch == s.view.Epoch && slices.Contains(reported.Synced, uint16(p))
		})
	for _, disk := range complete {
		if _, alive := s.live[disk]; alive && !slices.Contains(replicas, disk) && !s.enough(replicas) {
			return disk + " is complete, lives and is dropped though too few others may be counted on"
		}
	}
	for _, disk := range slices.Concat(complete, disks(s.view, before.Joining), wasFormer) {
		kept := slices.Contains(replicas, disk) || slices.Contains(former, disk) || slices.Contains(disks(s.next, after.Joining), disk)
		if !kept && !s.wiped(disk) && !s.enough(replicas) && !s.covered(p, disk) {
			return "what " + disk + " has is forgotten"
		}
	}
	for _, disk := range disks(s.next, after.Joining) {
		isNew := !slices.Contains(disks(s.view, before.Joining), disk)
		if isNew && !s.certain(disk) && (!after.Unsure || !slices.Contains(wasFormer, disk)) {
			return disk + " is given a replica though it may not be counted on"
		}
	}
	if !available && !slices.Equal(complete, replicas) && len(former) > 0 && !after.Unsure && len(replicas) > 0 && !s.enough(replicas) &&
		!slices.ContainsFunc(complete, func(disk string) bool { return slices.Contains(replicas, disk) }) {
		return "all complete replicas are lost, and those that have some of it are not queried"
	}
	return ""
}

// checkEmptied makes sure that nothing lies on a store alone that is called empty.
func (s *step) checkEmptied(index uint16) string {
	for p, placed := range s.next.Partitions {
		if slices.Contains(slices.Concat(placed.Replicas, placed.Joining, placed.Former), index) {
			return fmt.Sprintf("%s is called empty, and has partition %d", s.next.Stores[index].Disk, p)
		}
	}
	return ""
}

// randomSteps plays losses, returns, empty disks, planned stops, changes of the leader, retirements and fillings.
func randomSteps(seed uint64, broken mutant) string {
	random := rand.New(rand.NewPCG(seed, 3))
	all := storesIn(2, 2, 1)
	config := Config{Copies: 1 + random.IntN(3), Partitions: 8, Zones: random.IntN(2) == 0, mutant: broken}
	view, bootstrapped := Plan(nil, all, config)
	if !bootstrapped {
		return "not bootstrapped"
	}
	up := []bool{true, true, true, true, true}
	for range 60 {
		i := random.IntN(len(all))
		reported := living(all, up)
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
		reported = living(all, up)
		if random.IntN(2) == 0 {
			reported = synced(view, reported)
		}
		next, _ := Plan(view, reported, config)
		if fault := newStep(config, view, next, reported).check(); fault != "" {
			return fmt.Sprintf("seed %d: %s", seed, fault)
		}
		view = next
	}
	return ""
}

const guardSeeds = 400

func TestNoReplicaIsGivenUpThatIsNeeded(t *testing.T) {
	for seed := range uint64(guardSeeds) {
		require.Empty(t, randomSteps(seed, mutant{}))
	}
}

func TestMutantsOfThePlanAreCaught(t *testing.T) {
	for name, broken := range map[string]mutant{
		"uncertain stores are counted on": {countUncertain: true},
		"emptied at the first copy":       {emptyAtFirst: true},
		"former members are forgotten":    {forgetFormer: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(guardSeeds) {
				if fault := randomSteps(seed, broken); fault != "" {
					t.Log(fault)
					return
				}
			}
			require.Fail(t, "no seed shows it")
		})
	}
}

// A store that the leader dropped though it ran on, as after a reset of its connections, has what the last complete replica had until then.
// Should that one lose its disk, it is asked.
func TestAFormerMemberIsQueriedWhenTheLastCompleteReplicaFails(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	a := view.Partitions[0].Replicas[0]
	b := view.Partitions[0].Replicas[1]
	diskB := view.Stores[b].Disk
	dropped := slices.DeleteFunc(slices.Clone(live), func(s Store) bool { return s.Disk == diskB })
	next, _ := Plan(view, dropped, c)
	require.Contains(t, disks(next, next.Partitions[0].Former), diskB)
	next, _ = Plan(next, live, c) // it is back before the other one is filled
	require.Contains(t, disks(next, next.Partitions[0].Former), diskB, "it is not complete yet")
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
	require.NotEmpty(t, placed.Former, "the joining one is asked for what came after")
	converged := converge(t, last, wiped, c)
	requireComplete(t, converged, 2)
	for _, placed := range converged.Partitions {
		require.False(t, placed.Unsure)
		require.Empty(t, placed.Former)
	}
}

// What a partition accepted while it had one complete replica lies on that one and on those that were joining. If the disk of a joining one is lost,
// the complete one is waited for, though a former member is there: it lacks what came after it was dropped.
func TestACompleteReplicaIsWaitedForWhenAJoiningDiskIsLost(t *testing.T) {
	for name, broken := range map[string]mutant{"mended": {}, "not mended": {ignoreWipedJoining: true}} {
		t.Run(name, func(t *testing.T) {
			live := storesIn(1, 1, 1)
			c := config(2)
			c.mutant = broken
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
			require.Equal(t, broken == mutant{}, slices.Contains(disks(view, view.Partitions[0].Replicas), complete))
		})
	}
}

// The order to empty a store waits while one of those that would be left is about to stop, or was not heard of by a new leader.
func TestAStoreIsNotEmptiedOntoUncertainOnes(t *testing.T) {
	for name, doubt := range map[string]func(*Store){
		"leaving": func(s *Store) { s.Leaving = true },
		"assumed": func(s *Store) { s.Assumed = true },
	} {
		t.Run(name, func(t *testing.T) {
			live := storesIn(1, 1, 1, 1)
			c := config(2)
			view, _ := Plan(nil, live, c)
			view, _, _ = Retire(view, live, c, live[0].Node)
			view, _ = Plan(view, live, c)
			reported := synced(view, live)
			doubt(&reported[1])
			doubt(&reported[2])
			doubt(&reported[3])
			next, _ := Plan(view, reported, c)
			known, retiring, done := Retirement(next, live[0].Node)
			require.True(t, known && retiring && !done)
			next = converge(t, next, live, c)
			_, _, done = Retirement(next, live[0].Node)
			require.True(t, done)
		})
	}
}

func TestAnOrderIsNotRefusedForAStoreThatIsAboutToStop(t *testing.T) {
	live := storesIn(1, 1, 1)
	view, _ := Plan(nil, live, config(2))
	live[1].Leaving, live[2].Stalled = true, true
	_, known, enough := Retire(view, live, config(2), live[0].Node)
	require.True(t, known && enough)
	_, _, enough = Retire(view, live[:2], config(2), live[0].Node)
	require.False(t, enough)
}

// A store whose disk takes nothing is taken out where another one holds all, keeps what it alone holds, and is filled again later.
func TestAStalledStoreIsRemovedUntilItsDiskTakesWrites(t *testing.T) {
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

// A former member whose disk takes nothing is no member yet: it would stand in for one that is filled.
func TestAStalledFormerMemberDoesNotRejoin(t *testing.T) {
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
	require.True(t, next.Partitions[0].Unsure, "it has yet to tell")
	require.Equal(t, []string{primary}, disks(next, next.Partitions[0].Replicas))
	next, _ = Plan(next, live, c)
	require.Contains(t, disks(next, next.Partitions[0].Joining), view.Stores[other].Disk)
	requireComplete(t, converge(t, next, live, c), 2)
}

// One that has just handed over all leaves the primary sure, also if the primary's own disk stalls at that moment.
func TestAPrimaryThatGotAllIsSureBeforeItIsDropped(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	placed := &view.Partitions[0]
	primary, other := placed.Replicas[0], placed.Replicas[1]
	placed.Replicas = []uint16{primary}
	placed.Joining, placed.Former, placed.Unsure = []uint16{other}, []uint16{other}, true
	reported := synced(view, live)
	reported[slices.IndexFunc(live, func(s Store) bool { return s.Disk == view.Stores[primary].Disk })].Stalled = true
	next, _ := Plan(view, reported, c)
	require.Equal(t, []string{view.Stores[other].Disk}, disks(next, next.Partitions[0].Replicas))
	require.Equal(t, []string{view.Stores[primary].Disk}, disks(next, next.Partitions[0].Former))
	require.False(t, next.Partitions[0].Unsure)
}

func TestStalledStoresStayIfTooFewOthersCanWrite(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	live[0].Stalled, live[1].Stalled = true, true
	next, _ := Plan(view, live, c)
	for p, placed := range next.Partitions {
		require.ElementsMatch(t, disks(view, view.Partitions[p].Replicas), disks(next, placed.Replicas), "partition %d", p)
	}
}

func TestAStalledStoreThatAloneHoldsAllStays(t *testing.T) {
	live := storesIn(1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	live[0].Stalled = true
	next, _ := Plan(view, live[:1], c)
	for p, placed := range next.Partitions {
		require.Equal(t, []string{live[0].Disk}, disks(next, placed.Replicas), "partition %d", p)
	}
}
