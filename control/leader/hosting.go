package leader

import (
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// Hosting decides which stores take part in the core when there are too few control processes. Implementations must be
// safe for concurrent use.
type Hosting interface {
	// Order returns the order for a store that has just renewed, or nil if there is none. The placement is the newest
	// that this process has applied; it is nil if there is none, or if this process does not lead.
	Order(store *wire.Member, placement *wire.StoreView) *wire.HostCore
	// HasVote reports whether the store that listens at an address has a vote in the core.
	HasVote(address string) bool
}

// sendHostOrder notifies a store that it must join or leave the core, if Hosting has an order for it.
func (s *Service) sendHostOrder(c *rpc.Conn, member *wire.Member, placement *wire.StoreView) {
	if s.config.Hosting == nil || !member.Storage {
		return
	}
	if order := s.config.Hosting.Order(member, placement); order != nil {
		_ = c.Notify(wire.MethodHostCore, order)
	}
}

// hasCoreVote reports whether a node's store has a vote in the core.
func (s *Service) hasCoreVote(placement *wire.StoreView, node string) bool {
	if s.config.Hosting == nil {
		return false
	}
	for i := range placement.Stores {
		if placement.Stores[i].Node == node && s.config.Hosting.HasVote(placement.Stores[i].Address) {
			return true
		}
	}
	return false
}
