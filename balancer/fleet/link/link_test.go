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

// end is one end of a wire: what is written waits until the test brings it over.
type end struct {
	l        *Link
	wire     []byte // written, not brought yet
	closed   bool
	stuck    int // bytes that it says are unwritten
	up       int
	messages []string
	down     error
	dialled  transport.Handler
}

func (e *end) Write(b []byte)                                    { e.wire = append(e.wire, b...) }
func (e *end) Ignore()                                           {}
func (e *end) Finish()                                           {}
func (e *end) Close()                                            { e.closed = true }
func (e *end) Unwritten() int                                    { return e.stuck }
func (e *end) Peer() string                                      { return "" }
func (e *end) Dial(_ string, h transport.Handler) transport.Conn { e.dialled = h; return e }
func (e *end) Up(*Link)                                          { e.up++ }
func (e *end) Heard(_ *Link, _ frames.Kind, content []byte) {
	e.messages = append(e.messages, string(content))
}
func (e *end) Down(_ *Link, err error) { e.down = err }

// pair is two ends, a's dialled, and their greetings exchanged.
func pair(aKeys, bKeys frames.Keys) (a, b *end) {
	a, b = &end{}, &end{}
	a.l = Dial(a, "there", "a", aKeys, a)
	b.l = Accept(b, "b", bKeys, b)
	a.l.Connected()
	bring(a, b)
	bring(b, a)
	return a, b
}

func bring(from, to *end) {
	wire := from.wire
	from.wire = nil
	to.l.Data(wire)
}

func TestMessagesGoBothWays(t *testing.T) {
	a, b := pair(keys, keys)
	a.l.Send(Message, []byte("to b"))
	b.l.Send(Reply, []byte("to a"))
	bring(a, b)
	bring(b, a)
	if diff := cmp.Diff([]string{"to a"}, a.messages) + cmp.Diff([]string{"to b"}, b.messages) + cmp.Diff("b", a.l.Peer) + cmp.Diff("a", b.l.Peer); diff != "" {
		t.Error(diff)
	}
}

func TestWhatEndsALink(t *testing.T) {
	other := frames.Keys{{ID: 1, Secret: bytes.Repeat([]byte{2}, 16)}}
	for name, tc := range map[string]struct {
		do   func() *end
		want error
	}{
		"another key": {func() *end { _, b := pair(other, keys); return b }, frames.ErrMAC},
		"a key that is not known": {func() *end {
			_, b := pair(frames.Keys{{ID: 9, Secret: keys[0].Secret}}, keys)
			return b
		}, frames.ErrKey},
		"another protocol": {func() *end {
			_, b := pair(keys, keys)
			b.l.Data([]byte("GET / HTTP/1.1\r\n\r\n"))
			return b
		}, frames.ErrForeign},
		"a word before the greeting": {func() *end {
			b := &end{}
			b.l = Accept(b, "b", keys, b)
			w := frames.Writer{Keys: keys}
			text, _ := w.Append(nil, Message, []byte("x"))
			b.l.Data(text)
			return b
		}, frames.ErrContent},
		"the greeting of another link, recorded, and a word behind it": {func() *end {
			a := &end{}
			a.l = Dial(a, "there", "a", keys, a)
			a.l.Connected()
			recorded := bytes.Clone(a.wire)
			b1, b2 := &end{}, &end{}
			b1.l, b2.l = Accept(b1, "b", keys, b1), Accept(b2, "b", keys, b2)
			bring(a, b1)
			bring(b1, a)
			a.l.Send(Message, []byte("x"))
			b2.l.Data(recorded)
			b2.l.Data(a.wire)
			return b2
		}, frames.ErrReplayed},
		"its own greeting sent back": {func() *end {
			a := &end{}
			a.l = Dial(a, "there", "a", keys, a)
			a.l.Connected()
			a.l.Data(a.wire)
			return a
		}, frames.ErrReplayed},
		"a frame twice": {func() *end {
			a, b := pair(keys, keys)
			a.l.Send(Message, []byte("x"))
			a.wire = append(a.wire, a.wire...)
			bring(a, b)
			return b
		}, frames.ErrReplayed},
		"a bit flipped": {func() *end {
			a, b := pair(keys, keys)
			a.l.Send(Message, []byte("word"))
			a.wire[len(a.wire)-1] ^= 1
			bring(a, b)
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

// A peer that does not read costs a bounded buffer, not the process.
func TestAPeerThatDoesNotReadIsNotWaitedFor(t *testing.T) {
	a, _ := pair(keys, keys)
	a.stuck = maxUnwritten + 1
	if a.l.Send(Message, []byte("x")) || a.l.Dropped != 1 || a.closed {
		t.Errorf("dropped %d, ended %v", a.l.Dropped, a.closed)
	}
}

// Foreign bytes end a link or are waited on; they never come up as words.
func FuzzLink(f *testing.F) {
	a := &end{}
	a.l = Dial(a, "there", "a", keys, a)
	a.l.Connected()
	f.Add(a.wire)
	f.Add([]byte("RVKN"))
	f.Fuzz(func(t *testing.T, b []byte) {
		e := &end{}
		e.l = Accept(e, "b", frames.Keys{{ID: 7, Secret: bytes.Repeat([]byte{3}, 16)}}, e)
		e.l.Data(b)
		if e.up > 0 || len(e.messages) > 0 {
			t.Errorf("up %d, heard %q", e.up, e.messages)
		}
	})
}
