package leader

import (
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// Hosting decides which stores take part in the core, where the control processes are too few for it. Its methods may be called by any goroutine.
type Hosting interface {
	// Order is the order for a store that has just renewed, nil if there is none. The placement is the newest that this process has; it is nil, too,
	// in a process that does not lead.
	Order(store *wire.Member, placement *wire.StoreView) *wire.HostCore
	// Hosts says whether the store that listens at an address has a vote in the core.
	Hosts(address string) bool
}

// order tells a store what it is to do for the core, if anything.
func (s *Service) order(c *rpc.Conn, member *wire.Member, placement *wire.StoreView) {
	if s.config.Hosting == nil || !member.Storage {
		return
	}
	if order := s.config.Hosting.Order(member, placement); order != nil {
		_ = c.Notify(wire.MethodHostCore, order)
	}
}

// hosts says whether a node's store has a vote in the core.
func (s *Service) hosts(placement *wire.StoreView, node string) bool {
	if s.config.Hosting == nil {
		return false
	}
	for i := range placement.Stores {
		if placement.Stores[i].Node == node && s.config.Hosting.Hosts(placement.Stores[i].Address) {
			return true
		}
	}
	return false
}
