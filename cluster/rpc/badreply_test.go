package rpc

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

// badReplies are payloads that are not exactly one reply to a lookup.
func badReplies(t *testing.T) map[string]msgp.Marshaler {
	t.Helper()
	valid, err := (&wire.FindReply{Found: true, Body: []byte("b")}).MarshalMsg(nil)
	require.NoError(t, err)
	return map[string]msgp.Marshaler{
		"empty": nil, "text": rawText("HTTP/1.1 200 OK\r\n\r\n"), "truncated": rawText(valid[:len(valid)-1]),
		"with bytes after it": rawText(string(valid) + "x"), "twice": rawText(string(valid) + string(valid)),
		"of another type": &wire.AttachReply{}, "NUL bytes": rawText("\x00\x00\x00\x00"),
	}
}

// A reply that can't be decoded does not say what became of the request, and the connection is closed: what follows on it
// can't be trusted either.
func TestBadReplyClosesConnection(t *testing.T) {
	for name, message := range badReplies(t) {
		t.Run(name, func(t *testing.T) {
			conn, p := newTestPeer(t)
			result, other := make(chan error, 1), make(replies, 1)
			go func() {
				result <- conn.Call(context.Background(), wire.MethodFind, &wire.Find{ID: "x"}, &wire.FindReply{})
			}()
			call := p.nextCall()
			other.startCall(conn)
			p.nextCall()
			p.send(frameReply, call, message)
			require.ErrorIs(t, <-result, ErrBadReply)
			<-conn.Done()
			require.ErrorIs(t, conn.Err(), ErrBadReply)
			assert.Contains(t, <-other, ErrBadReply.Error(), "the other calls end with the connection")
		})
	}
}

func TestUnknownFrameClosesConnection(t *testing.T) {
	conn, p := newTestPeer(t)
	p.send(framePong, 0, nil)
	waiting := make(replies, 1)
	waiting.startCall(conn)
	call := p.nextCall()
	p.send(framePong+1, call, &wire.FindReply{Found: true, Body: []byte("b")})
	assert.Equal(t, ErrUnknownFrame.Error(), <-waiting)
	<-conn.Done()
}

// A reply that is an error is valid: its connection stays open.
func TestErrorReplyKeepsConnection(t *testing.T) {
	conn, p := newTestPeer(t)
	waiting := make(replies, 1)
	waiting.startCall(conn)
	p.send(frameError, p.nextCall(), rawText("no"))
	assert.Equal(t, "rpc: peer answered: no", <-waiting)
	waiting.startCall(conn)
	p.reply(p.nextCall(), "b")
	assert.Equal(t, "b", <-waiting)
}
