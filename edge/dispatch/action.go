package dispatch

import (
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// JobID names a message's stay with a decision module. Each submission to the module makes a new one.
type JobID uint32

// Action is one thing that the owner of a Core is to do.
type Action interface{ action() }

// Deliver requests an attempt. Its outcome is to be passed to Core.FinishAttempt.
type Deliver struct {
	Job      JobID
	Attempt  int
	Delivery worker.Delivery
}

// Cancel requests that an attempt's connection be closed. Its outcome is passed to Core.FinishAttempt all the same.
type Cancel struct {
	Job     JobID
	Attempt int
}

// Report requests that the queue be notified of an outcome, repeatedly until it acknowledges.
type Report struct{ Report wire.Report }

func (Deliver) action() {}

func (Cancel) action() {}

func (Report) action() {}
