package fleet

import (
	"fmt"
	"time"

	"ravendale/balancer/audit"
)

// contents holds the epochs whose content this member has, and the state of fetching them and of serving them to peers.
type contents struct {
	epochs      map[ID]*Epoch
	checked     map[ID]error
	checking    map[ID]bool     // epochs whose Check has not been answered yet
	refused     map[string]bool // peer and digest, concatenated: the peer sent a content that doesn't match the digest
	fetchedAt   time.Duration   // when a content was last requested
	fetching    ID              // the epoch requested last
	served      int             // bytes of contents sent since servedSince
	servedSince time.Duration
}

// canRun reports whether this member can run under an epoch. It fetches a missing content and requests a missing check.
func (c *Core) canRun(id ID) bool {
	e := c.contents.epochs[id]
	if e == nil {
		c.fetch(id)
		return false
	}
	err, known := c.contents.checked[id]
	if !known && !c.contents.checking[id] {
		if e.Build > c.cfg.Build {
			err, known = fmt.Errorf("it wants a program of generation %d, and this is %d", e.Build, c.cfg.Build), true
			c.contents.checked[id] = err
			c.record(audit.Entry{Kind: audit.Refused, Epoch: &id, Why: err.Error()})
		} else {
			c.contents.checking[id] = true
			c.actions = append(c.actions, Action{Kind: Check, Epoch: e})
		}
	}
	return known && err == nil
}

// fetch requests a content from a peer that has it. The peer is drawn at random, so that members that are behind spread
// their requests.
func (c *Core) fetch(id ID) {
	if id == c.contents.fetching && c.now-c.contents.fetchedAt < fetchHeartbeats*c.cfg.Heartbeat {
		return
	}
	var holders []string
	for _, name := range c.peers.order {
		if p := c.peers.byName[name]; (p.Accepted == id || p.Adopted == id || p.Force == id) && !c.contents.refused[name+id.Digest] && p.State != Unreachable && p.State != Left {
			holders = append(holders, name)
		}
	}
	if len(holders) > 0 {
		c.contents.fetchedAt, c.contents.fetching = c.now, id
		c.send(holders[c.random.IntN(len(holders))], Message{Kind: Want, ID: id})
	}
}

// holder returns the name of a peer that has an epoch, from which the content may have come; this member's own name if
// there is none.
func (c *Core) holder(id ID) string {
	for _, name := range c.peers.order {
		if p := c.peers.byName[name]; p.Adopted == id || p.Accepted == id {
			return name
		}
	}
	return c.cfg.Me
}

// serveContent sends a content to a peer that requested it, or Busy if it is missing here or maxServed is exceeded.
func (c *Core) serveContent(to string, id ID) {
	e := c.contents.epochs[id]
	if e == nil || c.contents.served > 0 && c.contents.served+len(e.Content) > maxServed {
		c.send(to, Message{Kind: Busy, ID: id})
		return
	}
	c.contents.served += len(e.Content)
	c.send(to, Message{Kind: Have, ID: id, Content: e.Content})
}

// receiveContent stores a content whose digest is the requested one. It doesn't ask a peer again that sent a content with
// another digest.
func (c *Core) receiveContent(from string, m *Message) {
	if c.contents.epochs[m.ID] != nil {
		return
	}
	e, err := Unpack(m.Content)
	if err == nil && e.ID != m.ID {
		err = fmt.Errorf("the digest is %.8s", e.ID.Digest)
	}
	if err != nil {
		c.contents.refused[from+m.ID.Digest] = true
		c.record(audit.Entry{Kind: audit.Refused, Epoch: &m.ID, Peer: from, Why: err.Error()})
		c.contents.fetchedAt = never
		return
	}
	if c.tally.votes[m.ID] != nil || c.policy.inForce == m.ID {
		c.contents.epochs[m.ID] = e
	}
}

// Content returns an epoch, or nil if this member doesn't have its content.
func (c *Core) Content(id ID) *Epoch { return c.contents.epochs[id] }
