package queue

import (
	"container/heap"

	"ravendale/cluster/wire"
)

// ConfigureEdge handles an edge's notification of the version of the configuration that it applies.
func (c *Core) ConfigureEdge(now Time, from Remote, m *wire.EdgeConfig) {
	c.now = now
	e := c.edges.on(from)
	if e == nil || m.Version <= e.configVersion {
		return // an edge never goes back to an older configuration
	}
	e.configVersion = m.Version
	c.retryAwaitingConfig()
	c.assignDue()
	c.flushPeers()
}

// announcesConfig reports whether an edge has announced the version of its configuration. Edges of earlier versions of
// the program don't.
func (e *edge) announcesConfig() bool { return e.configVersion > 0 }

// mayRun reports whether an edge may be assigned messages that were accepted under a version of the configuration. An
// older configuration may lead them to another service, drop them, or end them after fewer attempts. The configuration
// of an edge that doesn't announce it is unknown: such an edge is assigned messages only if no other edge announces it.
func (c *Core) mayRun(e *edge, configVersion uint64) bool {
	if configVersion == 0 || c.mutations.assignsToOutdatedEdges {
		return true
	}
	if e.announcesConfig() {
		return e.configVersion >= configVersion
	}
	return !c.edges.anyAnnounces()
}

// anyAnnounces reports whether a connected edge that isn't being stopped announces its configuration.
func (s *edgeSet) anyAnnounces() bool {
	for _, e := range s.list {
		if e.remote != nil && !e.draining && e.announcesConfig() {
			return true
		}
	}
	return false
}

// awaitsConfig reports whether no edge that has claimed under this epoch may run a message, however few messages it has.
func (c *Core) awaitsConfig(e *entry) bool {
	version := wire.ConfigVersionOf(e.id)
	claimed := false
	for _, candidate := range c.edges.list {
		if candidate.remote == nil || candidate.draining || candidate.claimedEpoch != c.epoch() {
			continue
		}
		if c.mayRun(candidate, version) {
			return false
		}
		claimed = true
	}
	return claimed
}

// retryAwaitingConfig moves the messages that wait for an edge with a newer configuration back to the heap of unowned
// messages.
func (c *Core) retryAwaitingConfig() {
	waiting := c.awaitingConfig
	c.awaitingConfig = nil
	for _, m := range waiting {
		heap.Push(&c.unowned, m)
	}
}

// acceptsDrop reports whether a message may be dropped for an edge's report. A route that was removed counts only in a
// configuration that isn't older than the one under which the message was accepted. An unexplained report comes from an
// edge of an earlier version of the program. If that edge hasn't put the message itself, it has dropped the message by
// its own configuration, whose version is unknown.
func acceptsDrop(m *wire.Report) bool {
	reason := wire.DropReason(m.Signature)
	accepted := wire.ConfigVersionOf(m.ID)
	if version, removed := reason.ConfigVersion(); removed {
		return version >= accepted
	}
	putByEarlierVersion := accepted == 0
	return reason != wire.DropUnexplained || putByEarlierVersion
}
