package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravendale"
	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// ApplyConfig puts a configuration in force. Messages that have no route in it are dropped once it is confirmed as the
// newest: see ConfirmConfig.
func (c *Core) ApplyConfig(now time.Duration, index *catalog.Index) []Action {
	c.beginEvent(now)
	c.index = index
	services := index.Config().Services
	named := make(map[string]bool, len(services))
	c.configured = c.configured[:0]
	for i := range services {
		named[services[i].Name] = true
		c.configureService(&services[i])
	}
	c.removeServices(named)
	c.applyRoutes()
	return c.endEvent()
}

// removeServices removes the services that a configuration does not name.
func (c *Core) removeServices(named map[string]bool) {
	removed := func(s *service) bool { return !named[s.name] }
	previous := len(c.services)
	maps.DeleteFunc(c.services, func(_ string, s *service) bool { return removed(s) })
	if len(c.services) != previous {
		c.connectionsChanged = true
		c.timed = slices.DeleteFunc(c.timed, removed)
	}
}

// applyRoutes drops messages whose route was removed, and reschedules those that wait for another service than that of
// their current route, or for a newer configuration. A message with an attempt in flight follows its route after the
// attempt.
func (c *Core) applyRoutes() {
	for _, m := range c.messages.sorted() {
		if m.phase == phaseReported || m.phase == phaseSubmitted && m.job.isInFlight() {
			continue
		}
		found := c.route(m)
		switch {
		case found.removed:
			c.drop(m)
		case m.service != nil && m.service != found.service:
			c.withdraw(m)
			c.messages.schedule(m, phaseDeferred, c.now)
		case m.phase == phaseAwaitingConfig && !c.isOutdatedFor(m):
			c.messages.schedule(m, phaseDeferred, max(c.now, m.notBefore))
		}
	}
}

// configureService updates the state of a service to its configuration. A new service is added.
func (c *Core) configureService(config *catalog.Service) {
	s := c.services[config.Name]
	switch {
	case s == nil:
		if s = c.newService(config); s == nil {
			return
		}
		c.services[config.Name] = s
	case s.config == *config:
		c.configured = append(c.configured, s)
		c.updateConnections(s)
		return
	}
	c.configured = append(c.configured, s)
	s.config, s.endpoint = *config, config.Endpoint
	c.updateSettings(s)
	c.updateWorkers(s)
	c.updateConnections(s)
	c.applyRateLimit(s)
}

// newService returns a service without workers, or nil if its module can't be created. No valid configuration causes
// that.
func (c *Core) newService(config *catalog.Service) *service {
	settings := moduleSettings(config, &c.config.Topology, &c.edges)
	module, err := ravendale.New(settings, c.config.Seed^xxhash.Sum64String(config.Name))
	if err != nil {
		return nil
	}
	return &service{name: config.Name, module: module, settings: settings, edgesVersion: c.edges.version, timerAt: forever}
}

// updateSettings updates the settings of a service's module, if they have changed.
func (c *Core) updateSettings(s *service) {
	settings := moduleSettings(&s.config, &c.config.Topology, &c.edges)
	if !sameSettings(&s.settings, &settings) {
		_ = s.module.UpdateSettings(settings) // if the module rejects them, its old settings stay in force
	}
	s.settings, s.edgesVersion = settings, c.edges.version
}

// sameSettings compares the settings of a module that may change.
func sameSettings(a, b *ravendale.Settings) bool {
	return a.Dispatchers == b.Dispatchers && a.Me == b.Me && a.MaxAttempts == b.MaxAttempts && a.Classes[0] == b.Classes[0]
}

// updateWorkers passes a service's workers to its module. If there were none to send to before, messages that back off
// are retried.
func (c *Core) updateWorkers(s *service) {
	t := &c.config.Topology
	workers := c.workersOf[s.name]
	list, addresses := moduleEntries(&s.config, workers, &c.replaced, t)
	zone := slices.Index(t.Zones, t.Zone)
	capacity := zoneCapacityOf(list, zone)
	if s.endpoint == "" && capacity.sufficesForZone(&c.edges, t.Zone) {
		capacity.prefersLocal = true
		preferLocalZone(list, zone)
	}
	s.capacity = capacity
	if slices.Equal(list, s.entries) && sameAddresses(s.addresses, addresses) {
		return
	}
	previouslyReady := s.readyWorkers
	s.capacities = workerCapacities(workers, addresses)
	s.entries, s.addresses, s.readyWorkers = list, addresses, 0
	for i := range list {
		if list[i].State == ravendale.Ready {
			s.readyWorkers++
		}
	}
	c.connectionsChanged = true
	c.queueEvent(s, ravendale.Event{Kind: ravendale.WorkersListed, List: ravendale.Full, Entries: list})
	if previouslyReady == 0 && s.readyWorkers > 0 {
		c.retryNow(s)
	}
}

func sameAddresses(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for name, address := range a {
		if b[name] != address {
			return false
		}
	}
	return true
}

// retryNow schedules the messages of a service that back off for an immediate attempt.
func (c *Core) retryNow(s *service) {
	for _, m := range c.messages.byID {
		if m.phase != phaseDeferred || m.backoffs == 0 {
			continue
		}
		if c.route(m).service == s {
			m.backoffs = 0
			c.messages.schedule(m, phaseDeferred, max(c.now, m.notBefore))
		}
	}
}

// applyRateLimit puts a service's rate limit in force, or removes it.
func (c *Core) applyRateLimit(s *service) {
	if s.config.RatePerS <= 0 {
		s.tokens = nil
		c.reroute(s.rateLimited)
		s.rateLimited = nil
		return
	}
	if s.tokens == nil {
		c.reroute(s.queue.messages)
		s.queue.messages = nil
		c.pruneBacklogged()
		s.senders = newSenderOrder(s.name, c.config.Topology.Edge)
		s.senders.update(c.edges.additions())
	}
	c.updateRateShare(s)
}

// updateRateShare updates this edge's share of a service's rate limit. A changed share gets a new bucket, which is empty.
// Without a share, the messages that wait for a token are released.
func (c *Core) updateRateShare(s *service) {
	s.maxOpenJobs = s.connectionCapacity()
	share := c.rateShare(s)
	if s.tokens == nil || s.tokens.share != share {
		s.tokens = newBucket(share, c.now)
	}
	if share.Burst == 0 && len(s.rateLimited) > 0 {
		for _, m := range slices.Clone(s.rateLimited) {
			c.release(m)
		}
	}
}

// rateShare returns this edge's share of a service's rate limit. An edge that is not listed has no share.
func (c *Core) rateShare(s *service) rateShare {
	if c.edges.ownIndex < 0 {
		return rateShare{}
	}
	limit := rateLimit{RatePerS: s.config.RatePerS, Window: c.config.Window, Overshoot: c.config.Overshoot}
	return limit.share(s.senders.position(&c.edges), len(c.edges.edges), c.edges.populatedZones())
}

// SetWorkers sets the workers, as listed by the platform.
func (c *Core) SetWorkers(now time.Duration, workers *wire.Workers) []Action {
	c.beginEvent(now)
	c.workersOf = workersByService(workers)
	c.replaced.retain(workers)
	c.updateAllWorkers()
	return c.endEvent()
}

// updateAllWorkers updates the workers of all services, and the limits that depend on them. An endpoint is not on the
// platform's list.
func (c *Core) updateAllWorkers() {
	for _, s := range c.configured {
		c.updateConnections(s)
		if s.endpoint == "" {
			c.updateWorkers(s)
		}
		if s.tokens != nil {
			c.updateRateShare(s)
		}
	}
}

// excludeReplaced excludes a worker at whose address another one was found, even though it is listed: a worker that
// restarts gets a new name.
func (c *Core) excludeReplaced(s *service, name string) {
	if c.services[s.name] != s || s.endpoint != "" || c.replaced.has(name) {
		return
	}
	c.replaced.add(c.now, name)
	c.updateWorkers(s)
}

// SetEdges sets the edges that share the work.
func (c *Core) SetEdges(now time.Duration, edges []wire.Edge) []Action {
	c.beginEvent(now)
	changes := c.edges.set(edges, c.config.Topology.Edge)
	c.edgePeak.add(c.now, len(edges))
	for _, s := range c.configured {
		c.applyEdgeChanges(s, changes)
	}
	return c.endEvent()
}

// applyEdgeChanges updates the state of a service that depends on the edges. The settings of its module are updated
// before the module's next event: see queueEvent.
func (c *Core) applyEdgeChanges(s *service, changes []edgeChange) {
	c.updateConnections(s)
	if s.endpoint == "" && s.capacity.prefersLocal != s.capacity.sufficesForZone(&c.edges, c.config.Topology.Zone) {
		c.updateWorkers(s)
	}
	if s.tokens != nil {
		s.senders.update(changes)
		c.updateRateShare(s)
	}
}
