package dispatch

import (
	"time"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// Config of a Core.
type Config struct {
	Topology  Topology
	Window    time.Duration // of ceilings
	Overshoot float64       // of ceilings
	Converge  time.Duration // a route that is missing here may be new: granted messages wait so long for it
	MaxBodies int           // bytes of held messages; more is given back
	Seed      uint64
}

// Topology is where the edge stands among others.
type Topology struct {
	Edge  string      // Member.ID of this edge
	Zone  string      // its own
	Zones []string    // all, in the same order everywhere
	Edges []wire.Edge // all, this one included once it is known
}

// Times of the plane.
const (
	moduleTimeout     = 1500 * time.Millisecond // a module that found no worker for so long gives a message back
	minBackoff        = 40 * time.Millisecond   // before a message is tried again that nothing ran, doubling
	maxBackoff        = time.Second
	minFailureBackoff = 150 * time.Millisecond // after the second failed attempt, doubling
	maxFailureBackoff = 2 * time.Second
	releaseDelay      = 15 * time.Millisecond  // before a message is given back that may come again at once
	tokenTTL          = 20 * time.Millisecond  // a token is spent so soon, or lost
	maxTokenWait      = 300 * time.Millisecond // for a token: new messages are another edge's to deliver while it is longer
	duplicateDelay    = 120 * time.Millisecond // while another attempt of the message is running
	expiryMargin      = 500 * time.Millisecond // clocks of day differ, and no message may end early
	forever           = 1000 * time.Hour
)

// messageOverhead is what a held message takes besides its body, in bytes.
const messageOverhead = 700

// deliverable says whether a route's messages may be delivered under a configuration.
func deliverable(route *catalog.Route) bool { return route != nil && route.Type == DeferredType }

// DeferredType is the type of the routes whose requests are messages.
const DeferredType = "deferred"
