package plane

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/view"
)

// coreOf is a core whose voters lie in zones of the same names; those that are away are voters out of the chain.
func coreOf(zones []string, away ...int) *membership {
	m := &membership{retiring: make(map[string]bool)}
	detached := make(map[int]bool)
	for _, i := range away {
		detached[i] = true
	}
	for i, zone := range zones {
		member := view.Member{ID: view.ID(i + 1), Address: fmt.Sprint("store-", i), Zone: zone, Storage: true}
		m.members = append(m.members, member)
		if !detached[i] {
			m.chain = append(m.chain, member.ID)
		}
	}
	return m
}

func TestAtFirstStoresOfAllZonesAreInvited(t *testing.T) {
	r, nothing := newRecruiter(3), &membership{}
	require.True(t, r.shouldJoin(0, nothing, "a1", "a"))
	require.False(t, r.shouldJoin(time.Millisecond, nothing, "a1", "a"), "it was asked just now")
	require.False(t, r.shouldJoin(time.Millisecond, nothing, "a2", "a"), "another zone may come")
	require.True(t, r.shouldJoin(time.Millisecond, nothing, "b1", "b"))
	require.True(t, r.shouldJoin(zoneTimeout, nothing, "a2", "a"), "no other zone came")
	require.False(t, r.shouldJoin(zoneTimeout, nothing, "c1", "c"), "there are enough")
}

func TestAStoreThatDoesNotComeIsNotCountedOn(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b"})
	require.True(t, r.shouldJoin(0, core, "c1", "c"))
	require.False(t, r.shouldJoin(time.Second, core, "d1", "d"))
	require.True(t, r.shouldJoin(inviteTimeout, core, "d1", "d"))
}

func TestAStoreWithoutItsDiskIsInvitedAtOnce(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b", "c"}, 1)
	require.True(t, r.shouldJoin(0, core, "store-1", "b"))
	require.False(t, r.shouldJoin(0, core, "store-0", "a"), "it takes part")
}

func TestAVoterThatIsAwayForLongGetsASubstitute(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b", "c"}, 1)
	require.False(t, r.shouldJoin(0, core, "d1", "d"))
	require.False(t, r.shouldJoin(replaceTimeout-1, core, "d1", "d"))
	require.True(t, r.shouldJoin(replaceTimeout, core, "d1", "d"))
	require.False(t, r.shouldJoin(replaceTimeout, core, "e1", "e"), "one is enough")
	back := coreOf([]string{"a", "b", "c"})
	require.False(t, r.shouldJoin(replaceTimeout+time.Second, back, "e1", "e"), "it is back")
	require.False(t, r.shouldJoin(replaceTimeout+2*time.Second, core, "e1", "e"), "that it was away before does not count")
}

func TestVotersAreBounded(t *testing.T) {
	r := newRecruiter(3)
	core := coreOf([]string{"a", "b", "c", "d", "e", "f"}, 0, 1, 2, 3)
	require.False(t, r.shouldJoin(0, core, "g1", "g"))
	require.False(t, r.shouldJoin(2*replaceTimeout, core, "g1", "g"))
}

func TestAStoreThatRetiresLeavesOnceItIsReplaced(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b", "c"})
	require.False(t, r.shouldLeave(0, core, "store-1"), "it does not retire")
	core.retiring["store-1"] = true
	require.False(t, r.shouldLeave(0, core, "store-1"), "a substitute may come")
	require.False(t, r.shouldJoin(0, core, "store-1", "b"))
	require.True(t, r.shouldJoin(0, core, "d1", "d"))
	require.False(t, r.shouldLeave(leaveTimeout, core, "store-1"), "the substitute is on its way")
	replaced := coreOf([]string{"a", "b", "c", "d"})
	replaced.retiring["store-1"] = true
	require.True(t, r.shouldLeave(leaveTimeout, replaced, "store-1"))
	require.False(t, r.shouldLeave(leaveTimeout, replaced, "store-9"), "it takes no part")
}

func TestAStoreThatStopsLeavesOnlyForASubstitute(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b", "c"})
	core.stopping = map[string]bool{"store-1": true}
	require.False(t, r.shouldLeave(0, core, "store-1"))
	require.False(t, r.shouldLeave(time.Minute, core, "store-1"), "it may come back, with its disk")
	require.True(t, r.shouldJoin(time.Minute, core, "d1", "d"))
	replaced := coreOf([]string{"a", "b", "c", "d"})
	replaced.stopping = core.stopping
	require.True(t, r.shouldLeave(time.Minute, replaced, "store-1"))
	require.False(t, r.shouldJoin(time.Minute, replaced, "store-1", "b"))
}

func TestAStoreThatRetiresLeavesIfThereIsNoSubstitute(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b", "c"})
	core.retiring["store-1"] = true
	require.False(t, r.shouldLeave(0, core, "store-1"))
	require.True(t, r.shouldLeave(leaveTimeout, core, "store-1"))
}

// mixedCore is a core of control processes, one in each zone, and of stores, each in a zone of its own. Those that are away are members out of the
// chain. The addresses of control processes come after those of stores.
func mixedCore(controls, stores int, away ...int) *membership {
	var zones []string
	for i := range controls + stores {
		zones = append(zones, fmt.Sprint("zone-", i))
	}
	m := coreOf(zones, away...)
	for i := range controls {
		m.members[i].Storage, m.members[i].Address = false, fmt.Sprint("the-control-", i)
	}
	return m
}

func TestStoresMakeUpTheNumberOfControlProcesses(t *testing.T) {
	r, core := newRecruiter(5), mixedCore(4, 0)
	require.False(t, r.shouldJoin(0, core, "s1", "a"), "control processes may come")
	require.False(t, r.shouldJoin(startupGracePeriod-1, core, "s1", "a"))
	require.True(t, r.shouldJoin(startupGracePeriod, core, "s1", "a"))
	require.False(t, r.shouldJoin(startupGracePeriod, core, "s2", "b"), "one is enough")
	complete := mixedCore(4, 1)
	require.False(t, r.shouldJoin(time.Minute, complete, "s2", "b"))
	require.False(t, r.shouldLeave(time.Minute, complete, "store-4"))
	require.False(t, r.shouldLeave(time.Hour, complete, "store-4"), "it is needed")
}

func TestEnoughControlProcessesNeedNoStore(t *testing.T) {
	for _, controls := range []int{5, 6} {
		r := newRecruiter(5)
		require.False(t, r.shouldJoin(0, mixedCore(controls, 0), "s1", "a"))
		require.False(t, r.shouldJoin(time.Hour, mixedCore(controls, 0), "s1", "a"))
	}
}

func TestAControlProcessThatIsAwayIsWaitedForLonger(t *testing.T) {
	r, core := newRecruiter(5), mixedCore(5, 0, 2)
	require.False(t, r.shouldJoin(0, core, "s1", "a"))
	require.False(t, r.shouldJoin(controlReplaceTimeout-1, core, "s1", "a"))
	require.True(t, r.shouldJoin(controlReplaceTimeout, core, "s1", "a"))
}

func TestStoresThatAreNotNeededAnyMoreLeaveOneByOne(t *testing.T) {
	r, core := newRecruiter(3), mixedCore(3, 2)
	leaves := func(at time.Duration, core *membership) (left []string) {
		for _, address := range []string{"store-3", "store-4", "the-control-0"} {
			if r.shouldLeave(at, core, address) {
				left = append(left, address)
			}
		}
		return left
	}
	require.Empty(t, leaves(0, core))
	require.Empty(t, leaves(surplusTimeout-1, core))
	require.Equal(t, []string{"store-4"}, leaves(surplusTimeout, core))
	require.Empty(t, leaves(surplusTimeout+1, mixedCore(3, 1)), "the other has its own time")
	require.Equal(t, []string{"store-3"}, leaves(2*surplusTimeout+1, mixedCore(3, 1)))
	require.Empty(t, leaves(3*surplusTimeout, coreOf([]string{"a", "b", "c", "d"})), "where stores hold all of the core none is let go")
}

func TestAStoreIsKeptWhileAControlProcessIsAway(t *testing.T) {
	r := newRecruiter(3)
	require.False(t, r.shouldLeave(0, mixedCore(3, 1), "store-3"))
	require.False(t, r.shouldLeave(surplusTimeout-1, mixedCore(3, 1, 0), "store-3"))
	require.False(t, r.shouldLeave(surplusTimeout, mixedCore(3, 1), "store-3"), "that it was not needed before does not count")
}
