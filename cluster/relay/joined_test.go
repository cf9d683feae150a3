package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/rpc/rpctest"
)

// fixedLink is a host.Link with the given connection.
type fixedLink struct {
	address string
	conn    *rpc.Conn
}

// Address implements host.Link.
func (l fixedLink) Address() string { return l.address }

// Conn implements host.Link.
func (l fixedLink) Conn() *rpc.Conn { return l.conn }

// ReconnectNow implements host.Link.
func (fixedLink) ReconnectNow() {}

// Close implements host.Link.
func (fixedLink) Close() {}

// Guards against a parent that is left although it serves: the failed subscription on a connection that was closed may be
// handled after the node has connected to the same parent again.
func TestAnswerOnReplacedConnectionChangesNothing(t *testing.T) {
	const parent = "127.0.0.1:1"
	n := NewNode(NodeConfig{Self: "self"})
	n.uplink.SetParents(0, []string{parent, "127.0.0.1:2"})
	replaced, current := rpctest.Opened(), rpctest.Opened()
	n.link = fixedLink{parent, current}
	n.joined(current, parent, true)
	require.True(t, n.uplink.Joined())
	n.joined(replaced, parent, false)
	require.Equal(t, parent, n.uplink.Target())
	require.True(t, n.uplink.Joined())
	require.NoError(t, current.Err())

	n.joined(current, parent, false)
	require.Equal(t, "127.0.0.1:2", n.uplink.Target())
	require.Error(t, current.Err())
}
