package link

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"ravendale/balancer/frames"
)

// The files in testdata/compat were written by version a08c060. They contain the bytes that each side of a link writes,
// with fixed draws instead of random ones. The dialler sends two frames after its greeting, the other side one.
func TestGoldenLinkWritesTheSame(t *testing.T) {
	read := func(name string) []byte {
		t.Helper()
		b, err := os.ReadFile(filepath.Join("testdata", "compat", name))
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	dialler, acceptor := read("dialler.bin"), read("acceptor.bin")
	a, b := &testEnd{}, &testEnd{}
	a.l, b.l = Dial(a, "there", "a", keys, a), Accept(b, "b", keys, b)
	a.l.draw, b.l.draw = [16]byte{1, 2, 3, 4}, [16]byte{200, 201, 202}
	a.l.Connected()
	greeted := len(a.wire)
	b.l.Data(dialler) // the greeting and the two frames after it
	a.l.Data(b.wire)
	b.l.Send(Reply, []byte("an answer"))
	a.l.Send(Message, []byte("a word"))
	a.l.Send(Command, []byte("a command"))
	if !bytes.Equal(a.wire, dialler) || greeted == 0 {
		t.Errorf("the dialler writes\n%q\nnot\n%q", a.wire, dialler)
	}
	if !bytes.Equal(b.wire, acceptor) {
		t.Errorf("the other side writes\n%q\nnot\n%q", b.wire, acceptor)
	}
	if b.l.Peer != "a" || len(b.messages) != 2 || b.messages[0] != "a word" || b.messages[1] != "a command" {
		t.Errorf("received from %q: %q", b.l.Peer, b.messages)
	}
	var c testEnd
	c.l = Dial(&c, "there", "a", keys, &c)
	c.l.draw = a.l.draw
	c.l.Connected()
	c.l.Data(acceptor)
	if c.l.Peer != "b" || len(c.messages) != 1 || c.messages[0] != "an answer" {
		t.Errorf("received from %q: %q", c.l.Peer, c.messages)
	}
}

func TestFrameKindNumbers(t *testing.T) {
	for kind, number := range map[frames.Kind]int{hello: 1, Message: 2, Command: 3, Reply: 4} {
		if int(kind) != number {
			t.Errorf("%d is not %d", kind, number)
		}
	}
}
