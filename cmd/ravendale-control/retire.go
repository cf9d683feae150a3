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

// retirer implements the operator's requests to empty a store on top of the leader service.
type retirer struct{ leader *leader.Service }

// StartRetire starts moving all messages off a node's store. It ignores the deadline: the operator watches the progress, and a
// running retirement is never aborted.
func (r retirer) StartRetire(ctx context.Context, node string, _ time.Duration) error {
	return apiError(r.leader.StartRetire(ctx, node))
}

// RetireState reports whether the retirement of a node's store is running or done.
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

// apiError wraps an error of the leader service in the error that the operator API maps to a status code.
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
