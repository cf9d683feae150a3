package dispatch

import (
	"math"
	"time"

	"ravendale/cluster/catalog"
	"ravendale/edge/worker"
)

// The shares of a worker's connections that edges may have.
const (
	connectionFraction = 0.8              // of all edges together: those of processes that have just stopped may still be open
	connectionSlack    = 2                // of one edge, above what the worker runs at once
	edgePeakWindow     = 10 * time.Second // the number of edges counts as the highest of this window
	minConnections     = 1
)

// connectionShare returns how many connections one of a number of edges may have to a worker that takes maxConns; 0: no bound.
func connectionShare(maxConns, edges int) int {
	if maxConns <= 0 {
		return 0
	}
	return max(minConnections, int(connectionFraction*float64(maxConns)/float64(max(edges, 1))))
}

// isScarce reports whether a worker takes fewer connections than there are edges. Each may still have one.
func isScarce(maxConns, edges int) bool {
	return maxConns > 0 && connectionFraction*float64(maxConns) < minConnections*float64(edges)
}

// connectionLimits returns how many connections this edge may have to each worker of a service.
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

// connectionCapacity returns how many connections this edge may have to all workers of a service together.
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

// Connections returns this edge's share of each worker's connections, by the worker's name.
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

// peak tracks the highest count within edgePeakWindow.
type peak struct {
	counts []sample // with falling counts
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

// highest returns the highest count that held at some time within the window.
func (p *peak) highest(now time.Duration) int {
	for len(p.counts) > 1 && p.counts[1].at <= now-edgePeakWindow {
		p.counts = p.counts[1:]
	}
	if len(p.counts) == 0 {
		return 0
	}
	return p.counts[0].count
}
