package fleet

import (
	"time"

	"ravendale/balancer/audit"
)

// standing tracks whether this member may take requests.
type standing struct {
	last       Standing
	known      bool
	wasTrusted bool
	replaced   bool          // another process uses this member's name
	voteFrom   time.Duration // no votes before this time: until then, peers may not have reported yet what they remember of this member
}

// Standing is whether a member may take requests.
type Standing struct {
	Acts   bool
	Marked bool   // it takes requests without being trusted
	Why    string // why it may not, or why it is marked
}

// Reasons why a member may not take requests, or is marked.
const (
	WhyStarting = "starting"    // no majority has answered yet
	WhyAlone    = "alone"       // no majority has answered within Trust
	WhyOpen     = "open"        // an epoch may be in force without this member knowing it
	WhyBelow    = "below floor" // the epoch that it runs under is below the floor of one in force
	WhyReplaced = "replaced"    // another process uses its name
)

// Votes reports whether this member casts votes.
func (c *Core) Votes() bool {
	return !c.disk.state.Amnesiac && !c.disk.failed && c.standing.wasTrusted && c.now >= c.standing.voteFrom && !c.standing.replaced
}

// LastStanding returns the standing that was last reported.
func (c *Core) LastStanding() (standing Standing) { return c.standing.last }

// StandingAt returns the standing at a time, which may be long after the last event if the process was suspended.
func (c *Core) StandingAt(now time.Duration) Standing {
	if !keepsFloor {
		return Standing{Acts: true}
	}
	if c.standing.replaced {
		return Standing{Why: WhyReplaced}
	}
	for id, since := range c.policy.inForceSince { // each epoch has its own deadline: a newer one gives a member that is behind no extra time
		floor, within := id.Number, c.cfg.Trust // an epoch whose content is missing may have any floor
		if e := c.contents.epochs[id]; e != nil {
			floor, within = e.Floor, e.Within
		}
		if c.policy.applied.Number < floor && now >= since+within {
			return Standing{Why: WhyBelow}
		}
	}
	why := ""
	if since, within, is := c.undecided(); is && now >= since+within {
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

// updateStanding reports and records the standing if it changed.
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
