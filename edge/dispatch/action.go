package dispatch

import (
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

func (Cancel) action() {}

func (Report) action() {}
