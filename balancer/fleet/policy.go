package fleet

import (
	"fmt"
	"maps"
	"time"

	"ravendale/balancer/audit"
)

// policy tracks which epochs are in force, and which one this member runs under.
type policy struct {
	applied      ID                   // the epoch that the scheduler runs under
	inForce      ID                   // the highest epoch that is known to be in force
	inForceSince map[ID]time.Duration // for epochs in force that are not applied yet: since when this member knows that
}

// Propose proposes an operator's epoch to the fleet. The error says why this member rejects it.
func (c *Core) Propose(now time.Duration, e *Epoch) ([]Action, error) {
	c.now, c.actions = now, nil
	known := max(c.disk.state.Accepted.Number, c.disk.state.Adopted.Number, c.disk.state.Promised, c.policy.inForce.Number)
	for id := range c.tally.votes {
		known = max(known, id.Number)
	}
	switch {
	case c.standing.replaced:
		return nil, fmt.Errorf("another process has the name %s", c.cfg.Me)
	case c.disk.state.Amnesiac:
		return nil, fmt.Errorf("%s does not vote: its disk is new or old, and not all members have answered yet", c.cfg.Me)
	case !c.standing.wasTrusted:
		return nil, fmt.Errorf("%s has not heard of a majority yet", c.cfg.Me)
	case c.disk.failed:
		return nil, fmt.Errorf("%s does not vote: its disk fails", c.cfg.Me)
	case e.Number <= known:
		return nil, fmt.Errorf("epoch %d: %d is known of already", e.Number, known)
	case e.Floor < c.floor():
		return nil, fmt.Errorf("epoch %d: floor %d is below %d, the fleet's", e.Number, e.Floor, c.floor())
	case e.Within < c.cfg.Trust:
		return nil, fmt.Errorf("epoch %d: within %v is shorter than the trust of %v", e.Number, e.Within, c.cfg.Trust)
	case e.Build > c.cfg.Build:
		return nil, fmt.Errorf("epoch %d: it wants a program of generation %d, and this is %d", e.Number, e.Build, c.cfg.Build)
	}
	c.record(audit.Entry{Kind: audit.Proposed, Epoch: &e.ID, Floor: e.Floor, Within: e.Within.Milliseconds()})
	c.contents.epochs[e.ID] = e
	c.tally.votes[e.ID] = make(map[string]bool)
	if _, known := c.tally.undecidedSince[e.Number]; !known {
		c.tally.undecidedSince[e.Number] = now
	}
	c.advance()
	c.updateStanding()
	return c.takeActions(), nil
}

// floor returns the minimum floor of a later epoch. It includes the floor of the epoch that this member voted for,
// since the majority of any later epoch overlaps with the majority of that one. So floors never decrease.
func (c *Core) floor() (floor uint64) {
	floor = c.disk.state.Floor
	for _, id := range []ID{c.policy.inForce, c.disk.state.Adopted, c.disk.state.Accepted} {
		if e := c.contents.epochs[id]; e != nil {
			floor = max(floor, e.Floor)
		}
	}
	return floor
}

// advance votes for, fetches and adopts epochs, as far as the current state allows.
func (c *Core) advance() {
	if c.standing.replaced {
		return
	}
	if c.policy.inForce.Number > c.disk.state.Adopted.Number && c.canRun(c.policy.inForce) {
		c.disk.state.Adopted = c.policy.inForce
		c.store()
		c.disk.adoptSerial = c.disk.serial
		if c.disk.failed {
			c.apply(c.contents.epochs[c.policy.inForce], c.holder(c.policy.inForce))
		}
	}
	id := c.candidate()
	if e := c.contents.epochs[id]; e != nil && e.Floor < c.floor() && c.contents.checked[id] == nil {
		c.contents.checked[id] = fmt.Errorf("its floor %d is below %d, the fleet's", e.Floor, c.floor())
		c.record(audit.Entry{Kind: audit.Refused, Epoch: &id, Why: c.contents.checked[id].Error()})
	}
	switch {
	case id.Number == 0:
	case c.canRun(id):
		c.disk.state.Accepted = id
		c.record(audit.Entry{Kind: audit.Accepted, Epoch: &id})
		c.store()
		c.disk.voteSerial = c.disk.serial
	case c.contents.checked[id] != nil && c.disk.state.Against < id.Number:
		c.disk.state.Against = id.Number
		c.disk.state.Promised = max(c.disk.state.Promised, id.Number)
		c.store()
		c.disk.voteSerial = c.disk.serial
	}
}

// apply switches the scheduler to an epoch and drops the state of older ones.
func (c *Core) apply(e *Epoch, from string) {
	c.policy.applied = e.ID
	c.actions = append(c.actions, Action{Kind: Apply, Epoch: e})
	c.record(audit.Entry{Kind: audit.Adopted, Epoch: &e.ID, Floor: e.Floor, Within: e.Within.Milliseconds(), From: from})
	maps.DeleteFunc(c.contents.epochs, func(id ID, _ *Epoch) bool { return id.Number < e.Number && id != c.disk.state.Accepted })
	maps.DeleteFunc(c.tally.votes, func(id ID, _ map[string]bool) bool { return id.Number < e.Number })
	maps.DeleteFunc(c.policy.inForceSince, func(id ID, _ time.Duration) bool { return id.Number <= e.Number })
	maps.DeleteFunc(c.tally.responses, func(n uint64, _ map[string]bool) bool { return n <= e.Number })
	maps.DeleteFunc(c.tally.undecidedSince, func(n uint64, _ time.Duration) bool { return n <= e.Number })
	clear(c.contents.refused)
}
