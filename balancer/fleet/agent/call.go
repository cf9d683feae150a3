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

// Call sends a request of an operator's tool to the member at an address and returns its answer. Verb is status, or
// roll-out with the content of an epoch. If the answer reports an error, Call returns it as its own error, along with
// the Status.
func Call(ctx context.Context, addr string, keys frames.Keys, verb string, content []byte) (*Status, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		if err := c.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	text, err := json.Marshal(request{Verb: verb, Content: content})
	if err != nil {
		return nil, err
	}
	t := &callHandler{request: text}
	l := link.Dial(connNetwork{c}, addr, "tool", keys, t)
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

// callHandler handles the link of a Call: it sends the request and keeps the reply.
type callHandler struct {
	request, reply []byte
	err            error
}

func (t *callHandler) Up(l *link.Link) { l.Send(link.Command, t.request) }

func (t *callHandler) Received(_ *link.Link, kind frames.Kind, content []byte) {
	if kind == link.Reply {
		t.reply = content
	}
}

func (t *callHandler) Down(_ *link.Link, err error) { t.err = err }

// connNetwork adapts an established connection to transport.Network and transport.Conn: Dial returns the connection
// itself. It ignores write errors; the next read fails as well.
type connNetwork struct{ net.Conn }

func (b connNetwork) Dial(string, transport.Handler) transport.Conn { return b }
func (b connNetwork) Write(text []byte)                             { _, _ = b.Conn.Write(text) }
func (b connNetwork) Ignore()                                       {}
func (b connNetwork) Finish()                                       {}
func (b connNetwork) Close()                                        { _ = b.Conn.Close() }
func (b connNetwork) Unwritten() int                                { return 0 }
func (b connNetwork) Peer() string                                  { return b.RemoteAddr().String() }
