package dispatch

import (
	"slices"

	"ravendale/cluster/wire"
)

// admit passes a message that is due to its service. It adds the message to the service's queue or, under a rate limit,
// submits it to the service's module if there is a token, and else makes it wait for one. A message waits while the
// configuration may be too old for it, backs off if it has no route or its service has no workers, and is released if
// this edge has no share of the rate limit.
func (c *Core) admit(m *message) {
	if c.now >= m.expiresAt {
		c.finish(m, wire.Report{Kind: wire.ReportExpired})
		return
	}
	if c.isOutdatedFor(m) {
		c.awaitConfig(m)
		return
	}
	found := c.route(m)
	s := found.service
	switch {
	case !c.isLeased(m):
		c.awaitLease(m)
	case found.removed:
		c.drop(m)
	case s == nil || s.readyWorkers == 0:
		c.backOff(m)
	case s.tokens == nil:
		m.startTarget = m.notBefore + milliseconds(found.route.StartTargetMs)
		c.enqueue(m, s)
	case s.tokens.share.Burst == 0:
		c.messages.schedule(m, phaseReleasing, c.now+releaseDelay)
	case len(s.rateLimited) == 0 && s.openJobs < s.maxOpenJobs && s.tokens.take(c.now):
		c.submit(m, s, true)
	default:
		m.service = s
		s.rateLimited = append(s.rateLimited, m)
		c.addTimed(s)
		c.messages.schedule(m, phaseRateLimited, m.expiresAt)
	}
}

// withdraw removes a message from its module, from its service's queue or from the messages that wait for a token.
func (c *Core) withdraw(m *message) {
	switch {
	case m.phase == phaseRateLimited:
		m.service.rateLimited = slices.DeleteFunc(m.service.rateLimited, func(other *message) bool { return other == m })
	case m.phase == phaseQueued:
		c.dequeue(m)
	case m.job != nil:
		c.withdrawJob(m.job)
	}
	m.job, m.service = nil, nil
}

// submitRateLimited submits the messages that wait for a token, in their order, while there are tokens.
func (c *Core) submitRateLimited(s *service) {
	for len(s.rateLimited) > 0 && s.tokens != nil && s.openJobs < s.maxOpenJobs && s.tokens.take(c.now) {
		m := s.rateLimited[0]
		s.rateLimited = slices.Delete(s.rateLimited, 0, 1)
		if found := c.route(m); found.service != s || s.readyWorkers == 0 {
			s.tokens.tokens++
			m.service = nil
			c.messages.schedule(m, phaseDeferred, c.now)
			c.admit(m)
			continue
		}
		c.submit(m, s, true)
	}
}
