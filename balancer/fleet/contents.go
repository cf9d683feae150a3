package fleet

import (
	"fmt"
	"time"

	"ravendale/balancer/audit"
)

// contents are the epochs that this member has, those that it fetches, and what it serves to others.
type contents struct {
	epochs      map[ID]*Epoch
	checked     map[ID]error
	checking    map[ID]bool     // a Check is not answered yet
	refused     map[string]bool // peer and epoch: it gave another content
	fetchedAt   time.Duration   // when a content was requested last,
	fetching    ID              // and which
	served      int             // bytes of contents sent since servedSince
	servedSince time.Duration
}

// canRun says whether this member can act under an epoch. What it lacks for that it asks for.
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

// fetch asks one of those that have a content for it, each time another: drawn, so that stragglers spread.
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

// holder names a peer that has an epoch: who brought it, or may have.
func (c *Core) holder(id ID) string {
	for _, name := range c.peers.order {
		if p := c.peers.byName[name]; p.Adopted == id || p.Accepted == id {
			return name
		}
	}
	return c.cfg.Me
}

// serveContent sends a content to a peer that asked for it, or Busy.
func (c *Core) serveContent(to string, id ID) {
	e := c.contents.epochs[id]
	if e == nil || c.contents.served > 0 && c.contents.served+len(e.Content) > maxServed {
		c.send(to, Message{Kind: Busy, ID: id})
		return
	}
	c.contents.served += len(e.Content)
	c.send(to, Message{Kind: Have, ID: id, Content: e.Content})
}

// receiveContent takes a content if it is what was asked for. A peer that gives another under its name is not asked again.
func (c *Core) receiveContent(from string, w *Message) {
	if c.contents.epochs[w.ID] != nil {
		return
	}
	e, err := Unpack(w.Content)
	if err == nil && e.ID != w.ID {
		err = fmt.Errorf("the digest is %.8s", e.ID.Digest)
	}
	if err != nil {
		c.contents.refused[from+w.ID.Digest] = true
		c.record(audit.Entry{Kind: audit.Refused, Epoch: &w.ID, Peer: from, Why: err.Error()})
		c.contents.fetchedAt = never
		return
	}
	if c.tally.votes[w.ID] != nil || c.policy.inForce == w.ID {
		c.contents.epochs[w.ID] = e
	}
}

// Content returns an epoch, nil where its content is not here.
func (c *Core) Content(id ID) *Epoch { return c.contents.epochs[id] }
