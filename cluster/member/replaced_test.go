package member

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/rpc/rpctest"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
)

// Guards against a working control process that is left: the end of a connection may be handled after the agent has
// connected to the same control process again.
func TestFailureOnReplacedConnectionIsIgnored(t *testing.T) {
	const target = "127.0.0.1:1"
	a := New(Config{
		Settings: &settings.Settings{HeartbeatMs: 100, PortRange: []int{1, 3}, Seeds: []string{target}}, Self: wire.Member{ID: "me"}, Mux: rpc.NewMux(),
	})
	replaced, current := rpctest.Opened(), rpctest.Opened()
	a.session.target, a.conn = target, current
	require.True(t, a.session.tick(a.now(), true))
	a.replied(replaced, target, a.now(), false, nil, rpc.ErrClosed)
	require.True(t, a.session.renewing)
	require.Zero(t, a.session.failures[target])
	a.replied(current, target, a.now(), false, nil, rpc.ErrClosed)
	require.False(t, a.session.renewing)
}
