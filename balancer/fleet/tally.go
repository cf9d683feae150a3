package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ravendale/balancer/audit"
)

// tally counts the votes that this member knows of.
type tally struct {
	votes          map[ID]map[string]bool     // names of the voters by epoch, with this member once its vote is on disk
	responses      map[uint64]map[string]bool // by number: names of the members whose vote or refusal is known
	undecidedSince map[uint64]time.Duration   // since when this member knows of each number that may be in force
}

// recordVote counts a vote that is stored on the voter's disk.
func (c *Core) recordVote(name string, id ID) {
	if id.Number <= c.policy.inForce.Number {
		return
	}
	if c.tally.votes[id] == nil {
		if len(c.tally.votes) >= maxTracked {
			return
		}
		c.tally.votes[id] = make(map[string]bool)
	}
	c.tally.votes[id][name] = true
	c.recordResponse(name, id.Number)
	if _, known := c.tally.undecidedSince[id.Number]; !known {
		c.tally.undecidedSince[id.Number] = c.knownSince()
	}
	if len(c.tally.votes[id]) >= c.majority() {
		c.recordInForce(id)
	}
}

// recordResponse notes that a member has decided on a number: it has voted, or will not vote.
func (c *Core) recordResponse(name string, number uint64) {
	if number <= c.policy.inForce.Number {
		return
	}
	if c.tally.responses[number] == nil {
		if len(c.tally.responses) >= maxTracked {
			return
		}
		c.tally.responses[number] = make(map[string]bool)
	}
	c.tally.responses[number][name] = true
}

// recordInForce notes that an epoch is in force, which is permanent.
func (c *Core) recordInForce(id ID) {
	if id.Number > c.policy.inForce.Number {
		c.policy.inForce, c.policy.inForceSince[id] = id, c.knownSince()
		if open, known := c.tally.undecidedSince[id.Number]; known {
			c.policy.inForceSince[id] = min(c.policy.inForceSince[id], open) // this member knew earlier that the epoch might be in force
		}
		c.record(audit.Entry{Kind: audit.InForce, Epoch: &id})
		c.pingSoon()
	}
}

// knownSince returns since when an epoch that is first reported now counts as known. A member that isn't trusted may
// receive the report at any time after the epoch's deadline, so the epoch counts as always known: a member that is
// behind gets no extra time from restarts or from the end of a partition.
func (c *Core) knownSince() time.Duration {
	if c.now >= c.trustedUntil() {
		return never
	}
	return c.now
}

// candidate returns the epoch that this member may vote for: of the highest number, the one with the most votes; the
// zero ID if there is none.
func (c *Core) candidate() (best ID) {
	if !c.Votes() {
		return ID{}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.tally.votes), func(a, b ID) int {
		return cmp.Or(cmp.Compare(b.Number, a.Number), cmp.Compare(len(c.tally.votes[b]), len(c.tally.votes[a])), cmp.Compare(a.Digest, b.Digest))
	}) {
		if id.Number > max(c.disk.state.Accepted.Number, c.disk.state.Promised, c.disk.state.Adopted.Number) {
			return id
		}
	}
	return ID{}
}

// undecided returns, of the epochs that may be in force without this member knowing it, the one whose time is over
// first: since when it is known, and its Within. The last result is false if there is none.
func (c *Core) undecided() (since time.Duration, within time.Duration, found bool) {
	for id, seen := range c.tally.votes {
		if id.Number <= c.policy.inForce.Number {
			continue
		}
		unanswered := len(c.cfg.Names) - len(c.tally.responses[id.Number]) // members that may have voted for it, or still may
		if len(seen)+unanswered < c.majority() {
			continue // it is not in force and never will be
		}
		w := c.cfg.Trust
		if e := c.contents.epochs[id]; e != nil {
			w = e.Within
		}
		if at := c.tally.undecidedSince[id.Number]; !found || at+w < since+within {
			since, within, found = at, w, true
		}
	}
	return since, within, found
}

// majority returns the smallest number of members that is more than half of those in the operator's file.
func (c *Core) majority() int { return len(c.cfg.Names)/2 + 1 }
