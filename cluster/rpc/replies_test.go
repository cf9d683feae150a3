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

// peer is the other end of a connection, played frame by frame.
type peer struct {
	t      *testing.T
	socket net.Conn
	reader *bufio.Reader
}

// played returns a connection to a played peer.
func played(t *testing.T) (*Conn, *peer) {
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

// called returns the number of the next call; pings are passed over.
func (p *peer) called() uint32 {
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

// heard is what calls were answered, as bodies.
type heard chan string

// ask begins a call whose reply goes to the one who hears.
func (h heard) ask(conn *Conn) {
	conn.Start(wire.MethodFind, &wire.Find{ID: "x"}, func(payload []byte, err error) {
		reply := &wire.FindReply{}
		if err == nil {
			_, err = reply.UnmarshalMsg(payload)
		}
		if err != nil {
			h <- err.Error()
			return
		}
		h <- string(reply.Body)
	})
}

func TestRepliesComeInAnyOrder(t *testing.T) {
	conn, p := played(t)
	first, second := make(heard, 2), make(heard, 2)
	first.ask(conn)
	one := p.called()
	second.ask(conn)
	two := p.called()
	p.reply(two, "second")
	p.reply(one, "first")
	assert.Equal(t, "second", <-second)
	assert.Equal(t, "first", <-first)
}

// lateReply has the reply to a call that was given up come while another call waits, and returns what that other hears first.
func lateReply(t *testing.T, conn *Conn, p *peer) string {
	ctx, cancel := context.WithCancel(context.Background())
	given := make(chan error, 1)
	go func() { given <- conn.Call(ctx, wire.MethodFind, &wire.Find{ID: "x"}, &wire.FindReply{}) }()
	late := p.called()
	cancel()
	require.ErrorIs(t, <-given, context.Canceled)

	waits := make(heard, 2)
	waits.ask(conn)
	call := p.called()
	require.NotEqual(t, late, call)
	p.reply(late, "late")
	p.send(frameError, late, rawText("late error"))
	p.reply(call+1000, "of no call")
	p.reply(0, "of none")
	p.reply(call, "own")
	p.reply(call, "again")
	return <-waits
}

func TestReplyToACallThatWasGivenUpIsNobodys(t *testing.T) {
	conn, p := played(t)
	require.Equal(t, "own", lateReply(t, conn, p))
	next := make(heard, 2)
	next.ask(conn)
	p.reply(p.called(), "next")
	assert.Equal(t, "next", <-next, "nor does a reply count twice")
}

func TestMutantThatMatchesRepliesByConnectionIsCaught(t *testing.T) {
	conn, p := played(t)
	conn.calls.anyNumber = true
	assert.Equal(t, "late", lateReply(t, conn, p))
}

// Numbers begin anew with each connection: a reply by way of the old one is not taken for that to the call that has the number now.
func TestReplyOnAConnectionThatWasReplacedIsNobodys(t *testing.T) {
	kept := make(chan Reply, 2)
	server := NewMux()
	Handle(server, wire.MethodFind, func(_ *Conn, _ *wire.Find, reply Reply) { kept <- reply })
	s, err := Listen("127.0.0.1:0", Options{Mux: server}, nil)
	require.NoError(t, err)
	defer s.Close()
	up := make(chan *Conn, 2)
	link := NewLink(s.Address(), Options{}, func(c *Conn) { up <- c }, nil)
	defer link.Close()

	old := <-up
	first := make(heard, 1)
	first.ask(old)
	oldReply := <-kept
	old.Close()
	require.Equal(t, ErrClosed.Error(), <-first, "the end of its connection ends a call, once")

	second := make(heard, 2)
	second.ask(<-up)
	newReply := <-kept
	require.Equal(t, oldReply.call, newReply.call, "the same number")
	oldReply.Send(&wire.FindReply{Body: []byte("old")})
	oldReply.Fail(ErrMethod)
	newReply.Send(&wire.FindReply{Body: []byte("new")})
	assert.Equal(t, "new", <-second)
	assert.Empty(t, first)
}

func TestNumbersOfCallsThatWaitAreNotGivenAgain(t *testing.T) {
	p := pending{last: math.MaxUint32 - 2}
	done := func([]byte, error) {}
	assert.EqualValues(t, math.MaxUint32-1, p.add(done))
	assert.EqualValues(t, math.MaxUint32, p.add(done))
	assert.EqualValues(t, 1, p.add(done), "0 is no number")
	p.last = math.MaxUint32 - 2
	assert.EqualValues(t, 2, p.add(done))
	assert.NotNil(t, p.take(1))
	assert.Nil(t, p.take(1))
	assert.Len(t, p.takeAll(), 3)
	assert.Nil(t, p.take(2))
}
