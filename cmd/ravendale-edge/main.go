// Command ravendale-edge is the scheduler of an edge machine: it accepts messages from clients, writes them to stores, which keep them
// on disk, and delivers them to workers.
package main

import (
	"context"

	"ravendale/cluster/program"
)

const gcPercent = 60 // GOGC value; low, because small heaps are cheap to collect

func main() {
	program.Run("ravendale-edge", "Accepts messages from clients and delivers them to workers.",
		func(ctx context.Context, env program.Environment) error {
			program.SetMemoryLimits(gcPercent, env.Settings.MemoryMb)
			return newEdge(env).run(ctx)
		})
}
