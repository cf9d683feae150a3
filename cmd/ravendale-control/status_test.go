package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/settings"
	"ravendale/control/api"
	"ravendale/control/core"
	"ravendale/control/leader"
)

func TestAdminAddressOf(t *testing.T) {
	s := &settings.Settings{IP: "10.0.0.1", PortRange: []int{7200, 7210}, ListenAdmin: "10.0.0.1:8046"}
	address, ok := adminAddressOf(s, "10.0.0.2:7200")
	require.True(t, ok)
	require.Equal(t, "10.0.0.2:8046", address)

	address, ok = adminAddressOf(s, "10.0.0.1:7200")
	require.True(t, ok)
	require.Empty(t, address, "this process leads")

	_, ok = adminAddressOf(s, "nowhere")
	require.False(t, ok)
	s.ListenAdmin = ""
	_, ok = adminAddressOf(s, "10.0.0.2:7200")
	require.False(t, ok)
}

func TestAPIError(t *testing.T) {
	require.ErrorIs(t, apiError(leader.ErrNotLeading), core.ErrUnavailable)
	require.NotErrorIs(t, apiError(leader.ErrUndecided), core.ErrUnavailable)
	require.ErrorIs(t, apiError(leader.ErrUnknownNode), api.ErrUnknownNode)
	require.ErrorIs(t, apiError(leader.ErrTooFew), api.ErrTooFew)
	require.NoError(t, apiError(nil))
}
