package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func newConnPair(t *testing.T, server, client *Mux) (*Conn, chan *Conn) {
	t.Helper()
	accepted := make(chan *Conn, 1)
	s, err := Listen("127.0.0.1:0", Options{Mux: server}, func(c *Conn) { accepted <- c })
	require.NoError(t, err)
	t.Cleanup(s.Close)
	c, err := Dial(context.Background(), s.Address(), Options{Mux: client})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c, accepted
}

func TestCallsInBothDirections(t *testing.T) {
	server, client := NewMux(), NewMux()
	Handle(server, wire.MethodFind, func(_ *Conn, find *wire.Find, reply Reply) {
		reply.Send(&wire.FindReply{Found: true, Body: []byte(find.ID)})
	})
	granted := make(chan string, 1)
	Handle(client, wire.MethodGrant, func(_ *Conn, grant *wire.Grant, _ Reply) { granted <- grant.ID })
	conn, accepted := newConnPair(t, server, client)

	var reply wire.FindReply
	require.NoError(t, conn.Call(context.Background(), wire.MethodFind, &wire.Find{ID: "x"}, &reply))
	require.Equal(t, "x", string(reply.Body))

	require.NoError(t, (<-accepted).Notify(wire.MethodGrant, &wire.Grant{ID: "y"}))
	require.Equal(t, "y", <-granted)
}

func TestUnknownMethodAndInvalidMessage(t *testing.T) {
	server := NewMux()
	Handle(server, wire.MethodFind, func(_ *Conn, _ *wire.Find, reply Reply) { reply.Send(&wire.FindReply{}) })
	conn, _ := newConnPair(t, server, nil)
	var remote *RemoteError
	err := conn.Call(context.Background(), wire.MethodPut, &wire.Put{}, nil)
	require.ErrorAs(t, err, &remote)
	err = conn.Call(context.Background(), wire.MethodFind, rawText("\xc1"), nil)
	require.ErrorAs(t, err, &remote)
	require.NoError(t, conn.Call(context.Background(), wire.MethodFind, &wire.Find{}, nil), "the connection stays open")
}

func TestCallsFailWhenConnectionCloses(t *testing.T) {
	server := NewMux()
	Handle(server, wire.MethodFind, func(c *Conn, _ *wire.Find, _ Reply) { c.Close() })
	conn, _ := newConnPair(t, server, nil)
	require.Error(t, conn.Call(context.Background(), wire.MethodFind, &wire.Find{}, nil))
	<-conn.Done()
	require.Error(t, conn.Err())
	require.Error(t, conn.Notify(wire.MethodGrant, &wire.Grant{}))
}

func TestCancelCall(t *testing.T) {
	server := NewMux()
	received := make(chan struct{})
	Handle(server, wire.MethodFind, func(*Conn, *wire.Find, Reply) { close(received) })
	conn, _ := newConnPair(t, server, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-received; cancel() }()
	require.ErrorIs(t, conn.Call(ctx, wire.MethodFind, &wire.Find{}, nil), context.Canceled)
}

func TestUnresponsivePeerTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := Dial(context.Background(), listener.Addr().String(), Options{PingAfter: 5 * time.Millisecond, FailureTimeout: 20 * time.Millisecond})
	require.NoError(t, err)
	<-conn.Done()
	require.ErrorIs(t, conn.Err(), ErrUnresponsive)
}

func TestTooLongFrameClosesConnection(t *testing.T) {
	accepted := make(chan *Conn, 1)
	s, err := Listen("127.0.0.1:0", Options{}, func(c *Conn) { accepted <- c })
	require.NoError(t, err)
	defer s.Close()
	raw, err := net.Dial("tcp4", s.Address())
	require.NoError(t, err)
	defer func() { _ = raw.Close() }()
	_, err = raw.Write([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 0, 0})
	require.NoError(t, err)
	conn := <-accepted
	<-conn.Done()
	require.ErrorIs(t, conn.Err(), ErrFrameTooLong)
}

func TestLinkReconnects(t *testing.T) {
	accepted := make(chan *Conn, 4)
	s, err := Listen("127.0.0.1:0", Options{}, func(c *Conn) { accepted <- c })
	require.NoError(t, err)
	defer s.Close()
	up := make(chan *Conn, 4)
	link := NewLink(s.Address(), Options{}, func(c *Conn) { up <- c }, nil)
	defer link.Close()
	first := <-up
	(<-accepted).Close()
	second := <-up
	require.NotSame(t, first, second)
}

func TestReconnectNowCancelsHangingConnect(t *testing.T) {
	s, err := Listen("127.0.0.1:0", Options{}, nil)
	require.NoError(t, err)
	defer s.Close()
	failed := make(chan error, 64)
	up := make(chan *Conn, 1)
	link := &Link{address: s.Address(), options: Options{}.withDefaults(), onUp: func(c *Conn) { up <- c }, reconnect: make(chan struct{}, 1)}
	link.onDown = func(err error) { failed <- err }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dialing, cancelDial := context.WithCancel(ctx)
	link.cancelDial = cancelDial // simulates a connect in progress
	link.ReconnectNow()
	require.ErrorIs(t, dialing.Err(), context.Canceled)
	require.Len(t, link.reconnect, 1)

	go link.run(ctx)
	<-up
	link.ReconnectNow() // no effect while connected
	require.Empty(t, link.reconnect)
	require.Empty(t, failed)
}

// The user of a link that is closed during a connect may have opened another one to the same peer, on which it is to send.
func TestLinkClosedDuringConnectSendsNothing(t *testing.T) {
	accepted := make(chan *Conn, 1)
	s, err := Listen("127.0.0.1:0", Options{}, func(c *Conn) { accepted <- c })
	require.NoError(t, err)
	defer s.Close()
	dialing, closed := make(chan struct{}), make(chan struct{})
	options := Options{DialContext: func(_ context.Context, address string) (net.Conn, error) {
		close(dialing)
		<-closed
		return net.Dial("tcp4", address)
	}}
	link := NewLink(s.Address(), options, func(*Conn) { t.Error("the connection is up") }, nil)
	<-dialing
	link.Close()
	close(closed)
	<-(<-accepted).Done()
}

func TestAcceptOrderFollowsConnects(t *testing.T) {
	accepted := make(chan *Conn, 2)
	server, err := Listen("127.0.0.1:0", Options{}, func(c *Conn) { accepted <- c })
	require.NoError(t, err)
	defer server.Close()
	var orders []uint64
	for range 2 {
		conn, err := Dial(t.Context(), server.Address(), Options{})
		require.NoError(t, err)
		defer conn.Close()
		require.Zero(t, conn.AcceptOrder())
		orders = append(orders, (<-accepted).AcceptOrder())
	}
	require.Positive(t, orders[0])
	require.Less(t, orders[0], orders[1])
}
