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

// hosting makes stores take part in the core if fewer control processes with a disk are members of it than the failures
// to be tolerated require. If no control process has a disk there is no core at first, and one seed invites the stores
// that renew their leases with it. Once the core exists, the leader invites stores.
type hosting struct {
	settings *settings.Settings
	core     *core.Core
	log      *slog.Logger
	started  time.Time

	mu        sync.Mutex
	recruiter *recruiter
	stopping  map[string]time.Duration // when a store last reported that it is stopping, by the core's address on its machine
}

const stoppingTimeout = 5 * time.Second // after its last report a stopping store counts as a normal voter again

func newHosting(s *settings.Settings, c *core.Core, log *slog.Logger) *hosting {
	requiredVoters := core.DurabilityOf(s).RequiredVoters()
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
	core := h.membership(placement)
	core.stopping = h.recordStopping(now, address, store.Leaving)
	if address == h.settings.ControlAddress(h.settings.IP) {
		if core.retiring[address] {
			h.core.Resign() // the next leader replaces this member: a leader does not order its own store to leave
		}
		return nil
	}
	return h.decideOrder(now, core, address, store.Zone)
}

// recordStopping records whether a store reports that it is stopping, and returns the addresses of all stores that are.
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

// decideOrder returns the order to join or leave the core for the store at an address, or nil if there is none.
func (h *hosting) decideOrder(now time.Duration, core *membership, address, zone string) *wire.HostCore {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.recruiter.shouldJoin(now, core, address, zone):
		if _, known := core.member(address); !known { // a detached member is invited each second until it is back: that is not logged
			h.log.Info("store invited to the core", "store", address, "members", len(core.members), "required_voters", h.recruiter.requiredVoters)
		}
		return &wire.HostCore{Host: true}
	case h.recruiter.shouldLeave(now, core, address):
		h.log.Info("store ordered to leave the core", "store", address, "members", len(core.members), "required_voters", h.recruiter.requiredVoters)
		return &wire.HostCore{Host: false}
	}
	return nil
}

// membership returns the members of the core as this process knows them, and which of them run on retiring stores.
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

// HasVote implements leader.Hosting.
func (h *hosting) HasVote(address string) bool {
	coreAddress := controlAddress(h.settings, address)
	return containsAddress(h.core.Status().Voters, coreAddress)
}

func containsAddress(members []view.Member, address string) bool {
	for _, member := range members {
		if member.Address == address {
			return true
		}
	}
	return false
}
