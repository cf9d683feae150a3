// Package handover joins two processes that are one scheduler for a time: the one that runs and the new version that
// takes its place. It carries messages between them and knows nothing of what they say.
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
	Took      string `json:"took,omitempty"`      // an id that is in hand now
	Sent      string `json:"sent,omitempty"`      // the server that a dispatch went to
	Ended     string `json:"ended,omitempty"`     // and of one that is over
	Out       string `json:"out,omitempty"`       // a server was taken out by hand,
	Back      string `json:"back,omitempty"`      // or put back
	Away      *bool  `json:"away,omitempty"`      // clients are sent away, or not any more
	Discovery string `json:"discovery,omitempty"` // the list comes from there now

	Terms *scheduler.Terms `json:"terms,omitempty"` // that the new one takes requests under
	Job   *Job             `json:"job,omitempty"`   // a request, whose client's connection comes with the message
	Has   string           `json:"has,omitempty"`   // the id of such a request, which the sender goes on with
}

// Job is a request that another process goes on with.
type Job struct {
	scheduler.Carried
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
	net   transport.Conn
	up    func()        // the connection is made
	heard func(Message) // a message came
	lost  func(error)   // it has ended, or was never made
	in    []byte
	ended bool
}

// Accept serves a connection that the other process made.
func Accept(c transport.Conn, heard func(*Link, Message), lost func(*Link, error)) *Link {
	l := &Link{net: c}
	l.heard, l.lost = func(m Message) { heard(l, m) }, func(err error) { lost(l, err) }
	return l
}

// Dial connects to the other process, if there is one.
func Dial(n transport.Network, path string, up func(*Link), heard func(*Link, Message), lost func(*Link, error)) *Link {
	l := Accept(nil, heard, lost)
	l.up = func() { up(l) }
	l.net = n.Dial(path, l)
	return l
}

// Tell sends a message.
func (l *Link) Tell(m Message) {
	text, err := json.Marshal(m)
	if err != nil {
		l.fail(err)
		return
	}
	l.net.Write(append(text, '\n'))
}

// Carry sends a message with a connection, as transport.Carrier has it: nil means that it stays.
func (l *Link) Carry(m Message, c transport.Conn) transport.Given {
	carrier, can := l.net.(transport.Carrier)
	text, err := json.Marshal(m)
	if !can || err != nil || l.ended {
		return nil
	}
	return carrier.Carry(append(text, '\n'), c)
}

// Given is the connection that came with the message just heard, or nil.
func (l *Link) Given() transport.Given {
	if carrier, can := l.net.(transport.Carrier); can {
		return carrier.Given()
	}
	return nil
}

// Links are those to all the other processes.
type Links []*Link

// Tell tells all of them.
func (ls Links) Tell(m Message) {
	for _, l := range ls {
		l.Tell(m)
	}
}

// But returns the others.
func (ls Links) But(l *Link) Links {
	return slices.DeleteFunc(slices.Clone(ls), func(other *Link) bool { return other == l })
}

// Took implements scheduler.Twin.
func (ls Links) Took(id string) { ls.Tell(Message{Took: id}) }

// Sent implements scheduler.Twin.
func (ls Links) Sent(server string) { ls.Tell(Message{Sent: server}) }

// Ended implements scheduler.Twin.
func (ls Links) Ended(server string) { ls.Tell(Message{Ended: server}) }

// Close ends the link; nothing is heard of it any more.
func (l *Link) Close() {
	l.ended = true
	l.net.Close()
}

// Connected implements transport.Handler.
func (l *Link) Connected() { l.up() }

// Data implements transport.Handler.
func (l *Link) Data(b []byte) {
	l.in = append(l.in, b...)
	for !l.ended {
		line, rest, whole := bytes.Cut(l.in, []byte("\n"))
		if !whole {
			break
		}
		l.in = rest
		var m Message
		if err := json.Unmarshal(line, &m); err != nil {
			l.fail(fmt.Errorf("message: %w", err))
			return
		}
		l.heard(m)
	}
	if len(l.in) > maxMessage {
		l.fail(fmt.Errorf("a message of more than %d bytes", maxMessage))
	}
}

// Closed implements transport.Handler.
func (l *Link) Closed(err error) {
	if !l.ended {
		l.ended = true
		l.lost(err)
	}
}

func (l *Link) fail(err error) {
	if !l.ended {
		l.Close()
		l.lost(err)
	}
}
