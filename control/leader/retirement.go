package leader

import (
	"context"
	"fmt"
	"slices"

	"ravendale/cluster/wire"
	"ravendale/control/placement"
)

// startRetire orders that a node's store be emptied, and waits until the placement that says so is committed.
func (t *term) startRetire(ctx context.Context, node string) error {
	answer := make(chan error, 1)
	if !t.placer.enqueueOrder(ctx, node, answer) {
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

// enqueueOrder queues an order to empty a node's store for the next tick. It returns false if the mailbox is full. Ctx
// is that of the caller of the order: once it has ended, no one waits for the answer.
func (p *placer) enqueueOrder(ctx context.Context, node string, answer chan<- error) bool {
	handle := func(term context.Context) { p.startRetire(ctx, term, node, answer) }
	return p.box.Post(func() { p.pendingOrders = append(p.pendingOrders, handle) })
}

// handleOrders handles the queued orders.
func (p *placer) handleOrders(ctx context.Context) {
	orders := p.pendingOrders
	p.pendingOrders = nil
	for _, handle := range orders {
		handle(ctx)
	}
}

// startRetire submits a placement that marks a node's store as retiring. If another placement is being submitted, or
// there is none yet, or the store is not placed yet, it queues the order again after statePoll. Term is the term's
// context.
func (p *placer) startRetire(ctx, term context.Context, node string, answer chan<- error) {
	if ctx.Err() != nil {
		answer <- fmt.Errorf("%w: %w", ErrUndecided, ctx.Err())
		return
	}
	view := p.service.config.State().Placement
	live := p.liveStores(p.now(), view)
	if p.submitting || view == nil || view.Epoch < p.epoch || unplaced(view, live, node) {
		p.tasks.Go(func() {
			_ = p.service.host.Sleep(term, statePoll)
			p.enqueueOrder(ctx, node, answer)
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

// unplaced reports whether a node's store is live but not yet listed in the placement.
func unplaced(view *wire.StoreView, live []placement.Store, node string) bool {
	known, _, _ := placement.Retirement(view, node)
	return !known && slices.ContainsFunc(live, func(s placement.Store) bool { return s.Node == node })
}
