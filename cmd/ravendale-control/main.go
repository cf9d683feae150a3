// Command ravendale-control is a process of the control plane: the operator's interface, the replicated control state, and, on
// the one that holds the leader lease, membership, discovery and the placement of the queue.
package main

import (
	"context"

	"ravendale/cluster/program"
)

// Garbage collection: a small state, so that a smaller goal costs little.
const (
	gcPercent     = 50
	memoryDivisor = 2 // the process aims to stay under its memory limit divided by this
	name          = "ravendale-control"
	description   = "The control plane of ravendale: configuration, membership, discovery and placement."
)

func main() {
	program.Run(name, description, func(ctx context.Context, env program.Environment) error {
		program.Memory(gcPercent, env.Settings.MemoryMb/memoryDivisor)
		c, err := newControl(env)
		if err != nil {
			return err
		}
		return c.run(ctx)
	})
}
