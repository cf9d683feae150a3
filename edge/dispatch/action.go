package dispatch

import (
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// JobID identifies one submission of a message to a decision module. Each submission gets a new ID.
type JobID uint32

// Action is an action that the owner of a Core must execute.
type Action interface{ action() }

// Deliver requests a delivery attempt. Its outcome must be passed to Core.FinishAttempt.
type Deliver struct {
	Job      JobID
	Attempt  int
	Delivery worker.Delivery
}

// Cancel requests that an attempt's connection be closed. The outcome must still be passed to Core.FinishAttempt.
type Cancel struct {
	Job     JobID
	Attempt int
}

// Report requests that the queue be notified of an outcome, repeatedly until it acknowledges.
type Report struct{ Report wire.Report }

func (Deliver) action() {}

func (Cancel) action() {}

func (Report) action() {}
