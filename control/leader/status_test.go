package leader

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/control/status"
)

func TestOnlyTheLeaderCountsMembers(t *testing.T) {
	f := newFleet(t, 2)
	f.lead(f.controls[0])
	edges := f.edges(2, 2)
	f.stores(2)
	f.eventually("all are members", all(edges, hasMembers(4)))
	counted := func() *status.Members {
		members, err := f.controls[0].service.Members(t.Context())
		require.NoError(t, err)
		return members
	}
	f.eventually("all are counted, and ready with what the leader named", func() bool {
		return slices.Equal(counted().Edges, []status.Edges{{Zone: "z0", Ready: 2}, {Zone: "z1", Ready: 2}}) && len(counted().Stores) == 2
	})

	_, err := f.controls[1].service.Members(t.Context())
	require.ErrorIs(t, err, ErrNotLeading)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err = f.controls[0].service.Members(canceled); err != nil {
		require.ErrorIs(t, err, context.Canceled)
	}
	f.controls[0].depose()
	_, err = f.controls[0].service.Members(t.Context())
	require.ErrorIs(t, err, ErrNotLeading)
}
