package leader

import (
	"context"
	"fmt"

	"ravendale/control/status"
)

// Members counts the members that hold a lease. It returns ErrNotLeading if this process does not lead, and so does not
// know them.
func (s *Service) Members(ctx context.Context) (*status.Members, error) {
	t := s.activeTerm()
	if t == nil {
		return nil, ErrNotLeading
	}
	answer := make(chan *status.Members, 1)
	if !t.box.Post(func() { answer <- t.countMembers() }) {
		return nil, ErrNotLeading
	}
	select {
	case members := <-answer:
		return members, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("leader: counting members: %w", ctx.Err())
	case <-t.done:
		return nil, ErrNotLeading
	}
}

func (t *term) countMembers() *status.Members {
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
