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

// ApplyConfig puts a configuration in force. Messages whose route it lacks are dropped.
func (c *Core) ApplyConfig(now time.Duration, index *catalog.Index) []Action {
	c.begin(now)
	c.index = index
	services := index.Config().Services
	named := make(map[string]bool, len(services))
	c.configured = c.configured[:0]
	for i := range services {
		named[services[i].Name] = true
		c.configureService(&services[i])
	}
	c.removeServices(named)
	c.followRoutes()
	return c.end()
}

// removeServices forgets the services that a configuration does not name.
func (c *Core) removeServices(named map[string]bool) {
	removed := func(s *service) bool { return !named[s.name] }
	before := len(c.services)
	maps.DeleteFunc(c.services, func(_ string, s *service) bool { return removed(s) })
	if len(c.services) != before {
		c.connectionsChanged = true
		c.timed = slices.DeleteFunc(c.timed, removed)
	}
}

// followRoutes drops messages whose route was removed, and withdraws those that wait for a service which their route leads away from.
func (c *Core) followRoutes() {
	for _, m := range c.messages.byID {
		if m.phase == phaseReported || m.phase == phaseSubmitted && m.job.isInFlight() {
			continue
		}
		_, s, dropped := c.route(m)
		switch {
		case dropped:
			c.finish(m, wire.Report{Kind: wire.ReportDropped})
		case m.service != nil && m.service != s:
			c.withdraw(m)
			c.messages.schedule(m, phaseDeferred, c.now)
		}
	}
}

// configureService updates a service's state to the configuration.
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

// newService makes the state of a service without workers; nil if its module can't be made, which no valid configuration brings about.
func (c *Core) newService(config *catalog.Service) *service {
	settings := moduleSettings(config, &c.config.Topology, &c.edges)
	module, err := ravendale.New(settings, c.config.Seed^xxhash.Sum64String(config.Name))
	if err != nil {
		return nil
	}
	return &service{name: config.Name, module: module, settings: settings, edgesVersion: c.edges.version, timerAt: forever}
}

// updateSettings gives a service's module its settings, if they have changed.
func (c *Core) updateSettings(s *service) {
	settings := moduleSettings(&s.config, &c.config.Topology, &c.edges)
	if !sameSettings(&s.settings, &settings) {
		_ = s.module.Retune(settings) // rejected, the old ones stay in force
	}
	s.settings, s.edgesVersion = settings, c.edges.version
}

// sameSettings compares what of a module's settings may change.
func sameSettings(a, b *ravendale.Settings) bool {
	return a.Dispatchers == b.Dispatchers && a.Me == b.Me && a.MaxAttempts == b.MaxAttempts && a.Classes[0] == b.Classes[0]
}

// updateWorkers notifies a module of its workers, and retries what waited for the first of them.
func (c *Core) updateWorkers(s *service) {
	t := &c.config.Topology
	workers := c.workersOf[s.name]
	list, addresses := entries(&s.config, workers, &c.replaced, t)
	zone := slices.Index(t.Zones, t.Zone)
	capacity := zoneCapacityOf(list, zone)
	if s.endpoint == "" && capacity.sufficesForZone(&c.edges, t.Zone) {
		capacity.isLocal = true
		preferLocalZone(list, zone)
	}
	s.capacity = capacity
	if slices.Equal(list, s.entries) && sameAddresses(s.addresses, addresses) {
		return
	}
	before := s.readyWorkers
	s.capacities = capacities(workers, addresses)
	s.entries, s.addresses, s.readyWorkers = list, addresses, 0
	for i := range list {
		if list[i].State == ravendale.Ready {
			s.readyWorkers++
		}
	}
	c.connectionsChanged = true
	c.queueEvent(s, ravendale.Event{Kind: ravendale.WorkersListed, List: ravendale.Full, Entries: list})
	if before == 0 && s.readyWorkers > 0 {
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

// retryNow has a service's messages that back off attempted at once.
func (c *Core) retryNow(s *service) {
	for _, m := range c.messages.byID {
		if m.phase != phaseDeferred || m.backoffs == 0 {
			continue
		}
		if _, found, _ := c.route(m); found == s {
			m.backoffs = 0
			c.messages.schedule(m, phaseDeferred, max(c.now, m.notBefore))
		}
	}
}

// applyRateLimit puts a service's rate limit in force, or lifts it.
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
		s.senders.update(c.edges.all())
	}
	c.updateRateShare(s)
}

// updateRateShare sets a service's share of its rate limit. The bucket of a new share is empty.
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

// rateShare returns this edge's share of a service's rate limit. An edge that is not listed has none.
func (c *Core) rateShare(s *service) rateShare {
	if c.edges.own < 0 {
		return rateShare{}
	}
	limit := rateLimit{RatePerS: s.config.RatePerS, Window: c.config.Window, Overshoot: c.config.Overshoot}
	return limit.share(s.senders.position(&c.edges), len(c.edges.edges), c.edges.populatedZones())
}

// SetWorkers takes the platform's list of workers.
func (c *Core) SetWorkers(now time.Duration, workers *wire.Workers) []Action {
	c.begin(now)
	c.workersOf = workersByService(workers)
	c.replaced.retain(workers)
	c.updateAllWorkers()
	return c.end()
}

// updateAllWorkers notifies the modules of services with workers on the platform's list. An endpoint is on none.
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

// excludeReplaced excludes a worker whose address another has, whatever the list says: a worker that starts again has another name.
func (c *Core) excludeReplaced(s *service, name string) {
	if c.services[s.name] != s || s.endpoint != "" || c.replaced.has(name) {
		return
	}
	c.replaced.add(c.now, name)
	c.updateWorkers(s)
}

// SetEdges takes the edges that share the work.
func (c *Core) SetEdges(now time.Duration, edges []wire.Edge) []Action {
	c.begin(now)
	changes := c.edges.set(edges, c.config.Topology.Edge)
	c.edgePeak.add(c.now, len(edges))
	for _, s := range c.configured {
		c.followEdges(s, changes)
	}
	return c.end()
}

// followEdges updates what of a service depends on the edges. Its module learns of them before its next event: see queueEvent.
func (c *Core) followEdges(s *service, changes []edgeChange) {
	c.updateConnections(s)
	if s.endpoint == "" && s.capacity.isLocal != s.capacity.sufficesForZone(&c.edges, c.config.Topology.Zone) {
		c.updateWorkers(s)
	}
	if s.tokens != nil {
		s.senders.update(changes)
		c.updateRateShare(s)
	}
}
