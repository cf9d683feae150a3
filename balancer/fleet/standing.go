package fleet

import (
	"time"

	"ravendale/balancer/audit"
)

// standing is whether this member may act, as it was last reported.
type standing struct {
	last       Standing
	known      bool
	wasTrusted bool
	replaced   bool          // another process has the name
	voteFrom   time.Duration // from then on every peer that can answer has been asked what it remembers of this member
}

// Standing is whether a member may take requests.
type Standing struct {
	Acts   bool
	Marked bool   // it acts without being trusted
	Why    string // why not, or why it is marked
}

// Why a member does not act, or is marked.
const (
	WhyStarting = "starting"    // no majority has answered yet
	WhyAlone    = "alone"       // no majority has answered for Trust
	WhyOpen     = "open"        // an epoch may be in force for all that it knows
	WhyBelow    = "below floor" // it knows that its epoch is too old
	WhyReplaced = "replaced"    // another process has its name
)

// Votes says whether this member casts votes.
func (c *Core) Votes() bool {
	return !c.disk.state.Amnesiac && !c.disk.failed && c.standing.wasTrusted && c.now >= c.standing.voteFrom && !c.standing.replaced
}

// LastStanding is the standing that was last reported.
func (c *Core) LastStanding() (standing Standing) { return c.standing.last }

// StandingAt is whether this member may take a request at a time, which may be after a long stop of the process.
func (c *Core) StandingAt(now time.Duration) Standing {
	if !keepsFloor {
		return Standing{Acts: true}
	}
	if c.standing.replaced {
		return Standing{Why: WhyReplaced}
	}
	for id, since := range c.policy.inForceSince { // each for itself: roll-outs that follow one another give a straggler no time
		floor, within := id.Number, c.cfg.Trust // what is not had may have any floor
		if e := c.contents.epochs[id]; e != nil {
			floor, within = e.Floor, e.Within
		}
		if c.policy.applied.Number < floor && now >= since+within {
			return Standing{Why: WhyBelow}
		}
	}
	why := ""
	if since, within, is := c.open(); is && now >= since+within {
		why = WhyOpen
	}
	if now >= c.trustedUntil() {
		why = WhyAlone
		if !c.standing.wasTrusted {
			why = WhyStarting
		}
	}
	return Standing{Acts: why == "" || !c.cfg.Strict, Marked: why != "" && !c.cfg.Strict, Why: why}
}

// updateStanding notifies of a change of the standing.
func (c *Core) updateStanding() {
	if !c.standing.wasTrusted && c.now < c.trustedUntil() {
		c.standing.wasTrusted = true
	}
	s := c.StandingAt(c.now)
	if s == c.standing.last && c.standing.known {
		return
	}
	c.standing.last, c.standing.known = s, true
	c.actions = append(c.actions, Action{Kind: StandingChanged, Standing: s})
	c.record(audit.Entry{Kind: audit.Standing, Acts: &s.Acts, Marked: s.Marked, Why: s.Why})
}
