package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// listOf makes a list of so many ready and draining workers of one service, beside one of another service.
func listOf(ready, draining int) *wire.Workers {
	list := &wire.Workers{Entries: []wire.Worker{{ID: "other", Service: "other"}}}
	for i := range ready + draining {
		list.Entries = append(list.Entries, wire.Worker{ID: string(rune('a' + i)), Service: "s", Draining: i >= ready})
	}
	return list
}

func TestOutageLastsUntilAllWorkersAreBack(t *testing.T) {
	var o outages
	require.False(t, o.saw(listOf(6, 0), 0), "a service that is new")
	require.False(t, o.saw(listOf(4, 0), time.Second), "most are there")
	require.True(t, o.saw(listOf(1, 5), 2*time.Second), "those that drain don't count")
	require.True(t, o.saw(listOf(0, 0), 3*time.Second))
	require.True(t, o.saw(listOf(3, 0), 4*time.Second), "one more is to come")
	require.False(t, o.saw(listOf(4, 0), 5*time.Second))
}

func TestWorkersThatAreMissingForLongAreNotWaitedFor(t *testing.T) {
	var o outages
	o.saw(listOf(6, 0), 0)
	require.True(t, o.saw(listOf(1, 0), time.Second))
	require.True(t, o.saw(listOf(1, 0), outageTimeout))
	require.False(t, o.saw(listOf(1, 0), time.Second+outageTimeout))
	require.True(t, o.saw(listOf(0, 0), 40*time.Second), "the one that was left is gone too")
	require.False(t, o.saw(listOf(0, 0), 40*time.Second+outageTimeout))
	require.NotContains(t, o, "s", "nothing is kept of a service that has ended")
}

func TestPaceIsQuickInAnOutage(t *testing.T) {
	p := NewPace(4*time.Second, 50)
	require.Equal(t, maxInterval, p.Done(0, listOf(6, 0), 2))
	require.Equal(t, time.Second+outageInterval, p.Done(time.Second, listOf(0, 0), 2))
	require.Equal(t, 2*time.Second+400*time.Millisecond, p.Done(2*time.Second, listOf(3, 0), 10), "the platform's rate binds all the same")
	require.Equal(t, 3*time.Second+maxInterval, p.Done(3*time.Second, listOf(6, 0), 2))
}

func TestReplacementOfAllWorkersIsNoOutage(t *testing.T) {
	var o outages
	require.False(t, o.saw(listOf(6, 0), 0))
	require.False(t, o.saw(listOf(12, 0), time.Second), "the new ones start first")
	require.False(t, o.saw(listOf(6, 6), 3*time.Second))
}
