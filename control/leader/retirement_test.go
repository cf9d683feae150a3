package leader

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
	"ravendale/control/placement"
	"ravendale/control/state"
)

func holdsAny(view *wire.StoreView, node string) bool {
	for i, s := range view.Stores {
		if s.Node == node && placement.Holds(view, i) {
			return true
		}
	}
	return false
}

func TestAStoreIsRetired(t *testing.T) {
	f := newFleet(t, 1)
	service := f.controls[0].service
	require.ErrorIs(t, service.StartRetire(t.Context(), "s-0"), ErrNotLeading)
	f.lead(f.controls[0])
	stores := f.stores(3)
	f.eventually("it is placed", func() bool { return complete(f.view(), "") })
	require.ErrorIs(t, service.StartRetire(t.Context(), "nobody"), ErrUnknownNode)
	_, err := service.RetireState(t.Context(), "nobody")
	require.ErrorIs(t, err, ErrUnknownNode)

	require.NoError(t, service.StartRetire(t.Context(), "s-0"))
	require.NoError(t, service.StartRetire(t.Context(), "s-0"), "the order may be repeated")
	done, err := service.RetireState(t.Context(), "s-0")
	require.NoError(t, err)
	require.False(t, done)
	f.filled(stores, "s-0")
	done, err = service.RetireState(t.Context(), "s-0")
	require.NoError(t, err)
	require.True(t, done)
	require.ErrorIs(t, service.StartRetire(t.Context(), "s-1"), ErrTooFew)
}

// The order outlives the leader that took it, and all that the processes keep in memory.
func TestARetirementOutlivesItsLeader(t *testing.T) {
	f := newFleet(t, 2)
	f.lead(f.controls[0])
	stores := f.stores(3)
	f.eventually("it is placed", func() bool { return complete(f.view(), "") })
	require.NoError(t, f.controls[0].service.StartRetire(t.Context(), "s-0"))
	f.controls[0].depose()
	again := f.controls[1].service
	f.lead(f.controls[1])
	f.eventually("the next one takes the order again", func() bool { return again.StartRetire(t.Context(), "s-0") == nil })
	f.filled(stores, "s-0")
	f.eventually("it is done", func() bool {
		done, err := f.controls[0].service.RetireState(t.Context(), "s-0")
		return err == nil && done
	})
	restored := state.NewMachine()
	require.NoError(t, restored.Restore(f.machine.Snapshot()))
	_, retiring, done := placement.Retirement(restored.Current().Placement, "s-0")
	require.True(t, retiring && done)
	require.NoError(t, again.StartRetire(t.Context(), "s-0"), "after its end, too")
}

// A process that is cut off from the others says nothing: at the word that a store is empty its disk is thrown away.
func TestAPartitionedProcessDoesNotSayThatAStoreIsEmpty(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	stores := f.stores(3)
	f.eventually("it is placed", func() bool { return complete(f.view(), "") })
	service := f.controls[0].service
	require.NoError(t, service.StartRetire(t.Context(), "s-0"))
	f.filled(stores, "s-0")
	f.mu.Lock()
	f.refuse = errors.New("cut off")
	f.mu.Unlock()
	_, err := service.RetireState(t.Context(), "s-0")
	require.ErrorIs(t, err, ErrNotLeading)
}

func TestAnOrderToRetireIsPassedOnToTheLeader(t *testing.T) {
	f := newFleet(t, 2)
	f.lead(f.controls[0])
	f.stores(3)
	f.eventually("it is placed", func() bool { return complete(f.view(), "") })
	other := f.controls[1].service
	require.ErrorIs(t, other.StartRetire(t.Context(), "nobody"), ErrUnknownNode)
	require.NoError(t, other.StartRetire(t.Context(), "s-1"))
	require.True(t, f.view().Stores[1].Retiring)
	require.ErrorIs(t, other.StartRetire(t.Context(), "s-2"), ErrTooFew)
	f.controls[0].depose()
	require.ErrorIs(t, other.StartRetire(t.Context(), "s-1"), ErrNotLeading)
}
