package discovery

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// TestPageCompatibility checks that a page of the platform's list is decoded, and the workers topic encoded, as by the
// previous version.
func TestPageCompatibility(t *testing.T) {
	page, err := os.ReadFile("testdata/compat/page.json")
	require.NoError(t, err)
	workers, next, err := Parse(page)
	require.NoError(t, err)
	require.Equal(t, "token-2", next)
	require.Equal(t, []wire.Worker{
		{ID: "w-2", Service: "reports", Address: "10.0.0.2:80", Zone: "b", Version: "v2", Capacity: 8, WarmupMillis: 1500},
		{ID: "w-1", Service: "reports", Address: "10.0.0.1:80", Zone: "a", Version: "v1", Capacity: 4, Draining: true},
		{ID: "w-3", Service: "mail", Address: "10.0.0.3:80"},
	}, workers)

	golden, err := os.ReadFile("testdata/compat/workers.msgpack")
	require.NoError(t, err)
	var decoded wire.Workers
	rest, err := decoded.UnmarshalMsg(golden)
	require.NoError(t, err)
	require.Empty(t, rest)
	require.Equal(t, Sort(workers), &decoded)
	encoded, err := Sort(workers).MarshalMsg(nil)
	require.NoError(t, err)
	require.Equal(t, golden, encoded)
}
