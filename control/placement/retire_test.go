package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRetiringStoreServesUntilOthersAreComplete(t *testing.T) {
	live := storesIn(1, 1, 1)
	c := config(2)
	view, _ := Plan(nil, live, c)
	_, known, _ := Retire(view, live, c, "nobody")
	require.False(t, known)
	marked, known, enough := Retire(view, live, c, live[0].Node)
	require.True(t, known && enough)
	next, _ := Plan(marked, live, c)
	for p, placed := range next.Partitions {
		require.ElementsMatch(t, disks(view, view.Partitions[p].Replicas), disks(next, placed.Replicas), "no replica is dropped yet")
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

func TestRetirementCompletesAfterDiskReplacement(t *testing.T) {
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

func TestRetiredNodeNameCanBeReused(t *testing.T) {
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
