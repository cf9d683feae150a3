package dispatch

import (
	"math"
	"time"

	"ravendale/edge/worker"
)

// Parameters of an edge's share of the connections to a worker.
const (
	connectionFraction = 0.8              // part used by all edges together: processes that just stopped may still hold the rest
	connectionSlack    = 2                // connections of one edge in excess of the worker's capacity
	edgePeakWindow     = 10 * time.Second // the highest number of edges within this window is used
	minConnections     = 1
)

// connectionShare returns how many connections each of a number of edges may have to a worker that accepts maxConns. 0
// means no limit.
func connectionShare(maxConns, edges int) int {
	if maxConns <= 0 {
		return 0
	}
	return max(minConnections, int(connectionFraction*float64(maxConns)/float64(max(edges, 1))))
}

// isScarce reports whether a worker accepts fewer connections than there are edges. Each edge may still have one.
func isScarce(maxConns, edges int) bool {
	return maxConns > 0 && connectionFraction*float64(maxConns) < minConnections*float64(edges)
}

// edgeCount returns how many edges share connections: the highest number within edgePeakWindow.
func (c *Core) edgeCount() int { return max(c.edgePeak.highest(c.now), len(c.edges.edges)) }

// updateConnections computes this edge's share of the connections to each worker of a service.
func (c *Core) updateConnections(s *service) {
	edges := c.edgeCount()
	share := worker.Share{Max: connectionShare(s.config.MaxConns, edges), Scarce: isScarce(s.config.MaxConns, edges)}
	if share != s.connections {
		s.connections = share
		c.connectionsChanged = true
	}
}

// connectionLimit returns how many connections this edge may have to a worker of a service. 0 means no limit.
func (s *service) connectionLimit(name string) int {
	if s.endpoint != "" || s.connections.Max == 0 {
		return s.connections.Max
	}
	return min(s.connections.Max, s.capacities[name]+connectionSlack)
}

// connectionCapacity returns how many connections this edge may have to all workers of a service together.
func (s *service) connectionCapacity() int {
	if s.config.MaxConns <= 0 {
		return math.MaxInt // no limit is configured
	}
	capacity := 0
	for name := range s.addresses {
		capacity += s.connectionLimit(name)
	}
	return capacity
}

// Connections returns this edge's share of the connections to each worker, by the worker's name.
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

// ConnectionsChanged reports whether the result of Connections may have changed since its last call.
func (c *Core) ConnectionsChanged() bool { return c.connectionsChanged }

// slidingMax tracks the highest count within edgePeakWindow.
type slidingMax struct {
	samples []sample // in order of time, with decreasing counts
}

type sample struct {
	at    time.Duration
	count int
}

func (p *slidingMax) add(now time.Duration, count int) {
	for len(p.samples) > 0 && p.samples[len(p.samples)-1].count <= count {
		p.samples = p.samples[:len(p.samples)-1]
	}
	p.samples = append(p.samples, sample{now, count})
}

// highest returns the highest count that was in force at any time within the window.
func (p *slidingMax) highest(now time.Duration) int {
	for len(p.samples) > 1 && p.samples[1].at <= now-edgePeakWindow {
		p.samples = p.samples[1:]
	}
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[0].count
}
