package plane

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/view"
)

// coreOf returns a core of one store per given zone. The stores at the indexes in detached are voters that are not in
// the chain.
func coreOf(zones []string, detached ...int) *membership {
	m := &membership{retiring: make(map[string]bool)}
	isDetached := make(map[int]bool)
	for _, i := range detached {
		isDetached[i] = true
	}
	for i, zone := range zones {
		member := view.Member{ID: view.ID(i + 1), Address: fmt.Sprint("store-", i), Zone: zone, Storage: true}
		m.members = append(m.members, member)
		if !isDetached[i] {
			m.chain = append(m.chain, member.ID)
		}
	}
	return m
}

func TestStoresOfAllZonesAreInvitedFirst(t *testing.T) {
	r, empty := newRecruiter(3), &membership{}
	require.True(t, r.shouldJoin(0, empty, "a1", "a"))
	require.False(t, r.shouldJoin(time.Millisecond, empty, "a1", "a"), "it was invited within inviteInterval")
	require.False(t, r.shouldJoin(time.Millisecond, empty, "a2", "a"), "a store of another zone is preferred")
	require.True(t, r.shouldJoin(time.Millisecond, empty, "b1", "b"))
	require.True(t, r.shouldJoin(zoneTimeout, empty, "a2", "a"), "no store of another zone renewed within zoneTimeout")
	require.False(t, r.shouldJoin(zoneTimeout, empty, "c1", "c"), "there are enough members")
}

func TestInvitationExpires(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b"})
	require.True(t, r.shouldJoin(0, core, "c1", "c"))
	require.False(t, r.shouldJoin(time.Second, core, "d1", "d"))
	require.True(t, r.shouldJoin(inviteTimeout, core, "d1", "d"))
}

func TestDetachedVoterIsInvitedAtOnce(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b", "c"}, 1)
	require.True(t, r.shouldJoin(0, core, "store-1", "b"))
	require.False(t, r.shouldJoin(0, core, "store-0", "a"), "it is attached")
}

func TestDetachedVoterIsReplacedAfterTimeout(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b", "c"}, 1)
	require.False(t, r.shouldJoin(0, core, "d1", "d"))
	require.False(t, r.shouldJoin(replaceTimeout-1, core, "d1", "d"))
	require.True(t, r.shouldJoin(replaceTimeout, core, "d1", "d"))
	require.False(t, r.shouldJoin(replaceTimeout, core, "e1", "e"), "one replacement is enough")
	attached := coreOf([]string{"a", "b", "c"})
	require.False(t, r.shouldJoin(replaceTimeout+time.Second, attached, "e1", "e"), "the voter is attached again")
	require.False(t, r.shouldJoin(replaceTimeout+2*time.Second, core, "e1", "e"), "the earlier detached time does not count")
}

func TestNumberOfMembersIsBounded(t *testing.T) {
	r := newRecruiter(3)
	core := coreOf([]string{"a", "b", "c", "d", "e", "f"}, 0, 1, 2, 3)
	require.False(t, r.shouldJoin(0, core, "g1", "g"))
	require.False(t, r.shouldJoin(2*replaceTimeout, core, "g1", "g"))
}

func TestRetiringStoreLeavesOnceReplaced(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b", "c"})
	require.False(t, r.shouldLeave(0, core, "store-1"), "it is not retiring")
	core.retiring["store-1"] = true
	require.False(t, r.shouldLeave(0, core, "store-1"), "a replacement may be found")
	require.False(t, r.shouldJoin(0, core, "store-1", "b"))
	require.True(t, r.shouldJoin(0, core, "d1", "d"))
	require.False(t, r.shouldLeave(leaveTimeout, core, "store-1"), "the replacement is invited but has not joined")
	replaced := coreOf([]string{"a", "b", "c", "d"})
	replaced.retiring["store-1"] = true
	require.True(t, r.shouldLeave(leaveTimeout, replaced, "store-1"))
	require.False(t, r.shouldLeave(leaveTimeout, replaced, "store-9"), "it is no member")
}

func TestStoppingStoreLeavesOnlyOnceReplaced(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b", "c"})
	core.stopping = map[string]bool{"store-1": true}
	require.False(t, r.shouldLeave(0, core, "store-1"))
	require.False(t, r.shouldLeave(time.Minute, core, "store-1"), "it may restart with its disk")
	require.True(t, r.shouldJoin(time.Minute, core, "d1", "d"))
	replaced := coreOf([]string{"a", "b", "c", "d"})
	replaced.stopping = core.stopping
	require.True(t, r.shouldLeave(time.Minute, replaced, "store-1"))
	require.False(t, r.shouldJoin(time.Minute, replaced, "store-1", "b"))
}

func TestRetiringStoreLeavesWithoutReplacementAfterTimeout(t *testing.T) {
	r, core := newRecruiter(3), coreOf([]string{"a", "b", "c"})
	core.retiring["store-1"] = true
	require.False(t, r.shouldLeave(0, core, "store-1"))
	require.True(t, r.shouldLeave(leaveTimeout, core, "store-1"))
}

// mixedCore returns a core of control processes and stores, each in a zone of its own. The members at the indexes in
// detached are not in the chain. The addresses of control processes sort after those of stores.
func mixedCore(controls, stores int, detached ...int) *membership {
	var zones []string
	for i := range controls + stores {
		zones = append(zones, fmt.Sprint("zone-", i))
	}
	m := coreOf(zones, detached...)
	for i := range controls {
		m.members[i].Storage, m.members[i].Address = false, fmt.Sprint("the-control-", i)
	}
	return m
}

func TestStoreIsInvitedForMissingControlProcess(t *testing.T) {
	r, core := newRecruiter(5), mixedCore(4, 0)
	require.False(t, r.shouldJoin(0, core, "s1", "a"), "more control processes may join")
	require.False(t, r.shouldJoin(startupGracePeriod-1, core, "s1", "a"))
	require.True(t, r.shouldJoin(startupGracePeriod, core, "s1", "a"))
	require.False(t, r.shouldJoin(startupGracePeriod, core, "s2", "b"), "one store is enough")
	complete := mixedCore(4, 1)
	require.False(t, r.shouldJoin(time.Minute, complete, "s2", "b"))
	require.False(t, r.shouldLeave(time.Minute, complete, "store-4"))
	require.False(t, r.shouldLeave(time.Hour, complete, "store-4"), "the store is needed")
}

func TestNoStoreIsInvitedForEnoughControlProcesses(t *testing.T) {
	for _, controls := range []int{5, 6} {
		r := newRecruiter(5)
		require.False(t, r.shouldJoin(0, mixedCore(controls, 0), "s1", "a"))
		require.False(t, r.shouldJoin(time.Hour, mixedCore(controls, 0), "s1", "a"))
	}
}

func TestDetachedControlProcessIsReplacedLater(t *testing.T) {
	r, core := newRecruiter(5), mixedCore(5, 0, 2)
	require.False(t, r.shouldJoin(0, core, "s1", "a"))
	require.False(t, r.shouldJoin(controlReplaceTimeout-1, core, "s1", "a"))
	require.True(t, r.shouldJoin(controlReplaceTimeout, core, "s1", "a"))
}

func TestSurplusStoresLeaveOneByOne(t *testing.T) {
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
	require.Empty(t, leaves(surplusTimeout+1, mixedCore(3, 1)), "surplusTimeout of the other store starts anew")
	require.Equal(t, []string{"store-3"}, leaves(2*surplusTimeout+1, mixedCore(3, 1)))
	require.Empty(t, leaves(3*surplusTimeout, coreOf([]string{"a", "b", "c", "d"})), "stores stay in a core of stores only")
}

func TestStoreStaysWhileControlProcessIsDetached(t *testing.T) {
	r := newRecruiter(3)
	require.False(t, r.shouldLeave(0, mixedCore(3, 1), "store-3"))
	require.False(t, r.shouldLeave(surplusTimeout-1, mixedCore(3, 1, 0), "store-3"))
	require.False(t, r.shouldLeave(surplusTimeout, mixedCore(3, 1), "store-3"), "the earlier unneeded time does not count")
}
