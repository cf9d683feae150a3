package leader

import (
	"context"
	"fmt"

	"ravendale/control/status"
)

// Members counts who holds a lease. ErrNotLeading says that this process does not know.
func (s *Service) Members(ctx context.Context) (*status.Members, error) {
	t := s.leading()
	if t == nil {
		return nil, ErrNotLeading
	}
	answer := make(chan *status.Members, 1)
	if !t.box.Post(func() { answer <- t.count() }) {
		return nil, ErrNotLeading
	}
	select {
	case members := <-answer:
		return members, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("leader: members: %w", ctx.Err())
	case <-t.done:
		return nil, ErrNotLeading
	}
}

func (t *term) count() *status.Members {
	stores := t.leases.registry.Stores()
	leases := make([]status.StoreLease, len(stores))
	for i := range stores {
		leases[i] = status.StoreLease{
			Zone: stores[i].Member.Zone, Leaving: stores[i].Member.Leaving,
			Epoch: stores[i].Status.Epoch, Pending: stores[i].Status.Pending,
		}
	}
	return status.MembersOf(t.leases.registry.Edges(), leases, t.placer.epoch)
}
