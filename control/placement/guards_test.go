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
	store, lives := s.live[disk]
	at := slices.IndexFunc(s.next.Stores, func(other wire.Store) bool { return other.Disk == disk })
	return lives && !store.Leaving && !store.Assumed && at >= 0 && !s.next.Stores[at].Retiring
}

// gone says whether a disk's machine has another one now.
func (s *step) gone(disk string) bool {
	at := slices.IndexFunc(s.view.Stores, func(other wire.Store) bool { return other.Disk == disk })
	now, known := s.machines[s.view.Stores[at].Node]
	return known && now != disk
}

// covered says whether a whole replica is one that does not live, and all that it had is known to be at stores that do.
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
	whole, replicas := disks(s.view, before.Replicas), disks(s.next, after.Replicas)
	former, wasFormer := disks(s.next, after.Former), disks(s.view, before.Former)
	held := slices.ContainsFunc(whole, func(disk string) bool { _, lives := s.live[disk]; return lives }) ||
		slices.ContainsFunc(disks(s.view, before.Joining), func(disk string) bool {
			told, lives := s.live[disk]
			return lives && told.Epoch == s.view.Epoch && slices.Contains(told.Synced, uint16(p))
		})
	for _, disk := range whole {
		if _, lives := s.live[disk]; lives && !slices.Contains(replicas, disk) && !s.enough(replicas) {
			return disk + " is whole, lives and is dropped though too few others may be counted on"
		}
	}
	for _, disk := range slices.Concat(whole, disks(s.view, before.Joining), wasFormer) {
		kept := slices.Contains(replicas, disk) || slices.Contains(former, disk) || slices.Contains(disks(s.next, after.Joining), disk)
		if !kept && !s.gone(disk) && !s.enough(replicas) && !s.covered(p, disk) {
			return "what " + disk + " has is forgotten"
		}
	}
	for _, disk := range disks(s.next, after.Joining) {
		isNew := !slices.Contains(disks(s.view, before.Joining), disk)
		if isNew && !s.certain(disk) && (!after.Unsure || !slices.Contains(wasFormer, disk)) {
			return disk + " is given a part though it may not be counted on"
		}
	}
	if !held && !slices.Equal(whole, replicas) && len(former) > 0 && !after.Unsure && len(replicas) > 0 && !s.enough(replicas) &&
		!slices.ContainsFunc(whole, func(disk string) bool { return slices.Contains(replicas, disk) }) {
		return "all whole copies are lost, and those that have a part of it are not asked"
	}
	return ""
}

// checkEmptied makes sure that nothing lies on a store alone that is called empty.
func (s *step) checkEmptied(index uint16) string {
	for p, place := range s.next.Partitions {
		if slices.Contains(slices.Concat(place.Replicas, place.Joining, place.Former), index) {
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
	view, founded := Plan(nil, all, config)
	if !founded {
		return "not founded"
	}
	up := []bool{true, true, true, true, true}
	for range 60 {
		i := random.IntN(len(all))
		told := living(all, up)
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
			if marked, _, enough := Retire(view, told, config, all[i].Node); enough {
				view = marked
			}
		case 6:
			all[i].Assumed = false
		}
		told = living(all, up)
		if random.IntN(2) == 0 {
			told = synced(view, told)
		}
		next, _ := Plan(view, told, config)
		if fault := newStep(config, view, next, told).check(); fault != "" {
			return fmt.Sprintf("seed %d: %s", seed, fault)
		}
		view = next
	}
	return ""
}

const guardSeeds = 400

func TestNoCopyIsGivenUpThatIsNeeded(t *testing.T) {
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

// A store that the leader dropped though it ran on, as after a reset of its connections, has what the last whole copy had until then.
// Should that one lose its disk, it is asked.
func TestADroppedStoreIsAskedWhenTheLastWholeCopyIsLost(t *testing.T) {
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
	require.Contains(t, disks(next, next.Partitions[0].Former), diskB, "it is not whole yet")
	wiped := slices.Clone(live)
	for i := range wiped {
		if wiped[i].Disk == view.Stores[a].Disk {
			wiped[i].Disk = "fresh"
		}
	}
	last, _ := Plan(next, wiped, c)
	place := last.Partitions[0]
	require.True(t, place.Unsure)
	require.Contains(t, disks(last, slices.Concat(place.Replicas, place.Joining)), diskB)
	require.Len(t, place.Replicas, 1)
	require.NotEmpty(t, place.Former, "the joining one is asked for what came after")
	settled := settle(t, last, wiped, c)
	requireWhole(t, settled, 2)
	for _, place := range settled.Partitions {
		require.False(t, place.Unsure)
		require.Empty(t, place.Former)
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
			told := synced(view, live)
			doubt(&told[1])
			doubt(&told[2])
			doubt(&told[3])
			next, _ := Plan(view, told, c)
			known, retiring, done := Retirement(next, live[0].Node)
			require.True(t, known && retiring && !done)
			next = settle(t, next, live, c)
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
func TestAStalledStoreIsTakenOutUntilItsDiskTakesAll(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	stalled := slices.Clone(live)
	stalled[0].Stalled = true
	next, changed := Plan(view, stalled, c)
	require.True(t, changed)
	for p, place := range next.Partitions {
		require.NotContains(t, disks(next, slices.Concat(place.Replicas, place.Joining)), live[0].Disk, "partition %d", p)
		if slices.Contains(disks(view, view.Partitions[p].Replicas), live[0].Disk) {
			require.Contains(t, disks(next, place.Former), live[0].Disk, "partition %d", p)
		}
	}
	alone, _ := Plan(next, stalled[:1], c)
	alone, _ = Plan(alone, stalled, c)
	settled := settle(t, alone, stalled, c)
	requireWhole(t, settled, 2)
	parts, _ := loads(settled)
	require.Zero(t, parts[live[0].Disk])
	settled = settle(t, settled, live, c)
	parts, _ = loads(settled)
	requireEven(t, parts, live, 1)
}

// A former member whose disk takes nothing is no member yet: it would stand in for one that is filled.
func TestAStalledFormerMemberDoesNotRejoin(t *testing.T) {
	live := storesIn(1, 1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	place := &view.Partitions[0]
	primary, other := view.Stores[place.Replicas[0]].Disk, place.Replicas[1]
	place.Replicas = place.Replicas[:1]
	place.Former, place.Unsure = []uint16{other}, true
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
	requireWhole(t, settle(t, next, live, c), 2)
}

// One that has just told all leaves the primary sure, also if the primary's own disk stalls at that moment.
func TestAPrimaryThatWasToldAllIsSureBeforeItIsDropped(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	place := &view.Partitions[0]
	primary, other := place.Replicas[0], place.Replicas[1]
	place.Replicas = []uint16{primary}
	place.Joining, place.Former, place.Unsure = []uint16{other}, []uint16{other}, true
	told := synced(view, live)
	told[slices.IndexFunc(live, func(s Store) bool { return s.Disk == view.Stores[primary].Disk })].Stalled = true
	next, _ := Plan(view, told, c)
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
	for p, place := range next.Partitions {
		require.ElementsMatch(t, disks(view, view.Partitions[p].Replicas), disks(next, place.Replicas), "partition %d", p)
	}
}

func TestAStalledStoreThatAloneHoldsAllStays(t *testing.T) {
	live := storesIn(1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	live[0].Stalled = true
	next, _ := Plan(view, live[:1], c)
	for p, place := range next.Partitions {
		require.Equal(t, []string{live[0].Disk}, disks(next, place.Replicas), "partition %d", p)
	}
}
