package plane

import (
	"sync"
	"time"

	"ravendale/control/core"
	"ravendale/control/view"
	"ravendale/settings"
	"ravendale/wire"
)

// hosting has stores take part in the core, where no control process has a disk. Before there is a core, one seed asks the stores
// that renew there; after that the leader does.
type hosting struct {
	settings *settings.Settings
	core     *core.Core
	started  time.Time

	mu        sync.Mutex
	recruiter *recruiter
}

func newHosting(s *settings.Settings, c *core.Core) *hosting {
	wanted := core.DurabilityOf(s).Voters()
	return &hosting{settings: s, core: c, started: time.Now(), recruiter: newRecruiter(wanted)}
}

// Order implements leader.Hosting.
func (h *hosting) Order(store *wire.Member, placement *wire.StoreView) *wire.HostCore {
	address := controlAddress(h.settings, store.Address)
	if address == "" || store.Leaving {
		return nil
	}
	now := time.Since(h.started)
	if !h.core.Leads() {
		if !h.core.WantsStores() {
			return nil
		}
		return h.decide(now, &membership{}, address, store.Zone)
	}
	return h.decide(now, h.membership(placement), address, store.Zone)
}

func (h *hosting) decide(now time.Duration, core *membership, address, zone string) *wire.HostCore {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.recruiter.joins(now, core, address, zone):
		return &wire.HostCore{Host: true}
	case h.recruiter.leaves(now, core, address):
		return &wire.HostCore{Host: false}
	}
	return nil
}

func (h *hosting) membership(placement *wire.StoreView) *membership {
	status := h.core.Status()
	m := &membership{voters: status.Voters, chain: status.Chain, retiring: make(map[string]bool)}
	if placement == nil {
		return m
	}
	for i := range placement.Stores {
		if placement.Stores[i].Retiring {
			m.retiring[controlAddress(h.settings, placement.Stores[i].Address)] = true
		}
	}
	return m
}

// Hosts implements leader.Hosting.
func (h *hosting) Hosts(address string) bool {
	own := controlAddress(h.settings, address)
	return containsAddress(h.core.Status().Voters, own)
}

func containsAddress(members []view.Member, address string) bool {
	for _, member := range members {
		if member.Address == address {
			return true
		}
	}
	return false
}
