package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"math"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

// peer is the other end of a connection, which the test controls frame by frame.
type peer struct {
	t      *testing.T
	socket net.Conn
	reader *bufio.Reader
}

// newTestPeer returns a connection and the peer at its other end.
func newTestPeer(t *testing.T) (*Conn, *peer) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := Dial(context.Background(), listener.Addr().String(), Options{})
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	socket, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return conn, &peer{t: t, socket: socket, reader: bufio.NewReader(socket)}
}

// nextCall returns the number of the next call; it skips pings.
func (p *peer) nextCall() uint32 {
	for {
		header := make([]byte, headerSize)
		_, err := io.ReadFull(p.reader, header)
		require.NoError(p.t, err)
		size := int(binary.BigEndian.Uint32(header)) - (headerSize - 4)
		_, err = p.reader.Discard(size)
		require.NoError(p.t, err)
		if frameKind(header[4]) == frameRequest {
			return binary.BigEndian.Uint32(header[7:])
		}
	}
}

func (p *peer) send(kind frameKind, call uint32, message msgp.Marshaler) {
	frame, err := appendFrame(nil, kind, wire.MethodFind, call, message)
	require.NoError(p.t, err)
	_, err = p.socket.Write(frame)
	require.NoError(p.t, err)
}

func (p *peer) reply(call uint32, body string) {
	p.send(frameReply, call, &wire.FindReply{Found: true, Body: []byte(body)})
}

// replies receives the bodies of replies, or the texts of errors.
type replies chan string

// startCall starts a call whose reply goes to the channel.
func (h replies) startCall(conn *Conn) {
	reply := &wire.FindReply{}
	conn.StartCall(wire.MethodFind, &wire.Find{ID: "x"}, reply, func(err error) {
		if err != nil {
			h <- err.Error()
			return
		}
		h <- string(reply.Body)
	})
}

func TestRepliesOutOfOrder(t *testing.T) {
	conn, p := newTestPeer(t)
	first, second := make(replies, 2), make(replies, 2)
	first.startCall(conn)
	one := p.nextCall()
	second.startCall(conn)
	two := p.nextCall()
	p.reply(two, "second")
	p.reply(one, "first")
	assert.Equal(t, "second", <-second)
	assert.Equal(t, "first", <-first)
}

// lateReply sends the reply to a cancelled call, and other stray replies, while a second call waits. It returns the
// second call's first reply.
func lateReply(t *testing.T, conn *Conn, p *peer) string {
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan error, 1)
	go func() { cancelled <- conn.Call(ctx, wire.MethodFind, &wire.Find{ID: "x"}, &wire.FindReply{}) }()
	late := p.nextCall()
	cancel()
	require.ErrorIs(t, <-cancelled, context.Canceled)

	waiting := make(replies, 2)
	waiting.startCall(conn)
	call := p.nextCall()
	require.NotEqual(t, late, call)
	p.reply(late, "late")
	p.send(frameError, late, rawText("late error"))
	p.reply(call+1000, "of no call")
	p.reply(0, "of none")
	p.reply(call, "own")
	p.reply(call, "again")
	return <-waiting
}

func TestReplyToCancelledCallIsDropped(t *testing.T) {
	conn, p := newTestPeer(t)
	require.Equal(t, "own", lateReply(t, conn, p))
	next := make(replies, 2)
	next.startCall(conn)
	p.reply(p.nextCall(), "next")
	assert.Equal(t, "next", <-next, "a duplicate reply is dropped, too")
}

func TestMutantMatchingRepliesByConnectionIsDetected(t *testing.T) {
	conn, p := newTestPeer(t)
	conn.calls.ignoreCallNumbers = true
	assert.Equal(t, "late", lateReply(t, conn, p))
}

// Call numbers restart with each connection: a reply on the old connection must not be taken for the reply to the call
// with the same number on the new one.
func TestReplyOnReplacedConnectionIsDropped(t *testing.T) {
	received := make(chan Reply, 2)
	server := NewMux()
	Handle(server, wire.MethodFind, func(_ *Conn, _ *wire.Find, reply Reply) { received <- reply })
	s, err := Listen("127.0.0.1:0", Options{Mux: server}, nil)
	require.NoError(t, err)
	defer s.Close()
	up := make(chan *Conn, 2)
	link := NewLink(s.Address(), Options{}, func(c *Conn) { up <- c }, nil)
	defer link.Close()

	old := <-up
	first := make(replies, 1)
	first.startCall(old)
	oldReply := <-received
	old.Close()
	require.Equal(t, ErrClosed.Error(), <-first, "closing the connection ends the call, once")

	second := make(replies, 2)
	second.startCall(<-up)
	newReply := <-received
	require.Equal(t, oldReply.call, newReply.call, "both calls have the same number")
	oldReply.Send(&wire.FindReply{Body: []byte("old")})
	oldReply.Fail(ErrUnknownMethod)
	newReply.Send(&wire.FindReply{Body: []byte("new")})
	assert.Equal(t, "new", <-second)
	assert.Empty(t, first)
}

func TestPendingCallNumbersAreNotReused(t *testing.T) {
	p := pending{last: math.MaxUint32 - 2}
	done := func([]byte, error) {}
	assert.EqualValues(t, math.MaxUint32-1, p.add(done))
	assert.EqualValues(t, math.MaxUint32, p.add(done))
	assert.EqualValues(t, 1, p.add(done), "0 is not used as a number")
	p.last = math.MaxUint32 - 2
	assert.EqualValues(t, 2, p.add(done))
	assert.NotNil(t, p.take(1))
	assert.Nil(t, p.take(1))
	assert.Len(t, p.takeAll(), 3)
	assert.Nil(t, p.take(2))
}
