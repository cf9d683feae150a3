package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ravendale/balancer/audit"
)

// tally is who voted for what, as far as this member knows.
type tally struct {
	votes     map[ID]map[string]bool     // as seen, the own one too once it is on disk
	responses map[uint64]map[string]bool // by number: whose vote, or refusal, is known
	openSince map[uint64]time.Duration   // numbers that may be in force: since when they are known of
}

// recordVote counts a member's vote, which is on its disk.
func (c *Core) recordVote(name string, id ID) {
	if id.Number <= c.policy.inForce.Number {
		return
	}
	if c.tally.votes[id] == nil {
		if len(c.tally.votes) >= maxUnknown {
			return
		}
		c.tally.votes[id] = make(map[string]bool)
	}
	c.tally.votes[id][name] = true
	c.recordResponse(name, id.Number)
	if _, known := c.tally.openSince[id.Number]; !known {
		c.tally.openSince[id.Number] = c.knownSince()
	}
	if len(c.tally.votes[id]) >= c.majority() {
		c.recordInForce(id)
	}
}

// recordResponse notes that a member has nothing to say for a number any more: it has voted, or will not.
func (c *Core) recordResponse(name string, number uint64) {
	if number <= c.policy.inForce.Number {
		return
	}
	if c.tally.responses[number] == nil {
		if len(c.tally.responses) >= maxUnknown {
			return
		}
		c.tally.responses[number] = make(map[string]bool)
	}
	c.tally.responses[number][name] = true
}

// recordInForce notes that an epoch is in force, which is so for good.
func (c *Core) recordInForce(id ID) {
	if id.Number > c.policy.inForce.Number {
		c.policy.inForce, c.policy.inForceSince[id] = id, c.knownSince()
		if open, known := c.tally.openSince[id.Number]; known {
			c.policy.inForceSince[id] = min(c.policy.inForceSince[id], open) // it was told before that this one may be
		}
		c.record(audit.Entry{Kind: audit.InForce, Epoch: &id})
		c.pingSoon()
	}
}

// knownSince is since when an epoch that is heard of now counts as known: one that is not trusted may hear of it any time after
// its date, and a straggler that starts again and again, or comes back from a partition, gets no time from that.
func (c *Core) knownSince() time.Duration {
	if c.now >= c.trustedUntil() {
		return never
	}
	return c.now
}

// candidate is what this member may vote for: of the highest number, what most voted for.
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

// open says since when an epoch may be in force for all that is known here; false where none may.
func (c *Core) open() (since time.Duration, within time.Duration, is bool) {
	for id, seen := range c.tally.votes {
		if id.Number <= c.policy.inForce.Number {
			continue
		}
		unanswered := len(c.cfg.Names) - len(c.tally.responses[id.Number]) // those who may have voted for it, or still may
		if len(seen)+unanswered < c.majority() {
			continue // it can't be in force, nor come to be
		}
		w := c.cfg.Trust
		if e := c.contents.epochs[id]; e != nil {
			w = e.Within
		}
		if at := c.tally.openSince[id.Number]; !is || at+w < since+within {
			since, within, is = at, w, true
		}
	}
	return since, within, is
}

// majority is how many members are more than half of those in the file.
func (c *Core) majority() int { return len(c.cfg.Names)/2 + 1 }
