package rpc

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// frameLog is a Transport that records the frames that a connection sends.
type frameLog struct{ sent [][]byte }

func (f *frameLog) WriteFrame(frame []byte) { f.sent = append(f.sent, append([]byte(nil), frame...)) }
func (f *frameLog) Close()                  {}

func goldenFrame(t *testing.T, name string) []byte {
	t.Helper()
	frame, err := os.ReadFile(filepath.Join("testdata", "compat", name+".frame"))
	require.NoError(t, err)
	return frame
}

// TestFrameEncodingCompatibility compares each kind of frame with bytes written by the previous version, in both
// directions.
func TestFrameEncodingCompatibility(t *testing.T) {
	var received []wire.Fetch
	mux := NewMux()
	Handle(mux, wire.MethodFetch, func(_ *Conn, message *wire.Fetch, reply Reply) {
		received = append(received, *message)
		reply.Send(&wire.SubscribeReply{Accepted: true})
	})
	written := &frameLog{}
	conn := NewWithTransport(Options{Mux: mux}, written)
	fetch := wire.Fetch{Topic: wire.TopicStores, Have: wire.Version{Term: 5, Sequence: 6}}

	var answer []byte
	var failure error
	conn.Start(wire.MethodFetch, &fetch, func(payload []byte, err error) { answer = append([]byte(nil), payload...) })
	conn.Start(wire.MethodRenew, nil, func(_ []byte, err error) { failure = err })
	require.NoError(t, conn.Notify(wire.MethodFetch, &fetch))
	require.NoError(t, conn.enqueue(framePing, 0, 0, nil))
	conn.Deliver(goldenFrame(t, "request"))
	conn.Deliver(goldenFrame(t, "notice"))
	conn.Deliver(goldenFrame(t, "ping"))
	conn.Deliver(goldenFrame(t, "pong"))
	conn.Deliver(goldenFrame(t, "reply"))
	conn.Deliver(goldenFrame(t, "error"))
	conn.Deliver(goldenFrame(t, "unknown-request"))

	require.Equal(t, []wire.Fetch{fetch, fetch}, received)
	var reply wire.SubscribeReply
	_, err := reply.UnmarshalMsg(answer)
	require.NoError(t, err)
	require.True(t, reply.Accepted)
	var remote *RemoteError
	require.True(t, errors.As(failure, &remote))
	require.Equal(t, "no lease", remote.Text)

	require.Len(t, written.sent, 7)
	for i, name := range []string{"request", "empty-request", "notice", "ping", "reply", "pong", "unknown-reply"} {
		require.Equal(t, goldenFrame(t, name), written.sent[i], name)
	}
}

func TestErrorFrameCompatibility(t *testing.T) {
	written := &frameLog{}
	conn := NewWithTransport(Options{}, written)
	Reply{conn: conn, method: wire.MethodRenew, call: 2, expected: true}.Fail(errors.New("no lease"))
	require.Equal(t, [][]byte{goldenFrame(t, "error")}, written.sent)
}
