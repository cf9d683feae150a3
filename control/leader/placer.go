package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"ravendale/cluster/wire"
	"ravendale/control/placement"
	"ravendale/control/registry"
	"ravendale/control/state"
)

// Timeouts and intervals of the placement.
const (
	storeReconnectTimeout = 1500 * time.Millisecond // for stores to reach a new leader, before a missing one counts as unavailable
	bootstrapQuietPeriod  = 500 * time.Millisecond  // without a new store, before the first placement of the queue
	placementInterval     = 200 * time.Millisecond  // each new placement is disruptive: only urgent ones are made at once
)

// errPlacementRefused is returned when the state machine refused the placement.
var errPlacementRefused = errors.New("leader: the placement was refused")

// placer adapts the placement of the queue to the stores that hold a lease. It submits one placement at a time.
type placer struct {
	*leadership
	registry *registry.Registry

	renewedDisks map[string]bool // disks of the stores that renewed in this term
	newStoreAt   time.Duration   // when the newest of them renewed first

	planDue   bool            // an input of the placement has changed since it was last planned
	plannedAt time.Duration   // when the placement was last planned
	urgent    bool            // since then a store's lease expired, a store began to leave, or a store's disk stalled
	view      *wire.StoreView // the newest placement that this process has applied
	epoch     uint64          // of the newest placement that this term knows to be committed

	submitting    bool
	submittedAt   time.Duration
	retryAt       time.Duration
	pendingOrders []func(ctx context.Context) // orders to retire a store, to be handled by the next tick
}

func newPlacer(l *leadership, registry *registry.Registry) *placer {
	return &placer{leadership: l, registry: registry, renewedDisks: make(map[string]bool)}
}

// recordRenewal records a store that renews for the first time in this term.
func (p *placer) recordRenewal(now time.Duration, member *wire.Member) {
	if member.Storage && !p.renewedDisks[member.Disk] {
		p.renewedDisks[member.Disk] = true
		p.newStoreAt = now
	}
}

// recordChanges records whether changes of the leases require a new plan.
func (p *placer) recordChanges(changes registry.Changes) {
	p.planDue = p.planDue || changes.Stores
	p.urgent = p.urgent || changes.Urgent
}

// updateView takes over the placement that this process has applied.
func (p *placer) updateView(snapshot *state.Snapshot) {
	if snapshot.Placement != p.view {
		p.view, p.planDue = snapshot.Placement, true
	}
	p.epoch = max(p.epoch, snapshot.Epoch())
}

// addDeadlines calls consider with each later time at which the placement may have to be planned.
func (p *placer) addDeadlines(now time.Duration, consider func(at time.Duration)) {
	for _, at := range []time.Duration{storeReconnectTimeout, p.newStoreAt + bootstrapQuietPeriod, p.retryAt} {
		if at > now {
			consider(at)
		}
	}
}

// liveStores lists the stores that the placement may use: those that hold a lease, and until storeReconnectTimeout also
// those of the current placement that have not renewed in this term yet.
func (p *placer) liveStores(now time.Duration, view *wire.StoreView) []placement.Store {
	var live []placement.Store
	for _, s := range p.registry.Stores() {
		if s.Member.Disk == "" {
			continue
		}
		live = append(live, placement.Store{
			Disk: s.Member.Disk, Node: s.Member.Node, Address: s.Member.Address, Zone: s.Member.Zone, Region: s.Member.Region,
			Leaving: s.Member.Leaving, Stalled: s.Status.Stalled, Epoch: s.Status.Epoch, Synced: s.Status.Synced,
		})
	}
	if view == nil || now >= storeReconnectTimeout {
		return live
	}
	renewed := live
	for _, s := range view.Stores {
		if !p.renewedDisks[s.Disk] && !isReplaced(s, renewed) {
			live = append(live, placement.Store{
				Disk: s.Disk, Node: s.Node, Address: s.Address, Zone: s.Zone, Region: s.Region, Assumed: true,
			})
		}
	}
	return live
}

// isReplaced reports whether one of the live stores has the node or the address of s.
func isReplaced(s wire.Store, live []placement.Store) bool {
	return slices.ContainsFunc(live, func(l placement.Store) bool { return l.Node == s.Node || l.Address == s.Address })
}

// replan plans the placement if an input has changed or a deadline has passed, and submits the plan if it differs from
// the current placement.
func (p *placer) replan(ctx context.Context, now time.Duration) {
	view := p.view
	if p.submitting || now < p.retryAt || view != nil && view.Epoch < p.epoch {
		return
	}
	if !p.planDue && !p.passedSincePlan(now, storeReconnectTimeout) && !p.passedSincePlan(now, p.retryAt) && !p.passedSincePlan(now, p.newStoreAt+bootstrapQuietPeriod) {
		return
	}
	p.planDue, p.plannedAt = false, now
	if view == nil && now < p.newStoreAt+bootstrapQuietPeriod {
		return
	}
	next, changed := placement.Plan(view, p.liveStores(now, view), placementConfig(p.service.settings.Load()))
	if !changed {
		p.urgent = false
		return
	}
	if wait := p.submittedAt + placementInterval; !p.urgent && p.submittedAt > 0 && now < wait {
		p.retryAt = wait
		return
	}
	p.urgent = false
	p.propose(ctx, next, nil)
}

// passedSincePlan reports whether a time has been reached since the placement was last planned.
func (p *placer) passedSincePlan(now, at time.Duration) bool { return p.plannedAt < at && at <= now }

// propose submits a placement in a task of its own. The outcome is sent to answer unless that is nil.
func (p *placer) propose(ctx context.Context, view *wire.StoreView, answer chan<- error) {
	p.submitting, p.submittedAt = true, p.now()
	p.tasks.Go(func() {
		err := p.submit(ctx, view)
		if answer != nil {
			answer <- err
		}
		p.box.Post(func() {
			p.submitting = false
			if err != nil {
				p.retryAt = p.now() + retryPause
				return
			}
			p.epoch = max(p.epoch, view.Epoch)
			p.service.log.Info("new placement of the queue committed", "term", p.number, "epoch", view.Epoch, "stores", nodesOf(view), "joining", countJoining(view))
		})
	})
}

func nodesOf(view *wire.StoreView) []string {
	var nodes []string
	for i := range view.Stores {
		nodes = append(nodes, view.Stores[i].Node)
	}
	return nodes
}

// countJoining returns the number of partitions of a placement that have a joining replica.
func countJoining(view *wire.StoreView) int {
	count := 0
	for i := range view.Partitions {
		if len(view.Partitions[i].Joining) > 0 {
			count++
		}
	}
	return count
}

func (p *placer) submit(ctx context.Context, view *wire.StoreView) error {
	if !p.valid() {
		return ErrNotLeading
	}
	result, err := p.service.submit(ctx, &state.PutPlacement{Term: p.number, View: *view})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUndecided, err)
	}
	if !result.Applied() {
		p.service.log.Warn("placement refused by the state machine", "epoch", view.Epoch, "outcome", result.Outcome.String())
		return fmt.Errorf("%w: %s", errPlacementRefused, result.Outcome)
	}
	return nil
}
