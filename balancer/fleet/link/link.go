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
	Message             // from a member to another
	Command             // from an operator's tool to a member
	Reply               // from a member to a tool
)

// maxUnwritten is the limit, in bytes, of the data buffered for a peer that doesn't read; beyond it messages are dropped.
const maxUnwritten = 1 << 20

// purpose separates sessions of this package from those of other users of the same key: their frames are rejected.
const purpose = "fleet"

// greeting is the content of the first frame of each side.
type greeting struct {
	From string   `json:"from"`
	Draw [16]byte `json:"draw"`
}

// Handler receives the events of a link.
type Handler interface {
	Up(l *Link)                                         // both sides have proved that they have the key
	Received(l *Link, kind frames.Kind, content []byte) // a frame of kind Message, Command or Reply was received
	Down(l *Link, err error)                            // the link ended or could not be established; not called after Close
}

// Link is one end of a connection. It implements transport.Handler.
type Link struct {
	Peer    string // the name that the peer gave in its greeting; "" until Up
	Dialled bool
	Dropped int // messages dropped because maxUnwritten was exceeded

	me      string
	conn    transport.Conn
	keys    frames.Keys
	handler Handler
	draw    [16]byte
	writer  frames.Writer
	reader  frames.Reader
	up      bool
	closed  bool
}

// Accept returns the link of a connection that the other side opened.
func Accept(c transport.Conn, me string, keys frames.Keys, h Handler) *Link {
	l := &Link{me: me, conn: c, keys: keys, handler: h, reader: frames.Reader{Keys: keys}, writer: frames.Writer{Keys: keys}}
	_, _ = rand.Read(l.draw[:]) // never fails: crypto/rand
	return l
}

// Dial opens a connection.
func Dial(n transport.Network, addr, me string, keys frames.Keys, h Handler) *Link {
	l := Accept(nil, me, keys, h)
	l.Dialled = true
	l.conn = n.Dial(addr, l)
	return l
}

func (l *Link) sendGreeting() {
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
		l.conn.Write(b)
	}
	return err
}

// Send sends a frame. It returns false if the link is not up, the write failed, or the peer reads too slowly.
func (l *Link) Send(kind frames.Kind, content []byte) bool {
	if !l.up || l.closed {
		return false
	}
	if l.conn.Unwritten() > maxUnwritten {
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
func (l *Link) Connected() { l.sendGreeting() }

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
			if err := l.receiveGreeting(kind, content); err != nil {
				l.fail(err)
				return
			}
		case kind < Message || kind > Reply:
			l.fail(fmt.Errorf("%w: kind %d", frames.ErrContent, kind))
			return
		default:
			l.handler.Received(l, kind, content)
		}
	}
}

// receiveGreeting handles the other side's greeting. From then on each direction has a session of its own.
func (l *Link) receiveGreeting(kind frames.Kind, content []byte) error {
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
		l.sendGreeting()
	}
	l.Peer, l.up = g.From, true
	l.writer.Session = frames.SessionOf(purpose, l.draw, g.Draw)
	l.reader.Session = frames.SessionOf(purpose, g.Draw, l.draw)
	l.handler.Up(l)
	return nil
}

// ErrClosed reports that the other side ended the link.
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
	l.handler.Down(l, err)
}

// Close ends the link at once; its handler is not called any more.
func (l *Link) Close() {
	if !l.closed {
		l.closed = true
		l.conn.Close()
	}
}

// Finish ends the link after all data has been written.
func (l *Link) Finish() { l.conn.Finish() }

func (l *Link) fail(err error) {
	if !l.closed {
		l.Close()
		l.handler.Down(l, err)
	}
}
