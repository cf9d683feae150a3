package server

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
	"ravendale/store/queue"
	"ravendale/test/diskfolder"
)

// delivery is a Transport that delivers each frame at once.
type delivery struct{ to *rpc.Conn }

// WriteFrame implements rpc.Transport.
func (d delivery) WriteFrame(frame []byte) { d.to.Deliver(frame) }

// Close implements rpc.Transport.
func (d delivery) Close() {}

// attachWhileClosing is an Attach during whose decoding its connection closes.
type attachWhileClosing struct{ wire.Attach }

var closing *rpc.Conn

// UnmarshalMsg implements msgp.Unmarshaler.
func (m *attachWhileClosing) UnmarshalMsg(b []byte) ([]byte, error) {
	if closing != nil {
		closing.Close()
	}
	return m.Attach.UnmarshalMsg(b)
}

// Guards against an edge that a store takes for connected forever: the end of a connection is handled by a goroutine of its
// own, so it may be handled before the first request there.
func TestFirstRequestOnClosedConnectionIsDropped(t *testing.T) {
	n := startNode(t, diskfolder.New(t), "127.0.0.1:0")
	defer n.stop(t)
	for _, closes := range []bool{false, true} {
		mux, attached := rpc.NewMux(), false
		handleFirstRequest[attachWhileClosing](n.store, mux, wire.MethodAttach,
			func(*queue.Core, queue.Time, queue.Remote, *attachWhileClosing, queue.Replier) { attached = true })
		accepted := rpc.AcceptWithTransport(rpc.Options{Mux: mux}, delivery{rpc.NewWithTransport(rpc.Options{}, delivery{})}, 1)
		if closing = nil; closes {
			closing = accepted
		}
		opened := rpc.NewWithTransport(rpc.Options{}, delivery{accepted})
		opened.Start(wire.MethodAttach, &wire.Attach{Edge: "e"}, func([]byte, error) {})
		assert.Equal(t, !closes, attached)
	}
}
