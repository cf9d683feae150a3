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

// reportSynced makes the stores report all of their joining replicas as synced.
func reportSynced(f *fleet, stores []*process) {
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

// isComplete reports whether each partition has two complete replicas, and none on the node without.
func isComplete(view *wire.StoreView, without string) bool {
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

// completePlacement makes the stores report their joining replicas until the placement is complete without a node.
func (f *fleet) completePlacement(stores []*process, without string) {
	f.t.Helper()
	f.eventually("all replicas are complete", func() bool {
		reportSynced(f, stores)
		return isComplete(f.view(), without)
	})
}

func TestFailedStoreIsReplaced(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	stores := f.startStores(3)
	f.eventually("the queue is placed", func() bool { return isComplete(f.view(), "") })
	require.Len(t, f.view().Stores, 3)
	f.eventually("the stores have the placement", all(stores, func(p *process) bool { return p.Snapshot().Stores != nil && p.Current() }))
	time.Sleep(storeReconnectTimeout) // until then a new leader treats no store as failed

	stores[0].kill()
	started := time.Now()
	f.eventually("the failed store has no replicas", func() bool { return !holdsAny(f.view(), "s-0") })
	require.Less(t, time.Since(started), time.Second)
	f.completePlacement(stores[1:], "s-0")

	restarted := f.startMember(wire.Member{Node: "s-0", Zone: "z0", Storage: true, Address: stores[0].self.Address})
	f.eventually("the restarted store has replicas again", func() bool {
		reportSynced(f, append(stores[1:], restarted))
		return holdsAny(f.view(), "s-0")
	})
	f.completePlacement(append(stores[1:], restarted), "")
}

func TestLeavingStoreLosesPrimaries(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	stores := f.startStores(3)
	f.eventually("the queue is placed", func() bool { return isComplete(f.view(), "") })
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	stores[0].Leave(ctx)
	require.NoError(t, ctx.Err())
	f.eventually("no partition has the leaving store as its primary", func() bool {
		view := f.view()
		return !slices.ContainsFunc(view.Partitions, func(p wire.Placement) bool { return view.Stores[p.Replicas[0]].Node == "s-0" })
	})
}

func TestFailedPlacementIsRetried(t *testing.T) {
	f := newFleet(t, 1)
	f.lead(f.controls[0])
	f.eventually("the process leads", func() bool { return f.controls[0].service.activeTerm() != nil })
	f.mu.Lock()
	f.refuse = context.DeadlineExceeded
	f.mu.Unlock()
	f.startStores(3)
	time.Sleep(bootstrapQuietPeriod + 300*time.Millisecond)
	require.Nil(t, f.view())
	f.mu.Lock()
	f.refuse = nil
	f.mu.Unlock()
	f.eventually("the queue is placed", func() bool { return isComplete(f.view(), "") })
}
