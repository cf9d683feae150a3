// Package dispatch delivers the messages that an edge holds. The Core decides: time and events in, actions out, with one
// decision module for each service. The Plane gives it the clock, the workers' connections and the queue.
package dispatch

import (
	"time"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// JobID names a message's stay with a decision module. Each hand-over to the module makes another.
type JobID uint32

// Action is one thing that the owner of a Core is to do.
type Action interface{ action() }

// Deliver asks for an attempt to be made. Its end is told by Ended.
type Deliver struct {
	Job      JobID
	Attempt  int
	Delivery worker.Delivery
}

// Cancel asks for an attempt's connection to be closed. Its end is told all the same.
type Cancel struct {
	Job     JobID
	Attempt int
}

// Report asks for the queue to be told of an outcome, until it has acknowledged that.
type Report struct{ Report wire.Report }

func (Deliver) action() {}
func (Cancel) action()  {}
func (Report) action()  {}

// Topology is where the edge stands among others.
type Topology struct {
	Edge  string      // Member.ID of this edge
	Zone  string      // its own
	Zones []string    // all, in the same order everywhere
	Edges []wire.Edge // all, this one included once it is known
}

// Times of the plane.
const (
	giveBack      = 1500 * time.Millisecond // a module that found no worker for so long gives a message back
	firstPause    = 40 * time.Millisecond   // before a message is tried again that nothing ran, doubling
	longestPause  = time.Second
	failedPause   = 150 * time.Millisecond // after the second failed attempt, doubling
	longestFailed = 2 * time.Second
	returnPause   = 15 * time.Millisecond  // before a message is given back that may come again at once
	tokenLife     = 20 * time.Millisecond  // a token is spent so soon, or lost
	longestLine   = 300 * time.Millisecond // for a token: new messages are another edge's to deliver while it is longer
	repeatPause   = 120 * time.Millisecond // while another attempt of the message is running
	expirySlack   = 500 * time.Millisecond // clocks of day differ, and no message may end early
	forever       = 1000 * time.Hour
)

// messageOverhead is what a held message takes besides its body, in bytes.
const messageOverhead = 700

// deliverable says whether a route's messages may be delivered under a configuration.
func deliverable(route *catalog.Route) bool { return route != nil && route.Type == DeferredType }

// DeferredType is the type of the routes whose requests are messages.
const DeferredType = "deferred"
