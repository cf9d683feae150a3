package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// listOf returns a list with the given numbers of ready and draining workers of service s, and one worker of another
// service.
func listOf(ready, draining int) *wire.Workers {
	list := &wire.Workers{Entries: []wire.Worker{{ID: "other", Service: "other"}}}
	for i := range ready + draining {
		list.Entries = append(list.Entries, wire.Worker{ID: string(rune('a' + i)), Service: "s", Draining: i >= ready})
	}
	return list
}

func TestOutageLastsUntilAllWorkersAreReadyAgain(t *testing.T) {
	var o outages
	require.False(t, o.observe(listOf(6, 0), 0), "new service")
	require.False(t, o.observe(listOf(4, 0), time.Second), "more than half of the workers are ready")
	require.True(t, o.observe(listOf(1, 5), 2*time.Second), "draining workers do not count as ready")
	require.True(t, o.observe(listOf(0, 0), 3*time.Second))
	require.True(t, o.observe(listOf(3, 0), 4*time.Second), "one worker is still missing")
	require.False(t, o.observe(listOf(4, 0), 5*time.Second))
}

func TestOutageEndsAfterTimeout(t *testing.T) {
	var o outages
	o.observe(listOf(6, 0), 0)
	require.True(t, o.observe(listOf(1, 0), time.Second))
	require.True(t, o.observe(listOf(1, 0), outageTimeout))
	require.False(t, o.observe(listOf(1, 0), time.Second+outageTimeout))
	require.True(t, o.observe(listOf(0, 0), 40*time.Second), "the last worker disappeared too")
	require.False(t, o.observe(listOf(0, 0), 40*time.Second+outageTimeout))
	require.NotContains(t, o, "s", "a service without workers is removed from the map")
}

func TestPaceReadsMoreOftenDuringOutage(t *testing.T) {
	p := NewPace(4*time.Second, 50)
	require.Equal(t, maxInterval, p.Done(0, listOf(6, 0), 2))
	require.Equal(t, time.Second+outageInterval, p.Done(time.Second, listOf(0, 0), 2))
	require.Equal(t, 2*time.Second+400*time.Millisecond, p.Done(2*time.Second, listOf(3, 0), 10), "the rate limit still applies")
	require.Equal(t, 3*time.Second+maxInterval, p.Done(3*time.Second, listOf(6, 0), 2))
}

func TestReplacementOfAllWorkersIsNotAnOutage(t *testing.T) {
	var o outages
	require.False(t, o.observe(listOf(6, 0), 0))
	require.False(t, o.observe(listOf(12, 0), time.Second), "the new workers start first")
	require.False(t, o.observe(listOf(6, 6), 3*time.Second))
}
