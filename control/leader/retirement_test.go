package leader

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
	"ravendale/control/placement"
	"ravendale/control/state"
)

// holdsAny reports whether a node has a replica of any partition.
func holdsAny(view *wire.StoreView, node string) bool {
	for i, s := range view.Stores {
		if s.Node == node && placement.IsMember(view, i) {
			return true
		}
	}
	return false
}

func TestRetireStore(t *testing.T) {
	f := newFleet(t, 1)
	service := f.controls[0].service
	require.ErrorIs(t, service.StartRetire(t.Context(), "s-0"), ErrNotLeading)
	f.lead(f.controls[0])
	stores := f.startStores(3)
	f.eventually("the queue is placed", func() bool { return isComplete(f.view(), "") })
	require.ErrorIs(t, service.StartRetire(t.Context(), "nobody"), ErrUnknownNode)
	_, err := service.RetireState(t.Context(), "nobody")
	require.ErrorIs(t, err, ErrUnknownNode)

	require.NoError(t, service.StartRetire(t.Context(), "s-0"))
	require.NoError(t, service.StartRetire(t.Context(), "s-0"), "the order may be repeated")
	done, err := service.RetireState(t.Context(), "s-0")
	require.NoError(t, err)
	require.False(t, done)
	f.completePlacement(stores, "s-0")
	done, err = service.RetireState(t.Context(), "s-0")
	require.NoError(t, err)
	require.True(t, done)
	require.ErrorIs(t, service.StartRetire(t.Context(), "s-1"), ErrTooFew)
}

// TestRetirementSurvivesLeaderChange checks that an order remains in effect under the next leader, and in a state
// machine restored from a snapshot.
func TestRetirementSurvivesLeaderChange(t *testing.T) {
	f := newFleet(t, 2)
	f.lead(f.controls[0])
	stores := f.startStores(3)
	f.eventually("the queue is placed", func() bool { return isComplete(f.view(), "") })
	require.NoError(t, f.controls[0].service.StartRetire(t.Context(), "s-0"))
	f.controls[0].depose()
	nextLeader := f.controls[1].service
	f.lead(f.controls[1])
	f.eventually("the next leader acknowledges the repeated order", func() bool { return nextLeader.StartRetire(t.Context(), "s-0") == nil })
	f.completePlacement(stores, "s-0")
	f.eventually("the store is empty", func() bool {
		done, err := f.controls[0].service.RetireState(t.Context(), "s-0")
		return err == nil && done
	})
	restored := state.NewMachine()
	require.NoError(t, restored.Restore(f.machine.Snapshot()))
	_, retiring, done := placement.Retirement(restored.Current().Placement, "s-0")
	require.True(t, retiring && done)
	require.NoError(t, nextLeader.StartRetire(t.Context(), "s-0"), "the order may be repeated after the store is empty")
}

// TestPartitionedProcessDoesNotReportStoreEmpty checks that a process which can't reach the others returns an error:
// operators discard the disk of a store that is reported empty.
func TestPartitionedProcessDoesNotReportStoreEmpty(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	stores := f.startStores(3)
	f.eventually("the queue is placed", func() bool { return isComplete(f.view(), "") })
	service := f.controls[0].service
	require.NoError(t, service.StartRetire(t.Context(), "s-0"))
	f.completePlacement(stores, "s-0")
	f.mu.Lock()
	f.refuse = errors.New("partitioned")
	f.mu.Unlock()
	_, err := service.RetireState(t.Context(), "s-0")
	require.ErrorIs(t, err, ErrNotLeading)
}

func TestRetireIsForwardedToLeader(t *testing.T) {
	f := newFleet(t, 2)
	f.lead(f.controls[0])
	f.startStores(3)
	f.eventually("the queue is placed", func() bool { return isComplete(f.view(), "") })
	other := f.controls[1].service
	require.ErrorIs(t, other.StartRetire(t.Context(), "nobody"), ErrUnknownNode)
	require.NoError(t, other.StartRetire(t.Context(), "s-1"))
	require.True(t, f.view().Stores[1].Retiring)
	require.ErrorIs(t, other.StartRetire(t.Context(), "s-2"), ErrTooFew)
	f.controls[0].depose()
	require.ErrorIs(t, other.StartRetire(t.Context(), "s-1"), ErrNotLeading)
}

// A leader's answer with a code that is not known, perhaps of another version, says neither that a store is being emptied nor
// that it is empty, and a forwarded order may have taken effect.
func TestUnknownRetireCodeDecidesNothing(t *testing.T) {
	const unknown = RetireUndecided + 1
	mux := rpc.NewMux()
	rpc.Handle(mux, wire.MethodRetireState, func(_ *rpc.Conn, _ *Retire, reply rpc.Reply) {
		reply.Send(&RetireStateReply{Code: unknown, Done: true})
	})
	rpc.Handle(mux, wire.MethodRetire, func(_ *rpc.Conn, _ *Retire, reply rpc.Reply) {
		reply.Send(&RetireReply{Code: unknown})
	})
	server, err := rpc.Listen("127.0.0.1:0", rpc.Options{Mux: mux}, nil)
	require.NoError(t, err)
	defer server.Close()
	done, err := forwardRetireState(t.Context(), server.Address(), "s-1")
	require.ErrorIs(t, err, ErrNotLeading)
	require.False(t, done)
	require.ErrorIs(t, forwardRetire(t.Context(), server.Address(), "s-1"), ErrUndecided)
}
