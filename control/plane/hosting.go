package plane

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/core"
	"ravendale/control/view"
)

// hosting has stores take part in the core, where fewer control processes with a disk are its members than the losses that are to be borne
// need. Where none has a disk there is no core at first, and one seed asks the stores that renew there; after that the leader does.
type hosting struct {
	settings *settings.Settings
	core     *core.Core
	log      *slog.Logger
	started  time.Time

	mu        sync.Mutex
	recruiter *recruiter
	stopping  map[string]time.Duration // when a store said last that it stops, by the core's address on its machine
}

const stoppingTimeout = 5 * time.Second // after which a store that said that it stops is a voter like others, until it is heard of again

func newHosting(s *settings.Settings, c *core.Core, log *slog.Logger) *hosting {
	requiredVoters := core.DurabilityOf(s).Voters()
	return &hosting{
		settings: s, core: c, log: log, started: time.Now(), recruiter: newRecruiter(requiredVoters), stopping: make(map[string]time.Duration),
	}
}

// Order implements leader.Hosting.
func (h *hosting) Order(store *wire.Member, placement *wire.StoreView) *wire.HostCore {
	address := controlAddress(h.settings, store.Address)
	if address == "" {
		return nil
	}
	now := time.Since(h.started)
	if !h.core.Leads() {
		if store.Leaving || !h.core.BootstrapsOnStores() {
			return nil
		}
		return h.decideOrder(now, &membership{}, address, store.Zone)
	}
	known := h.membership(placement)
	known.stopping = h.recordStopping(now, address, store.Leaving)
	if address == h.settings.ControlAddress(h.settings.IP) {
		if known.retiring[address] {
			h.core.Abdicate() // the next leader has it replaced
		}
		return nil
	}
	return h.decideOrder(now, known, address, store.Zone)
}

// recordStopping records whether a store says that it stops, and lists those that do.
func (h *hosting) recordStopping(now time.Duration, address string, leaving bool) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.stopping, address)
	if leaving {
		h.stopping[address] = now
	}
	stopping := make(map[string]bool)
	for address, at := range h.stopping {
		if now-at >= stoppingTimeout {
			delete(h.stopping, address)
			continue
		}
		stopping[address] = true
	}
	return stopping
}

func (h *hosting) decideOrder(now time.Duration, core *membership, address, zone string) *wire.HostCore {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.recruiter.shouldJoin(now, core, address, zone):
		if _, known := core.member(address); !known { // one that is a member already is invited each second until it is back
			h.log.Info("store invited to the core", "store", address, "members", len(core.members), "required_voters", h.recruiter.requiredVoters)
		}
		return &wire.HostCore{Host: true}
	case h.recruiter.shouldLeave(now, core, address):
		h.log.Info("store dismissed from the core", "store", address, "members", len(core.members), "required_voters", h.recruiter.requiredVoters)
		return &wire.HostCore{Host: false}
	}
	return nil
}

func (h *hosting) membership(placement *wire.StoreView) *membership {
	status := h.core.Status()
	m := &membership{members: slices.Concat(status.Voters, status.Learners), chain: status.Chain, retiring: make(map[string]bool)}
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
