package link

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ravendale/balancer/frames"
	"ravendale/balancer/transport"
)

var keys = frames.Keys{{ID: 1, Secret: bytes.Repeat([]byte{1}, 16)}}

// testEnd is one end of a connection in memory: written bytes wait until the test delivers them.
type testEnd struct {
	l         *Link
	wire      []byte // written, not delivered yet
	closed    bool
	unwritten int // result of Unwritten
	up        int
	messages  []string
	down      error
	dialled   transport.Handler
}

func (e *testEnd) Write(b []byte)                                    { e.wire = append(e.wire, b...) }
func (e *testEnd) Ignore()                                           {}
func (e *testEnd) Finish()                                           {}
func (e *testEnd) Close()                                            { e.closed = true }
func (e *testEnd) Unwritten() int                                    { return e.unwritten }
func (e *testEnd) Peer() string                                      { return "" }
func (e *testEnd) Dial(_ string, h transport.Handler) transport.Conn { e.dialled = h; return e }
func (e *testEnd) Up(*Link)                                          { e.up++ }
func (e *testEnd) Received(_ *Link, _ frames.Kind, content []byte) {
	e.messages = append(e.messages, string(content))
}
func (e *testEnd) Down(_ *Link, err error) { e.down = err }

// connectedPair returns two ends that have exchanged greetings; a dialled.
func connectedPair(aKeys, bKeys frames.Keys) (a, b *testEnd) {
	a, b = &testEnd{}, &testEnd{}
	a.l = Dial(a, "there", "a", aKeys, a)
	b.l = Accept(b, "b", bKeys, b)
	a.l.Connected()
	deliver(a, b)
	deliver(b, a)
	return a, b
}

func deliver(from, to *testEnd) {
	wire := from.wire
	from.wire = nil
	to.l.Data(wire)
}

func TestMessagesInBothDirections(t *testing.T) {
	a, b := connectedPair(keys, keys)
	a.l.Send(Message, []byte("to b"))
	b.l.Send(Reply, []byte("to a"))
	deliver(a, b)
	deliver(b, a)
	if diff := cmp.Diff([]string{"to a"}, a.messages) + cmp.Diff([]string{"to b"}, b.messages) + cmp.Diff("b", a.l.Peer) + cmp.Diff("a", b.l.Peer); diff != "" {
		t.Error(diff)
	}
}

func TestInvalidFramesEndLink(t *testing.T) {
	other := frames.Keys{{ID: 1, Secret: bytes.Repeat([]byte{2}, 16)}}
	for name, tc := range map[string]struct {
		do   func() *testEnd
		want error
	}{
		"another key": {func() *testEnd { _, b := connectedPair(other, keys); return b }, frames.ErrMAC},
		"unknown key": {func() *testEnd {
			_, b := connectedPair(frames.Keys{{ID: 9, Secret: keys[0].Secret}}, keys)
			return b
		}, frames.ErrKey},
		"another protocol": {func() *testEnd {
			_, b := connectedPair(keys, keys)
			b.l.Data([]byte("GET / HTTP/1.1\r\n\r\n"))
			return b
		}, frames.ErrForeign},
		"a message before the greeting": {func() *testEnd {
			b := &testEnd{}
			b.l = Accept(b, "b", keys, b)
			w := frames.Writer{Keys: keys}
			text, _ := w.Append(nil, Message, []byte("x"))
			b.l.Data(text)
			return b
		}, frames.ErrContent},
		"a greeting and a message recorded on another link": {func() *testEnd {
			a := &testEnd{}
			a.l = Dial(a, "there", "a", keys, a)
			a.l.Connected()
			recorded := bytes.Clone(a.wire)
			b1, b2 := &testEnd{}, &testEnd{}
			b1.l, b2.l = Accept(b1, "b", keys, b1), Accept(b2, "b", keys, b2)
			deliver(a, b1)
			deliver(b1, a)
			a.l.Send(Message, []byte("x"))
			b2.l.Data(recorded)
			b2.l.Data(a.wire)
			return b2
		}, frames.ErrReplayed},
		"its own greeting returned": {func() *testEnd {
			a := &testEnd{}
			a.l = Dial(a, "there", "a", keys, a)
			a.l.Connected()
			a.l.Data(a.wire)
			return a
		}, frames.ErrReplayed},
		"a repeated frame": {func() *testEnd {
			a, b := connectedPair(keys, keys)
			a.l.Send(Message, []byte("x"))
			a.wire = append(a.wire, a.wire...)
			deliver(a, b)
			return b
		}, frames.ErrReplayed},
		"a flipped bit": {func() *testEnd {
			a, b := connectedPair(keys, keys)
			a.l.Send(Message, []byte("word"))
			a.wire[len(a.wire)-1] ^= 1
			deliver(a, b)
			return b
		}, frames.ErrMAC},
	} {
		t.Run(name, func(t *testing.T) {
			if e := tc.do(); !errors.Is(e.down, tc.want) || !e.closed {
				t.Errorf("%v, not %v; ended %v", e.down, tc.want, e.closed)
			}
		})
	}
}

// Messages to a peer that does not read are dropped once maxUnwritten is exceeded, so that it can't exhaust memory.
func TestSlowPeerDropsMessages(t *testing.T) {
	a, _ := connectedPair(keys, keys)
	a.unwritten = maxUnwritten + 1
	if a.l.Send(Message, []byte("x")) || a.l.Dropped != 1 || a.closed {
		t.Errorf("dropped %d, ended %v", a.l.Dropped, a.closed)
	}
}

// Bytes of a sender without the key never reach the handler as messages.
func FuzzLink(f *testing.F) {
	a := &testEnd{}
	a.l = Dial(a, "there", "a", keys, a)
	a.l.Connected()
	f.Add(a.wire)
	f.Add([]byte("RVKN"))
	f.Fuzz(func(t *testing.T, b []byte) {
		e := &testEnd{}
		e.l = Accept(e, "b", frames.Keys{{ID: 7, Secret: bytes.Repeat([]byte{3}, 16)}}, e)
		e.l.Data(b)
		if e.up > 0 || len(e.messages) > 0 {
			t.Errorf("up %d, received %q", e.up, e.messages)
		}
	})
}
