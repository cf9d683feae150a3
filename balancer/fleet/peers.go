package fleet

import (
	"slices"
	"time"

	"ravendale/balancer/audit"
)

// peers are the other members.
type peers struct {
	byName     map[string]*Peer
	order      []string // as in the file
	pingNumber uint64   // of the last ping
}

// PeerState is how a peer is seen.
type PeerState string

// States of a peer.
const (
	Unknown     PeerState = "unknown"
	Alive       PeerState = "alive"
	OneWay      PeerState = "half" // it is heard, and does not answer: a partition in one direction
	Suspect     PeerState = "suspect"
	Unreachable PeerState = "gone"
	Left        PeerState = "left"
)

// Peer is what is known of another member.
type Peer struct {
	Name              string
	State             PeerState
	Inc, Nonce        uint64
	Heard, Answered   time.Duration // when a message came, and when the newest ping was sent that it answered,
	Vouched           time.Duration // and that it answered as one that forgets nothing
	Accepted, Adopted ID
	Force             ID
	Floor             uint64
	Head              audit.Head
	youVote           uint64
	rememberedBy      int    // the serial of the state that remembers its incarnation
	pings             []ping // sent, oldest first
	next              time.Duration
}

// ping is one that may still be answered.
type ping struct {
	number uint64
	at     time.Duration
}

// Peers returns what is known of the others, in the order of the file.
func (c *Core) Peers() (all []Peer) {
	for _, name := range c.peers.order {
		all = append(all, *c.peers.byName[name])
	}
	return all
}

// send has a message sent, with what each says of this member.
func (c *Core) send(to string, w Message) {
	if !c.disk.incarnationDurable {
		return // before the incarnation is on disk the next process might have it too
	}
	w.From, w.Inc, w.Nonce = c.cfg.Me, c.disk.state.Incarnation, c.cfg.Nonce
	w.Accepted, w.Adopted, w.Force, w.Against, w.Amnesiac = c.disk.vote, c.policy.applied, c.policy.inForce, c.disk.against, c.disk.state.Amnesiac || c.now < c.standing.voteFrom
	w.Floor = c.floor()
	m := c.disk.state.Peers[to]
	w.YouInc, w.YouVote = m.Inc, m.Vote
	c.actions = append(c.actions, Action{Kind: Send, To: to, Message: w})
}

// receive takes a message. One of a former process of its sender, or of an unknown peer, counts for nothing.
func (c *Core) receive(w *Message) {
	p := c.peers.byName[w.From]
	if p == nil {
		return
	}
	if w.Kind == Stale {
		c.receiveStale(w)
		return
	}
	switch {
	case w.Inc < p.Inc || w.Inc == p.Inc && p.Nonce != 0 && p.Nonce != w.Nonce:
		c.send(p.Name, Message{Kind: Stale, YouNonce: w.Nonce})
		return
	case w.Inc > p.Inc || p.Nonce == 0:
		if w.Inc != p.Inc {
			c.record(audit.Entry{Kind: audit.Member, Peer: p.Name, Incarnation: w.Inc, State: "came"})
		}
		p.Inc, p.Nonce, p.Accepted, p.Answered, p.Vouched, p.pings = w.Inc, w.Nonce, ID{}, never, never, nil
		c.remember(p)
	}
	p.Heard = c.now
	p.Head = w.Head
	if w.Kind == Leave {
		c.setPeerState(p, Left)
		p.Answered, p.Vouched = never, never
		return
	}
	c.receiveState(p, w)
	switch w.Kind {
	case Ping:
		if c.disk.durable >= p.rememberedBy { // else this one might forget it, and take an older process of that name for it
			c.send(p.Name, Message{Kind: Pong, Number: w.Number})
		}
	case Pong:
		c.receivePong(p, w)
	case Want:
		c.serveContent(p.Name, w.ID)
	case Have:
		c.receiveContent(p.Name, w)
	}
}

// receiveState takes what each message says of its sender: its vote, what it acts under, and what it remembers of this member.
func (c *Core) receiveState(p *Peer, w *Message) {
	if w.Accepted.Number > p.Accepted.Number {
		p.Accepted = w.Accepted
		c.recordVote(p.Name, w.Accepted)
		c.remember(p)
	}
	c.recordResponse(p.Name, w.Against)
	p.Adopted, p.Force, p.Floor = w.Adopted, w.Force, w.Floor
	c.recordInForce(w.Force)
	if p.youVote = max(p.youVote, w.YouVote); w.YouVote > c.disk.state.Accepted.Number && !c.disk.state.Amnesiac {
		c.disk.state.Amnesiac = true // the disk was put back to before a vote
		c.record(audit.Entry{Kind: audit.Amnesiac, Peer: p.Name, Incarnation: c.disk.state.Incarnation})
		c.store()
	}
}

// receivePong counts an answer from when its ping was sent.
func (c *Core) receivePong(p *Peer, w *Message) {
	i := slices.IndexFunc(p.pings, func(s ping) bool { return s.number == w.Number })
	if i < 0 {
		return
	}
	p.Answered = max(p.Answered, p.pings[i].at)
	if !w.Amnesiac {
		p.Vouched = p.Answered
	}
	p.pings = p.pings[i+1:]
}

// receiveStale takes a peer's message that it knows a newer process of this name. One that starts takes a higher incarnation:
// its disk is older than the fleet's memory. One that was trusted has been replaced, or slept while it was.
func (c *Core) receiveStale(w *Message) {
	switch {
	case w.YouNonce != c.cfg.Nonce || w.YouInc < c.disk.state.Incarnation:
	case c.standing.wasTrusted:
		if !c.standing.replaced {
			c.standing.replaced = true
			c.record(audit.Entry{Kind: audit.Refused, Peer: w.From, Incarnation: w.YouInc, Why: "another process has this name"})
		}
	default:
		c.disk.state.Incarnation, c.disk.state.Amnesiac, c.disk.incarnationDurable = w.YouInc+1, true, false
		c.record(audit.Entry{Kind: audit.Amnesiac, Peer: w.From, Incarnation: c.disk.state.Incarnation})
		c.store()
		c.disk.incarnationSerial = c.disk.serial
	}
}

// setPeerState records how a peer is seen, where that changed.
func (c *Core) setPeerState(p *Peer, s PeerState) {
	if p.State != s {
		p.State = s
		c.record(audit.Entry{Kind: audit.Member, Peer: p.Name, Incarnation: p.Inc, State: string(s)})
	}
}
