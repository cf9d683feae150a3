package dispatch

import (
	"time"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// Config holds the options of a Core.
type Config struct {
	Topology        Topology
	Window          time.Duration // of rate limits: see RateLimit
	Overshoot       float64       // of rate limits: see RateLimit
	ConvergenceTime time.Duration // a route that is missing here may be new: a granted message waits so long for it
	MaxBodyBytes    int           // bytes of messages in memory; 0: no bound. A granted message beyond it is released
	Seed            uint64
}

// Topology is the edge's place among the edges of the system.
type Topology struct {
	Edge  string      // Member.ID of this edge
	Zone  string      // of this edge
	Zones []string    // all, in the same order everywhere
	Edges []wire.Edge // all, this one included once it is known
}

// Delays and time-outs of the Core.
const (
	moduleTimeout     = 1500 * time.Millisecond // a module that has found no worker by then gives the message back
	minBackoff        = 40 * time.Millisecond   // before a message that was not run is attempted again, doubling
	maxBackoff        = time.Second
	minFailureBackoff = 150 * time.Millisecond // after the second failed attempt, doubling
	maxFailureBackoff = 2 * time.Second
	releaseDelay      = 15 * time.Millisecond  // before a message is released that may be granted again at once
	tokenTTL          = 20 * time.Millisecond  // a token is spent by then, or discarded
	maxTokenWait      = 300 * time.Millisecond // for a token: while it is longer, new messages are left to other edges
	duplicateDelay    = 120 * time.Millisecond // while another attempt of the message is running
	expiryMargin      = 500 * time.Millisecond // clocks of day differ, and no message may expire early
	forever           = 1000 * time.Hour
)

// messageOverhead is the memory that a message takes besides its body, in bytes.
const messageOverhead = 700

// deliverable reports whether a route's messages may be delivered under a configuration.
func deliverable(route *catalog.Route) bool { return route != nil && route.Type == DeferredType }

// DeferredType is the type of the routes whose requests are messages, as the configuration names it.
const DeferredType = "deferred"
