// Command ravendale-control runs one process of the control plane: the operator API, the replicated control state and, in the
// process that holds the leader lease, membership, discovery and the placement of the queue.
package main

import (
	"context"

	"ravendale/cluster/program"
)

// Garbage collection settings. The heap is small, so frequent collections cost little.
const (
	gcPercent     = 50
	memoryDivisor = 2 // the process aims to use at most its memory limit divided by this
	name          = "ravendale-control"
	description   = "The control plane of ravendale: configuration, membership, discovery and placement."
)

func main() {
	program.Run(name, description, func(ctx context.Context, env program.Environment) error {
		program.SetMemoryLimits(gcPercent, env.Settings.MemoryMb/memoryDivisor)
		c, err := newControlProcess(env)
		if err != nil {
			return err
		}
		return c.run(ctx)
	})
}
