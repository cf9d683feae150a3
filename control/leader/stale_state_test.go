package leader

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/control/state"
)

// TestALeaderWithOldStateDoesNotAct gives a process the lease whose own state lags behind what the core has taken: it answers no member and
// is the root of nothing until it has applied the term that it asked for, and with it all that came before.
func TestALeaderWithOldStateDoesNotAct(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(document, 0)
	old := state.NewMachine().Current()
	var reads, current atomic.Int32
	config := f.controls[0].service.config
	config.Mux = rpc.NewMux()
	config.State = func() *state.Snapshot {
		if current.Load() > 0 {
			return f.machine.Current()
		}
		reads.Add(1)
		return old
	}
	service := NewService(config)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		service.Lead(ctx, func() bool { return ctx.Err() == nil })
	}()
	defer func() { cancel(); <-done }()
	require.Eventually(t, func() bool { return reads.Load() > 3 }, soon, often)
	require.EqualValues(t, 1, f.machine.Current().Term, "the core has given it its term")
	require.Nil(t, service.leading())
	require.Nil(t, service.node(), "it is the root of nothing")
	current.Store(1)
	require.Eventually(t, func() bool { return service.leading() != nil }, soon, often)
}
