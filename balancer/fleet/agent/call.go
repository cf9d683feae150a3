package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"ravendale/balancer/fleet/link"
	"ravendale/balancer/frames"
	"ravendale/balancer/transport"
)

// Call asks the member at an address, as an operator's tool does, and returns its answer. Verb is status, or roll-out with the
// content of an epoch. An error in the answer is one of the call.
func Call(ctx context.Context, addr string, keys frames.Keys, verb string, content []byte) (*Status, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if deadline, has := ctx.Deadline(); has {
		if err := c.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	text, err := json.Marshal(request{Verb: verb, Content: content})
	if err != nil {
		return nil, err
	}
	t := &tool{request: text}
	l := link.Dial(blocking{c}, addr, "tool", keys, t)
	l.Connected()
	b := make([]byte, 32<<10)
	for t.reply == nil && t.err == nil {
		n, err := c.Read(b)
		l.Data(b[:n])
		if err != nil && t.reply == nil {
			return nil, errors.Join(t.err, err)
		}
	}
	if t.err != nil {
		return nil, t.err
	}
	var s Status
	if err := json.Unmarshal(t.reply, &s); err != nil {
		return nil, fmt.Errorf("the answer makes no sense: %w", err)
	}
	if s.Error != "" {
		return &s, errors.New(s.Error)
	}
	return &s, nil
}

// tool is the handler of a call's link.
type tool struct {
	request, reply []byte
	err            error
}

func (t *tool) Up(l *link.Link) { l.Send(link.Command, t.request) }

func (t *tool) Heard(_ *link.Link, kind frames.Kind, content []byte) {
	if kind == link.Reply {
		t.reply = content
	}
}

func (t *tool) Down(_ *link.Link, err error) { t.err = err }

// blocking is a connection that is there already, as a network of one; an error of a write shows in the next read.
type blocking struct{ net.Conn }

func (b blocking) Dial(string, transport.Handler) transport.Conn { return b }
func (b blocking) Write(text []byte)                             { _, _ = b.Conn.Write(text) }
func (b blocking) Ignore()                                       {}
func (b blocking) Finish()                                       {}
func (b blocking) Close()                                        { _ = b.Conn.Close() }
func (b blocking) Unwritten() int                                { return 0 }
func (b blocking) Peer() string                                  { return b.RemoteAddr().String() }
