package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ravendale/balancer/audit"
	"ravendale/balancer/fleet"
	"ravendale/balancer/fleet/link"
	"ravendale/balancer/frames"
	"ravendale/balancer/transport"
)

// peerLink is the link that this member dials to one peer, and the state of its retries.
type peerLink struct {
	name         string
	link         *link.Link // nil while it is down
	up           bool
	lastReceived time.Duration // when the last frame was received
	attempts     int           // attempts to connect since the link was last up
	nextDial     time.Duration // when to dial next
	downReason   string        // why the link is down
	bytesSent    int64         // total size of the messages sent to the peer, on any link

	pings       map[uint64]int64 // this member's monotonic clock when it sent each unanswered ping, by ping number
	measured    bool             // a pong has been received, so that the next three are valid, in milliseconds:
	offset      int64            // the peer's monotonic clock minus this member's
	offsetError int64            // bound of the error of offset
	skew        int64            // the peer's wall clock minus this member's
}

// reconnectHeartbeats is how many heartbeats a link may stay without a message before it is dialled anew. After a
// partition, waiting for TCP's own retransmissions on the old connection would take longer.
const reconnectHeartbeats = 6

// reconnect dials a link that is down, or that has been silent for too long. The delay between attempts has full jitter and
// grows to ten heartbeats, so that members that lost the same peer at the same time don't reconnect at the same time.
func (a *Agent) reconnect(n *peerLink, now time.Duration) {
	if n.link != nil && now-n.lastReceived > reconnectHeartbeats*a.options.Member.Heartbeat {
		n.link.Close()
		a.down(n, "nothing heard")
	}
	if n.link == nil && now >= n.nextDial {
		n.lastReceived = now
		n.link = link.Dial(a.options.Network, a.options.Address[n.name], a.options.Member.Me, a.options.Keys, &dialledEnd{a, n})
	}
}

// down marks a link as down and schedules the next attempt to dial.
func (a *Agent) down(n *peerLink, why string) {
	n.link, n.up, n.downReason = nil, false, why
	maxWait := a.options.Member.Heartbeat << min(n.attempts, 4)
	n.attempts++
	n.nextDial = a.options.Loop.Now() + time.Duration(rand.Int64N(int64(min(maxWait, 10*a.options.Member.Heartbeat))))
	clear(n.pings)
}

// send sends a message to a peer, on the link that this member dialled or, if that is down, on one that the peer dialled.
func (a *Agent) send(to string, m fleet.Message) {
	m.Stamp, m.Wall, m.Mono, m.Head = a.clock.Now(a.options.Wall()), a.options.Wall(), a.mono(), a.log.Head()
	text, err := json.Marshal(m)
	if err != nil {
		a.options.Log.Error("message not encoded", "err", err) // a message consists of plain values: this would be a bug
		return
	}
	n := a.links[to]
	if n == nil {
		return
	}
	if m.Kind == fleet.Ping {
		n.pings[m.Number] = m.Mono
		for number := range n.pings {
			if number+200 < m.Number {
				delete(n.pings, number)
			}
		}
	}
	if n.up && n.link.Send(link.Message, text) {
		n.bytesSent += int64(len(text))
		return
	}
	for l := range a.accepted {
		if l.Peer == to && l.Send(link.Message, text) {
			n.bytesSent += int64(len(text))
			return
		}
	}
}

// receive handles a message received on a link.
func (a *Agent) receive(from string, text []byte) error {
	var m fleet.Message
	if err := json.Unmarshal(text, &m); err != nil {
		return fmt.Errorf("%w: %w", frames.ErrContent, err)
	}
	n := a.links[m.From]
	if n == nil || m.From != from {
		return fmt.Errorf("%w: a message of %q on the link of %q", frames.ErrContent, m.From, from)
	}
	a.clock.Observe(m.Stamp)
	if sent, known := n.pings[m.Number]; m.Kind == fleet.Pong && known {
		delete(n.pings, m.Number)
		now := a.mono()
		n.offset, n.offsetError, n.measured = m.Mono-(sent+now)/2, (now-sent)/2+1, true
		n.skew = m.Wall - a.options.Wall() + (now-sent)/2
	}
	a.event(fleet.Event{Kind: fleet.Received, Message: m})
	return nil
}

// Opened handles a connection that a peer or an operator's tool has opened.
func (a *Agent) Opened(c transport.Conn) transport.Handler {
	l := link.Accept(c, a.options.Member.Me, a.options.Keys, (*acceptedEnd)(a))
	a.accepted[l] = a.options.Loop.Now()
	return l
}

// dialledEnd handles the events of a link that this member dialled.
type dialledEnd struct {
	a *Agent
	n *peerLink
}

func (d *dialledEnd) Up(l *link.Link) {
	if l.Peer != d.n.name {
		d.a.refuse(d.n.name, fmt.Errorf("at its address is %q", l.Peer))
		l.Close()
		d.a.down(d.n, "another member is there")
		return
	}
	d.n.up, d.n.attempts, d.n.lastReceived, d.n.downReason = true, 0, d.a.options.Loop.Now(), ""
}

func (d *dialledEnd) Received(l *link.Link, kind frames.Kind, content []byte) {
	d.n.lastReceived = d.a.options.Loop.Now()
	if kind != link.Message {
		return
	}
	if err := d.a.receive(l.Peer, content); err != nil {
		d.a.refuse(d.n.name, err)
		l.Close()
		d.a.down(d.n, err.Error())
	}
}

func (d *dialledEnd) Down(l *link.Link, err error) {
	if d.n.link != l {
		return
	}
	if isInvalidInput(err) {
		d.a.refuse(d.n.name, err)
	}
	d.a.down(d.n, err.Error())
}

// acceptedEnd handles, for the agent, the events of links that others dialled.
type acceptedEnd Agent

func (t *acceptedEnd) Up(*link.Link) {}

func (t *acceptedEnd) Received(l *link.Link, kind frames.Kind, content []byte) {
	a := (*Agent)(t)
	a.accepted[l] = a.options.Loop.Now()
	var err error
	switch kind {
	case link.Message:
		err = a.receive(l.Peer, content)
	case link.Command:
		l.Send(link.Reply, a.command(content))
	default:
		err = fmt.Errorf("%w: kind %d", frames.ErrContent, kind)
	}
	if err != nil {
		a.refuse(l.Peer, err)
		delete(a.accepted, l)
		l.Close()
	}
}

func (t *acceptedEnd) Down(l *link.Link, err error) {
	a := (*Agent)(t)
	delete(a.accepted, l)
	if isInvalidInput(err) {
		a.refuse(l.Peer, err)
	}
}

// isInvalidInput reports whether a link ended because of what was received on it, rather than by a partition or a restart.
func isInvalidInput(err error) bool {
	for _, e := range []error{frames.ErrForeign, frames.ErrVersion, frames.ErrTooLarge, frames.ErrKey, frames.ErrMAC, frames.ErrReplayed, frames.ErrContent} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// refuse counts an invalid frame or link, and records and logs each 1st, 2nd, 4th, 8th and so on.
func (a *Agent) refuse(peer string, err error) {
	a.refused++
	if a.refused&(a.refused-1) == 0 { // a power of two: a sender of invalid frames can't fill the disk
		a.add(audit.Entry{Kind: audit.Refused, Peer: peer, Why: err.Error()})
		a.options.Log.Warn("invalid frame or link refused", "peer", peer, "err", err, "so far", a.refused)
	}
}
