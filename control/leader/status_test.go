package leader

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/control/status"
)

func TestMembersAreCountedByLeaderOnly(t *testing.T) {
	f := newFleet(t, 2)
	f.lead(f.controls[0])
	edges := f.startEdges(2, 2)
	f.startStores(2)
	f.eventually("all edges are members", all(edges, hasMembers(4)))
	count := func() *status.Members {
		members, err := f.controls[0].service.Members(t.Context())
		require.NoError(t, err)
		return members
	}
	f.eventually("all members are counted, and the edges are ready", func() bool {
		return slices.Equal(count().Edges, []status.ZoneEdges{{Zone: "z0", Ready: 2}, {Zone: "z1", Ready: 2}}) && len(count().Stores) == 2
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
