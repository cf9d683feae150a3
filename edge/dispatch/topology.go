package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravendale"
	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// Configure takes a configuration. Messages whose route it lacks end.
func (c *Core) Configure(now time.Duration, index *catalog.Index) []Action {
	c.begin(now)
	c.index = index
	named := make(map[string]bool)
	for i := range index.Config().Services {
		config := &index.Config().Services[i]
		named[config.Name] = true
		c.retune(config)
	}
	maps.DeleteFunc(c.services, func(name string, _ *service) bool { return !named[name] })
	c.followRoutes()
	return c.end()
}

// followRoutes ends messages whose route is gone, and takes those that wait for a service back that their route leads away from.
func (c *Core) followRoutes() {
	for _, m := range c.messages {
		if m.phase == reported || m.phase == handed && m.job.live() {
			continue
		}
		_, s, gone := c.route(m)
		switch {
		case gone:
			c.finish(m, wire.Report{Kind: wire.ReportDropped})
		case m.service != nil && m.service != s:
			c.leave(m)
			c.schedule(m, waiting, c.now)
		}
	}
}

// retune brings what the plane has for a service up to the configuration, the workers' list and the topology.
func (c *Core) retune(config *catalog.Service) {
	settings := moduleSettings(config, &c.config.Topology)
	s := c.services[config.Name]
	if s == nil {
		module, err := ravendale.New(settings, c.config.Seed^xxhash.Sum64String(config.Name))
		if err != nil {
			return // no configuration makes such settings
		}
		s = &service{name: config.Name, module: module, timer: forever}
		c.services[config.Name] = s
	} else if !sameSettings(&s.settings, &settings) {
		_ = s.module.Retune(settings) // refused, the old ones stay in force
	}
	s.settings, s.endpoint = settings, config.Endpoint
	c.relist(s, config)
	c.limit(s, config)
}

func sameSettings(a, b *ravendale.Settings) bool {
	return a.Dispatchers == b.Dispatchers && a.Me == b.Me && a.MaxAttempts == b.MaxAttempts && a.Classes[0] == b.Classes[0]
}

// relist tells a module of its workers, and wakes what waited for the first of them.
func (c *Core) relist(s *service, config *catalog.Service) {
	list, addresses := entries(config, c.workers, &c.gone, &c.config.Topology)
	if slices.Equal(list, s.listed) && sameAddresses(s.addresses, addresses) {
		return
	}
	were := s.ready
	s.capacities = capacities(c.workers, addresses)
	s.listed, s.addresses, s.ready = list, addresses, 0
	for i := range list {
		if list[i].State == ravendale.Ready {
			s.ready++
		}
	}
	c.feed(s, ravendale.Event{Kind: ravendale.WorkersListed, List: ravendale.Full, Entries: list})
	if were == 0 && s.ready > 0 {
		c.hurry(s)
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

// hurry has a service's paused messages tried at once.
func (c *Core) hurry(s *service) {
	for _, m := range c.messages {
		if m.phase != waiting || m.pauses == 0 {
			continue
		}
		if _, found, _ := c.route(m); found == s {
			m.pauses = 0
			c.schedule(m, waiting, max(c.now, m.start))
		}
	}
}

// limit sets a service's share of its ceiling. A new share's bucket is empty.
func (c *Core) limit(s *service, config *catalog.Service) {
	if config.RatePerS <= 0 {
		s.bucket = nil
		c.lookAnew(s.throttled)
		s.throttled = nil
		return
	}
	c.lookAnew(s.queue.messages)
	s.queue.messages = nil
	c.forgetEmpty()
	ceiling := Ceiling{RatePerS: config.RatePerS, Window: c.config.Window, Overshoot: c.config.Overshoot}
	share := ceiling.Divide(s.name, c.config.Topology.Edge, c.config.Topology.Edges)
	s.room = c.roomAt(s, config)
	if s.bucket == nil || s.bucket.share != share {
		s.bucket = newBucket(share, c.now)
	}
	if share.Burst == 0 {
		for _, m := range slices.Clone(s.throttled) {
			c.release(m)
		}
	}
}

// roomAt is how many connections may be open to all workers of a service.
func (c *Core) roomAt(s *service, config *catalog.Service) int {
	if config.MaxConns <= 0 {
		return math.MaxInt // no bound is given
	}
	room := 0
	for _, connections := range s.connections(config, max(c.edges.highest(c.now), len(c.config.Topology.Edges))) {
		room += connections
	}
	return room
}

// List takes the platform's list of workers.
func (c *Core) List(now time.Duration, workers *wire.Workers) []Action {
	c.begin(now)
	c.workers = workers
	c.gone.keep(workers)
	c.retuneAll()
	return c.end()
}

// lose takes a worker for gone whose address another has, whatever the list says: a worker that starts again has another name.
func (c *Core) lose(s *service, name string) {
	config := c.index.Service(s.name)
	if config == nil || s.endpoint != "" || c.gone.has(name) {
		return
	}
	c.gone.add(c.now, name)
	c.relist(s, config)
}

// Place takes the edges that share the work.
func (c *Core) Place(now time.Duration, edges []wire.Edge) []Action {
	c.begin(now)
	c.config.Topology.Edges = edges
	c.edges.add(c.now, len(edges))
	c.retuneAll()
	return c.end()
}

func (c *Core) retuneAll() {
	if c.index == nil {
		return
	}
	for i := range c.index.Config().Services {
		c.retune(&c.index.Config().Services[i])
	}
}

// Connections says what this edge may have of each worker's connections, by name.
func (c *Core) Connections() map[string]worker.Share {
	shares := make(map[string]worker.Share)
	if c.index == nil {
		return shares
	}
	edges := max(c.edges.highest(c.now), len(c.config.Topology.Edges))
	for _, s := range c.services {
		config := c.index.Service(s.name)
		if config == nil {
			continue
		}
		scarce := isScarce(config.MaxConns, edges)
		for name, most := range s.connections(config, edges) {
			shares[name] = worker.Share{Most: most, Scarce: scarce}
		}
	}
	return shares
}

// capacities says how many messages workers run at once, by name.
func capacities(workers *wire.Workers, named map[string]string) map[string]int {
	capacities := make(map[string]int, len(named))
	if workers == nil {
		return capacities
	}
	for i := range workers.Entries {
		if w := &workers.Entries[i]; named[w.ID] != "" {
			capacities[w.ID] = int(w.Capacity)
		}
	}
	return capacities
}
