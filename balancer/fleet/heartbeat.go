package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits, some of them in heartbeats. One lost or late message is no sign of a failure; three in a row are.
const (
	suspectHeartbeats = 3        // heartbeats without an answer after which a peer is suspect
	fetchHeartbeats   = 2        // heartbeats until a content is requested from another peer
	maxPings          = 64       // pings to a peer kept in memory to match a late answer
	maxServed         = 64 << 10 // bytes of contents sent per heartbeat, or one larger content: bounds the load that peers that are behind put on one member
	maxTracked        = 64       // epochs and numbers reported by peers that are tracked; further ones are ignored
)

// heartbeat pings the peers whose ping is due, updates the peers' states, and retries failed writes.
func (c *Core) heartbeat() {
	if c.standing.replaced {
		return
	}
	if c.now-c.contents.servedSince >= c.cfg.Heartbeat {
		c.contents.servedSince, c.contents.served = c.now, 0
	}
	for i, name := range c.peers.order {
		p := c.peers.byName[name]
		if p.nextPing == 0 { // the first pings are spread over a heartbeat, in case all members start at the same time
			p.nextPing = c.now + c.cfg.Heartbeat*time.Duration(i)/time.Duration(len(c.peers.order))
		}
		if c.now >= p.nextPing && c.disk.incarnationDurable {
			c.peers.pingNumber++
			p.pings = append(p.pings, sentPing{c.peers.pingNumber, c.now})
			if len(p.pings) > maxPings {
				p.pings = p.pings[1:]
			}
			p.nextPing = c.now + time.Duration((0.9+0.2*c.random.Float64())*float64(c.cfg.Heartbeat))
			c.send(name, Message{Kind: Ping, Number: c.peers.pingNumber})
		}
		answered, heard := c.now-p.Answered, c.now-p.Heard
		switch suspectAfter := suspectHeartbeats * c.cfg.Heartbeat; {
		case p.State == Left && heard > 0, p.Heard == never:
		case answered <= suspectAfter:
			c.setPeerState(p, Alive)
		case heard <= suspectAfter && len(p.pings) > suspectHeartbeats:
			c.setPeerState(p, OneWay)
		case heard > max(c.cfg.Trust, suspectAfter):
			c.setPeerState(p, Unreachable)
		case heard > suspectAfter:
			c.setPeerState(p, Suspect)
		}
	}
	if c.disk.failed && c.now >= c.disk.retryAt { // writes the whole current state, not the one whose write failed
		c.disk.retryAt = c.now + c.cfg.Trust
		c.store()
	}
	if c.disk.state.Amnesiac && !c.disk.failed && c.allAnswered() {
		for _, p := range c.peers.byName {
			c.disk.state.Promised = max(c.disk.state.Promised, p.Accepted.Number, p.rememberedVote)
			c.disk.state.Floor = max(c.disk.state.Floor, p.Floor)
		}
		c.disk.state.Amnesiac = false
		c.store()
	}
}

// allAnswered reports whether every other member has answered a ping. By then, each that saw a vote of this member has
// reported it, so that a vote lost from this disk is known again.
func (c *Core) allAnswered() bool {
	for _, p := range c.peers.byName {
		if p.Answered == never {
			return false
		}
	}
	return true
}

// pingSoon brings the next pings forward, since they carry an update. Each is drawn at random within a quarter of a
// heartbeat, because all members have the same update at about the same time.
func (c *Core) pingSoon() {
	for _, name := range c.peers.order {
		p := c.peers.byName[name]
		p.nextPing = min(p.nextPing, c.now+time.Duration(c.random.Float64()*float64(c.cfg.Heartbeat)/4))
	}
}

// trustedUntil returns the time until which this member is trusted.
func (c *Core) trustedUntil() time.Duration {
	needed := c.majority() - 1
	if c.disk.state.Amnesiac {
		needed++ // its own memory doesn't count towards the majority
	}
	switch {
	case needed == 0:
		return math.MaxInt64
	case needed > len(c.peers.byName):
		return never
	}
	var answered []time.Duration
	for _, p := range c.peers.byName {
		answered = append(answered, p.Vouched)
	}
	slices.SortFunc(answered, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return answered[needed-1] + c.cfg.Trust
}
