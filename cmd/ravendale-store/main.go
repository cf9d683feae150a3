// Command ravendale-store is the durable queue of a storage machine: it accepts messages, replicates them with other stores, and has them
// delivered by edges until they are finished.
package main

import (
	"context"

	"ravendale/cluster/program"
)

const garbagePercent = 50 // growth of the heap between collections: small heaps are cheap to collect

func main() {
	program.Run("ravendale-store", "Keeps messages until they have ended.",
		func(ctx context.Context, env program.Environment) error {
			program.Memory(garbagePercent, env.Settings.MemoryMb)
			p, err := newProcess(ctx, env)
			if err != nil {
				return err
			}
			return p.run(ctx)
		})
}
