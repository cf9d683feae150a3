package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
)

// discarded is a Transport that loses all frames.
type discarded struct{}

// WriteFrame implements rpc.Transport.
func (discarded) WriteFrame([]byte) {}

// Close implements rpc.Transport.
func (discarded) Close() {}

// Guards against a process of the core that goes on with a connection which its peer has closed: after a pause it reads the
// connections that the peer has opened meanwhile in any order.
func TestNewestInboundConnectionIsKept(t *testing.T) {
	const address = "127.0.0.2:1"
	l := links{outbound: make(map[string]*rpc.Link), inbound: make(map[string]*rpc.Conn), newest: make(map[string]uint64)}
	accept := func(order uint64) *rpc.Conn { return rpc.AcceptWithTransport(rpc.Options{}, discarded{}, order) }
	first, second, third := accept(1), accept(2), accept(3)
	require.True(t, l.registerInbound(address, first))
	require.True(t, l.registerInbound(address, third))
	require.Error(t, first.Err(), "it was replaced")
	require.False(t, l.registerInbound(address, second))
	require.True(t, l.isOutdated(address, second))
	require.False(t, l.isOutdated(address, third))
	require.Same(t, third, l.inbound[address])

	third.Close()
	delete(l.inbound, address)
	require.True(t, l.isOutdated(address, second), "also once the newest is closed")
	outbound := rpc.NewWithTransport(rpc.Options{}, discarded{})
	require.False(t, l.isOutdated(address, outbound), "a connection that this process has opened")
}
