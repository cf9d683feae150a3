// Command ravendale-edge is the scheduler of an edge machine: it accepts clients' requests, has stores keep them on
// disk, and delivers them to workers.
package main

import (
	"context"

	"ravendale/cluster/program"
)

const garbagePercent = 60 // growth of the heap between collections: small heaps are cheap to collect

func main() {
	program.Run("ravendale-edge", "Takes messages from clients and delivers them to workers.",
		func(ctx context.Context, env program.Environment) error {
			program.Memory(garbagePercent, env.Settings.MemoryMb)
			return newEdge(env).run(ctx)
		})
}
