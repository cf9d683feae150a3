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

// maxMessage bounds a message: a state with its list is some 100 KiB at most.
const maxMessage = 8 << 20

// Message is what one process tells the other, a JSON object a line. Only what is given counts.
type Message struct {
	Hello     bool   `json:"hello,omitempty"`     // the new process asks for the state
	State     *State `json:"state,omitempty"`     // the old one's answer
	Serving   bool   `json:"serving,omitempty"`   // the new one takes clients: the old one is to accept no more
	Callback  []byte `json:"callback,omitempty"`  // a backend server's call that is not for the sender
	Took      string `json:"took,omitempty"`      // an id that is in progress now
	Sent      string `json:"sent,omitempty"`      // the server that a dispatch went to
	Ended     string `json:"ended,omitempty"`     // and of one that is over
	Detached  string `json:"out,omitempty"`       // a server was taken out of service,
	Attached  string `json:"back,omitempty"`      // or put back
	Away      *bool  `json:"away,omitempty"`      // clients are sent away, or not any more
	Discovery string `json:"discovery,omitempty"` // the list comes from there now

	Terms *scheduler.Terms `json:"terms,omitempty"` // that the new one takes requests under
	Job   *Job             `json:"job,omitempty"`   // a request, whose client's connection comes with the message
	Has   string           `json:"has,omitempty"`   // the id of such a request, which the sender goes on with
}

// Job is a request that another process goes on with.
type Job struct {
	scheduler.TransferredRequest
	Request platform.Message `json:"request"`
	Closes  bool             `json:"closes,omitempty"` // the answer closes the client's connection
}

// State is what the new process begins with.
type State struct {
	List      json.RawMessage     `json:"list"`
	Discovery string              `json:"discovery"` // where the list comes from,
	InFile    string              `json:"in_file"`   // and what the file said when it was read
	Away      bool                `json:"away"`
	IDs       []string            `json:"ids"` // that may not come again
	Memory    *ravendale.Snapshot `json:"memory"`
}

// Link is one end of the connection. It implements transport.Handler.
type Link struct {
	net         transport.Conn
	onConnected func()        // the connection is made
	onMessage   func(Message) // a message came
	onClosed    func(error)   // it has ended, or was never made
	in          []byte
	closed      bool
}

// Accept serves a connection that the other process made.
func Accept(c transport.Conn, heard func(*Link, Message), closed func(*Link, error)) *Link {
	l := &Link{net: c}
	l.onMessage, l.onClosed = func(m Message) { heard(l, m) }, func(err error) { closed(l, err) }
	return l
}

// Dial connects to the other process, if there is one.
func Dial(n transport.Network, path string, up func(*Link), heard func(*Link, Message), closed func(*Link, error)) *Link {
	l := Accept(nil, heard, closed)
	l.onConnected = func() { up(l) }
	l.net = n.Dial(path, l)
	return l
}

// Send sends a message.
func (l *Link) Send(m Message) {
	text, err := json.Marshal(m)
	if err != nil {
		l.fail(err)
		return
	}
	l.net.Write(append(text, '\n'))
}

// SendConn sends a message with a connection, as transport.ConnSender has it: nil means that it stays.
func (l *Link) SendConn(m Message, c transport.Conn) transport.Given {
	carrier, can := l.net.(transport.ConnSender)
	text, err := json.Marshal(m)
	if !can || err != nil || l.closed {
		return nil
	}
	return carrier.SendConn(append(text, '\n'), c)
}

// Given is the connection that came with the message just heard, or nil.
func (l *Link) Given() transport.Given {
	if carrier, can := l.net.(transport.ConnSender); can {
		return carrier.Given()
	}
	return nil
}

// Links are those to all the other processes.
type Links []*Link

// Send tells all of them.
func (ls Links) Send(m Message) {
	for _, l := range ls {
		l.Send(m)
	}
}

// But returns the others.
func (ls Links) But(l *Link) Links {
	return slices.DeleteFunc(slices.Clone(ls), func(other *Link) bool { return other == l })
}

// Took implements scheduler.Twin.
func (ls Links) Took(id string) { ls.Send(Message{Took: id}) }

// Sent implements scheduler.Twin.
func (ls Links) Sent(server string) { ls.Send(Message{Sent: server}) }

// Ended implements scheduler.Twin.
func (ls Links) Ended(server string) { ls.Send(Message{Ended: server}) }

// Close ends the link; nothing is heard of it any more.
func (l *Link) Close() {
	l.closed = true
	l.net.Close()
}

// Connected implements transport.Handler.
func (l *Link) Connected() { l.onConnected() }

// Data implements transport.Handler.
func (l *Link) Data(b []byte) {
	l.in = append(l.in, b...)
	for !l.closed {
		text, rest, found := bytes.Cut(l.in, []byte("\n"))
		if !found {
			break
		}
		l.in = rest
		var m Message
		if err := json.Unmarshal(text, &m); err != nil {
			l.fail(fmt.Errorf("message: %w", err))
			return
		}
		l.onMessage(m)
	}
	if len(l.in) > maxMessage {
		l.fail(fmt.Errorf("a message of more than %d bytes", maxMessage))
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
