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

// Times of the placement.
const (
	storeReconnectTimeout = 1500 * time.Millisecond // for stores to find a new leader before one of them counts as unavailable
	bootstrapQuiet        = 500 * time.Millisecond  // without a new store, before the queue is placed first
	placementInterval     = 200 * time.Millisecond  // each new placement disturbs: only losses are acted on at once
)

// errStale is returned when the state machine refused the placement.
var errStale = errors.New("leader: the placement was refused")

// placer has the placement of the queue follow the stores that hold a lease, one change at a time.
type placer struct {
	*leadership
	registry *registry.Registry

	disks    map[string]bool // stores that renewed in this term
	newStore time.Duration   // when one of them did so first

	due       bool            // something that the placement goes by has changed since it was planned
	plannedAt time.Duration   // when it was planned last
	urgent    bool            // a store expired, is leaving or stalled since
	view      *wire.StoreView // the newest that this process has applied
	epoch     uint64          // the newest that was agreed on, as far as this term knows

	submitting  bool
	submittedAt time.Duration
	retryAt     time.Duration
	orders      []func(ctx context.Context) // to empty a store, which wait to be looked at
}

func newPlacer(l *leadership, registry *registry.Registry) *placer {
	return &placer{leadership: l, registry: registry, disks: make(map[string]bool)}
}

// renewed notes a store that renews for the first time.
func (p *placer) renewed(now time.Duration, member *wire.Member) {
	if member.Storage && !p.disks[member.Disk] {
		p.disks[member.Disk] = true
		p.newStore = now
	}
}

func (p *placer) changed(changes registry.Changes) {
	p.due = p.due || changes.Stores
	p.urgent = p.urgent || changes.Urgent
}

// follow takes the placement that this process has applied.
func (p *placer) follow(now *state.Snapshot) {
	if now.Placement != p.view {
		p.view, p.due = now.Placement, true
	}
	p.epoch = max(p.epoch, now.Epoch())
}

// next has the times considered at which something is due.
func (p *placer) next(now time.Duration, consider func(at time.Duration)) {
	for _, at := range []time.Duration{storeReconnectTimeout, p.newStore + bootstrapQuiet, p.retryAt} {
		if at > now {
			consider(at)
		}
	}
}

// live lists the stores to be counted on: those that hold a lease, and in the first time of a term those that have not yet been
// heard of.
func (p *placer) live(now time.Duration, view *wire.StoreView) []placement.Store {
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
	heard := live
	for _, s := range view.Stores {
		if !p.disks[s.Disk] && !replaced(s, heard) {
			live = append(live, placement.Store{
				Disk: s.Disk, Node: s.Node, Address: s.Address, Zone: s.Zone, Region: s.Region, Assumed: true,
			})
		}
	}
	return live
}

func replaced(s wire.Store, live []placement.Store) bool {
	return slices.ContainsFunc(live, func(l placement.Store) bool { return l.Node == s.Node || l.Address == s.Address })
}

// replan has the queue placed anew if it should be.
func (p *placer) replan(ctx context.Context, now time.Duration) {
	view := p.view
	if p.submitting || now < p.retryAt || view != nil && view.Epoch < p.epoch {
		return
	}
	if !p.due && !p.passed(now, storeReconnectTimeout) && !p.passed(now, p.retryAt) && !p.passed(now, p.newStore+bootstrapQuiet) {
		return
	}
	p.due, p.plannedAt = false, now
	if view == nil && now < p.newStore+bootstrapQuiet {
		return
	}
	next, changed := placement.Plan(view, p.live(now, view), placementConfig(p.service.settings.Load()))
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

// passed says whether a time has come since the placement was planned last.
func (p *placer) passed(now, at time.Duration) bool { return p.plannedAt < at && at <= now }

// propose submits a placement. Answer, unless it is nil, gets the outcome.
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
			p.service.log.Info("queue placed", "term", p.number, "epoch", view.Epoch, "stores", nodesOf(view), "joining", joiningIn(view))
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

// joiningIn is how many partitions of a placement are being filled somewhere.
func joiningIn(view *wire.StoreView) int {
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
		p.service.log.Warn("a placement was refused", "epoch", view.Epoch, "outcome", result.Outcome.String())
		return fmt.Errorf("%w: %s", errStale, result.Outcome)
	}
	return nil
}
