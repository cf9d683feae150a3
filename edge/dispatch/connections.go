package dispatch

import (
	"math"
	"time"

	"ravendale/cluster/catalog"
	"ravendale/edge/worker"
)

// The parts of a worker's connections that edges may have.
const (
	connectionFraction = 0.8              // all together: those of processes that have just ended may still be open
	connectionSlack    = 2                // one edge, above what the worker runs at once
	edgePeakWindow     = 10 * time.Second // where the list of edges was longer a while ago, it counts as that long
	minConnections     = 1
)

// connectionShare is how many connections one of a number of edges may have to a worker that takes maxConns; 0 is no bound.
func connectionShare(maxConns, edges int) int {
	if maxConns <= 0 {
		return 0
	}
	return max(minConnections, int(connectionFraction*float64(maxConns)/float64(max(edges, 1))))
}

// isScarce says whether a worker takes fewer connections than there are edges. Each may still have one.
func isScarce(maxConns, edges int) bool {
	return maxConns > 0 && connectionFraction*float64(maxConns) < minConnections*float64(edges)
}

// connectionLimits is how many connections this edge may have to each worker of a service.
func (s *service) connectionLimits(config *catalog.Service, edges int) map[string]int {
	share := connectionShare(config.MaxConns, edges)
	limits := make(map[string]int, len(s.addresses))
	for name := range s.addresses {
		limits[name] = share
	}
	if s.endpoint != "" || share == 0 {
		return limits
	}
	for name := range limits {
		limits[name] = min(share, s.capacities[name]+connectionSlack)
	}
	return limits
}

// connectionCapacity is how many connections may be open to all workers of a service.
func (c *Core) connectionCapacity(s *service, config *catalog.Service) int {
	if config.MaxConns <= 0 {
		return math.MaxInt // no bound is given
	}
	capacity := 0
	for _, connections := range s.connectionLimits(config, max(c.edgePeak.highest(c.now), len(c.config.Topology.Edges))) {
		capacity += connections
	}
	return capacity
}

// Connections says what this edge may have of each worker's connections, by name.
func (c *Core) Connections() map[string]worker.Share {
	shares := make(map[string]worker.Share)
	if c.index == nil {
		return shares
	}
	edges := max(c.edgePeak.highest(c.now), len(c.config.Topology.Edges))
	for _, s := range c.services {
		config := c.index.Service(s.name)
		if config == nil {
			continue
		}
		scarce := isScarce(config.MaxConns, edges)
		for name, most := range s.connectionLimits(config, edges) {
			shares[name] = worker.Share{Max: most, Scarce: scarce}
		}
	}
	return shares
}

// peak knows the highest count of the last while.
type peak struct {
	counts []sample // falling
}

type sample struct {
	at    time.Duration
	count int
}

func (p *peak) add(now time.Duration, count int) {
	for len(p.counts) > 0 && p.counts[len(p.counts)-1].count <= count {
		p.counts = p.counts[:len(p.counts)-1]
	}
	p.counts = append(p.counts, sample{now, count})
}

// highest is the highest count that held at some time since a while before now.
func (p *peak) highest(now time.Duration) int {
	for len(p.counts) > 1 && p.counts[1].at <= now-edgePeakWindow {
		p.counts = p.counts[1:]
	}
	if len(p.counts) == 0 {
		return 0
	}
	return p.counts[0].count
}
