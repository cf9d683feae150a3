package dispatch

import (
	"time"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// Config holds the options of a Core.
type Config struct {
	Topology     Topology
	Window       time.Duration // of rate limits: see rateLimit
	Overshoot    float64       // of rate limits: see rateLimit
	MaxBodyBytes int           // limit on Core.MessageBytes; 0: no limit. A granted message in excess of it is released
	Seed         uint64
}

// Topology describes this edge, its zone and the other edges of the system.
type Topology struct {
	Edge  string      // wire.Member.ID of this edge
	Zone  string      // zone of this edge
	Zones []string    // all zones, in the same order at all edges
	Edges []wire.Edge // all edges, including this one once it is listed
}

// Delays and time-outs of the Core.
const (
	moduleTimeout     = 1500 * time.Millisecond // a message is withdrawn from a module that has found no worker by then
	minBackoff        = 40 * time.Millisecond   // before a message that was not run is attempted again; doubles each time
	maxBackoff        = time.Second
	minFailureBackoff = 150 * time.Millisecond // after the second failed attempt; doubles with each further one
	maxFailureBackoff = 2 * time.Second
	maxConfigWait     = time.Second            // before a message is released for which the configuration may be too old
	maxLeaseWait      = time.Second            // before a message is released whose lease no store confirms
	releaseDelay      = 15 * time.Millisecond  // before a message is released that may be granted again at once
	tokenTTL          = 20 * time.Millisecond  // a token that was not used by then is discarded
	maxTokenWait      = 300 * time.Millisecond // while the wait for a token is longer, new messages are left to other edges
	duplicateDelay    = 120 * time.Millisecond // before a retry, while another attempt of the message is running
	expiryMargin      = 500 * time.Millisecond // wall clocks differ, and no message may expire early
	forever           = 1000 * time.Hour
)

// messageOverhead is the memory that a message uses in addition to its body, in bytes.
const messageOverhead = 700

// deliverable reports whether a route was found and its requests are messages.
func deliverable(route *catalog.Route) bool { return route != nil && route.Type == DeferredType }

// DeferredType is the type, as written in the configuration, of routes whose requests are messages.
const DeferredType = "deferred"
