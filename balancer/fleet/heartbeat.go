package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Fixed proportions of Heartbeat: a message lost or late says nothing yet, three in a row do.
const (
	suspectHeartbeats = 3        // without an answer, until a peer is suspect
	fetchHeartbeats   = 2        // until another holder is asked for a content
	maxPings          = 64       // that may still be answered
	maxServed         = 64 << 10 // bytes of contents sent in a heartbeat, or one content: stragglers that come together do not hold up a donor
	maxUnknown        = 64       // epochs remembered beyond the own ones; what a peer names beyond that is passed over
)

// heartbeat pings the peers that are due, and detects which are there.
func (c *Core) heartbeat() {
	if c.standing.replaced {
		return
	}
	if c.now-c.contents.servedSince >= c.cfg.Heartbeat {
		c.contents.servedSince, c.contents.served = c.now, 0
	}
	for i, name := range c.peers.order {
		p := c.peers.byName[name]
		if p.next == 0 { // the first ones are spread over a heartbeat, so that a fleet that starts together does not ping together
			p.next = c.now + c.cfg.Heartbeat*time.Duration(i)/time.Duration(len(c.peers.order))
		}
		if c.now >= p.next && c.disk.incarnationDurable {
			c.peers.pingNumber++
			p.pings = append(p.pings, ping{c.peers.pingNumber, c.now})
			if len(p.pings) > maxPings {
				p.pings = p.pings[1:]
			}
			p.next = c.now + time.Duration((0.9+0.2*c.random.Float64())*float64(c.cfg.Heartbeat))
			c.send(name, Message{Kind: Ping, Number: c.peers.pingNumber})
		}
		answered, heard := c.now-p.Answered, c.now-p.Heard
		switch patient := suspectHeartbeats * c.cfg.Heartbeat; {
		case p.State == Left && heard > 0, p.Heard == never:
		case answered <= patient:
			c.setPeerState(p, Alive)
		case heard <= patient && len(p.pings) > suspectHeartbeats:
			c.setPeerState(p, OneWay)
		case heard > max(c.cfg.Trust, patient):
			c.setPeerState(p, Unreachable)
		case heard > patient:
			c.setPeerState(p, Suspect)
		}
	}
	if c.disk.failed && c.now >= c.disk.retryAt { // the state is written anew and whole, never what failed again
		c.disk.retryAt = c.now + c.cfg.Trust
		c.store()
	}
	if c.disk.state.Amnesiac && !c.disk.failed && c.allAnswered() {
		for _, p := range c.peers.byName {
			c.disk.state.Promised = max(c.disk.state.Promised, p.Accepted.Number, p.youVote)
			c.disk.state.Floor = max(c.disk.state.Floor, p.Floor)
		}
		c.disk.state.Amnesiac = false
		c.store()
	}
}

// allAnswered says whether every other member has: then whoever saw a vote that was forgotten here has reported it.
func (c *Core) allAnswered() bool {
	for _, p := range c.peers.byName {
		if p.Answered == never {
			return false
		}
	}
	return true
}

// pingSoon has the next pings go sooner, since they carry an update: each drawn within a part of a heartbeat, for all members
// have the same update at about the same time.
func (c *Core) pingSoon() {
	for _, name := range c.peers.order {
		p := c.peers.byName[name]
		p.next = min(p.next, c.now+time.Duration(c.random.Float64()*float64(c.cfg.Heartbeat)/4))
	}
}

// trustedUntil is until when this member is trusted.
func (c *Core) trustedUntil() time.Duration {
	need := c.majority() - 1
	if c.disk.state.Amnesiac {
		need++ // it does not vouch for itself
	}
	switch {
	case need == 0:
		return math.MaxInt64
	case need > len(c.peers.byName):
		return never
	}
	var answered []time.Duration
	for _, p := range c.peers.byName {
		answered = append(answered, p.Vouched)
	}
	slices.SortFunc(answered, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return answered[need-1] + c.cfg.Trust
}
