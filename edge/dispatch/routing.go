package dispatch

import (
	"time"

	"ravendale/cluster/catalog"
)

// routing is the result of looking up a message in the current configuration.
type routing struct {
	route   *catalog.Route // nil if the message has no route
	service *service       // of the route; nil if there is none
	removed bool           // the route was removed: the message is to be dropped
}

// route looks up a message in the current configuration. Without a route, the message is dropped only by a configuration
// that was the newest when this edge already had the message: an older one may lack the route because it is new.
func (c *Core) route(m *message) routing {
	if c.index == nil {
		return routing{}
	}
	route := c.index.Match(m.Host, m.path())
	if deliverable(route) {
		return routing{route: route, service: c.services[route.Service]}
	}
	return routing{removed: c.isConfirmedSince(m.arrivedAt) || c.mutations.dropsByUnconfirmedConfig}
}

// isConfirmedSince reports whether the current configuration was the newest at a time or later.
func (c *Core) isConfirmedSince(at time.Duration) bool {
	if c.wasConfirmed && c.confirmedAt >= at {
		return true
	}
	c.awaitsConfirmation = true
	return false
}

// isOutdatedFor reports whether the current configuration may be older than the one under which a message was accepted.
// It then says nothing about the message: neither its service, nor how often it may be attempted. For a message whose
// ID does not have the version, this edge must have had the configuration confirmed since the message arrived. An edge
// that accepted the message itself applies the same configuration or a newer one.
func (c *Core) isOutdatedFor(m *message) bool {
	switch {
	case m.acceptedHere || c.mutations.ignoresAcceptedVersion:
		return false
	case c.index == nil:
		return true
	case m.configVersion > 0:
		return c.index.Config().Version < m.configVersion
	}
	return !c.isConfirmedSince(m.arrivedAt)
}

// awaitConfig makes a message wait until the configuration is new enough to decide about it. If that takes long, the
// message is released, as another edge may have a newer configuration.
func (c *Core) awaitConfig(m *message) {
	c.messages.schedule(m, phaseAwaitingConfig, c.now+maxConfigWait)
}

// ConfirmConfig is called when the leader has confirmed that the current configuration was the newest at a time, which
// is at or before now. Messages that wait for that are dropped or delivered.
func (c *Core) ConfirmConfig(now, at time.Duration) []Action {
	c.beginEvent(now)
	c.wasConfirmed, c.confirmedAt = true, max(at, c.confirmedAt)
	if c.awaitsConfirmation {
		c.awaitsConfirmation = false
		c.applyRoutes()
	}
	return c.endEvent()
}
