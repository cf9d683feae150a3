package handover

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"ravendale"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// maxMessageSize is the maximum size of a message in bytes. The largest, a state with its list, is about 100 KiB.
const maxMessageSize = 8 << 20

// Message is a message between two processes, sent as a line of JSON. Only the fields that are set have a meaning.
type Message struct {
	Hello     bool   `json:"hello,omitempty"`     // the new process requests the state
	State     *State `json:"state,omitempty"`     // the old process's answer to Hello
	Serving   bool   `json:"serving,omitempty"`   // the new process accepts clients: the old one must stop accepting
	Callback  []byte `json:"callback,omitempty"`  // a backend server's call for a request that the sender doesn't have
	Took      string `json:"took,omitempty"`      // the id of a request that is in progress at the sender
	Sent      string `json:"sent,omitempty"`      // the server to which the sender dispatched an attempt
	Ended     string `json:"ended,omitempty"`     // the server of an attempt that has ended
	Detached  string `json:"out,omitempty"`       // a server that was taken out of service
	Attached  string `json:"back,omitempty"`      // a server that was put back into service
	Away      *bool  `json:"away,omitempty"`      // whether clients are turned away from now on
	Discovery string `json:"discovery,omitempty"` // new address of the discovery service

	Terms *scheduler.Terms `json:"terms,omitempty"` // classes and attempt limit under which the new process takes requests
	Job   *Job             `json:"job,omitempty"`   // a request that is passed on; its client's connection is sent with the message
	Has   string           `json:"has,omitempty"`   // the id of a passed request that the sender has taken over
}

// Job is a request in progress that is passed to another process.
type Job struct {
	scheduler.TransferredRequest
	Request platform.Message `json:"request"`
	Closes  bool             `json:"closes,omitempty"` // the answer closes the client's connection
}

// State is the state with which the new process starts.
type State struct {
	List      json.RawMessage     `json:"list"`
	Discovery string              `json:"discovery"` // address of the discovery service
	InFile    string              `json:"in_file"`   // discovery in the configuration file when it was read
	Away      bool                `json:"away"`
	IDs       []string            `json:"ids"` // ids of requests that must not be accepted again
	Memory    *ravendale.Snapshot `json:"memory"`
}

// Link is one end of the connection. It implements transport.Handler.
type Link struct {
	conn        transport.Conn
	onConnected func()        // the connection was established
	onMessage   func(Message) // a message was received
	onClosed    func(error)   // the connection has ended or could not be established
	buf         []byte
	closed      bool
}

// Accept returns the link of a connection that the other process opened.
func Accept(c transport.Conn, heard func(*Link, Message), closed func(*Link, error)) *Link {
	l := &Link{conn: c}
	l.onMessage, l.onClosed = func(m Message) { heard(l, m) }, func(err error) { closed(l, err) }
	return l
}

// Dial connects to the other process. If there is none, closed is called.
func Dial(n transport.Network, path string, up func(*Link), heard func(*Link, Message), closed func(*Link, error)) *Link {
	l := Accept(nil, heard, closed)
	l.onConnected = func() { up(l) }
	l.conn = n.Dial(path, l)
	return l
}

// Send sends a message.
func (l *Link) Send(m Message) {
	text, err := json.Marshal(m)
	if err != nil {
		l.fail(err)
		return
	}
	l.conn.Write(append(text, '\n'))
}

// SendConn sends a message along with a connection, as transport.ConnSender.SendConn does. It returns nil if the connection
// can't be passed; then nothing was sent.
func (l *Link) SendConn(m Message, c transport.Conn) transport.PassedConn {
	carrier, can := l.conn.(transport.ConnSender)
	text, err := json.Marshal(m)
	if !can || err != nil || l.closed {
		return nil
	}
	return carrier.SendConn(append(text, '\n'), c)
}

// ReceivedConn returns the connection that was sent with the message being handled, or nil.
func (l *Link) ReceivedConn() transport.PassedConn {
	if carrier, can := l.conn.(transport.ConnSender); can {
		return carrier.ReceivedConn()
	}
	return nil
}

// Links holds the links to all other processes.
type Links []*Link

// Send sends a message on every link.
func (ls Links) Send(m Message) {
	for _, l := range ls {
		l.Send(m)
	}
}

// Except returns all links except l.
func (ls Links) Except(l *Link) Links {
	return slices.DeleteFunc(slices.Clone(ls), func(other *Link) bool { return other == l })
}

// Took implements scheduler.Twin.
func (ls Links) Took(id string) { ls.Send(Message{Took: id}) }

// Sent implements scheduler.Twin.
func (ls Links) Sent(server string) { ls.Send(Message{Sent: server}) }

// Ended implements scheduler.Twin.
func (ls Links) Ended(server string) { ls.Send(Message{Ended: server}) }

// Close closes the link; its callbacks are not called any more.
func (l *Link) Close() {
	l.closed = true
	l.conn.Close()
}

// Connected implements transport.Handler.
func (l *Link) Connected() { l.onConnected() }

// Data implements transport.Handler.
func (l *Link) Data(b []byte) {
	l.buf = append(l.buf, b...)
	for !l.closed {
		text, rest, found := bytes.Cut(l.buf, []byte("\n"))
		if !found {
			break
		}
		l.buf = rest
		var m Message
		if err := json.Unmarshal(text, &m); err != nil {
			l.fail(fmt.Errorf("handover message: %w", err))
			return
		}
		l.onMessage(m)
	}
	if len(l.buf) > maxMessageSize {
		l.fail(fmt.Errorf("handover message exceeds %d bytes", maxMessageSize))
	}
}

// Closed implements transport.Handler.
func (l *Link) Closed(err error) {
	if !l.closed {
		l.closed = true
		l.onClosed(err)
	}
}

func (l *Link) fail(err error) {
	if !l.closed {
		l.Close()
		l.onClosed(err)
	}
}
