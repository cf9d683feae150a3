package rpc

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// directTransport delivers frames to the peer synchronously.
type directTransport struct {
	peer   **Conn
	closed bool
}

func (w *directTransport) WriteFrame(frame []byte) { (*w.peer).Deliver(append([]byte(nil), frame...)) }

func (w *directTransport) Close() { w.closed = true }

func TestConnOverTransport(t *testing.T) {
	mux := NewMux()
	Handle(mux, wire.MethodFetch, func(_ *Conn, fetch *wire.Fetch, reply Reply) { reply.Send(&wire.Update{Topic: fetch.Topic}) })
	var near, far *Conn
	toFar, toNear := &directTransport{peer: &far}, &directTransport{peer: &near}
	near, far = NewWithTransport(Options{}, toFar), NewWithTransport(Options{Mux: mux}, toNear)

	var update wire.Update
	near.Start(wire.MethodFetch, &wire.Fetch{Topic: wire.TopicStores}, func(payload []byte, err error) {
		require.NoError(t, err)
		_, err = update.UnmarshalMsg(payload)
		require.NoError(t, err)
	})
	require.Equal(t, wire.TopicStores, update.Topic)
	require.Empty(t, near.RemoteAddress())

	failure := errors.New("ended")
	near.Fail(failure)
	require.True(t, toFar.closed)
	near.Start(wire.MethodFetch, &wire.Fetch{}, func(_ []byte, err error) { require.ErrorIs(t, err, failure) })
}
