package link

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"

	"ravendale/balancer/frames"
	"ravendale/balancer/transport"
)

// Kinds of frames after the first one of each side.
const (
	hello   frames.Kind = iota + 1
	Message             // of a member to another
	Command             // of a tool to a member
	Reply
)

// maxUnwritten bounds what waits to be written to a peer that does not read, in bytes: messages beyond that are dropped.
const maxUnwritten = 1 << 20

// purpose names what the frames are of, so that none of learning's is taken here.
const purpose = "fleet"

// greeting is what each side says first.
type greeting struct {
	From string   `json:"from"`
	Draw [16]byte `json:"draw"`
}

// Handler hears of a link.
type Handler interface {
	Up(l *Link)                                      // both sides have proved that they have the key
	Heard(l *Link, kind frames.Kind, content []byte) // Word, Command or Reply
	Down(l *Link, err error)                         // it has ended, or was never made; not after Close
}

// Link is one end. It implements transport.Handler.
type Link struct {
	Peer    string // as it calls itself; "" until Up
	Dialled bool
	Dropped int // messages, for want of buffer

	me     string
	net    transport.Conn
	keys   frames.Keys
	h      Handler
	draw   [16]byte
	writer frames.Writer
	reader frames.Reader
	up     bool
	closed bool
}

// Accept serves a connection that another side made.
func Accept(c transport.Conn, me string, keys frames.Keys, h Handler) *Link {
	l := &Link{me: me, net: c, keys: keys, h: h, reader: frames.Reader{Keys: keys}, writer: frames.Writer{Keys: keys}}
	_, _ = rand.Read(l.draw[:]) // never fails: crypto/rand
	return l
}

// Dial makes a connection.
func Dial(n transport.Network, addr, me string, keys frames.Keys, h Handler) *Link {
	l := Accept(nil, me, keys, h)
	l.Dialled = true
	l.net = n.Dial(addr, l)
	return l
}

func (l *Link) greet() {
	text, err := json.Marshal(greeting{l.me, l.draw})
	if err == nil {
		err = l.write(hello, text)
	}
	if err != nil {
		l.fail(err)
	}
}

func (l *Link) write(kind frames.Kind, content []byte) error {
	b, err := l.writer.Append(nil, kind, content)
	if err == nil {
		l.net.Write(b)
	}
	return err
}

// Send sends a frame. It says whether that was possible: the link is up, and its peer reads.
func (l *Link) Send(kind frames.Kind, content []byte) bool {
	if !l.up || l.closed {
		return false
	}
	if l.net.Unwritten() > maxUnwritten {
		l.Dropped++
		return false
	}
	if err := l.write(kind, content); err != nil {
		l.fail(err)
		return false
	}
	return true
}

// Connected implements transport.Handler.
func (l *Link) Connected() { l.greet() }

// Data implements transport.Handler.
func (l *Link) Data(b []byte) {
	l.reader.Feed(b)
	for !l.closed {
		kind, content, err := l.reader.Next()
		switch {
		case err != nil:
			l.fail(err)
			return
		case kind == 0:
			return
		case !l.up:
			if err := l.met(kind, content); err != nil {
				l.fail(err)
				return
			}
		case kind < Message || kind > Reply:
			l.fail(fmt.Errorf("%w: kind %d", frames.ErrContent, kind))
			return
		default:
			l.h.Heard(l, kind, content)
		}
	}
}

// met takes the other side's greeting. From then on each direction has a session of its own.
func (l *Link) met(kind frames.Kind, content []byte) error {
	var g greeting
	if kind != hello {
		return fmt.Errorf("%w: the first is no greeting", frames.ErrContent)
	}
	if err := json.Unmarshal(content, &g); err != nil || g.From == "" {
		return fmt.Errorf("%w: a greeting without a name", frames.ErrContent)
	}
	if g.Draw == l.draw {
		return fmt.Errorf("%w: its own greeting", frames.ErrReplayed)
	}
	if !l.Dialled {
		l.greet()
	}
	l.Peer, l.up = g.From, true
	l.writer.Session = frames.SessionOf(purpose, l.draw, g.Draw)
	l.reader.Session = frames.SessionOf(purpose, g.Draw, l.draw)
	l.h.Up(l)
	return nil
}

// ErrClosed is an end by the other side.
var ErrClosed = errors.New("the other side ended the link")

// Closed implements transport.Handler.
func (l *Link) Closed(err error) {
	if l.closed {
		return
	}
	l.closed = true
	if err == nil {
		err = ErrClosed
	}
	l.h.Down(l, err)
}

// Close ends the link; nothing more is heard of it.
func (l *Link) Close() {
	if !l.closed {
		l.closed = true
		l.net.Close()
	}
}

// Finish ends it after what was written.
func (l *Link) Finish() { l.net.Finish() }

func (l *Link) fail(err error) {
	if !l.closed {
		l.Close()
		l.h.Down(l, err)
	}
}
