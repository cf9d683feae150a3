package leader

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/control/state"
)

// TestLeaderWithStaleStateTakesNoAction gives the leader lease to a process whose applied state lags behind the core's.
// The process must not answer members nor be the root of the relay tree until it has applied the command that took its
// term, and with it all earlier commands.
func TestLeaderWithStaleStateTakesNoAction(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(document, 0)
	stale := state.NewMachine().Current()
	var reads, caughtUp atomic.Int32
	config := f.controls[0].service.config
	config.Mux = rpc.NewMux()
	config.State = func() *state.Snapshot {
		if caughtUp.Load() > 0 {
			return f.machine.Current()
		}
		reads.Add(1)
		return stale
	}
	service := NewService(config)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		service.Lead(ctx, func() bool { return ctx.Err() == nil })
	}()
	defer func() { cancel(); <-done }()
	require.Eventually(t, func() bool { return reads.Load() > 3 }, timeout, pollInterval)
	require.EqualValues(t, 1, f.machine.Current().Term, "the core has assigned the term")
	require.Nil(t, service.activeTerm())
	require.Nil(t, service.node(), "it is not the root of the relay tree")
	caughtUp.Store(1)
	require.Eventually(t, func() bool { return service.activeTerm() != nil }, timeout, pollInterval)
}
