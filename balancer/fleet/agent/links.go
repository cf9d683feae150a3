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

// peerLink is the link to one peer that this member makes, with its retries.
type peerLink struct {
	name     string
	link     *link.Link // nil while it is down
	up       bool
	heard    time.Duration // when something came last
	attempts int           // to connect, since it was up last
	next     time.Duration // the next one
	failed   string        // why it is down
	bytes    int64         // of messages sent

	pings       map[uint64]int64 // the own monotonic clock at which a ping was sent, by its number
	measured    bool             // an answer has come, for what follows, in milliseconds:
	offset      int64            // the peer's monotonic clock less the own one,
	offsetError int64            // how wrong that may be,
	skew        int64            // and the peer's wall clock less the own one
}

// reconnectHeartbeats without a message on a link, and it is made anew: after a partition the system would try the old one again
// in its own time.
const reconnectHeartbeats = 6

// reconnect makes a link that is down, or that nothing was heard on, after a wait of full jitter that grows to ten heartbeats:
// those who lost one peer together do not come back to it together.
func (a *Agent) reconnect(n *peerLink, now time.Duration) {
	if n.link != nil && now-n.heard > reconnectHeartbeats*a.o.Member.Heartbeat {
		n.link.Close()
		a.down(n, "nothing heard")
	}
	if n.link == nil && now >= n.next {
		n.heard = now
		n.link = link.Dial(a.o.Network, a.o.Address[n.name], a.o.Member.Me, a.o.Keys, &dialledEnd{a, n})
	}
}

// down has a link made anew later.
func (a *Agent) down(n *peerLink, why string) {
	n.link, n.up, n.failed = nil, false, why
	most := a.o.Member.Heartbeat << min(n.attempts, 4)
	n.attempts++
	n.next = a.o.Loop.Now() + time.Duration(rand.Int64N(int64(min(most, 10*a.o.Member.Heartbeat))))
	clear(n.pings)
}

// send sends a message to a peer: on the link that this member made, or, where that is down, on the peer's own.
func (a *Agent) send(to string, w fleet.Message) {
	w.Stamp, w.Wall, w.Mono, w.Head = a.clock.Now(a.o.Wall()), a.o.Wall(), a.mono(), a.log.Head()
	text, err := json.Marshal(w)
	if err != nil {
		a.o.Log.Error("message not encoded", "err", err) // of plain values: a fault of the program
		return
	}
	n := a.links[to]
	if n == nil {
		return
	}
	if w.Kind == fleet.Ping {
		n.pings[w.Number] = w.Mono
		for number := range n.pings {
			if number+200 < w.Number {
				delete(n.pings, number)
			}
		}
	}
	if n.up && n.link.Send(link.Message, text) {
		n.bytes += int64(len(text))
		return
	}
	for l := range a.accepted {
		if l.Peer == to && l.Send(link.Message, text) {
			n.bytes += int64(len(text))
			return
		}
	}
}

// receive takes a message that came by a link.
func (a *Agent) receive(from string, text []byte) error {
	var w fleet.Message
	if err := json.Unmarshal(text, &w); err != nil {
		return fmt.Errorf("%w: %w", frames.ErrContent, err)
	}
	n := a.links[w.From]
	if n == nil || w.From != from {
		return fmt.Errorf("%w: a message of %q on the link of %q", frames.ErrContent, w.From, from)
	}
	a.clock.Saw(w.Stamp)
	if sent, known := n.pings[w.Number]; w.Kind == fleet.Pong && known {
		delete(n.pings, w.Number)
		now := a.mono()
		n.offset, n.offsetError, n.measured = w.Mono-(sent+now)/2, (now-sent)/2+1, true
		n.skew = w.Wall - a.o.Wall() + (now-sent)/2
	}
	a.event(fleet.Event{Kind: fleet.Received, Message: w})
	return nil
}

// Opened takes a connection that a peer or a tool made.
func (a *Agent) Opened(c transport.Conn) transport.Handler {
	l := link.Accept(c, a.o.Member.Me, a.o.Keys, (*acceptedEnd)(a))
	a.accepted[l] = a.o.Loop.Now()
	return l
}

// dialledEnd is a link that this member made.
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
	d.n.up, d.n.attempts, d.n.heard, d.n.failed = true, 0, d.a.o.Loop.Now(), ""
}

func (d *dialledEnd) Heard(l *link.Link, kind frames.Kind, content []byte) {
	d.n.heard = d.a.o.Loop.Now()
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
	if bad(err) {
		d.a.refuse(d.n.name, err)
	}
	d.a.down(d.n, err.Error())
}

// acceptedEnd is the agent as the handler of links that others made.
type acceptedEnd Agent

func (t *acceptedEnd) Up(*link.Link) {}

func (t *acceptedEnd) Heard(l *link.Link, kind frames.Kind, content []byte) {
	a := (*Agent)(t)
	a.accepted[l] = a.o.Loop.Now()
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
	if bad(err) {
		a.refuse(l.Peer, err)
	}
}

// bad says whether a link ended for what came by it: a cut or a restart is none of that.
func bad(err error) bool {
	for _, e := range []error{frames.ErrForeign, frames.ErrVersion, frames.ErrTooLarge, frames.ErrKey, frames.ErrMAC, frames.ErrReplayed, frames.ErrContent} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// refuse notes what a link brought that was not taken: the first of each kind and peer in the log, all in the count.
func (a *Agent) refuse(peer string, err error) {
	a.refused++
	if a.refused&(a.refused-1) == 0 { // the 1st, 2nd, 4th, 8th: whoever sends rubbish does not fill the disk
		a.add(audit.Entry{Kind: audit.Refused, Peer: peer, Why: err.Error()})
		a.o.Log.Warn("a link was refused", "peer", peer, "err", err, "so far", a.refused)
	}
}
