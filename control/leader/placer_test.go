package leader

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func (f *fleet) view() *wire.StoreView { return f.machine.Current().Placement }

// fill has the stores say that they hold all that they are joining.
func fill(f *fleet, stores []*process) {
	view := f.view()
	for _, s := range stores {
		status := wire.StoreStatus{Epoch: view.Epoch}
		for p, place := range view.Partitions {
			for _, j := range place.Joining {
				if view.Stores[j].Disk == s.self.Disk {
					status.Synced = append(status.Synced, uint16(p))
				}
			}
		}
		s.status.Store(&status)
		s.RenewNow()
	}
}

func complete(view *wire.StoreView, without string) bool {
	if view == nil {
		return false
	}
	for _, place := range view.Partitions {
		if len(place.Replicas) != 2 || len(place.Joining) > 0 {
			return false
		}
		for _, i := range place.Replicas {
			if view.Stores[i].Node == without {
				return false
			}
		}
	}
	return true
}

func (f *fleet) filled(stores []*process, without string) {
	f.t.Helper()
	f.eventually("all copies are made", func() bool {
		fill(f, stores)
		return complete(f.view(), without)
	})
}

func TestTheQueueIsPlacedAndAFailedStoreReplaced(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	stores := f.stores(3)
	f.eventually("it is placed", func() bool { return complete(f.view(), "") })
	require.Len(t, f.view().Stores, 3)
	f.eventually("the stores know", all(stores, func(p *process) bool { return p.Snapshot().Stores != nil && p.Current() }))
	time.Sleep(storeReconnectTimeout) // a leader that has just begun takes nobody for lost

	stores[0].kill()
	started := time.Now()
	f.eventually("it is taken out", func() bool { return !holdsAny(f.view(), "s-0") })
	require.Less(t, time.Since(started), time.Second)
	f.filled(stores[1:], "s-0")

	back := f.member(wire.Member{Node: "s-0", Zone: "z0", Storage: true, Address: stores[0].self.Address})
	f.eventually("it has a part again", func() bool {
		fill(f, append(stores[1:], back))
		return holdsAny(f.view(), "s-0")
	})
	f.filled(append(stores[1:], back), "")
}

func TestALeavingStoreHandsItsPrimariesOver(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	stores := f.stores(3)
	f.eventually("it is placed", func() bool { return complete(f.view(), "") })
	ctx, cancel := context.WithTimeout(t.Context(), soon)
	defer cancel()
	stores[0].Leave(ctx)
	require.NoError(t, ctx.Err())
	f.eventually("others are primaries", func() bool {
		view := f.view()
		return !slices.ContainsFunc(view.Partitions, func(p wire.Placement) bool { return view.Stores[p.Replicas[0]].Node == "s-0" })
	})
}

func TestPlacementsThatFailAreTriedAgain(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	f.eventually("it leads", func() bool { return f.controls[0].service.leading() != nil })
	f.mu.Lock()
	f.refuse = context.DeadlineExceeded
	f.mu.Unlock()
	f.stores(3)
	time.Sleep(bootstrapQuiet + 300*time.Millisecond)
	require.Nil(t, f.view())
	f.mu.Lock()
	f.refuse = nil
	f.mu.Unlock()
	f.eventually("it is placed", func() bool { return complete(f.view(), "") })
}
