package fleet

import (
	"slices"
	"time"

	"ravendale/balancer/audit"
)

// peers holds the other members.
type peers struct {
	byName     map[string]*Peer
	order      []string // names in the order of the operator's file
	pingNumber uint64   // number of the last ping sent
}

// PeerState is the state of a peer as this member sees it.
type PeerState string

// States of a peer.
const (
	Unknown     PeerState = "unknown"
	Alive       PeerState = "alive"
	OneWay      PeerState = "half" // its messages arrive, but it doesn't answer pings: a partition in one direction
	Suspect     PeerState = "suspect"
	Unreachable PeerState = "gone"
	Left        PeerState = "left"
)

// Peer is what this member knows about another member.
type Peer struct {
	Name              string
	State             PeerState
	Inc, Nonce        uint64
	Heard, Answered   time.Duration // when its last message arrived, and when the newest ping that it answered was sent
	Vouched           time.Duration // when the newest ping was sent that it answered while not amnesiac
	Accepted, Adopted ID
	Force             ID
	Floor             uint64
	Head              audit.Head
	rememberedVote    uint64
	rememberedSerial  int        // serial of the Store that contains its incarnation and vote
	pings             []sentPing // unanswered pings, oldest first
	nextPing          time.Duration
}

// sentPing is a ping that may still be answered.
type sentPing struct {
	number uint64
	at     time.Duration
}

// Peers returns the other members, in the order of the operator's file.
func (c *Core) Peers() (all []Peer) {
	for _, name := range c.peers.order {
		all = append(all, *c.peers.byName[name])
	}
	return all
}

// send sends a message, with the state of this member that each message carries.
func (c *Core) send(to string, m Message) {
	if !c.disk.incarnationDurable {
		return // until the incarnation is on disk, the next process might use the same one
	}
	m.From, m.Inc, m.Nonce = c.cfg.Me, c.disk.state.Incarnation, c.cfg.Nonce
	m.Accepted, m.Adopted, m.Force, m.Against, m.Amnesiac = c.disk.vote, c.policy.applied, c.policy.inForce, c.disk.against, c.disk.state.Amnesiac || c.now < c.standing.voteFrom
	m.Floor = c.floor()
	memory := c.disk.state.Peers[to]
	m.YouInc, m.YouVote = memory.Inc, memory.Vote
	c.actions = append(c.actions, Action{Kind: Send, To: to, Message: m})
}

// receive handles a message. It ignores messages of unknown members, and answers those of earlier processes of a peer
// with Stale.
func (c *Core) receive(m *Message) {
	p := c.peers.byName[m.From]
	if p == nil {
		return
	}
	if m.Kind == Stale {
		c.receiveStale(m)
		return
	}
	switch {
	case m.Inc < p.Inc || m.Inc == p.Inc && p.Nonce != 0 && p.Nonce != m.Nonce:
		c.send(p.Name, Message{Kind: Stale, YouNonce: m.Nonce})
		return
	case m.Inc > p.Inc || p.Nonce == 0:
		if m.Inc != p.Inc {
			c.record(audit.Entry{Kind: audit.Member, Peer: p.Name, Incarnation: m.Inc, State: "came"})
		}
		p.Inc, p.Nonce, p.Accepted, p.Answered, p.Vouched, p.pings = m.Inc, m.Nonce, ID{}, never, never, nil
		c.remember(p)
	}
	p.Heard = c.now
	p.Head = m.Head
	if m.Kind == Leave {
		c.setPeerState(p, Left)
		p.Answered, p.Vouched = never, never
		return
	}
	c.receiveState(p, m)
	switch m.Kind {
	case Ping:
		if c.disk.durable >= p.rememberedSerial { // otherwise, after a restart, this member might accept an older process of that name
			c.send(p.Name, Message{Kind: Pong, Number: m.Number})
		}
	case Pong:
		c.receivePong(p, m)
	case Want:
		c.serveContent(p.Name, m.ID)
	case Have:
		c.receiveContent(p.Name, m)
	}
}

// receiveState handles the state that each message carries: the sender's vote, the epoch that it runs under, and what it
// remembers of this member.
func (c *Core) receiveState(p *Peer, m *Message) {
	if m.Accepted.Number > p.Accepted.Number {
		p.Accepted = m.Accepted
		c.recordVote(p.Name, m.Accepted)
		c.remember(p)
	}
	c.recordResponse(p.Name, m.Against)
	p.Adopted, p.Force, p.Floor = m.Adopted, m.Force, m.Floor
	c.recordInForce(m.Force)
	if p.rememberedVote = max(p.rememberedVote, m.YouVote); m.YouVote > c.disk.state.Accepted.Number && !c.disk.state.Amnesiac {
		c.disk.state.Amnesiac = true // the disk was restored to a state before the vote
		c.record(audit.Entry{Kind: audit.Amnesiac, Peer: p.Name, Incarnation: c.disk.state.Incarnation})
		c.store()
	}
}

// receivePong handles an answer. Trust counts from when the ping was sent, not from when the answer arrived.
func (c *Core) receivePong(p *Peer, m *Message) {
	i := slices.IndexFunc(p.pings, func(s sentPing) bool { return s.number == m.Number })
	if i < 0 {
		return
	}
	p.Answered = max(p.Answered, p.pings[i].at)
	if !m.Amnesiac {
		p.Vouched = p.Answered
	}
	p.pings = p.pings[i+1:]
}

// receiveStale handles a peer's message that it knows a newer process of this name. If this process was never trusted, its
// disk is older than what the fleet remembers, and it takes a higher incarnation. If it was trusted, another process has
// replaced it, perhaps while it was suspended.
func (c *Core) receiveStale(m *Message) {
	switch {
	case m.YouNonce != c.cfg.Nonce || m.YouInc < c.disk.state.Incarnation:
	case c.standing.wasTrusted:
		if !c.standing.replaced {
			c.standing.replaced = true
			c.record(audit.Entry{Kind: audit.Refused, Peer: m.From, Incarnation: m.YouInc, Why: "another process has this name"})
		}
	default:
		c.disk.state.Incarnation, c.disk.state.Amnesiac, c.disk.incarnationDurable = m.YouInc+1, true, false
		c.record(audit.Entry{Kind: audit.Amnesiac, Peer: m.From, Incarnation: c.disk.state.Incarnation})
		c.store()
		c.disk.incarnationSerial = c.disk.serial
	}
}

// setPeerState sets the state of a peer and records a change.
func (c *Core) setPeerState(p *Peer, s PeerState) {
	if p.State != s {
		p.State = s
		c.record(audit.Entry{Kind: audit.Member, Peer: p.Name, Incarnation: p.Inc, State: string(s)})
	}
}
