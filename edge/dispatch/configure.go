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
	named := make(map[string]bool)
	for i := range index.Config().Services {
		config := &index.Config().Services[i]
		named[config.Name] = true
		c.configureService(config)
	}
	maps.DeleteFunc(c.services, func(name string, _ *service) bool { return !named[name] })
	c.followRoutes()
	return c.end()
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

// configureService updates a service's state to the configuration, the list of workers and the topology.
func (c *Core) configureService(config *catalog.Service) {
	settings := moduleSettings(config, &c.config.Topology)
	s := c.services[config.Name]
	if s == nil {
		module, err := ravendale.New(settings, c.config.Seed^xxhash.Sum64String(config.Name))
		if err != nil {
			return // no valid configuration makes such settings
		}
		s = &service{name: config.Name, module: module, timerAt: forever}
		c.services[config.Name] = s
	} else if !sameSettings(&s.settings, &settings) {
		_ = s.module.Retune(settings) // rejected, the old ones stay in force
	}
	s.settings, s.endpoint = settings, config.Endpoint
	c.updateWorkers(s, config)
	c.applyRateLimit(s, config)
}

// sameSettings compares what of a module's settings may change.
func sameSettings(a, b *ravendale.Settings) bool {
	return a.Dispatchers == b.Dispatchers && a.Me == b.Me && a.MaxAttempts == b.MaxAttempts && a.Classes[0] == b.Classes[0]
}

// updateWorkers notifies a module of its workers, and retries what waited for the first of them.
func (c *Core) updateWorkers(s *service, config *catalog.Service) {
	list, addresses := entries(config, c.workers, &c.replaced, &c.config.Topology)
	if slices.Equal(list, s.entries) && sameAddresses(s.addresses, addresses) {
		return
	}
	before := s.readyWorkers
	s.capacities = capacities(c.workers, addresses)
	s.entries, s.addresses, s.readyWorkers = list, addresses, 0
	for i := range list {
		if list[i].State == ravendale.Ready {
			s.readyWorkers++
		}
	}
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

// applyRateLimit sets a service's share of its rate limit. The bucket of a new share is empty.
func (c *Core) applyRateLimit(s *service, config *catalog.Service) {
	if config.RatePerS <= 0 {
		s.tokens = nil
		c.reroute(s.rateLimited)
		s.rateLimited = nil
		return
	}
	c.reroute(s.queue.messages)
	s.queue.messages = nil
	c.pruneBacklogged()
	limit := rateLimit{RatePerS: config.RatePerS, Window: c.config.Window, Overshoot: c.config.Overshoot}
	share := limit.divide(s.name, c.config.Topology.Edge, c.config.Topology.Edges)
	s.maxOpenJobs = c.connectionCapacity(s, config)
	if s.tokens == nil || s.tokens.share != share {
		s.tokens = newBucket(share, c.now)
	}
	if share.Burst == 0 {
		for _, m := range slices.Clone(s.rateLimited) {
			c.release(m)
		}
	}
}

// SetWorkers takes the platform's list of workers.
func (c *Core) SetWorkers(now time.Duration, workers *wire.Workers) []Action {
	c.begin(now)
	c.workers = workers
	c.replaced.retain(workers)
	c.configureServices()
	return c.end()
}

// excludeReplaced excludes a worker whose address another has, whatever the list says: a worker that starts again has another name.
func (c *Core) excludeReplaced(s *service, name string) {
	config := c.index.Service(s.name)
	if config == nil || s.endpoint != "" || c.replaced.has(name) {
		return
	}
	c.replaced.add(c.now, name)
	c.updateWorkers(s, config)
}

// SetEdges takes the edges that share the work.
func (c *Core) SetEdges(now time.Duration, edges []wire.Edge) []Action {
	c.begin(now)
	c.config.Topology.Edges = edges
	c.edgePeak.add(c.now, len(edges))
	c.configureServices()
	return c.end()
}

// configureServices updates all services of the configuration in force.
func (c *Core) configureServices() {
	if c.index == nil {
		return
	}
	for i := range c.index.Config().Services {
		c.configureService(&c.index.Config().Services[i])
	}
}
