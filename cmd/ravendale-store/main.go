// Command ravendale-store is the durable queue of a storage machine: it accepts messages, replicates them to other stores, and leases
// them to edges for delivery until they are finished.
package main

import (
	"context"

	"ravendale/cluster/program"
)

const gcPercent = 50 // GOGC value; low, because small heaps are cheap to collect

func main() {
	program.Run("ravendale-store", "Stores messages until they are finished.",
		func(ctx context.Context, env program.Environment) error {
			program.SetMemoryLimits(gcPercent, env.Settings.MemoryMb)
			p, err := newProcess(ctx, env)
			if err != nil {
				return err
			}
			return p.run(ctx)
		})
}
