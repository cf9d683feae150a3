package leader

import (
	"context"
	"fmt"
	"slices"

	"ravendale/cluster/wire"
	"ravendale/control/placement"
)

// startRetire has a node's store emptied, and waits until that is agreed on.
func (t *term) startRetire(ctx context.Context, node string) error {
	answer := make(chan error, 1)
	if !t.placer.order(ctx, node, answer) {
		return ErrNotLeading
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUndecided, ctx.Err())
	case <-t.done:
		return ErrUndecided
	}
}

// order has the next tick look at an order to empty a node's store. It says whether there was room for it. Ctx is of who gave the order: once
// it has ended nobody waits for the answer.
func (p *placer) order(ctx context.Context, node string, answer chan<- error) bool {
	look := func(term context.Context) { p.startRetire(ctx, term, node, answer) }
	return p.box.Post(func() { p.orders = append(p.orders, look) })
}

// handleOrders looks at the orders that wait.
func (p *placer) handleOrders(ctx context.Context) {
	orders := p.orders
	p.orders = nil
	for _, look := range orders {
		look(ctx)
	}
}

// startRetire marks a node's store as one to be emptied. While another placement is on its way, or there is none yet, the order waits.
func (p *placer) startRetire(ctx, term context.Context, node string, answer chan<- error) {
	if ctx.Err() != nil {
		answer <- fmt.Errorf("%w: %w", ErrUndecided, ctx.Err())
		return
	}
	view := p.service.config.State().Placement
	live := p.live(p.now(), view)
	if p.submitting || view == nil || view.Epoch < p.epoch || unplaced(view, live, node) {
		p.tasks.Go(func() {
			_ = p.service.host.Sleep(term, statePoll)
			p.order(ctx, node, answer)
		})
		return
	}
	if _, retiring, _ := placement.Retirement(view, node); retiring {
		answer <- nil
		return
	}
	next, known, enough := placement.Retire(view, live, placementConfig(p.service.settings.Load()), node)
	switch {
	case !known:
		answer <- fmt.Errorf("%w: %q", ErrUnknownNode, node)
	case !enough:
		answer <- fmt.Errorf("%w: without %q", ErrTooFew, node)
	default:
		p.propose(term, next, answer)
	}
}

// unplaced says whether a node's store lives and the placement does not list it yet.
func unplaced(view *wire.StoreView, live []placement.Store, node string) bool {
	known, _, _ := placement.Retirement(view, node)
	return !known && slices.ContainsFunc(live, func(s placement.Store) bool { return s.Node == node })
}
