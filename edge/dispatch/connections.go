package dispatch

import (
	"math"
	"time"

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

// edgeCount returns how many edges share connections: the highest number of late.
func (c *Core) edgeCount() int { return max(c.edgePeak.highest(c.now), len(c.edges.edges)) }

// updateConnections computes a service's share of each worker's connections.
func (c *Core) updateConnections(s *service) {
	edges := c.edgeCount()
	share := worker.Share{Max: connectionShare(s.config.MaxConns, edges), Scarce: isScarce(s.config.MaxConns, edges)}
	if share != s.connections {
		s.connections = share
		c.connectionsChanged = true
	}
}

// connectionLimit returns how many connections this edge may have to a worker of a service; 0: no bound.
func (s *service) connectionLimit(name string) int {
	if s.endpoint != "" || s.connections.Max == 0 {
		return s.connections.Max
	}
	return min(s.connections.Max, s.capacities[name]+connectionSlack)
}

// connectionCapacity returns how many connections this edge may have to all workers of a service together.
func (s *service) connectionCapacity() int {
	if s.config.MaxConns <= 0 {
		return math.MaxInt // no bound is given
	}
	capacity := 0
	for name := range s.addresses {
		capacity += s.connectionLimit(name)
	}
	return capacity
}

// Connections returns this edge's share of each worker's connections, by the worker's name.
func (c *Core) Connections() map[string]worker.Share {
	c.connectionsChanged = false
	shares := make(map[string]worker.Share)
	for _, s := range c.configured {
		for name := range s.addresses {
			shares[name] = worker.Share{Max: s.connectionLimit(name), Scarce: s.connections.Scarce}
		}
	}
	return shares
}

// ConnectionsChanged reports whether Connections would return something else than it did last.
func (c *Core) ConnectionsChanged() bool { return c.connectionsChanged }

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
