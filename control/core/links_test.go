package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/rpc/rpctest"
)

// Guards against a process of the core that goes on with a connection which its peer has closed: after a pause it reads the
// connections that the peer has opened meanwhile in any order.
func TestNewestInboundConnectionIsKept(t *testing.T) {
	const address = "127.0.0.2:1"
	l := links{outbound: make(map[string]*rpc.Link), inbound: make(map[string]*rpc.Conn), newest: make(map[string]uint64)}
	first, second, third := rpctest.Accepted(1), rpctest.Accepted(2), rpctest.Accepted(3)
	require.True(t, l.registerInbound(address, first))
	require.True(t, l.registerInbound(address, third))
	require.Error(t, first.Err(), "it was replaced")
	require.False(t, l.registerInbound(address, second))
	require.True(t, l.isOutdated(address, second))
	require.False(t, l.isOutdated(address, third))
	require.True(t, l.registerInbound(address, third), "its process tells more of itself")
	require.NoError(t, third.Err())
	require.Same(t, third, l.inbound[address])

	third.Close()
	delete(l.inbound, address)
	require.True(t, l.isOutdated(address, second), "also once the newest is closed")
	outbound := rpctest.Opened()
	require.False(t, l.isOutdated(address, outbound), "a connection that this process has opened")
}
