package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ravendale/control/api"
	"ravendale/control/core"
	"ravendale/control/leader"
)

// retirer serves the operator's orders to empty a store by the leader service.
type retirer struct{ leader *leader.Service }

// StartRetire has a node's store emptied. How long that may take is the operator's to watch: emptying is never cut short.
func (r retirer) StartRetire(ctx context.Context, node string, _ time.Duration) error {
	return apiError(r.leader.StartRetire(ctx, node))
}

// RetireState says how far a node's store is.
func (r retirer) RetireState(ctx context.Context, node string) (string, error) {
	done, err := r.leader.RetireState(ctx, node)
	if err != nil {
		return "", apiError(err)
	}
	if done {
		return api.RetireDone, nil
	}
	return api.RetireRunning, nil
}

func apiError(err error) error {
	switch {
	case errors.Is(err, leader.ErrUnknownNode):
		return fmt.Errorf("%w: %w", api.ErrUnknownNode, err)
	case errors.Is(err, leader.ErrTooFew):
		return fmt.Errorf("%w: %w", api.ErrTooFew, err)
	case errors.Is(err, leader.ErrNotLeading):
		return fmt.Errorf("%w: %w", core.ErrUnavailable, err)
	}
	return err
}
