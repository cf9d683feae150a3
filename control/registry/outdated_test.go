package registry

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a live store that is dropped from the placement: a leader that was paused reads a renewal on a connection
// that the store has closed after those on the newer one, and then the end of the closed one.
func TestRenewalOnOutdatedConnectionIsRefused(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, storeRenewal("s", "n"))
	newest := storeRenewal("s", "n")
	newest.Store.Epoch = 5
	renew(r, 100*ms, 3, newest)
	outdated := storeRenewal("s", "n")
	outdated.Member.Leaving = true
	lease, changes := r.Renew(100*ms, 2, outdated)
	require.Zero(t, lease)
	require.Equal(t, Changes{}, changes)
	require.Equal(t, Changes{}, r.Disconnected(100*ms, 1))
	require.Equal(t, Changes{}, r.Disconnected(100*ms, 2))
	assert.EqualValues(t, 5, r.Stores()[0].Status.Epoch)
	tickUntil(r, 100*ms+2*reconnectTimeout)
	assert.Len(t, r.Stores(), 1)
}

// Guards against a member that is refused for good: a renewal of the process before it at its address, read after its own,
// must not count as that of a process which replaces it.
func TestRenewalOfEarlierProcessReplacesNone(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 2, edgeRenewal("new", "n", "z"))
	lease, changes := r.Renew(0, 1, edgeRenewal("old", "n", "z"))
	require.Zero(t, lease)
	require.Equal(t, Changes{}, changes)
	lease, _ = r.Renew(100*ms, 2, edgeRenewal("new", "n", "z"))
	require.Positive(t, lease)
	require.Equal(t, "new", r.Edges()[0].ID)
}
